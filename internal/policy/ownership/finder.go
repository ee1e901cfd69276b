package ownership

import (
	"sync"

	"eelgrassladder.example/eelgrassladder/internal/model/membership"
)

// Finder finds the owners of groups and remembers them while the view stays
// the same. Use it where owners are asked for with every request.
type Finder struct {
	// mutex guards the fields below. It is a leaf.
	mutex sync.Mutex
	// digest is that of the view that the fields below belong to.
	digest uint64
	// live are the live proxies of that view; nil before the first.
	live []membership.Proxy
	// owners holds what was asked for.
	owners map[string]membership.Proxy
}

// Owner returns the owner of a group in the view, and false if there is none.
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
	p, ok := best(f.live, group)
	if ok {
		f.owners[group] = p
	}
	return p, ok
}
