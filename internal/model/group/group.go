// Package group holds database groups, their members, and what their owner has
// observed of the members.
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
	// Address is an IP address and port.
	Address string
	// Leaving is true if the endpoint must not get new work.
	Leaving bool
	// Slots is how many statements the endpoint runs at one time; at least one.
	Slots int
	// Connections is how many connections the endpoint accepts; at least two.
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

// Member returns a member by its name.
func (g Group) Member(name string) (Member, bool) {
	i := slices.IndexFunc(g.Members, func(m Member) bool { return m.Name == name })
	if i < 0 {
		return Member{}, false
	}
	return g.Members[i], true
}

// WithMember returns the group with the member added or replaced.
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

// Equal reports whether both groups have the same name and members.
func (g Group) Equal(o Group) bool { return g.Name == o.Name && slices.Equal(g.Members, o.Members) }

// Role is what a member does in its group.
type Role string

// The roles of a member.
const (
	// Primary accepts writes in its term.
	Primary Role = "Primary"
	// Replica follows a primary. Its log is a part of the primary's.
	Replica Role = "Replica"
	// Joining has begun to follow a primary. Its log may still hold entries that the
	// primary's log lacks, so its log cannot be compared with other logs.
	Joining Role = "Joining"
	// Fenced has granted a term higher than its last primary's, and waits for the primary
	// of that term.
	Fenced Role = "Fenced"
)

// Progress is the term, the role and the log positions that a member reports.
type Progress struct {
	// Term is the highest term that the member has granted or joined.
	Term uint64
	// Role is the member's role in that term.
	Role Role
	// LogTerm is the term of the last entry of the member's log.
	LogTerm uint64
	// Received is the end of the member's log, counted as in position.Position.Log.
	Received uint64
	// Applied is the end of the part of the log that reads at the member can see, counted
	// in the same way.
	Applied uint64
	// SinceContact is how long ago a replica last heard from its primary; zero at a
	// primary.
	SinceContact time.Duration
}

// MoreAdvanced reports whether a member with the log of p must be preferred to one with
// the log of o as the primary: the last entry of p's log has a later term, or it has the
// same term and the log is longer.
func (p Progress) MoreAdvanced(o Progress) bool {
	if p.LogTerm != o.LogTerm {
		return p.LogTerm > o.LogTerm
	}
	return p.Received > o.Received
}

// Observation is what a group's owner knows of a member. It is immutable.
type Observation struct {
	// Member describes the endpoint.
	Member Member
	// Progress is the member's last answer.
	Progress Progress
	// Reachable is true if the last probe was answered.
	Reachable bool
	// Since is when Reachable last changed; zero before the first probe has ended.
	Since time.Time
	// Seen is the time of the last answer; zero for none.
	Seen time.Time
	// Failures counts the failed probes since the last answer.
	Failures int
}

// WithProgress returns the observation with an answer that arrived at the time.
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

// WithFailure returns the observation with a probe that failed at the time.
func (o Observation) WithFailure(at time.Time) Observation {
	if o.Reachable || o.Since.IsZero() {
		o.Since = at
	}
	o.Reachable = false
	o.Failures++
	return o
}

// WithMember returns the observation with another description of the endpoint.
func (o Observation) WithMember(m Member) Observation {
	o.Member = m
	return o
}
