package work

import (
	"time"

	"eelgrassladder.example/eelgrassladder/internal/trade/route"
)

const (
	// pressureWindow is the time over which the reads of a group are counted.
	readWindow = 500 * time.Millisecond
	// leastRefused is how many refused reads in a window show more than chance.
	minRefused = 3
	// refusedShare and replicaShare are the parts of a group's reads that must
	// be refused, and that replicas may serve, for it to be outpaced: a primary
	// that is alone with its reads refuses about a fifth of them.
	minRefusedShare = 0.1
	maxReplicaShare = 0.2
)

// pressure counts the reads of a group that replicas may serve. The table's
// lock guards it.
type readStats struct {
	// began is when the window began, and since when its group has been
	// outpaced in each window; zero if it is not.
	windowStart, outpacedSince time.Time
	// replica and primary count reads sent there, and refused those that found
	// no capacity.
	replica, primary, refused int
}

// turn begins a new window once the present one has ended.
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

// sent notes a read that was given an endpoint.
func (r *readStats) countSent(now time.Time, primary bool) {
	r.rotate(now)
	if primary {
		r.primary++
	} else {
		r.replica++
	}
}

// refuse notes a read that was refused for want of capacity.
func (r *readStats) countRefused(now time.Time) {
	r.rotate(now)
	r.refused++
}

// counts reports whether a job is a read that replicas may serve.
func (j *Job) replicaEligible() bool { return !j.Need.Write && j.Need.Consistency != route.Primary }

// Outpaced returns for how long the replicas of a group have served almost
// none of its reads, and the primary not all of them; zero if that is not so.
func (t *Table) Outpaced(name string) time.Duration {
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
