package succession

import (
	"maps"
	"slices"
	"time"

	policy "eelgrassladder.example/eelgrassladder/internal/policy/succession"
	"eelgrassladder.example/eelgrassladder/internal/trade/position"
	"eelgrassladder.example/eelgrassladder/internal/trade/roster"
)

const (
	// memberTime is how long a member that is no longer listed counts as one
	// that may come back with its log. An entry lapses after three heartbeats
	// of 1.2 s, and crashed members are back within some seconds.
	memberRetention = 12 * time.Second
	// lapsedTime is how long after it was last listed a member is still asked
	// whether it lives, before a change.
	departedProbeTime = time.Minute
)

// watched is what the keeper remembers of a group.
type groupState struct {
	// busy is true while a question or a change is under way.
	busy bool
	// refused is true if a change of the primary could not begin, and lacked
	// since when no member has held what is kept; zero if one does.
	refused      bool
	lackingSince time.Time
	// failed is when the primary last left a question of the keeper without
	// an answer.
	probeFailedAt time.Time
	// primary is the primary that the times below are about.
	primary string
	// began is when the keeper first saw it.
	primarySince time.Time
	// unlisted is since when the platform's list lacks it; zero if it does not.
	unlistedSince time.Time
	// members holds when each member was last listed.
	members map[string]listing
	// left holds members that were forgotten, by ID.
	departed map[string]departure
	// orphaned is since when the group has no primary; zero if it has one.
	orphanedSince time.Time
	// membership is how the listed members differ from the recorded, since
	// differs. While recording is true they are written to the record.
	membership   policy.Membership
	differsSince time.Time
	recording    bool
	// kept is when it was last found that another primary would not help.
	outpacedRejectedAt time.Time
}

// sighting is a member as the platform last listed it.
type listing struct {
	endpoint roster.Endpoint
	at       time.Time
}

// missed is a member that has left, as far as this proxy knows.
type departure struct {
	listing
	// kept is the position that was known to be kept when it was forgotten.
	acknowledged position.Position
	// ended is true if another instance has its address.
	ended bool
}

// add notes members that are listed.
func (s *groupState) noteListed(listed []roster.Endpoint, now time.Time) {
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

// see notes the members of a group that are listed. It forgets those that are
// gone for good: not listed for long, or replaced at their address.
func (s *groupState) update(endpoints roster.Roster, group string, acknowledged position.Position, now time.Time) {
	s.noteListed(endpoints.Group(group), now)
	for id, m := range s.members {
		if m.at.Equal(now) {
			continue
		}
		if now.Sub(m.at) > memberRetention || endpoints.Replaced(m.endpoint) {
			delete(s.members, id)
			s.noteDeparture(departure{listing: m, acknowledged: acknowledged, ended: endpoints.Replaced(m.endpoint)}, endpoints.Group(group))
		}
	}
}

// miss notes a member that has left, unless one of its group has taken its
// address and with it its log.
func (s *groupState) noteDeparture(d departure, listed []roster.Endpoint) {
	if slices.ContainsFunc(listed, func(e roster.Endpoint) bool { return e.Address == d.endpoint.Address }) {
		return
	}
	if s.departed == nil {
		s.departed = map[string]departure{}
	}
	s.departed[d.endpoint.ID] = d
}

// forget drops members that have left and need no longer be asked: they are not
// likely to live, and the record holds what was known to be kept.
func (s *groupState) forgetDeparted(recorded position.Position, now time.Time) {
	maps.DeleteFunc(s.departed, func(_ string, d departure) bool {
		return now.Sub(d.at) >= departedProbeTime && recorded.Holds(d.acknowledged)
	})
}

// lapsed returns members of a group that were forgotten lately and may live on
// without an entry, cut off from the store.
func (k *Keeper) departedMembers(group string) []roster.Endpoint {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	var all []roster.Endpoint
	if state, ok := k.groups[group]; ok {
		for _, d := range state.departed {
			if !d.ended && k.timer.Now().Sub(d.at) < departedProbeTime {
				all = append(all, d.endpoint)
			}
		}
	}
	return all
}

// unrecorded returns the members of a group that have left since the position
// in its record was known.
func (k *Keeper) unrecordedDepartures(group string, recorded position.Position) []string {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	state, ok := k.groups[group]
	if !ok {
		return nil
	}
	var left []string
	for id, d := range state.departed {
		if !recorded.Holds(d.acknowledged) {
			left = append(left, id)
		}
	}
	return left
}

// sight notes the members of a group that the store lists. It forgets those
// that were replaced at their address.
func (k *Keeper) noteListed(group string, listed []roster.Endpoint) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	state, ok := k.groups[group]
	if !ok {
		return
	}
	state.noteListed(listed, k.timer.Now())
	current := roster.New(listed...)
	for id, m := range state.members {
		if current.Replaced(m.endpoint) {
			delete(state.members, id)
		}
	}
}

// lack notes that no member of a group holds what is kept, and lacked returns
// for how long that has been so.
func (k *Keeper) noteLacking(group string) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if state, ok := k.groups[group]; ok && state.lackingSince.IsZero() {
		state.lackingSince = k.timer.Now()
	}
}

func (k *Keeper) lackingFor(group string) time.Duration {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	state, ok := k.groups[group]
	if !ok || state.lackingSince.IsZero() {
		return 0
	}
	return k.timer.Now().Sub(state.lackingSince)
}

// replicas returns the members of a group besides its primary, those included
// that were listed a moment ago: they may hold commits that no other replica
// holds, and may still acknowledge more.
func (k *Keeper) replicas(group, primary string) []roster.Endpoint {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	state, ok := k.groups[group]
	if !ok {
		return nil
	}
	all := make([]roster.Endpoint, 0, len(state.members))
	for id, m := range state.members {
		if id != primary {
			all = append(all, m.endpoint)
		}
	}
	return all
}
