package gateway

import (
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/leader"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/statement"
	"eelgrassladder.example/eelgrassladder/internal/table/scheduler"
)

// learn notes what an answer of the primary shows.
func (g *Gateway) learn(w scheduler.Assignment, group string, asked time.Duration, r statement.Reply, wrote bool) {
	if !w.Primary || r.Position.IsZero() {
		return
	}
	acknowledged := wrote && g.replicated(group)
	g.table.UpdateLeader(group, func(l leader.State) leader.State {
		l = learned(l, w.Endpoint.ID, asked, r.Position, acknowledged)
		if acknowledged {
			l = l.WithAcknowledged(g.kept(r.Position))
		}
		return l
	})
}

// learnLate notes a commit that was acknowledged after its client was told that
// the outcome is not known.
func (g *Gateway) learnLate(group string, r statement.Reply) {
	if r.Code != statement.OK || r.Position.IsZero() || !g.replicated(group) {
		return
	}
	g.table.UpdateLeader(group, func(l leader.State) leader.State { return l.WithAcknowledged(g.kept(r.Position)) })
}

// kept is a position that the answer to a commit has just told.
func (g *Gateway) kept(p position.Position) leader.Acknowledged {
	return leader.Acknowledged{Position: p, Observed: true, Source: sourceAnswer, At: g.clock.SinceBoot()}
}

// sourceAnswer is the source of a position that this proxy was told itself.
const sourceAnswer = "Answer"

// replicated reports whether a commit of the group is acknowledged only once a
// replica holds it. Otherwise a change of primary may lose it.
func (g *Gateway) replicated(group string) bool {
	known, _ := g.routes.Routes().Group(group)
	return known.Synchronous > 0
}

// learned is the lead after its endpoint has answered a request sent at
// asked. An acknowledged write proves that no change of primary was under
// way, because a change suspends the replicas that must acknowledge it.
func learned(l leader.State, endpoint string, asked time.Duration, p position.Position, wrote bool) leader.State {
	if l.Endpoint != endpoint {
		return l
	}
	if l.Term == 0 {
		l = l.WithTerm(p.Term)
	}
	if wrote && p.Term == l.Term {
		l = l.WithProof(asked)
	}
	return l.WithSample(asked, p)
}
