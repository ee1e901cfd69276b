package soak

import (
	"slices"
	"sync"
	"time"
)

// The bounds of the binding rule: in any time of quotaWindow, at most (rate x window + burst)
// x (1 + quotaOverrun) + quotaSlack operations of a team run. The users' platform calls them
// quota-window-s, quota-overrun and quota-slack.
const (
	quotaWindow  = 5 * time.Second
	quotaOverrun = 0.1
	quotaSlack   = 20
)

// operations holds the operations that members ran.
type operations struct {
	// mutex guards the fields below. No other lock is taken while it is held.
	mutex sync.Mutex
	// callers holds the team for which members ran each operation.
	callers map[uint64]string
	// times holds when the operations of each team ran first.
	times map[string][]time.Time
}

// note notes a statement of an operation that a member runs for a team. It returns the team
// for which an earlier statement of the operation ran, or the same one.
func (o *operations) note(operation uint64, caller string, at time.Time) string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.callers == nil {
		o.callers, o.times = map[uint64]string{}, map[string][]time.Time{}
	}
	if first, ok := o.callers[operation]; ok {
		return first
	}
	o.callers[operation] = caller
	o.times[caller] = append(o.times[caller], at)
	return caller
}

// byTeam returns when the operations of each team ran first, in this order.
func (o *operations) byTeam() map[string][]time.Time {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	sorted := map[string][]time.Time{}
	for team, times := range o.times {
		sorted[team] = slices.SortedFunc(slices.Values(times), time.Time.Compare)
	}
	return sorted
}

// overrun is a time in which more operations of a team ran than may. It is immutable.
type overrun struct {
	end   time.Time
	count int
	limit float64
}

// findOverrun returns the worst overrun of a team whose operations ran at the times, which are
// ordered. limitIn returns the highest limit that may bind the team between two times. It
// reports false if there is none.
func findOverrun(times []time.Time, limitIn func(from, to time.Time) float64) (overrun, bool) {
	worst, found := overrun{}, false
	first := 0
	for i, end := range times {
		for !times[first].After(end.Add(-quotaWindow)) {
			first++
		}
		count := i - first + 1
		if count <= quotaSlack {
			continue // every limit allows it
		}
		limit := limitIn(end.Add(-quotaWindow), end)
		if excess := float64(count) - limit; excess > 0 && (!found || excess > float64(worst.count)-worst.limit) {
			worst, found = overrun{end: end, count: count, limit: limit}, true
		}
	}
	return worst, found
}

// limitIn returns the highest number of operations of a team that may run between two times,
// which are quotaWindow apart.
func (v *versions) limitIn(team string, from, to time.Time, learned learner) float64 {
	highest := 0.0
	all := v.all()
	for i := range all {
		t := all[i].team(team)
		limit := (t.Rate*quotaWindow.Seconds()+t.Burst)*(1+quotaOverrun) + quotaSlack
		if limit > highest && mayApply(all, i, from, to, learned) {
			highest = limit
		}
	}
	return highest
}

// checkQuotas reports each team of which more operations ran than may. A lower limit binds
// in times that begin once all proxies know it.
func (r *runner) checkQuotas() {
	known := map[time.Time]time.Time{}
	learned := func(acknowledged time.Time) time.Time {
		if _, ok := known[acknowledged]; !ok {
			known[acknowledged] = r.spans.learnedByAll(acknowledged)
		}
		return known[acknowledged]
	}
	for team, times := range r.operations.byTeam() {
		worst, found := findOverrun(times, func(from, to time.Time) float64 { return r.versions.limitIn(team, from, to, learned) })
		if found {
			r.recordViolation("%d operations of %s ran within %v up to %s, the limit is %.1f", worst.count, team, quotaWindow, worst.end.Format(logTime), worst.limit)
		}
	}
}
