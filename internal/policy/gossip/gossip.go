// Package gossip decides which proxies hear from this one, and how often: all
// of them while there are few, and a bounded number when there are many.
package gossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"eelgrassladder.example/eelgrassladder/internal/model/membership"
)

// The pace and the breadth of heartbeats.
const (
	// meshSize is the most proxies that all exchange heartbeats.
	meshSize = 8
	// successors is how many proxies that follow on the ring are watched when
	// there are more.
	successors = 1
	// meshPeriod is the time between heartbeats in a mesh.
	meshPeriod = 250 * time.Millisecond
	// ringPeriod is the time between heartbeats among many.
	ringPeriod = time.Second
	// firstTries is how many listed proxies that were never heard of are tried
	// in each round.
	firstTries = 3
	// revivalRounds is how many rounds pass between tries of a dead proxy.
	revivalRounds = 5
	// MissesUntilDead is how many heartbeats in a row a dead proxy has missed.
	MissesUntilDead = 3
)

// Plan is what one round of heartbeats does.
type Plan struct {
	// Peers are the proxies that hear from this one.
	Peers []membership.Proxy
	// Period is the time until the next round.
	Period time.Duration
}

// NewPlan returns the plan of a round. The function random returns a number
// below its argument.
func NewPlan(v membership.View, self string, round int, random func(int) int) Plan {
	others, dead := split(v, self)
	unheard := slices.DeleteFunc(slices.Clone(dead), func(p membership.Proxy) bool { return p.Incarnation != 0 })
	// One heartbeat is heard on both sides, so half of the others are enough.
	plan := Plan{Peers: following(others, self, (len(others)+1)/2), Period: meshPeriod}
	if len(others)+1 > meshSize {
		plan.Period = ringPeriod
		plan.Peers = following(others, self, successors)
		plan.Peers = append(plan.Peers, others[random(len(others))])
	}
	plan.Peers = append(plan.Peers, pick(unheard, firstTries, random)...)
	if len(dead) > 0 && round%revivalRounds == 0 {
		plan.Peers = append(plan.Peers, dead[random(len(dead))])
	}
	return plan
}

// RandomPeers returns up to n different proxies that are not dead, at random.
func RandomPeers(v membership.View, self string, n int, random func(int) int) []membership.Proxy {
	others, _ := split(v, self)
	return pick(others, n, random)
}

// pick returns up to n different proxies at random. It changes the order of
// all.
func pick(all []membership.Proxy, n int, random func(int) int) []membership.Proxy {
	n = min(n, len(all))
	for i := range n {
		k := i + random(len(all)-i)
		all[i], all[k] = all[k], all[i]
	}
	return all[:n]
}

// split returns the proxies other than self, those not dead and the dead, in
// order of name.
func split(v membership.View, self string) (others, dead []membership.Proxy) {
	for _, p := range v.All() {
		switch {
		case p.Name == self:
		case p.State == membership.Dead:
			dead = append(dead, p)
		default:
			others = append(others, p)
		}
	}
	return others, dead
}

// following returns the n proxies that come after self on a ring in order of
// the hashes of their names, so that proxies of one rack or data centre are
// watched from others.
func following(others []membership.Proxy, self string, n int) []membership.Proxy {
	ring := slices.Clone(others)
	slices.SortFunc(ring, func(a, b membership.Proxy) int {
		return cmp.Compare(place(a.Name), place(b.Name))
	})
	first := slices.IndexFunc(ring, func(p membership.Proxy) bool { return place(p.Name) > place(self) })
	var found []membership.Proxy
	for i := range min(n, len(ring)) {
		found = append(found, ring[(max(first, 0)+i)%len(ring)])
	}
	return found
}

// place is where a name stands on the ring.
func place(name string) uint64 { return xxhash.Sum64String(name) }
