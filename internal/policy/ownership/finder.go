package ownership

import (
	"sync"

	"eelgrassladder.example/eelgrassladder/internal/model/membership"
)

// Finder finds the owners of groups and caches them until the view changes. Use
// it where the owner is looked up for every request.
type Finder struct {
	// mutex guards the fields below. No other lock is taken while it is held.
	mutex sync.Mutex
	// digest is the digest of the view that live and owners belong to.
	digest uint64
	// live are the live proxies of that view.
	live []membership.Proxy
	// owners caches the owners found so far, by group; nil before the first
	// lookup.
	owners map[string]membership.Proxy
}

// Owner returns the owner of a group in the view, and false if no proxy is
// live.
func (f *Finder) Owner(v membership.View, group string) (membership.Proxy, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.owners == nil || f.digest != v.Digest() {
		f.digest = v.Digest()
		f.live = v.Live()
		f.owners = map[string]membership.Proxy{}
	}
	if p, ok := f.owners[group]; ok {
		return p, true
	}
	p, ok := highestScoring(f.live, group)
	if ok {
		f.owners[group] = p
	}
	return p, ok
}
