package failover

import (
	"maps"
	"slices"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/leadership"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
	policy "eelgrassladder.example/eelgrassladder/internal/policy/failover"
)

const (
	// memberRetention is how long an unlisted member still counts as a member that
	// may come back with its log. The store removes an entry after three missed
	// heartbeats of 1.2 s each, and crashed members are back within a few seconds.
	memberRetention = 12 * time.Second
	// departedProbeTime is how long after its last listing a departed member is still
	// asked for its status before a change of primary.
	departedProbeTime = time.Minute
)

// groupState is what the controller remembers of a group.
type groupState struct {
	// busy is true while a probe or a change of primary is under way.
	busy bool
	// refused is true if the last attempt to change the primary could not begin.
	refused bool
	// noCandidateSince is since when changes of primary fail because no member's log
	// holds all acknowledged commits; zero once a change has begun or none is needed.
	noCandidateSince time.Time
	// probeFailedAt is when the primary last failed to answer a probe; zero for
	// never.
	probeFailedAt time.Time
	// primary is the ID of the primary that the fields about a primary refer to.
	primary string
	// primarySince is when this proxy learned that it leads.
	primarySince time.Time
	// unlistedSince is since when the store has not listed the primary; zero while it
	// does.
	unlistedSince time.Time
	// members holds the last listing of each member that is listed or may come back, by
	// ID.
	members map[string]listing
	// departed holds the members that have left, by ID.
	departed map[string]departure
	// leaderlessSince is since when the group has had no primary; zero if it has one.
	leaderlessSince time.Time
	// diff is the difference between the listed members and the recorded ones, and
	// differsSince when it appeared. While recording is true, a task writes to the open
	// record.
	diff         policy.MemberDiff
	differsSince time.Time
	recording    bool
	// unconfirmedSince is since when the group's record has not been written in the present era
	// of the store; zero if it is.
	unconfirmedSince time.Time
	// outpacedRejectedAt is when a change for the reason Outpaced last could not begin;
	// zero for never.
	outpacedRejectedAt time.Time
}

// listing is a member as the store last listed it.
type listing struct {
	endpoint topology.Endpoint
	listedAt time.Time
}

// departure is a member that counts as having left the group, or the former start of a
// member that has started again, with the log that it may have lost.
type departure struct {
	listing
	// acknowledged is the newest position that was known to be acknowledged when the
	// member began to count as having left.
	acknowledged position.Position
	// ended is true if another instance had the member's address by then, or the member
	// had started again, which proves that the process has ended.
	ended bool
}

// coveredBy reports whether a record covers all commits that the member can have helped to
// acknowledge. A record that names another start of the member was written when it did.
func (d departure) coveredBy(r leadership.Record) bool {
	start := r.Member(d.endpoint.ID).StartedAt
	return r.Acknowledged.UpToDateWith(d.acknowledged) || (start != 0 && start != d.endpoint.StartedAt)
}

// noteListed records that members are listed now. They no longer count as departed, unless
// they have started again. Acknowledged is the newest position that is known to be
// acknowledged.
func (s *groupState) noteListed(listed []topology.Endpoint, acknowledged position.Position, now time.Time) {
	if s.members == nil {
		s.members = map[string]listing{}
	}
	for _, e := range listed {
		if d, ok := s.departed[e.ID]; ok && !e.Restarted(d.endpoint) {
			delete(s.departed, e.ID)
		}
		if earlier, ok := s.members[e.ID]; ok && e.Restarted(earlier.endpoint) {
			s.addDeparture(departure{listing: earlier, acknowledged: acknowledged, ended: true})
		}
		s.members[e.ID] = listing{endpoint: e, listedAt: now}
	}
}

// update records the listed members of a group. It moves members to the departed ones
// if they have not been listed for memberRetention, or if another instance has their
// address. Acknowledged is the newest position that is known to be acknowledged.
func (s *groupState) update(endpoints topology.Snapshot, group string, acknowledged position.Position, now time.Time) {
	s.noteListed(endpoints.Group(group), acknowledged, now)
	for id, m := range s.members {
		if m.listedAt.Equal(now) {
			continue
		}
		if now.Sub(m.listedAt) > memberRetention || endpoints.AddressReused(m.endpoint) {
			delete(s.members, id)
			s.noteDeparture(departure{listing: m, acknowledged: acknowledged, ended: endpoints.AddressReused(m.endpoint)}, endpoints.Group(group))
		}
	}
}

