// Package sharing decides which part one proxy takes of what all proxies share: the
// connections of endpoints, and the reading of the store. It decides from the registered
// proxies alone.
package sharing

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// keptShare is the part of an endpoint's connections that may be kept open unused where
// there are more proxies than connections. The rest is for the proxies that keep none, for
// control requests, and for connections of proxies that have just ended.
const keptShare = 0.625

// readers is the number of proxies that read each change of the store as soon as possible,
// and readersKey the key whose hashes choose them.
const (
	readers    = 8
	readersKey = "store"
)

// Fleet is the set of proxies that share the connections of all endpoints, as one of them
// knows it. It is immutable.
type Fleet struct {
	// self is the name of the proxy that decides; it is one of proxies.
	self string
	// proxies are the names of the proxies, each once. It is never modified.
	proxies []string
	// dataCentres holds the data centres of proxies by name, as far as they are known. It is
	// never modified.
	dataCentres map[string]string
	// departed is the number of other proxies that have left a short while ago.
	departed int
	// teams is true if each connection to an endpoint serves one team.
	teams bool
}

// NewFleet returns the fleet of the proxy self and the others.
func NewFleet(self string, others ...string) Fleet {
	proxies := []string{self}
	for _, name := range others {
		if name != self {
			proxies = append(proxies, name)
		}
	}
	return Fleet{self: self, proxies: proxies}
}

// WithDataCentres returns the fleet with the data centres of proxies, by name. The map must
// not be modified afterwards.
func (f Fleet) WithDataCentres(byName map[string]string) Fleet {
	f.dataCentres = byName
	return f
}

// WithDeparted returns the fleet with the number of other proxies that have left a short while
// ago, and may come back.
func (f Fleet) WithDeparted(n int) Fleet {
	f.departed = n
	return f
}

// Self returns the name of the proxy that decides.
func (f Fleet) Self() string { return f.self }

// DataCentre returns the data centre of a proxy; empty if it is not known.
func (f Fleet) DataCentre(proxy string) string { return f.dataCentres[proxy] }

// Ranked returns the proxies of each data centre, by its name, ordered by their rendezvous
// hashes for a key, the highest first. Proxies whose data centre is not known are left out.
func (f Fleet) Ranked(key string) map[string][]string {
	ranked := map[string][]string{}
	for _, name := range f.proxies {
		if d := f.dataCentres[name]; d != "" {
			ranked[d] = append(ranked[d], name)
		}
	}
	for _, names := range ranked {
		sortByHash(names, key)
	}
	return ranked
}

// WithTeams returns the fleet of a system in which each connection to an endpoint serves one
// team.
func (f Fleet) WithTeams() Fleet {
	f.teams = true
	return f
}

// ServesTeams reports whether each connection to an endpoint serves one team.
func (f Fleet) ServesTeams() bool { return f.teams }

// Size returns the number of proxies, at least one.
func (f Fleet) Size() int { return max(len(f.proxies), 1) }

// RecentSize returns the number of proxies, those included that have left a short while ago.
func (f Fleet) RecentSize() int { return f.Size() + f.departed }

// Allotment is what one proxy may hold of an endpoint's connections. It is immutable.
type Allotment struct {
	// Max is the highest number of connections; at least one.
	Max int
	// Keeps is true if the proxy may keep a connection open that it does not use. Other
	// proxies open one when they need it, and close it soon.
	Keeps bool
}

// Allot returns the allotment of this proxy at an endpoint that accepts limit connections.
// Each proxy has an equal share. If there are more proxies than connections, the proxies
// with the highest rendezvous hashes for the endpoint keep one each.
func (f Fleet) Allot(endpoint string, limit int) Allotment {
	if share := limit / f.Size(); share >= 1 {
		return Allotment{Max: share, Keeps: true}
	}
	return Allotment{Max: 1, Keeps: f.Among(int(keptShare*float64(limit)), endpoint)}
}

// ReadsAtOnce reports whether this proxy is one of the few that read each change of the
// store as soon as possible and pass it on. All others read changes too, but later and
// several at once.
func (f Fleet) ReadsAtOnce() bool { return f.Among(readers, readersKey) }

// Among reports whether this proxy is one of the n with the highest rendezvous hashes for a
// key.
func (f Fleet) Among(n int, key string) bool { return f.rank(key) < n }

// Highest returns the names of the n proxies with the highest rendezvous hashes for a key,
// the highest first; of all proxies if there are fewer.
func (f Fleet) Highest(n int, key string) []string {
	names := slices.Clone(f.proxies)
	sortByHash(names, key)
	return names[:min(n, len(names))]
}

// sortByHash sorts the names of proxies by their rendezvous hashes for a key, the highest first,
// and by name where these are equal.
func sortByHash(names []string, key string) {
	hashes := make(map[string]uint64, len(names))
	for _, name := range names {
		hashes[name] = Hash(name, key)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(hashes[b], hashes[a]), strings.Compare(a, b))
	})
}

// rank returns how many other proxies have a higher hash for the key than this one. Of
// equal hashes, the lower name's counts as higher.
func (f Fleet) rank(key string) int {
	own, higher := Hash(f.self, key), 0
	for _, name := range f.proxies {
		if h := Hash(name, key); h > own || (h == own && name < f.self) {
			higher++
		}
	}
	return higher
}

// Hash returns the rendezvous hash of a proxy for a key, which all proxies compute alike.
func Hash(proxy, key string) uint64 { return xxhash.Sum64String(proxy + "\x00" + key) }
