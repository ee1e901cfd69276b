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
	return highestScoring(v.Live(), group)
}

// LikelyPreviousOwner returns the proxy that would own the group without self,
// if leaving proxies could still own groups. If self has just joined, or a
// proxy is leaving, that is the owner before. It returns false if there is
// none.
func LikelyPreviousOwner(v membership.View, group, self string) (membership.Proxy, bool) {
	var others []membership.Proxy
	for _, p := range v.All() {
		if p.State != membership.Dead && p.Name != self {
			others = append(others, p)
		}
	}
	return highestScoring(others, group)
}

// HighestScoring returns the proxy with the highest score for a key, such as a
// group, and false if there are no proxies.
func HighestScoring(proxies []membership.Proxy, key string) (membership.Proxy, bool) {
	return highestScoring(proxies, key)
}

// highestScoring returns the proxy with the highest score for the key. Of equal
// scores, the first proxy wins.
func highestScoring(proxies []membership.Proxy, key string) (membership.Proxy, bool) {
	var best membership.Proxy
	var topScore uint64
	for _, p := range proxies {
		if s := score(p.Name, key); best.Name == "" || s > topScore {
			best, topScore = p, s
		}
	}
	return best, best.Name != ""
}

// score returns the rendezvous hash of a proxy for a key, which every proxy
// computes alike.
func score(proxy, key string) uint64 {
	return xxhash.Sum64String(proxy + "\x00" + key)
}
