package gateway

import (
	"fmt"
	"time"

	"eelgrassladder.example/eelgrassladder"

	"eelgrassladder.example/eelgrassladder/internal/model/route"
	"eelgrassladder.example/eelgrassladder/internal/model/statement"
	"eelgrassladder.example/eelgrassladder/internal/model/team"
)

// operation is a single statement or a whole transaction of a client. It is immutable: a
// version of the configuration that comes later applies from the next operation on.
type operation struct {
	// route is the route that was current when the operation began, and routesVersion the
	// version of the routes.
	route         route.Route
	routesVersion uint64
	// team is the team for which the operation runs; the zero Team if clients need not
	// identify themselves.
	team team.Team
	// admitted is the boot time at which the team's right to run the operation was taken.
	admitted time.Duration
}

// admit returns the operation that begins with a statement, for which it takes one of the
// team's rights to run an operation. If the reply's code is not OK, the operation is refused.
func (s *Session) admit(st statement.Statement) (operation, statement.Reply) {
	g := s.gateway
	arrived, routes := g.timer.Now(), g.routes.Routes()
	o := operation{routesVersion: routes.Version}
	var reply statement.Reply
	if s.origin != nil {
		o.route, o.team, reply = s.origin.identify(routes, s.database)
		o.admitted = s.origin.admitted // the other proxy has taken the right
	} else if o.route, o.team, reply = identify(routes, s.database, s.key); reply.Code == statement.OK {
		o, reply = g.charge(o)
	}
	if reply.Code != statement.OK {
		g.observer.Answered(Answered{
			Statement: st, Route: o.route, RoutesVersion: o.routesVersion, Team: o.team.Name, Reply: reply,
			Took: g.timer.Now().Sub(arrived), Asker: s.asker(), Leader: g.table.Leader(o.route.Group), Now: g.clock.SinceBoot(),
		})
	}
	return o, reply
}

// asker returns the name of the proxy that has the session's client; empty for this one.
func (s *Session) asker() string {
	if s.origin == nil {
		return ""
	}
	return s.origin.asker
}

// charge takes one of the team's rights to run an operation, and returns the operation with
// the time of that. If the reply's code is not OK, the team is over its limit.
func (g *Gateway) charge(o operation) (operation, statement.Reply) {
	if !o.team.Limited {
		return o, statement.Reply{}
	}
	o.admitted = g.clock.SinceBoot()
	if g.quotas.Take(g.tasks.Context(), o.team, o.route.Priority) {
		return o, statement.Reply{}
	}
	return o, statement.ErrorReply(statement.Busy, fmt.Sprintf("found no token for an operation of team %s, whose limit is %g a second", o.team.Name, o.team.Rate))
}

// recharge is charge for an operation that is about to be sent to an endpoint, if it was
// admitted too long ago for its runs to count from then.
func (g *Gateway) recharge(o operation) (operation, statement.Reply) {
	if g.clock.SinceBoot()-o.admitted <= eelgrassladder.QuotaValidity {
		return o, statement.Reply{}
	}
	return g.charge(o)
}

// identify returns the route of a database and the team that a key stands for. If the
// reply's code is not OK, a client with the key may not use the database.
func identify(routes route.Table, database, key string) (route.Route, team.Team, statement.Reply) {
	r, ok := routes.Route(database)
	if !ok {
		return r, team.Team{}, statement.ErrorReply(statement.NoDatabase, "no route leads to database "+shortened(database))
	}
	caller, ok := routes.Caller(r, key)
	if !ok {
		return r, team.Team{}, statement.ErrorReply(statement.Unauthorized, "the key is not known")
	}
	return r, caller, statement.Reply{}
}

// giveBack gives back the right to an operation of which nothing was sent to an endpoint. That of
// another proxy's client is given back there.
func (s *Session) giveBack(o operation) {
	if o.team.Limited && s.origin == nil {
		s.gateway.quotas.GiveBack(o.team, o.admitted)
	}
}
