package gossip

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// proxyAmong returns the name of one of count proxies, and the addresses of the
// others by name.
func proxyAmong(self, count int) (string, map[string]string) {
	others := map[string]string{}
	for i := range count {
		if i != self {
			others[fmt.Sprintf("p%04d", i)] = "address"
		}
	}
	return fmt.Sprintf("p%04d", self), others
}

func TestEveryProxyIsReachedInAFewRounds(t *testing.T) {
	for _, count := range []int{1, 2, 3, 5, 30, 430} {
		most := 0
		knows := map[string]bool{"p0000": true}
		rounds := 0
		for ; len(knows) < count; rounds++ {
			next := map[string]bool{}
			for i := range count {
				self, others := proxyAmong(i, count)
				chosen := partners(self, others)
				most = max(most, len(chosen))
				for _, p := range chosen {
					next[self] = next[self] || knows[self] || knows[p]
				}
			}
			for name, known := range next {
				knows[name] = knows[name] || known
				if !knows[name] {
					delete(knows, name)
				}
			}
			assert.Assert(t, rounds < 12, "%d proxies", count)
		}
		assert.Assert(t, most <= 9, "%d proxies, %d partners", count, most)
	}
}
