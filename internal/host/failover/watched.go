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
	// memberTime is how long a member that is no longer listed counts as one
	// that may come back with its log. An entry lapses after three heartbeats
	// of 1.2 s, and crashed members are back within some seconds.
	memberTime = 12 * time.Second
	// lapsedTime is how long after it was last listed a member is still asked
	// whether it lives, before a change.
	lapsedTime = time.Minute
)

// watched is what the keeper remembers of a group.
type watched struct {
	// busy is true while a question or a change is under way.
	busy bool
	// refused is true if a change of the primary could not begin, and lacked
	// since when no member has held what is kept; zero if one does.
	refused bool
	lacked  time.Time
	// failed is when the primary last left a question of the keeper without
	// an answer.
	failed time.Time
	// primary is the primary that the times below are about.
	primary string
	// began is when the keeper first saw it.
	began time.Time
	// unlisted is since when the platform's list lacks it; zero if it does not.
	unlisted time.Time
	// members holds when each member was last listed.
	members map[string]sighting
	// left holds members that were forgotten, by ID.
	left map[string]missed
	// orphaned is since when the group has no primary; zero if it has one.
	orphaned time.Time
	// membership is how the listed members differ from the recorded, since
	// differs. While recording is true they are written to the record.
	membership policy.Membership
	differs    time.Time
	recording  bool
	// kept is when it was last found that another primary would not help.
	kept time.Time
}

// sighting is a member as the platform last listed it.
type sighting struct {
	endpoint topology.Endpoint
	at       time.Time
}

// missed is a member that has left, as far as this proxy knows.
type missed struct {
	sighting
	// kept is the position that was known to be kept when it was forgotten.
	kept position.Position
	// ended is true if another instance has its address.
	ended bool
}

// add notes members that are listed.
func (w *watched) add(listed []topology.Endpoint, now time.Time) {
	for _, e := range listed {
		delete(w.left, e.ID)
	}
	if w.members == nil {
		w.members = map[string]sighting{}
	}
	for _, e := range listed {
		w.members[e.ID] = sighting{endpoint: e, at: now}
	}
}

// see notes the members of a group that are listed. It forgets those that are
// gone for good: not listed for long, or replaced at their address.
func (w *watched) see(r topology.Snapshot, group string, kept position.Position, now time.Time) {
	w.add(r.Group(group), now)
	for id, s := range w.members {
		if s.at.Equal(now) {
			continue
		}
		if now.Sub(s.at) > memberTime || r.AddressReused(s.endpoint) {
			delete(w.members, id)
			w.miss(missed{sighting: s, kept: kept, ended: r.AddressReused(s.endpoint)}, r.Group(group))
		}
	}
}

// miss notes a member that has left, unless one of its group has taken its
// address and with it its log.
func (w *watched) miss(m missed, listed []topology.Endpoint) {
	if slices.ContainsFunc(listed, func(e topology.Endpoint) bool { return e.Address == m.endpoint.Address }) {
		return
	}
	if w.left == nil {
		w.left = map[string]missed{}
	}
	w.left[m.endpoint.ID] = m
}

// forget drops members that have left and need no longer be asked: they are not
// likely to live, and the record holds what was known to be kept.
func (w *watched) forget(recorded position.Position, now time.Time) {
	maps.DeleteFunc(w.left, func(_ string, m missed) bool {
		return now.Sub(m.at) >= lapsedTime && recorded.UpToDateWith(m.kept)
	})
}

// lapsed returns members of a group that were forgotten lately and may live on
// without an entry, cut off from the store.
func (k *Controller) lapsed(group string) []topology.Endpoint {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	var all []topology.Endpoint
	if w, ok := k.watched[group]; ok {
		for _, m := range w.left {
			if !m.ended && k.timer.Now().Sub(m.at) < lapsedTime {
				all = append(all, m.endpoint)
			}
		}
	}
	return all
}

// unrecorded returns the members of a group that have left since the position
// in its record was known.
func (k *Controller) unrecorded(group string, recorded position.Position) []string {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	w, ok := k.watched[group]
	if !ok {
		return nil
	}
	var left []string
	for id, m := range w.left {
		if !recorded.UpToDateWith(m.kept) {
			left = append(left, id)
		}
	}
	return left
}

// sight notes the members of a group that the store lists. It forgets those
// that were replaced at their address.
func (k *Controller) sight(group string, listed []topology.Endpoint) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	w, ok := k.watched[group]
	if !ok {
		return
	}
	w.add(listed, k.timer.Now())
	r := topology.New(listed...)
	for id, s := range w.members {
		if r.AddressReused(s.endpoint) {
			delete(w.members, id)
		}
	}
}

// lack notes that no member of a group holds what is kept, and lacked returns
// for how long that has been so.
func (k *Controller) lack(group string) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if w, ok := k.watched[group]; ok && w.lacked.IsZero() {
		w.lacked = k.timer.Now()
	}
}

func (k *Controller) lacked(group string) time.Duration {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	w, ok := k.watched[group]
	if !ok || w.lacked.IsZero() {
		return 0
	}
	return k.timer.Now().Sub(w.lacked)
}

// replicas returns the members of a group besides its primary, those included
// that were listed a moment ago: they may hold commits that no other replica
// holds, and may still acknowledge more.
func (k *Controller) replicas(group, primary string) []topology.Endpoint {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	w, ok := k.watched[group]
	if !ok {
		return nil
	}
	all := make([]topology.Endpoint, 0, len(w.members))
	for id, s := range w.members {
		if id != primary {
			all = append(all, s.endpoint)
		}
	}
	return all
}
