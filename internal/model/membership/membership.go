// Package membership holds what is known of the proxies of the system.
package membership

import (
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// State is what a proxy is believed to be doing.
type State int32

// The states of a proxy, from the least to the most final.
const (
	// Live proxies own groups and serve callers.
	Live State = iota
	// Leaving proxies finish their work and take no more groups.
	Leaving
	// Dead proxies have stopped answering.
	Dead
)

// String returns the state's name in reports.
func (s State) String() string { return [...]string{"Live", "Leaving", "Dead"}[s] }

// Proxy is what is known of one proxy. It is immutable.
type Proxy struct {
	// Name is unique in the system.
	Name string
	// DataCentre is where the proxy runs.
	DataCentre string
	// Address is the IP number and port for other proxies.
	Address string
	// Incarnation grows each time the proxy starts or contradicts a report
	// of its death.
	Incarnation uint64
	// State is what the proxy is believed to be doing.
	State State
}

// Supersedes reports whether p replaces o: the higher incarnation, then the
// more final state.
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

// hash returns a digest of all that other proxies compare; zero for the
// dead, which each proxy forgets in its own time.
func (p Proxy) hash() uint64 {
	if p.State == Dead {
		return 0
	}
	d := xxhash.New()
	_, _ = d.WriteString(p.Name)
	_, _ = d.WriteString("\x00" + p.Address)
	_, _ = d.Write([]byte{byte(p.State)})
	var number [8]byte
	for i := range number {
		number[i] = byte(p.Incarnation >> (8 * i))
	}
	_, _ = d.Write(number[:])
	return d.Sum64()
}

// View is an immutable set of proxies.
type View struct {
	// proxies is keyed by name and never written after the view was made.
	proxies map[string]Proxy
	// digest is the exclusive or of the hashes of all proxies that are not
	// dead, so that two views that agree on these have the same digest.
	digest uint64
}

// WithProxy returns a view that holds p unless it knows better, and whether
// it differs from v.
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

// WithoutProxy returns a view that does not know the proxy.
func (v View) WithoutProxy(name string) View {
	known, ok := v.proxies[name]
	if !ok {
		return v
	}
	proxies := maps.Clone(v.proxies)
	delete(proxies, name)
	return View{proxies: proxies, digest: v.digest ^ known.hash()}
}

// Proxy returns what is known of a proxy.
func (v View) Proxy(name string) (Proxy, bool) {
	p, ok := v.proxies[name]
	return p, ok
}

// Digest is equal for two views that agree on the proxies that are not dead.
func (v View) Digest() uint64 { return v.digest }

// Len returns how many proxies the view knows, dead ones too.
func (v View) Len() int { return len(v.proxies) }

// All returns all proxies in order of name.
func (v View) All() []Proxy {
	all := slices.Collect(maps.Values(v.proxies))
	slices.SortFunc(all, func(a, b Proxy) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// Live returns the live proxies in order of name.
func (v View) Live() []Proxy {
	return slices.DeleteFunc(v.All(), func(p Proxy) bool { return p.State != Live })
}
