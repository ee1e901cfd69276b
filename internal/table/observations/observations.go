// Package observations is the table of the observations of the members of one
// group.
package observations

import (
	"slices"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/group"
	"eelgrassladder.example/eelgrassladder/internal/table/lockrank"
)

// maxHistoryLength is the maximum number of entries in the history.
const maxHistoryLength = 4096

// minHistorySpacing is the minimum time between two entries of the history. Half
// of a full history is dropped at once; the rest covers at least 10 seconds.
const minHistorySpacing = 5 * time.Millisecond

// historyEntry is a log index that the primary's log had not passed at a time.
type historyEntry struct {
	at    time.Time
	index uint64
}

// Table holds the latest observation of each member of one group. The rank of
// its mutex is lockrank.Observations.
type Table struct {
	mutex *lockrank.Mutex
	// observations is keyed by the name of the member.
	observations map[string]group.Observation
	// history holds indexes of the primary's log, the oldest first.
	history []historyEntry
}

// New returns a table for the members of a group.
func New(g group.Group) *Table {
	t := &Table{mutex: lockrank.New(lockrank.Observations), observations: map[string]group.Observation{}}
	t.SetMembers(g)
	return t
}

// SetMembers sets the members to those that the platform now lists, and drops
// the observations of others.
func (t *Table) SetMembers(g group.Group) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, m := range g.Members {
		t.observations[m.Name] = t.observations[m.Name].WithMember(m)
	}
	for name := range t.observations {
		if _, ok := g.Member(name); !ok {
			delete(t.observations, name)
		}
	}
}

// Answered records a member's answer to a probe.
func (t *Table) Answered(name string, p group.Progress, at time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if o, ok := t.observations[name]; ok {
		t.observations[name] = o.WithProgress(p, at)
	}
}

// Failed records a failed probe of a member.
func (t *Table) Failed(name string, at time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if o, ok := t.observations[name]; ok {
		t.observations[name] = o.WithFailure(at)
	}
}

// RecordPrimaryLog records that the primary's log had not passed the index at
// the given time, such as the time when the request was sent that returned the
// index. A read that sees the index therefore sees all that the log held at that
// time.
func (t *Table) RecordPrimaryLog(index uint64, at time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	length := len(t.history)
	if length > 0 && at.Sub(t.history[length-1].at) < minHistorySpacing {
		return
	}
	if length == maxHistoryLength {
		t.history = slices.Delete(t.history, 0, maxHistoryLength/2)
	}
	t.history = append(t.history, historyEntry{at: at, index: index})
}

// ResetHistory drops the history, because the group has a new primary.
func (t *Table) ResetHistory() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.history = nil
}

// Staleness returns how old the data may be that a read at the index sees: the
// time since the primary's log was last known not to have passed the index. It
// returns false if the history does not reach back so far.
func (t *Table) Staleness(index uint64, now time.Time) (time.Duration, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for i := len(t.history) - 1; i >= 0; i-- {
		if t.history[i].index <= index {
			return now.Sub(t.history[i].at), true
		}
	}
	return 0, false
}

// All returns the observations in order of the members' names.
func (t *Table) All() []group.Observation {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	sorted := make([]group.Observation, 0, len(t.observations))
	for _, o := range t.observations {
		sorted = append(sorted, o)
	}
	slices.SortFunc(sorted, func(a, b group.Observation) int {
		if a.Member.Name < b.Member.Name {
			return -1
		}
		return 1
	})
	return sorted
}

// Member returns the observation of a member, and false if there is none.
func (t *Table) Member(name string) (group.Observation, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	o, ok := t.observations[name]
	return o, ok
}
