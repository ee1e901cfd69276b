// Package group holds database groups, their members, and what has been
// observed of them.
package group

import (
	"slices"
	"time"
)

// Member describes one endpoint of a group, from the platform's host list.
type Member struct {
	// Name is unique in the system.
	Name string
	// DataCentre is where the endpoint runs.
	DataCentre string
	// Address is an IP number and port.
	Address string
	// Leaving is true when the endpoint must get no new work.
	Leaving bool
	// Slots is how many statements it runs at one time; at least one.
	Slots int
	// Connections is how many connections it accepts; at least two.
	Connections int
}

// Group describes a database group. It is immutable.
type Group struct {
	// Name is unique in the system.
	Name string
	// Members is sorted by name and never changed.
	Members []Member
}

// Majority returns how many members make a majority.
func (g Group) Majority() int { return len(g.Members)/2 + 1 }

// Member returns the member with the name.
func (g Group) Member(name string) (Member, bool) {
	i := slices.IndexFunc(g.Members, func(m Member) bool { return m.Name == name })
	if i < 0 {
		return Member{}, false
	}
	return g.Members[i], true
}

// WithMember returns a group with the member added or replaced.
func (g Group) WithMember(m Member) Group {
	members := slices.DeleteFunc(slices.Clone(g.Members), func(o Member) bool { return o.Name == m.Name })
	members = append(members, m)
	slices.SortFunc(members, func(a, b Member) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return Group{Name: g.Name, Members: members}
}

// Equal reports whether two descriptions say the same.
func (g Group) Equal(o Group) bool { return g.Name == o.Name && slices.Equal(g.Members, o.Members) }

// Role is what a member does in its group.
type Role string

// The roles of a member.
const (
	// Primary accepts writes in its term.
	Primary Role = "Primary"
	// Replica follows a primary, and its log is a part of the primary's.
	Replica Role = "Replica"
	// Joining was told to follow a primary, and its log may still hold what
	// the primary's does not. Its places can't be compared with others.
	Joining Role = "Joining"
	// Fenced has granted a higher term and waits for its primary.
	Fenced Role = "Fenced"
)

// Progress is what a member says of itself.
type Progress struct {
	// Term is the highest term that the member has granted or joined.
	Term uint64
	// Role is the member's role in that term.
	Role Role
	// LogTerm is the term of the last entry of its log.
	LogTerm uint64
	// Received is the last log place that it holds.
	Received uint64
	// Applied is the last log place visible to its reads.
	Applied uint64
	// SinceContact is how long ago a replica last heard from its primary; zero at
	// a primary.
	SinceContact time.Duration
}

// MoreAdvanced reports whether p's log must be preferred to o's: the later
// last term, then the longer log.
func (p Progress) MoreAdvanced(o Progress) bool {
	if p.LogTerm != o.LogTerm {
		return p.LogTerm > o.LogTerm
	}
	return p.Received > o.Received
}

// Observation is what the owner knows of a member. It is immutable.
type Observation struct {
	// Member describes the endpoint.
	Member Member
	// Progress is its last answer.
	Progress Progress
	// Reachable is false after a failed probe, until one succeeds.
	Reachable bool
	// Since is when Reachable last changed.
	Since time.Time
	// Seen is when the last answer came; zero if none has.
	Seen time.Time
	// Failures counts the probes that failed since the last answer.
	Failures int
}

// WithProgress returns an observation of an answer that came at a time.
func (o Observation) WithProgress(p Progress, at time.Time) Observation {
	if !o.Reachable {
		o.Since = at
	}
	o.Reachable = true
	o.Failures = 0
	o.Progress = p
	o.Seen = at
	return o
}

// WithFailure returns an observation of a failed probe at a time.
func (o Observation) WithFailure(at time.Time) Observation {
	if o.Reachable || o.Since.IsZero() {
		o.Since = at
	}
	o.Reachable = false
	o.Failures++
	return o
}

// WithMember returns an observation of the endpoint as now described.
func (o Observation) WithMember(m Member) Observation {
	o.Member = m
	return o
}
