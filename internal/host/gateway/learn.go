package gateway

import (
	"time"

	"eelgrassladder.example/eelgrassladder/internal/table/work"
	"eelgrassladder.example/eelgrassladder/internal/trade/lead"
	"eelgrassladder.example/eelgrassladder/internal/trade/position"
	"eelgrassladder.example/eelgrassladder/internal/trade/statement"
)

// learn notes what an answer of the primary shows.
func (g *Gateway) learn(w work.Assignment, group string, asked time.Duration, r statement.Reply, wrote bool) {
	if !w.Primary || r.Position.IsZero() {
		return
	}
	known, _ := g.routes.Routes().Group(group)
	g.table.Change(group, func(l lead.Lead) lead.Lead {
		return learned(l, w.Endpoint.ID, asked, r.Position, wrote && known.Synchronous > 0)
	})
}

// learned is the lead after its endpoint has answered a request sent at
// asked. An acknowledged write proves that no change of primary was under
// way, because a change suspends the replicas that must acknowledge it.
func learned(l lead.Lead, endpoint string, asked time.Duration, p position.Position, wrote bool) lead.Lead {
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
