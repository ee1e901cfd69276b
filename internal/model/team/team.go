// Package team holds the teams that call the proxies, and the keys with which their
// clients identify themselves.
package team

import (
	"maps"
	"slices"
	"strings"
)

// Team is a customer of the operators. It is immutable. The zero Team stands for clients
// that need not identify themselves.
type Team struct {
	// Name is unique; empty for the zero Team only.
	Name string
	// Limited is true if the number of the team's operations is limited, by Rate and Burst.
	Limited bool
	// Rate is how many operations the team may run in a second, over all proxies; never
	// negative.
	Rate float64
	// Burst is how many operations the team may run at once after a pause, over all
	// proxies; never negative.
	Burst float64
}

// WithLimit returns the team with a limit.
func (t Team) WithLimit(rate, burst float64) Team {
	t.Limited, t.Rate, t.Burst = true, max(rate, 0), max(burst, 0)
	return t
}

// Directory is the set of teams of one version of the configuration. It is immutable.
type Directory struct {
	// teams is keyed by name and never modified.
	teams map[string]Team
	// names holds the name of the team that has a key; empty for a key that several teams
	// have. It is never modified.
	names map[string]string
}

// Entry is a team and its keys.
type Entry struct {
	Team Team
	Keys []string
}

// NewDirectory returns a directory of the entries. Of two entries of one team the first has
// the team's limit, and both have its keys. A key that two teams have is nobody's, because it
// does not tell who calls.
func NewDirectory(entries ...Entry) Directory {
	d := Directory{teams: make(map[string]Team, len(entries)), names: map[string]string{}}
	for _, e := range entries {
		d.add(e)
	}
	return d
}

// With returns the directory with an entry added.
func (d Directory) With(e Entry) Directory {
	added := Directory{teams: map[string]Team{}, names: map[string]string{}}
	maps.Copy(added.teams, d.teams)
	maps.Copy(added.names, d.names)
	added.add(e)
	return added
}

// add adds an entry to a directory that nobody else has yet.
func (d Directory) add(e Entry) {
	if _, ok := d.teams[e.Team.Name]; !ok {
		d.teams[e.Team.Name] = e.Team
	}
	for _, k := range e.Keys {
		if holder, ok := d.names[k]; ok && holder != e.Team.Name {
			d.names[k] = ""
			continue
		}
		d.names[k] = e.Team.Name
	}
}

// ByKey returns the team that has a key. It reports false for a key that no team has, or
// several.
func (d Directory) ByKey(key string) (Team, bool) {
	name := d.names[key]
	if name == "" {
		return Team{}, false
	}
	return d.teams[name], true
}

// SharedKeys returns how many keys several teams have.
func (d Directory) SharedKeys() int {
	shared := 0
	for _, name := range d.names {
		if name == "" {
			shared++
		}
	}
	return shared
}

// Team returns a team by its name.
func (d Directory) Team(name string) (Team, bool) {
	t, ok := d.teams[name]
	return t, ok
}

// All returns all teams, ordered by name.
func (d Directory) All() []Team {
	return slices.SortedFunc(maps.Values(d.teams), func(a, b Team) int { return strings.Compare(a.Name, b.Name) })
}
