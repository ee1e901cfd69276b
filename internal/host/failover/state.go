package failover

import (
	"maps"
	"slices"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
	policy "eelgrassladder.example/eelgrassladder/internal/policy/failover"
)

const (
	// memberRetention is how long an unlisted member still counts as a member that
	// may come back with its log. The store removes an entry after three missed
	// heartbeats of 1.2 s each, and crashed members are back within a few seconds.
	memberRetention = 12 * time.Second
	// departedProbeTime is how long after its last listing a departed member is
	// still asked, before a change of primary, whether it is alive.
	departedProbeTime = time.Minute
)

// groupState is what the controller remembers of a group.
type groupState struct {
	// busy is true while a probe or a change of primary is under way.
	busy bool
	// refused is true if the last change of primary could not begin.
	refused bool
	// lackingSince is since when no member's log has held all acknowledged commits;
	// zero if one does.
	lackingSince time.Time
	// probeFailedAt is when the primary last failed to answer a probe; zero for
	// never.
	probeFailedAt time.Time
	// primary is the ID of the primary that the times of this struct are about.
	primary string
	// primarySince is when primary was first seen to lead.
	primarySince time.Time
	// unlistedSince is since when the platform has not listed the primary; zero
	// while it does.
	unlistedSince time.Time
	// members holds the last listing of each member, by ID.
	members map[string]listing
	// departed holds former members, by ID.
	departed map[string]departure
	// orphanedSince is since when the group has had no primary; zero if it has one.
	orphanedSince time.Time
	// membership is how the listed members differ from the recorded ones, and
	// differsSince since when. While recording is true, a task writes the listed
	// members to the record.
	membership   policy.MemberDiff
	differsSince time.Time
	recording    bool
	// outpacedRejectedAt is when a change of an outpaced primary was last found to
	// be of no use; zero for never.
	outpacedRejectedAt time.Time
}

// listing is a member as the platform last listed it.
type listing struct {
	endpoint topology.Endpoint
	at       time.Time
}

// departure is a member that has left the group, as far as this proxy knows.
type departure struct {
	listing
	// acknowledged is the position that was known to be acknowledged when the
	// departure was noted.
	acknowledged position.Position
	// ended is true if another instance has the member's address, which proves that
	// the member has ended.
	ended bool
}

// noteListed notes members that the store lists now.
func (s *groupState) noteListed(listed []topology.Endpoint, now time.Time) {
	for _, e := range listed {
		delete(s.departed, e.ID)
	}
	if s.members == nil {
		s.members = map[string]listing{}
	}
	for _, e := range listed {
		s.members[e.ID] = listing{endpoint: e, at: now}
	}
}

// update notes the listed members of a group, and moves members that are gone for
// good to the departed ones: they have not been listed for memberRetention, or
// another instance has their address. The position is the acknowledged one.
func (s *groupState) update(endpoints topology.Snapshot, group string, acknowledged position.Position, now time.Time) {
	s.noteListed(endpoints.Group(group), now)
	for id, m := range s.members {
		if m.at.Equal(now) {
			continue
		}
		if now.Sub(m.at) > memberRetention || endpoints.AddressReused(m.endpoint) {
			delete(s.members, id)
			s.noteDeparture(departure{listing: m, acknowledged: acknowledged, ended: endpoints.AddressReused(m.endpoint)}, endpoints.Group(group))
		}
	}
}

// noteDeparture notes a member that has left, unless a listed member of its group
// has taken over its address and with it its log.
func (s *groupState) noteDeparture(d departure, listed []topology.Endpoint) {
	if slices.ContainsFunc(listed, func(e topology.Endpoint) bool { return e.Address == d.endpoint.Address }) {
		return
	}
	if s.departed == nil {
		s.departed = map[string]departure{}
	}
	s.departed[d.endpoint.ID] = d
}

// forgetDeparted drops departed members that no change of primary needs any more:
// they are unlikely to be alive, and the position in the record covers what was
// known to be acknowledged when they left.
func (s *groupState) forgetDeparted(recorded position.Position, now time.Time) {
	maps.DeleteFunc(s.departed, func(_ string, d departure) bool {
		return now.Sub(d.at) >= departedProbeTime && recorded.UpToDateWith(d.acknowledged)
	})
}

// departedMembers returns the recently departed members of a group that may still
// be alive, cut off from the store.
func (ct *Controller) departedMembers(group string) []topology.Endpoint {
	ct.mutex.Lock()
	defer ct.mutex.Unlock()
	var all []topology.Endpoint
	if state, ok := ct.groups[group]; ok {
		for _, d := range state.departed {
			if !d.ended && ct.timer.Now().Sub(d.at) < departedProbeTime {
				all = append(all, d.endpoint)
			}
		}
	}
	return all
}

// unrecordedDepartures returns the IDs of members of a group that left after the
// position in its record became known.
func (ct *Controller) unrecordedDepartures(group string, recorded position.Position) []string {
	ct.mutex.Lock()
	defer ct.mutex.Unlock()
	state, ok := ct.groups[group]
	if !ok {
		return nil
	}
	var left []string
	for id, d := range state.departed {
		if !recorded.UpToDateWith(d.acknowledged) {
			left = append(left, id)
		}
	}
	return left
}

// noteListed notes the members of a group that the store lists now, and forgets
// members whose address another of them has taken over.
func (ct *Controller) noteListed(group string, listed []topology.Endpoint) {
	ct.mutex.Lock()
	defer ct.mutex.Unlock()
	state, ok := ct.groups[group]
	if !ok {
		return
	}
	state.noteListed(listed, ct.timer.Now())
	current := topology.New(listed...)
	for id, m := range state.members {
		if current.AddressReused(m.endpoint) {
			delete(state.members, id)
		}
	}
}

// noteLacking notes that no member's log holds all acknowledged commits.
func (ct *Controller) noteLacking(group string) {
	ct.mutex.Lock()
	defer ct.mutex.Unlock()
	if state, ok := ct.groups[group]; ok && state.lackingSince.IsZero() {
		state.lackingSince = ct.timer.Now()
	}
}

// lackingFor returns for how long no member's log has held all acknowledged
// commits; zero if one does.
func (ct *Controller) lackingFor(group string) time.Duration {
	ct.mutex.Lock()
	defer ct.mutex.Unlock()
	state, ok := ct.groups[group]
	if !ok || state.lackingSince.IsZero() {
		return 0
	}
	return ct.timer.Now().Sub(state.lackingSince)
}

// replicas returns the members of a group besides its primary. It includes members
// that were listed until recently, because they may hold commits that no other
// replica holds, and may still acknowledge more.
func (ct *Controller) replicas(group, primary string) []topology.Endpoint {
	ct.mutex.Lock()
	defer ct.mutex.Unlock()
	state, ok := ct.groups[group]
	if !ok {
		return nil
	}
	all := make([]topology.Endpoint, 0, len(state.members))
	for id, m := range state.members {
		if id != primary {
			all = append(all, m.endpoint)
		}
	}
	return all
}