// noteDeparture adds a departed member, unless a listed member of its group has its
// address, and with it its log.
func (s *groupState) noteDeparture(d departure, listed []topology.Endpoint) {
	if slices.ContainsFunc(listed, func(e topology.Endpoint) bool { return e.Address == d.endpoint.Address }) {
		return
	}
	s.addDeparture(d)
}

// addDeparture adds a departed member, by its ID.
func (s *groupState) addDeparture(d departure) {
	if s.departed == nil {
		s.departed = map[string]departure{}
	}
	s.departed[d.endpoint.ID] = d
}

// forgetDeparted drops departed members that no change of primary needs any more:
// they are unlikely to be alive, and the record covers what was known to be acknowledged
// when they left.
func (s *groupState) forgetDeparted(record leadership.Record, now time.Time) {
	maps.DeleteFunc(s.departed, func(_ string, d departure) bool {
		return now.Sub(d.listedAt) >= departedProbeTime && d.coveredBy(record)
	})
}

// departedMembers returns the departed members of a group that may still be alive but
// cut off from the store, and that were listed within departedProbeTime.
func (ct *Controller) departedMembers(group string) []topology.Endpoint {
	ct.mutex.Lock()
	defer ct.mutex.Unlock()
	var found []topology.Endpoint
	if state, ok := ct.groups[group]; ok {
		for _, d := range state.departed {
			if !d.ended && ct.timer.Now().Sub(d.listedAt) < departedProbeTime {
				found = append(found, d.endpoint)
			}
		}
	}
	return found
}

// unrecordedDepartures returns the IDs of the departed members of a group that the record
// does not cover.
func (ct *Controller) unrecordedDepartures(group string, record leadership.Record) []string {
	ct.mutex.Lock()
	defer ct.mutex.Unlock()
	state, ok := ct.groups[group]
	if !ok {
		return nil
	}
	var ids []string
	for id, d := range state.departed {
		if !d.coveredBy(record) {
			ids = append(ids, id)
		}
	}
	return ids
}

// noteListed records the members of a group that are listed now, and forgets members
// whose address one of those has taken over.
func (ct *Controller) noteListed(group string, listed []topology.Endpoint) {
	ct.mutex.Lock()
	defer ct.mutex.Unlock()
	state, ok := ct.groups[group]
	if !ok {
		return
	}
	state.noteListed(listed, ct.table.Leader(group).Acknowledged.Position, ct.timer.Now())
	current := topology.New(listed...)
	for id, m := range state.members {
		if current.AddressReused(m.endpoint) {
			delete(state.members, id)
		}
	}
}

// noteNoCandidate records that no member's log holds all acknowledged commits.
func (ct *Controller) noteNoCandidate(group string) {
	ct.mutex.Lock()
	defer ct.mutex.Unlock()
	if state, ok := ct.groups[group]; ok && state.noCandidateSince.IsZero() {
		state.noCandidateSince = ct.timer.Now()
	}
}

// noCandidateFor returns for how long changes of primary have failed because no
// member's log holds all acknowledged commits; zero if none has.
func (ct *Controller) noCandidateFor(group string) time.Duration {
	ct.mutex.Lock()
	defer ct.mutex.Unlock()
	state, ok := ct.groups[group]
	if !ok || state.noCandidateSince.IsZero() {
		return 0
	}
	return ct.timer.Now().Sub(state.noCandidateSince)
}

// replicas returns the members of a group other than its primary. It includes members
// that were listed until recently, because they may hold commits that no other
// replica holds, and may still acknowledge more.
func (ct *Controller) replicas(group, primary string) []topology.Endpoint {
	ct.mutex.Lock()
	defer ct.mutex.Unlock()
	state, ok := ct.groups[group]
	if !ok {
		return nil
	}
	found := make([]topology.Endpoint, 0, len(state.members))
	for id, m := range state.members {
		if id != primary {
			found = append(found, m.endpoint)
		}
	}
	return found
}
