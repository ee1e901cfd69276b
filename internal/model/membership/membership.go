// Package membership holds what a proxy knows of the proxies of the system. Members of
// database groups are in package group.
package membership

import (
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// State is the state of a proxy, as another proxy knows it.
type State int32

// The states of a proxy. Of two reports with the same incarnation, the one with the later
// state in this list applies.
const (
	// Live proxies own groups and serve callers.
	Live State = iota
	// Leaving proxies finish their work and take no more groups.
	Leaving
	// Dead proxies have stopped answering.
	Dead
)

// String returns the name of the state.
func (s State) String() string { return [...]string{"Live", "Leaving", "Dead"}[s] }

// Proxy is what is known of one proxy. It is immutable.
type Proxy struct {
	// Name is unique in the system.
	Name string
	// DataCentre is where the proxy runs.
	DataCentre string
	// Address is the IP address and port at which other proxies reach the proxy.
	Address string
	// Incarnation grows each time the proxy starts or refutes a report of its death.
	Incarnation uint64
	State       State
}

// Supersedes reports whether p is newer information than o: it has a higher incarnation,
// or the same incarnation and a later state.
func (p Proxy) Supersedes(o Proxy) bool {
	if p.Incarnation != o.Incarnation {
		return p.Incarnation > o.Incarnation
	}
	return p.State > o.State
}

// WithState returns the proxy in another state.
func (p Proxy) WithState(s State) Proxy {
	p.State = s
	return p
}

// WithIncarnation returns the proxy in another incarnation.
func (p Proxy) WithIncarnation(n uint64) Proxy {
	p.Incarnation = n
	return p
}

// hash returns the proxy's part in the digest of a view: a hash of its name, address,
// state and incarnation. It is zero for a dead proxy, because the proxies do not forget
// dead ones at the same time.
func (p Proxy) hash() uint64 {
	if p.State == Dead {
		return 0
	}
	hasher := xxhash.New()
	_, _ = hasher.WriteString(p.Name)
	_, _ = hasher.WriteString("\x00" + p.Address)
	_, _ = hasher.Write([]byte{byte(p.State)})
	var incarnation [8]byte
	for i := range incarnation {
		incarnation[i] = byte(p.Incarnation >> (8 * i))
	}
	_, _ = hasher.Write(incarnation[:])
	return hasher.Sum64()
}

// View is what one proxy knows of the proxies. It is immutable.
type View struct {
	// proxies is keyed by name and never written after the view was made.
	proxies map[string]Proxy
	// digest is the exclusive or of the hashes of all proxies. Two views that agree on
	// the proxies that are not dead have the same digest.
	digest uint64
}

// WithProxy returns the view with p, unless the view holds newer information about
// the proxy. It also reports whether the view has changed.
func (v View) WithProxy(p Proxy) (View, bool) {
	known, ok := v.proxies[p.Name]
	if ok && !p.Supersedes(known) {
		return v, false
	}
	proxies := make(map[string]Proxy, len(v.proxies)+1)
	maps.Copy(proxies, v.proxies)
	proxies[p.Name] = p
	digest := v.digest ^ p.hash()
	if ok {
		digest ^= known.hash()
	}
	return View{proxies: proxies, digest: digest}, true
}

// WithoutProxy returns the view without the proxy.
func (v View) WithoutProxy(name string) View {
	known, ok := v.proxies[name]
	if !ok {
		return v
	}
	proxies := maps.Clone(v.proxies)
	delete(proxies, name)
	return View{proxies: proxies, digest: v.digest ^ known.hash()}
}

// Proxy returns a proxy by its name.
func (v View) Proxy(name string) (Proxy, bool) {
	p, ok := v.proxies[name]
	return p, ok
}

// Digest returns a digest that is equal for two views that agree on the proxies that
// are not dead.
func (v View) Digest() uint64 { return v.digest }

// Len returns the number of proxies in the view, dead ones included.
func (v View) Len() int { return len(v.proxies) }

// All returns all proxies, ordered by name.
func (v View) All() []Proxy {
	all := slices.Collect(maps.Values(v.proxies))
	slices.SortFunc(all, func(a, b Proxy) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// Live returns the live proxies, ordered by name.
func (v View) Live() []Proxy {
	return slices.DeleteFunc(v.All(), func(p Proxy) bool { return p.State != Live })
}
