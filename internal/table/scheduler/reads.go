package scheduler

import (
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/route"
)

const (
	// readWindow is the window in which the reads of a group are counted.
	readWindow = 500 * time.Millisecond
	// minRefused is the least number of refused reads in a window for the
	// group to count as outpaced; fewer may be chance.
	minRefused = 3
	// minRefusedShare and maxReplicaShare are the least share of a group's
	// reads that is refused and the largest share that replicas serve for the
	// group to count as outpaced. A primary that serves the reads alone
	// refuses about a fifth of them.
	minRefusedShare = 0.1
	maxReplicaShare = 0.2
)

// readStats counts the reads of a group that replicas may serve. The table's
// mutex guards it.
type readStats struct {
	// windowStart is when the current window began. outpacedSince is the start
	// of the first of the consecutive windows in which the group was outpaced;
	// zero if it is not.
	windowStart, outpacedSince time.Time
	// replica and primary count the reads sent to either; refused counts the
	// reads that found no capacity.
	replica, primary, refused int
}

// rotate starts a new window when the current one has ended.
func (r *readStats) rotate(now time.Time) {
	if now.Sub(r.windowStart) < readWindow {
		return
	}
	all := float64(r.replica + r.primary + r.refused)
	outpaced := r.refused >= minRefused && float64(r.refused) >= minRefusedShare*all &&
		float64(r.replica) <= maxReplicaShare*all
	switch {
	case !outpaced:
		r.outpacedSince = time.Time{}
	case r.outpacedSince.IsZero():
		r.outpacedSince = r.windowStart
	}
	*r = readStats{windowStart: now, outpacedSince: r.outpacedSince}
}

// countSent counts a read that was assigned an endpoint.
func (r *readStats) countSent(now time.Time, primary bool) {
	r.rotate(now)
	if primary {
		r.primary++
	} else {
		r.replica++
	}
}

// countRefused counts a read that was refused for lack of capacity.
func (r *readStats) countRefused(now time.Time) {
	r.rotate(now)
	r.refused++
}

// replicaEligible reports whether the job is a read that replicas may serve.
func (j *Job) replicaEligible() bool { return !j.Need.Write && j.Need.Consistency != route.Primary }

// OutpacedFor returns how long the replicas of a group have served almost none
// of its reads while the primary refused some; zero if that is not the case.
func (t *Table) OutpacedFor(name string) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	r := &t.group(name).reads
	now := t.timer.Now()
	r.rotate(now)
	if r.outpacedSince.IsZero() {
		return 0
	}
	return now.Sub(r.outpacedSince)
}
