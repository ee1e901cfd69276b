// Package observations is the table of the observed members of one group.
package observations

import (
	"slices"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/group"
	"eelgrassladder.example/eelgrassladder/internal/table/lockrank"
)

// historyLength is how many places of the primary's log are remembered.
const historyLength = 4096

// historySpacing is the least time between two remembered places, so that the
// history reaches back at least 20 seconds.
const historySpacing = 5 * time.Millisecond

// mark is a place that the primary's log had reached at a time.
type mark struct {
	at    time.Time
	place uint64
}

// Table holds what is known of each member of one group. Its rank is
// Endpoints.
type Table struct {
	mutex *lockrank.Mutex
	// observed is keyed by the name of the member.
	observed map[string]group.Observation
	// history holds places of the primary's log in order of time.
	history []mark
}

// New returns a table for the members of a group.
func New(g group.Group) *Table {
	t := &Table{mutex: lockrank.New(lockrank.Observations), observed: map[string]group.Observation{}}
	t.SetMembers(g)
	return t
}

// SetMembers takes the members as the platform now describes them.
func (t *Table) SetMembers(g group.Group) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, m := range g.Members {
		t.observed[m.Name] = t.observed[m.Name].WithMember(m)
	}
	for name := range t.observed {
		if _, ok := g.Member(name); !ok {
			delete(t.observed, name)
		}
	}
}

// Answered records an answer of a member.
func (t *Table) Answered(name string, p group.Progress, at time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if o, ok := t.observed[name]; ok {
		t.observed[name] = o.WithProgress(p, at)
	}
}

// Failed records a failed probe of a member.
func (t *Table) Failed(name string, at time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if o, ok := t.observed[name]; ok {
		t.observed[name] = o.WithFailure(at)
	}
}

// RecordPrimaryLog records a place of the primary's log. The place was reached at the
// time or before, and reads that see it are no older than the time.
func (t *Table) RecordPrimaryLog(place uint64, at time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	n := len(t.history)
	if n > 0 && at.Sub(t.history[n-1].at) < historySpacing {
		return
	}
	if n == historyLength {
		t.history = slices.Delete(t.history, 0, historyLength/2)
	}
	t.history = append(t.history, mark{at: at, place: place})
}

// ResetHistory drops the history, because the group has a new primary.
func (t *Table) ResetHistory() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.history = nil
}

// Staleness returns how old the newest data may be that a reader at the place sees:
// the time since the primary's log was last known not to have passed it.
func (t *Table) Staleness(place uint64, now time.Time) (time.Duration, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for i := len(t.history) - 1; i >= 0; i-- {
		if t.history[i].place <= place {
			return now.Sub(t.history[i].at), true
		}
	}
	return 0, false
}

// All returns the observations in order of name.
func (t *Table) All() []group.Observation {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	all := make([]group.Observation, 0, len(t.observed))
	for _, o := range t.observed {
		all = append(all, o)
	}
	slices.SortFunc(all, func(a, b group.Observation) int {
		if a.Member.Name < b.Member.Name {
			return -1
		}
		return 1
	})
	return all
}

// Member returns the observation of a member.
func (t *Table) Member(name string) (group.Observation, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	o, ok := t.observed[name]
	return o, ok
}
