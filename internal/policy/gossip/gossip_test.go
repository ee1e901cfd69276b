package gossip_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"eelgrassladder.example/eelgrassladder/internal/model/membership"
	"eelgrassladder.example/eelgrassladder/internal/policy/gossip"
)

func TestEveryProxyIsWatchedAndTheWorkIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 60).Draw(t, "proxies")
		random := func(k int) int { return rapid.IntRange(0, k-1).Draw(t, "random") }
		var v membership.View
		for i := range n {
			state := membership.State(rapid.SampledFrom([]int{0, 0, 0, 0, 1, 2}).Draw(t, "state"))
			v, _ = v.WithProxy(membership.Proxy{Name: fmt.Sprintf("p%02d", i), Incarnation: 1, State: state})
		}
		watched := map[string]bool{}
		alive := 0
		for _, p := range v.All() {
			if p.State == membership.Dead {
				continue
			}
			alive++
			plan := gossip.NewPlan(v, p.Name, 1, random)
			assert.Assert(t, len(plan.Peers) <= 4, "%d heartbeats in a round", len(plan.Peers))
			for _, target := range plan.Peers {
				assert.Assert(t, target.Name != p.Name)
				watched[target.Name] = true
			}
		}
		for _, p := range v.All() {
			if p.State != membership.Dead && alive > 1 {
				assert.Assert(t, watched[p.Name], "nobody watches %s", p.Name)
			}
		}
	})
}
