package gateway

import (
	"time"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/model/delegation"
	"eelgrassladder.example/eelgrassladder/internal/model/route"
	"eelgrassladder.example/eelgrassladder/internal/model/statement"
	"eelgrassladder.example/eelgrassladder/internal/model/team"
	"eelgrassladder.example/eelgrassladder/internal/table/delegations"
)

// origin is what a session at a pooler knows of the proxy that has the client.
type origin struct {
	// asker is the name of the proxy.
	asker string
	// team is the name of the client's team, which the asker has identified. admitted is the
	// boot time at which the asker took the team's right to run the operation.
	team     string
	admitted time.Duration
	// arrived is when the current statement arrived at the asker, and deadline when its reply
	// must be ready.
	arrived, deadline time.Time
	// last is the execution of the current statement; nil if it needed no endpoint.
	last *execution
}

// delegatedSession runs one operation of another proxy's client. It implements
// delegations.Session.
type delegatedSession struct{ session *Session }

// OpenDelegated opens the session of an operation that another proxy delegates. It reports
// false if this proxy's routes are older than those under which the operation began, or do
// not lead to the database.
func (g *Gateway) OpenDelegated(o delegation.Opening) (delegations.Session, bool) {
	routes := g.routes.Routes()
	if _, ok := routes.Route(o.Database); !ok || routes.Version < o.Version {
		return nil, false
	}
	s := &Session{
		gateway: g, database: o.Database, prepared: map[string]statement.Prepared{}, written: o.Written,
		origin: &origin{asker: o.Asker, team: o.Team, admitted: g.clock.SinceBoot() - o.AdmittedAge},
		// The table of delegated operations bounds what they hold.
		account: eelgrassladder.UnlimitedMemory{},
	}
	if o.Begin.Kind != statement.Unknown {
		if reply := s.Do(o.Begin); reply.Code != statement.OK {
			return nil, false
		}
	}
	return delegatedSession{s}, true
}

// Do runs a statement of the operation.
func (d delegatedSession) Do(deadline time.Time, r delegation.Request) delegation.Answer {
	s := d.session
	s.origin.arrived, s.origin.deadline, s.origin.last = deadline.Add(-r.Left-r.Waited), deadline, nil
	if r.Opening != nil {
		s.origin.admitted -= s.gateway.timer.Now().Sub(deadline.Add(-r.Left)) // since the request arrived
		if s.transaction != nil {
			s.transaction.admitted = s.origin.admitted
		}
	}
	if r.Values != nil {
		s.values = *r.Values
	}
	if r.Statement.Kind == statement.Execute {
		s.prepared[r.Statement.Name] = r.Statement.Prepared
	}
	t := s.transaction
	a := delegation.Answer{Reply: s.Do(r.Statement)}
	if s.abandoned {
		return a
	}
	a.Written, a.RanOutside = s.written, t != nil && t.ranOutside
	if e := s.origin.last; e != nil {
		a.Endpoint, a.Primary, a.Attempts = e.endpointID, e.asPrimary, e.attempts
	}
	return a
}

// Close ends the operation, and rolls back an open transaction.
func (d delegatedSession) Close() { d.session.Close() }

// identify is the function identify for an operation whose client another proxy has
// identified.
func (o *origin) identify(routes route.Table, database string) (route.Route, team.Team, statement.Reply) {
	r, ok := routes.Route(database)
	if !ok {
		return r, team.Team{}, statement.ErrorReply(statement.Busy, "no route leads to database "+database+" any more")
	}
	if t, ok := routes.Team(o.team); ok {
		return r, t, statement.Reply{}
	}
	return r, team.Team{Name: o.team}, statement.Reply{}
}

// begin sets the times of the execution of the current statement, and remembers it.
func (o *origin) begin(e *execution) {
	o.last, e.arrived, e.deadline = e, o.arrived, o.deadline
}
