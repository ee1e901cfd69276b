// Package ownership decides which proxy owns a group, by rendezvous hashing
// over the live proxies. When a proxy joins or leaves, only its groups move.
package ownership

import (
	"github.com/cespare/xxhash/v2"

	"eelgrassladder.example/eelgrassladder/internal/model/membership"
)

// Owner returns the owner of a group among the live proxies of a view, and
// false if none is live.
func Owner(v membership.View, group string) (membership.Proxy, bool) {
	return highest(v.Live(), group)
}

// LikelyPreviousOwner returns the proxy that owned the group before self joined or
// another proxy left: the one with the highest score among the proxies that
// are live or leaving, without self. It returns false if there is none.
func LikelyPreviousOwner(v membership.View, group, self string) (membership.Proxy, bool) {
	var others []membership.Proxy
	for _, p := range v.All() {
		if p.State != membership.Dead && p.Name != self {
			others = append(others, p)
		}
	}
	return highest(others, group)
}

// HighestScoring returns the proxy with the highest score for a key, and false if
// there are no proxies.
func HighestScoring(all []membership.Proxy, key string) (membership.Proxy, bool) {
	return highest(all, key)
}

// highest returns the proxy with the highest score for the group.
func highest(all []membership.Proxy, group string) (membership.Proxy, bool) {
	var found membership.Proxy
	var topScore uint64
	for _, p := range all {
		if s := score(p.Name, group); found.Name == "" || s > topScore {
			found, topScore = p, s
		}
	}
	return found, found.Name != ""
}

// score returns the rendezvous hash of a proxy for a group, which every proxy
// computes alike.
func score(proxy, group string) uint64 {
	return xxhash.Sum64String(proxy + "\x00" + group)
}
