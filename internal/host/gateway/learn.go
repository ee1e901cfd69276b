package gateway

import (
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/leader"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/statement"
	"eelgrassladder.example/eelgrassladder/internal/table/scheduler"
)

// learn updates the table with what an answer of the primary shows: its term, the end
// of its log and, for a write to a replicated group, an acknowledged position. Asked is the
// boot time at which the request was sent.
func (g *Gateway) learn(a scheduler.Assignment, group string, asked time.Duration, r statement.Reply, wrote bool) {
	if !a.Primary || r.Position.IsZero() {
		return
	}
	acknowledged := wrote && g.replicated(group)
	g.table.UpdateLeader(group, func(l leader.State) leader.State {
		l = withAnswer(l, a.Endpoint.ID, asked, r.Position)
		if acknowledged {
			newest := g.acknowledged(r.Position)
			l = l.WithAcknowledged(newest).WithCommit(a.Endpoint.ID, r.Position, newest.At)
		}
		return l
	})
}

// learnLate updates the table with the position of a commit that was acknowledged after
// its client was told that the outcome is unknown.
func (g *Gateway) learnLate(group string, r statement.Reply) {
	if r.Code != statement.OK || r.Position.IsZero() || !g.replicated(group) {
		return
	}
	g.table.UpdateLeader(group, func(l leader.State) leader.State { return l.WithAcknowledged(g.acknowledged(r.Position)) })
}

// acknowledged returns the acknowledged position that the answer to a commit has just
// reported.
func (g *Gateway) acknowledged(p position.Position) leader.Acknowledged {
	return leader.Acknowledged{Position: p, Observed: true, Source: sourceAnswer, At: g.clock.SinceBoot()}
}

// sourceAnswer is the leader.Acknowledged.Source of a position that an endpoint's answer
// to this proxy reported.
const sourceAnswer = "Answer"

// replicated reports whether the group acknowledges a commit only once a replica
// holds it. Otherwise a change of primary may lose the commit.
func (g *Gateway) replicated(group string) bool {
	configured, _ := g.routes.Routes().Group(group)
	return configured.Synchronous > 0
}

// withAnswer returns l with what the endpoint's answer to a request shows. The request
// was sent at the boot time asked, and the answer reported position p. An acknowledged
// write is no proof that the endpoint is the only primary: a replica that joined after a
// change of primary had suspended the others may have received it.
func withAnswer(l leader.State, endpoint string, asked time.Duration, p position.Position) leader.State {
	if l.Endpoint != endpoint {
		return l
	}
	if l.Term == 0 {
		l = l.WithTerm(p.Term)
	}
	return l.WithAnswer(asked, p)
}
