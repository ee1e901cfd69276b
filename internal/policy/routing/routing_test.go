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

func place(t *rapid.T) eelgrassladder.Candidate {
	return eelgrassladder.Candidate{
		Usable:  rapid.Bool().Draw(t, "usable"),
		Applied: uint64(rapid.IntRange(0, 20).Draw(t, "applied")),
		Age:     time.Duration(rapid.IntRange(0, 4000).Draw(t, "age")) * time.Millisecond,
		Lag:     time.Duration(rapid.IntRange(0, 4000).Draw(t, "lag")) * time.Millisecond,
	}
}

func TestReadsGoOnlyWhereTheyMay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		places := []eelgrassladder.Candidate{place(t), place(t), place(t)}
		places[0].Primary = true
		r := eelgrassladder.ReadRequest{
			Paying:         rapid.Bool().Draw(t, "paying"),
			ReplicaAllowed: rapid.Bool().Draw(t, "may"),
			Required:       position.Position{Term: 1, Log: uint64(rapid.IntRange(0, 20).Draw(t, "required"))},
			Staleness:      time.Duration(rapid.IntRange(0, 3000).Draw(t, "staleness")) * time.Millisecond,
			TimeLeft:       time.Duration(rapid.IntRange(-100, 1000).Draw(t, "left")) * time.Millisecond,
		}
		somewhere, waits := false, false
		for at, p := range places {
			eligible := routing.Replicas{}.Eligible(r, places, at)
			somewhere = somewhere || eligible
			waits = waits || (!p.Primary && p.Usable && r.ReplicaAllowed && p.Age <= r.Staleness)
			if !eligible {
				continue
			}
			assert.Assert(t, p.Usable)
			if !p.Primary {
				assert.Assert(t, r.ReplicaAllowed, "work that may write went to a replica")
				assert.Assert(t, p.Applied >= r.Required.Log, "a read went to a replica that does not cover it")
				assert.Assert(t, p.Age <= r.Staleness, "a read went to a replica that is too old")
			}
		}
		if places[0].Usable && !waits {
			assert.Assert(t, somewhere, "a read waits though only the primary can serve it")
		}
		if places[0].Usable && r.TimeLeft < 0 {
			assert.Assert(t, somewhere, "a read without time left waits for a replica")
		}
	})
}
