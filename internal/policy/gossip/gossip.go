// Package gossip decides to which proxies this one sends heartbeats, and how
// often: to all of them while there are few, and to a bounded number when
// there are many.
package gossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"eelgrassladder.example/eelgrassladder/internal/model/membership"
)

// Limits, periods and counts of heartbeats.
const (
	// maxMeshSize is the largest number of proxies that exchange heartbeats in
	// a full mesh.
	maxMeshSize = 8
	// ringSuccessors is how many successors on the hash ring a proxy sends
	// heartbeats to when there are more than maxMeshSize proxies. It also sends
	// one to a random proxy.
	ringSuccessors = 1
	// meshPeriod is the time between two rounds of heartbeats in a mesh.
	meshPeriod = 250 * time.Millisecond
	// ringPeriod is the time between two rounds of heartbeats in a ring.
	ringPeriod = time.Second
	// newProxyTries is the maximum number of listed proxies that never answered
	// to which a heartbeat is sent in each round.
	newProxyTries = 3
	// deadRetryRounds is the number of rounds between two heartbeats to a random
	// dead proxy.
	deadRetryRounds = 5
	// MissesUntilDead is how many consecutive missed heartbeats mark a proxy
	// as dead.
	MissesUntilDead = 3
)

// Plan describes one round of heartbeats.
type Plan struct {
	// Peers are the proxies to send a heartbeat to.
	Peers []membership.Proxy
	// Period is the time until the next round.
	Period time.Duration
}

// NewPlan returns the plan of the round with the given number. The function
// random returns a random number from zero up to, but not including, its
// argument.
func NewPlan(v membership.View, self string, round int, random func(int) int) Plan {
	others, dead := splitDead(v, self)
	// A proxy that has answered has an incarnation above zero.
	neverAnswered := slices.DeleteFunc(slices.Clone(dead), func(p membership.Proxy) bool { return p.Incarnation != 0 })
	// Both proxies learn from one heartbeat, so half of the others are enough.
	plan := Plan{Peers: successorsOf(others, self, (len(others)+1)/2), Period: meshPeriod}
	if len(others)+1 > maxMeshSize {
		plan.Period = ringPeriod
		plan.Peers = successorsOf(others, self, ringSuccessors)
		plan.Peers = append(plan.Peers, others[random(len(others))])
	}
	plan.Peers = append(plan.Peers, sample(neverAnswered, newProxyTries, random)...)
	if len(dead) > 0 && round%deadRetryRounds == 0 {
		plan.Peers = append(plan.Peers, dead[random(len(dead))])
	}
	return plan
}

// RandomPeers returns up to n random, different proxies that are not dead,
// without self.
func RandomPeers(v membership.View, self string, n int, random func(int) int) []membership.Proxy {
	others, _ := splitDead(v, self)
	return sample(others, n, random)
}

// sample returns up to n random, different proxies. It reorders proxies.
func sample(proxies []membership.Proxy, n int, random func(int) int) []membership.Proxy {
	n = min(n, len(proxies))
	for i := range n {
		k := i + random(len(proxies)-i)
		proxies[i], proxies[k] = proxies[k], proxies[i]
	}
	return proxies[:n]
}

// splitDead returns the proxies of the view other than self in order of name:
// those that are not dead, and the dead.
func splitDead(v membership.View, self string) (others, dead []membership.Proxy) {
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

// successorsOf returns the n proxies that follow self on a ring in order of
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

// ringPosition returns the position of a name on the ring.
func ringPosition(name string) uint64 { return xxhash.Sum64String(name) }
