package gossip_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"eelgrassladder.example/eelgrassladder/internal/model/membership"
	"eelgrassladder.example/eelgrassladder/internal/policy/gossip"
)

// TestEveryProxyIsWatchedWithABoundedNumberOfHeartbeats guards against a proxy
// to which no other proxy sends heartbeats, so that its failure would go
// unnoticed, and against rounds whose heartbeats grow with the number of
// proxies.
func TestEveryProxyIsWatchedWithABoundedNumberOfHeartbeats(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 60).Draw(t, "proxies")
		random := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "random") }
		var v membership.View
		for i := range count {
			// The repeated 0, for Live, makes most proxies live.
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
			// A mesh of 8 proxies needs 4 each; a larger ring needs fewer.
			assert.Assert(t, len(plan.Peers) <= 4, "%d heartbeats in a round", len(plan.Peers))
			for _, peer := range plan.Peers {
				assert.Assert(t, peer.Name != p.Name)
				watched[peer.Name] = true
			}
		}
		for _, p := range v.All() {
			if p.State != membership.Dead && alive > 1 {
				assert.Assert(t, watched[p.Name], "no proxy watches %s", p.Name)
			}
		}
	})
}
