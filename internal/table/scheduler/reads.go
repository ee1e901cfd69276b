package scheduler

import (
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/route"
)

const (
	// readWindow is the window in which the reads of a group are counted.
	readWindow = 500 * time.Millisecond
	// minRefused is the minimum number of refused reads in a window for the
	// group to count as outpaced; fewer may be chance.
	minRefused = 3
	// For the group to count as outpaced, at least minRefusedShare of its reads
	// are refused, and replicas serve at most maxReplicaShare of them. A primary
	// that serves the reads alone refuses about a fifth of them.
	minRefusedShare = 0.1
	maxReplicaShare = 0.2
)

// readStats counts the reads of a group that replicas may serve, and remembers
// how long the group has been outpaced: how long its replicas have served
// almost none of them while its primary refused some. The table's mutex guards
// it.
type readStats struct {
	// windowStart is when the current window began. outpacedSince is the start
	// of the first of the consecutive windows in which the group was outpaced;
	// zero if it is not.
	windowStart, outpacedSince time.Time
	// replica and primary count the reads sent to either; refused counts the
	// reads that found no capacity.
	replica, primary, refused int
}

// startWindowIfEnded judges the current window and starts a new one if it has
// ended.
func (r *readStats) startWindowIfEnded(now time.Time) {
	if now.Sub(r.windowStart) < readWindow {
		return
	}
	total := float64(r.replica + r.primary + r.refused)
	outpaced := r.refused >= minRefused && float64(r.refused) >= minRefusedShare*total &&
		float64(r.replica) <= maxReplicaShare*total
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
	r.startWindowIfEnded(now)
	if primary {
		r.primary++
	} else {
		r.replica++
	}
}

// countRefused counts a read that was refused for lack of capacity.
func (r *readStats) countRefused(now time.Time) {
	r.startWindowIfEnded(now)
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
	r.startWindowIfEnded(now)
	if r.outpacedSince.IsZero() {
		return 0
	}
	return now.Sub(r.outpacedSince)
}
