// Package route holds the routes of the platform's configuration: which group serves
// a database, and under which target.
package route

import (
	"maps"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/team"
)

// Consistency says which commits a read must see.
type Consistency int

// The kinds of consistency.
const (
	// Primary reads see every acknowledged commit.
	Primary Consistency = iota
	// Bounded reads see all commits acknowledged longer ago than Route.Staleness.
	Bounded
	// ReadYourWrites reads are bounded and also see the session's commits.
	ReadYourWrites
)

// String returns the name of the consistency.
func (c Consistency) String() string { return [...]string{"Primary", "Bounded", "ReadYourWrites"}[c] }

// Route says which group serves a database, and how. It is immutable.
type Route struct {
	// Database is the name that clients connect to; never empty.
	Database string
	// Group is the name of the database group; never empty.
	Group string
	// Consistency says which commits reads must see.
	Consistency Consistency
	// Staleness is the greatest age of the data that reads return which are not Primary.
	Staleness time.Duration
	// Timeout is the time within which a statement must be answered.
	Timeout time.Duration
	// Target is the time within which a whole operation should be answered.
	Target time.Duration
	// Priority is zero for the most urgent work, and higher for less urgent work.
	Priority int
	// Public is true if clients need no key.
	Public bool
}

// Group holds the settings of a database group.
type Group struct {
	// Name is unique.
	Name string
	// Connections is how many connections each endpoint accepts from all proxies
	// together.
	Connections int
	// Synchronous is how many replicas must hold a commit before it is acknowledged.
	Synchronous int
}

// Limits holds the limits that apply to all clients.
type Limits struct {
	// TransactionIdleLimit is how long a transaction may wait for its next statement; zero
	// means no limit.
	TransactionIdleLimit time.Duration
}

// Table is one version of the routes. It is immutable.
type Table struct {
	// Version grows with each change; zero means that no configuration is known yet.
	Version uint64
	// Limits applies to all routes.
	Limits Limits
	// routes is keyed by database and never written after it was set.
	routes map[string]Route
	// groups is keyed by name and never written after it was set.
	groups map[string]Group
	// teams is nil if clients do not identify themselves.
	teams *team.Directory
}

// NewTable returns a table without routes.
func NewTable(version uint64) Table { return Table{Version: version} }

// WithRoutes returns the table with the given routes only. If two have the same
// database, the first applies.
func (t Table) WithRoutes(given ...Route) Table {
	routes := make(map[string]Route, len(given))
	for _, r := range given {
		if _, ok := routes[r.Database]; !ok {
			routes[r.Database] = r
		}
	}
	t.routes = routes
	return t
}

// WithGroups returns the table with the given groups added or replaced.
func (t Table) WithGroups(given ...Group) Table {
	groups := maps.Clone(t.groups)
	if groups == nil {
		groups = make(map[string]Group, len(given))
	}
	for _, g := range given {
		groups[g.Name] = g
	}
	t.groups = groups
	return t
}

// WithLimits returns the table with other limits.
func (t Table) WithLimits(l Limits) Table {
	t.Limits = l
	return t
}

// WithTeams returns the table with the teams that may call. Clients then identify themselves
// with a key, except on public routes.
func (t Table) WithTeams(d team.Directory) Table {
	t.teams = &d
	return t
}

// HasTeams reports whether clients identify themselves with the keys of teams.
func (t Table) HasTeams() bool { return t.teams != nil }

// Team returns a team by its name.
func (t Table) Team(name string) (team.Team, bool) {
	if t.teams == nil {
		return team.Team{}, false
	}
	return t.teams.Team(name)
}

// Teams returns the teams that may call, ordered by name.
func (t Table) Teams() []team.Team {
	if t.teams == nil {
		return nil
	}
	return t.teams.All()
}

// Caller returns the team of a client that uses a route with a key. It reports false if the
// client may not use the route. The team is the zero Team if the client need not identify
// itself.
func (t Table) Caller(r Route, key string) (team.Team, bool) {
	if t.teams == nil {
		return team.Team{}, true
	}
	caller, ok := t.teams.ByKey(key)
	return caller, ok || r.Public
}

// Route returns the route of a database.
func (t Table) Route(database string) (Route, bool) {
	r, ok := t.routes[database]
	return r, ok
}

// Group returns a group by its name.
func (t Table) Group(name string) (Group, bool) {
	g, ok := t.groups[name]
	return g, ok
}

// Groups returns the names of all groups that at least one route uses.
func (t Table) Groups() map[string]bool {
	used := map[string]bool{}
	for _, r := range t.routes {
		used[r.Group] = true
	}
	return used
}
