package routing_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/policy/routing"
)

func randomCandidate(t *rapid.T) eelgrassladder.Candidate {
	return eelgrassladder.Candidate{
		Usable:  rapid.Bool().Draw(t, "usable"),
		Applied: uint64(rapid.IntRange(0, 20).Draw(t, "applied")),
		Age:     time.Duration(rapid.IntRange(0, 4000).Draw(t, "age")) * time.Millisecond,
		Lag:     time.Duration(rapid.IntRange(0, 4000).Draw(t, "lag")) * time.Millisecond,
	}
}

// TestReadsRunOnlyWhereTheirBoundsHoldAndNeverWaitInVain guards against reads
// at members that violate their bounds, and against reads that wait for a
// replica although none can serve them or no time is left.
func TestReadsRunOnlyWhereTheirBoundsHoldAndNeverWaitInVain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := []eelgrassladder.Candidate{randomCandidate(t), randomCandidate(t), randomCandidate(t)}
		candidates[0].Primary = true
		r := eelgrassladder.RoutingRequest{
			Paying:         rapid.Bool().Draw(t, "paying"),
			ReplicaAllowed: rapid.Bool().Draw(t, "replica allowed"),
			Required:       position.Position{Term: 1, Log: uint64(rapid.IntRange(0, 20).Draw(t, "required"))},
			Staleness:      time.Duration(rapid.IntRange(0, 3000).Draw(t, "staleness")) * time.Millisecond,
			TimeLeft:       time.Duration(rapid.IntRange(-100, 1000).Draw(t, "left")) * time.Millisecond,
		}
		anyEligible, replicaCouldServe := false, false
		for i, c := range candidates {
			eligible := routing.Replicas{}.Eligible(r, candidates, i)
			anyEligible = anyEligible || eligible
			replicaCouldServe = replicaCouldServe || (!c.Primary && c.Usable && r.ReplicaAllowed && c.Age <= r.Staleness)
			if !eligible {
				continue
			}
			assert.Assert(t, c.Usable)
			if !c.Primary {
				assert.Assert(t, r.ReplicaAllowed, "work that may write went to a replica")
				assert.Assert(t, c.Applied >= r.Required.Log, "a read went to a replica that lacks the required position")
				assert.Assert(t, c.Age <= r.Staleness, "a read went to a replica that is too stale")
			}
		}
		if candidates[0].Usable && !replicaCouldServe {
			assert.Assert(t, anyEligible, "a read waits although only the primary can serve it")
		}
		if candidates[0].Usable && r.TimeLeft < 0 {
			assert.Assert(t, anyEligible, "a read without time left waits for a replica")
		}
	})
}
