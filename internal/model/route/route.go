// Package route holds which group serves a database and under which target.
package route

import (
	"maps"
	"time"
)

// Consistency says which commits a read must see.
type Consistency int

// The kinds of consistency.
const (
	// Primary reads see every acknowledged commit.
	Primary Consistency = iota
	// Bounded reads see all commits acknowledged longer ago than the bound.
	Bounded
	// ReadYourWrites reads are bounded and also see the session's commits.
	ReadYourWrites
)

// String returns the name of the consistency.
func (c Consistency) String() string { return [...]string{"Primary", "Bounded", "ReadYourWrites"}[c] }

// Route leads from the name of a database to the group that holds it. It is
// immutable.
type Route struct {
	// Database is the name that clients connect to; never empty.
	Database string
	// Group is the name of the database group; never empty.
	Group string
	// Consistency is what reads must see.
	Consistency Consistency
	// Staleness bounds the age of reads that are not Primary.
	Staleness time.Duration
	// Timeout bounds one statement.
	Timeout time.Duration
	// Target is the time in which a whole operation shall be done.
	Target time.Duration
	// Priority is 0 for the most urgent work and grows from there.
	Priority int
}

// Group is what the configuration says of a database group.
type Group struct {
	// Name is unique.
	Name string
	// Connections is how many connections each endpoint takes in all.
	Connections int
	// Synchronous is how many replicas hold a commit before it is
	// acknowledged.
	Synchronous int
}

// Limits bounds what clients may send.
type Limits struct {
	// TransactionIdle is how long a transaction may wait for its next
	// statement; zero means no limit.
	TransactionIdle time.Duration
}

// Table is one version of the routes. It is immutable.
type Table struct {
	// Version grows with each change; 0 before the first.
	Version uint64
	// Limits holds for all routes.
	Limits Limits
	// routes is keyed by database and never written after it was set.
	routes map[string]Route
	// groups is keyed by name and never written after it was set.
	groups map[string]Group
}

// NewTable returns a table without routes.
func NewTable(version uint64) Table { return Table{Version: version} }

// WithRoutes returns the table with these routes; of two with the same
// database the first holds.
func (t Table) WithRoutes(all ...Route) Table {
	routes := make(map[string]Route, len(all))
	for _, r := range all {
		if _, ok := routes[r.Database]; !ok {
			routes[r.Database] = r
		}
	}
	t.routes = routes
	return t
}

// WithGroups returns the table with these groups besides those it has.
func (t Table) WithGroups(all ...Group) Table {
	groups := maps.Clone(t.groups)
	if groups == nil {
		groups = make(map[string]Group, len(all))
	}
	for _, g := range all {
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

// Groups returns the names of all groups that a route leads to.
func (t Table) Groups() map[string]bool {
	used := map[string]bool{}
	for _, r := range t.routes {
		used[r.Group] = true
	}
	return used
}
