package gateway

import (
	"time"

	"eelgrassladder.example/eelgrassladder/internal/table/work"
	"eelgrassladder.example/eelgrassladder/internal/trade/lead"
	"eelgrassladder.example/eelgrassladder/internal/trade/position"
	"eelgrassladder.example/eelgrassladder/internal/trade/statement"
)

// learn notes what an answer of the primary shows about it: its term, the end of
// its log and, for an acknowledged write, a proof and an acknowledged position.
func (g *Gateway) learn(w work.Assignment, group string, asked time.Duration, r statement.Reply, wrote bool) {
	if !w.Primary || r.Position.IsZero() {
		return
	}
	acknowledged := wrote && g.replicated(group)
	g.table.Change(group, func(l lead.Lead) lead.Lead {
		l = withAnswer(l, w.Endpoint.ID, asked, r.Position, acknowledged)
		if acknowledged {
			l = l.WithKept(g.acknowledged(r.Position))
		}
		return l
	})
}

// learnLate notes the position of a commit that was acknowledged after its client
// was told that the outcome is unknown.
func (g *Gateway) learnLate(group string, r statement.Reply) {
	if r.Code != statement.OK || r.Position.IsZero() || !g.replicated(group) {
		return
	}
	g.table.Change(group, func(l lead.Lead) lead.Lead { return l.WithKept(g.acknowledged(r.Position)) })
}

// acknowledged returns a position from the answer to a commit that just arrived.
func (g *Gateway) acknowledged(p position.Position) lead.Kept {
	return lead.Kept{Position: p, Told: true, Source: sourceAnswer, At: g.clock.Boot()}
}

// sourceAnswer is the source of a position that an answer to this proxy reported.
const sourceAnswer = "Answer"

// replicated reports whether the group acknowledges a commit only once a replica
// holds it. Otherwise a change of primary may lose the commit.
func (g *Gateway) replicated(group string) bool {
	configured, _ := g.routes.Routes().Group(group)
	return configured.Synchronous > 0
}

// withAnswer returns l after the endpoint has answered a request that was sent at
// asked. An acknowledged write proves that no change of primary was under way,
// because a change suspends the replicas that must acknowledge the write.
func withAnswer(l lead.Lead, endpoint string, asked time.Duration, p position.Position, wrote bool) lead.Lead {
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
