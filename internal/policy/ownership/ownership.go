// Package ownership decides which proxy owns a group: rendezvous hashing over
// the live proxies, so that a join or a loss moves only that proxy's groups.
package ownership

import (
	"github.com/cespare/xxhash/v2"

	"eelgrassladder.example/eelgrassladder/internal/model/membership"
)

// Owner returns the owner of a group among the proxies of a view, and false
// if none is live.
func Owner(v membership.View, group string) (membership.Proxy, bool) {
	return best(v.Live(), group)
}

// PreviousOwner returns the proxy that owned the group before self joined or another
// left: the best of the proxies that are live or leaving, without self.
func PreviousOwner(v membership.View, group, self string) (membership.Proxy, bool) {
	var others []membership.Proxy
	for _, p := range v.All() {
		if p.State != membership.Dead && p.Name != self {
			others = append(others, p)
		}
	}
	return best(others, group)
}

// OwnerAmong returns the one of the proxies that a key falls to, and false if
// there are none.
func OwnerAmong(all []membership.Proxy, key string) (membership.Proxy, bool) { return best(all, key) }

// best returns the proxy with the highest score for the group.
func best(all []membership.Proxy, group string) (membership.Proxy, bool) {
	var found membership.Proxy
	var highest uint64
	for _, p := range all {
		if s := score(p.Name, group); found.Name == "" || s > highest {
			found, highest = p, s
		}
	}
	return found, found.Name != ""
}

// score is the same at every proxy.
func score(proxy, group string) uint64 {
	return xxhash.Sum64String(proxy + "\x00" + group)
}
