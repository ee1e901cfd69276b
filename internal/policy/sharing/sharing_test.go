package sharing_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"eelgrassladder.example/eelgrassladder/internal/policy/sharing"
)

// names returns the names of n proxies, the first of them with the number first.
func names(first, n int) []string {
	proxies := make([]string, n)
	for i := range proxies {
		proxies[i] = fmt.Sprintf("proxy-%d", first+i)
	}
	return proxies
}

// kept returns the proxies of a fleet that keep a connection to an endpoint.
func kept(proxies []string, endpoint string, limit int) map[string]bool {
	keepers := map[string]bool{}
	for _, self := range proxies {
		if sharing.NewFleet(self, proxies...).Allot(endpoint, limit).Keeps {
			keepers[self] = true
		}
	}
	return keepers
}

func TestAFleetBelowTheLimitSharesAllConnections(t *testing.T) {
	for _, c := range []struct{ limit, proxies, share int }{{16, 5, 3}, {43, 30, 1}, {220, 29, 7}, {32, 32, 1}, {16, 1, 16}} {
		a := sharing.NewFleet("proxy-0", names(0, c.proxies)...).Allot("e", c.limit)
		assert.Equal(t, a, sharing.Allotment{Max: c.share, Keeps: true}, "%+v", c)
	}
}

// TestUnusedConnectionsLeaveRoom guards against a fleet that has more proxies than an
// endpoint accepts connections, and that fills the endpoint with connections that nobody
// uses: each statement of the other proxies was refused there. The proxies may know the
// fleet as it was before some joined, or as it is.
func TestUnusedConnectionsLeaveRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 200).Draw(t, "limit")
		before := rapid.IntRange(1, 300).Draw(t, "proxies")
		joined := rapid.IntRange(0, 200).Draw(t, "joined")
		endpoint := rapid.StringN(1, 12, 40).Draw(t, "endpoint")
		all := names(0, before+joined)
		now := kept(all, endpoint, limit)
		if len(now) > limit {
			t.Fatalf("%d proxies keep one of %d connections", len(now), limit)
		}
		if len(all) <= limit {
			return
		}
		if len(now) > limit*5/8 {
			t.Fatalf("%d of %d proxies keep one of %d connections, which leaves too few for the rest", len(now), len(all), limit)
		}
		earlier := 0
		for name := range kept(names(0, before), endpoint, limit) {
			if !now[name] {
				earlier++
			}
		}
		if before > limit && earlier > joined {
			t.Fatalf("%d proxies keep a connection that do not when they know of the %d that joined", earlier, joined)
		}
	})
}

func TestKeptConnectionsAreSpreadOverTheProxies(t *testing.T) {
	proxies, groups := names(0, 118), 20
	counts := map[string]int{}
	for i := range groups {
		for name := range kept(proxies, fmt.Sprintf("i-%d", i), 108) {
			counts[name]++
		}
	}
	for _, name := range proxies {
		assert.Assert(t, counts[name] >= 3 && counts[name] <= groups-1, "%s keeps %d of %d", name, counts[name], groups)
	}
}

// TestAllProxiesAgreeOnTheHighest guards against proxies that each choose other holders, and
// against a holder that is not Among the highest.
func TestAllProxiesAgreeOnTheHighest(t *testing.T) {
	proxies := names(0, 35)
	want := sharing.NewFleet(proxies[0], proxies...).Highest(6, "bakery")
	assert.Equal(t, len(want), 6)
	for _, self := range proxies {
		f := sharing.NewFleet(self, proxies...)
		assert.DeepEqual(t, f.Highest(6, "bakery"), want)
		assert.Equal(t, f.Among(6, "bakery"), slices.Contains(want, self))
	}
	assert.Equal(t, len(sharing.NewFleet("a", "b").Highest(6, "bakery")), 2)
}
