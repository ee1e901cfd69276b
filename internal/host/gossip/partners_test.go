package gossip

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// proxyAmong returns the name of the proxy with the index self of count proxies, and the
// addresses of the others by name.
func proxyAmong(self, count int) (string, map[string]string) {
	others := map[string]string{}
	for i := range count {
		if i != self {
			others[fmt.Sprintf("p%04d", i)] = "address"
		}
	}
	return fmt.Sprintf("p%04d", self), others
}

// TestAChangeReachesAllProxiesInAFewRounds guards against a change that reaches some
// proxies late or never, and against too many connections per proxy. In each round, each
// proxy asks all its partners. With 430 proxies each has 9 of them: one at each power of
// two from 1 to 256 places.
func TestAChangeReachesAllProxiesInAFewRounds(t *testing.T) {
	for _, count := range []int{1, 2, 3, 5, 30, 430} {
		maxPartners := 0
		informed := map[string]bool{"p0000": true}
		rounds := 0
		for ; len(informed) < count; rounds++ {
			informedNext := map[string]bool{}
			for i := range count {
				self, others := proxyAmong(i, count)
				chosen := partners(self, others)
				maxPartners = max(maxPartners, len(chosen))
				for _, p := range chosen {
					informedNext[self] = informedNext[self] || informed[self] || informed[p]
				}
			}
			for name, isInformed := range informedNext {
				informed[name] = informed[name] || isInformed
				if !informed[name] {
					delete(informed, name)
				}
			}
			assert.Assert(t, rounds < 12, "%d proxies", count)
		}
		assert.Assert(t, maxPartners <= 9, "%d proxies, %d partners", count, maxPartners)
	}
}
