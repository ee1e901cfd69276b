// Package pooling decides which proxies keep the connections to a group's endpoints open for
// all others, and which of them a proxy asks. It does no I/O and knows no time.
package pooling

import (
	"maps"
	"math"
	"slices"

	"eelgrassladder.example/eelgrassladder/internal/policy/sharing"
)

const (
	// sufficientShare is the number of connections for each proxy from which on proxies use
	// their own. With fewer than two, an open transaction keeps the proxy's other statements
	// waiting, and with fewer than one some proxies open a connection for each statement.
	sufficientShare = 2
	// sufficientShareForTeams is the same where a connection serves one team. With 86 teams and
	// two connections for each proxy, three of four operations opened one.
	sufficientShareForTeams = 2.5
	// connectionsPerPooler is how many connections of an endpoint one pooler should have.
	connectionsPerPooler = 8
	// pooledShare is the part of an endpoint's connections that poolers may hold. The rest is
	// for control requests, and for proxies that reach no pooler.
	pooledShare = 0.85
	// poolersOpeningShare is the part of the openings of all proxies that poolers may make. The
	// rest is for proxies that reach no pooler.
	poolersOpeningShare = 2.0 / 3
)

// Poolers are the proxies that pool the connections to the endpoints of a group, as one proxy
// knows them. It is immutable. The zero value has none: each proxy uses its own connections.
type Poolers struct {
	self  string
	group string
	// connections is how many connections each pooler may hold to each endpoint.
	connections int
	// local holds the poolers of the proxy's own data centre, and remote the others.
	local, remote []string
}

// Choose returns the poolers of a group whose endpoints accept limit connections each. Proxies
// that have left a short while ago count, so that a fleet whose size changes to and fro keeps its
// poolers: a change opens and closes most connections.
func Choose(f sharing.Fleet, group string, limit int) Poolers {
	sufficient := float64(sufficientShare)
	if f.ServesTeams() {
		sufficient = sufficientShareForTeams
	}
	if float64(limit) >= sufficient*float64(f.RecentSize()) {
		return Poolers{}
	}
	ranked := f.Ranked(group)
	if len(ranked) == 0 {
		return Poolers{}
	}
	each := max(1, int(math.Round(float64(limit)/connectionsPerPooler/float64(len(ranked)))))
	p := Poolers{self: f.Self(), group: group}
	for _, d := range slices.Sorted(maps.Keys(ranked)) {
		chosen := ranked[d][:min(each, len(ranked[d]))]
		if d == f.DataCentre(f.Self()) {
			p.local = chosen
		} else {
			p.remote = append(p.remote, chosen...)
		}
	}
	p.connections = max(1, int(pooledShare*float64(limit)/float64(len(p.local)+len(p.remote))))
	return p
}

// All returns the names of the poolers.
func (p Poolers) All() []string { return slices.Concat(p.local, p.remote) }

// Delegates reports whether this proxy delegates operations of the group: there are poolers,
// and it is none of them.
func (p Poolers) Delegates() bool {
	return p.connections > 0 && !slices.Contains(p.local, p.self) && !slices.Contains(p.remote, p.self)
}

// Allot returns the allotment of this proxy at an endpoint of the group.
func (p Poolers) Allot(f sharing.Fleet, endpoint string, limit int) sharing.Allotment {
	switch {
	case p.connections == 0:
		return f.Allot(endpoint, limit)
	case p.Delegates():
		return sharing.Allotment{Max: 1}
	default:
		return sharing.Allotment{Max: p.connections, Keeps: true}
	}
}

// Openers returns the number of proxies that would share the openings of an endpoint's connections
// evenly if each could make as many as this one.
func (p Poolers) Openers(f sharing.Fleet) float64 {
	poolers := len(p.local) + len(p.remote)
	switch {
	case p.connections == 0:
		return float64(f.Size())
	case p.Delegates():
		return float64(f.Size()-poolers) / (1 - poolersOpeningShare)
	default:
		return float64(poolers) / poolersOpeningShare
	}
}

// Ask returns the pooler to ask, of those that may be asked in the proxy's own data centre, or
// else in another. For the operation of a team it is the one with the highest hash of itself and
// the team, so that a team's operations use the same connections. Otherwise it is the one with
// the fewest operations of this proxy under way, and of several the one with the highest hash of
// itself and this proxy, so that proxies spread. operations returns the number of operations, or
// false if the pooler may not be asked.
func (p Poolers) Ask(team string, operations func(pooler string) (int, bool)) (string, bool) {
	for _, names := range [][]string{p.local, p.remote} {
		best, fewest := "", 0
		for _, name := range names {
			n, ok := operations(name)
			if !ok {
				continue
			}
			if team != "" {
				n = 0
			}
			if best == "" || n < fewest || (n == fewest && p.preferred(name, best, team)) {
				best, fewest = name, n
			}
		}
		if best != "" {
			return best, true
		}
	}
	return "", false
}

// preferred reports whether this proxy asks a before b for a team, which is empty for none, if
// both have as many operations.
func (p Poolers) preferred(a, b, team string) bool {
	key := p.group + "\x00" + p.self
	if team != "" {
		key = p.group + "\x00" + team
	}
	return sharing.Hash(a, key) > sharing.Hash(b, key)
}
