// Package gossip decides which proxies hear from this one, and how often: all
// of them while there are few, and a bounded number when there are many.
package gossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"eelgrassladder.example/eelgrassladder/internal/trade/membership"
)

// The pace and the breadth of heartbeats.
const (
	// meshSize is the most proxies that all exchange heartbeats.
	maxMeshSize = 8
	// successors is how many proxies that follow on the ring are watched when
	// there are more.
	ringSuccessors = 1
	// meshPeriod is the time between heartbeats in a mesh.
	meshPeriod = 250 * time.Millisecond
	// ringPeriod is the time between heartbeats among many.
	ringPeriod = time.Second
	// firstTries is how many listed proxies that were never heard of are tried
	// in each round.
	newProxyTries = 3
	// revivalRounds is how many rounds pass between tries of a dead proxy.
	deadRetryRounds = 5
	// DeathMisses is how many heartbeats in a row a dead proxy has missed.
	DeathMisses = 3
)

// Plan is what one round of heartbeats does.
type Plan struct {
	// Targets are the proxies that hear from this one.
	Targets []membership.Proxy
	// Period is the time until the next round.
	Period time.Duration
}

// NewPlan returns the plan of a round. The function random returns a number
// below its argument.
func NewPlan(v membership.View, self string, round int, random func(int) int) Plan {
	others, dead := split(v, self)
	neverHeard := slices.DeleteFunc(slices.Clone(dead), func(p membership.Proxy) bool { return p.Incarnation != 0 })
	// One heartbeat is heard on both sides, so half of the others are enough.
	plan := Plan{Targets: successorsOf(others, self, (len(others)+1)/2), Period: meshPeriod}
	if len(others)+1 > maxMeshSize {
		plan.Period = ringPeriod
		plan.Targets = successorsOf(others, self, ringSuccessors)
		plan.Targets = append(plan.Targets, others[random(len(others))])
	}
	plan.Targets = append(plan.Targets, sample(neverHeard, newProxyTries, random)...)
	if len(dead) > 0 && round%deadRetryRounds == 0 {
		plan.Targets = append(plan.Targets, dead[random(len(dead))])
	}
	return plan
}

// Pick returns up to n different proxies that are not dead, at random.
func Pick(v membership.View, self string, n int, random func(int) int) []membership.Proxy {
	others, _ := split(v, self)
	return sample(others, n, random)
}

// pick returns up to n different proxies at random. It changes the order of
// all.
func sample(all []membership.Proxy, n int, random func(int) int) []membership.Proxy {
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
func successorsOf(others []membership.Proxy, self string, n int) []membership.Proxy {
	ring := slices.Clone(others)
	slices.SortFunc(ring, func(a, b membership.Proxy) int {
		return cmp.Compare(ringPosition(a.Name), ringPosition(b.Name))
	})
	first := slices.IndexFunc(ring, func(p membership.Proxy) bool { return ringPosition(p.Name) > ringPosition(self) })
	var successors []membership.Proxy
	for i := range min(n, len(ring)) {
		successors = append(successors, ring[(max(first, 0)+i)%len(ring)])
	}
	return successors
}

// place is where a name stands on the ring.
func ringPosition(name string) uint64 { return xxhash.Sum64String(name) }
