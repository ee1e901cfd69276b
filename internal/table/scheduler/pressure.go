package scheduler

import (
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/route"
)

const (
	// pressureWindow is the time over which the reads of a group are counted.
	pressureWindow = 500 * time.Millisecond
	// leastRefused is how many refused reads in a window show more than chance.
	leastRefused = 3
	// refusedShare and replicaShare are the parts of a group's reads that must
	// be refused, and that replicas may serve, for it to be outpaced: a primary
	// that is alone with its reads refuses about a fifth of them.
	refusedShare = 0.1
	replicaShare = 0.2
)

// pressure counts the reads of a group that replicas may serve. The table's
// lock guards it.
type pressure struct {
	// began is when the window began, and since when its group has been
	// outpaced in each window; zero if it is not.
	began, since time.Time
	// replica and primary count reads sent there, and refused those that found
	// no capacity.
	replica, primary, refused int
}

// turn begins a new window once the present one has ended.
func (p *pressure) turn(now time.Time) {
	if now.Sub(p.began) < pressureWindow {
		return
	}
	all := float64(p.replica + p.primary + p.refused)
	outpaced := p.refused >= leastRefused && float64(p.refused) >= refusedShare*all &&
		float64(p.replica) <= replicaShare*all
	switch {
	case !outpaced:
		p.since = time.Time{}
	case p.since.IsZero():
		p.since = p.began
	}
	*p = pressure{began: now, since: p.since}
}

// sent notes a read that was given an endpoint.
func (p *pressure) sent(now time.Time, primary bool) {
	p.turn(now)
	if primary {
		p.primary++
	} else {
		p.replica++
	}
}

// refuse notes a read that was refused for want of capacity.
func (p *pressure) refuse(now time.Time) {
	p.turn(now)
	p.refused++
}

// counts reports whether a job is a read that replicas may serve.
func (j *Job) counts() bool { return !j.Need.Write && j.Need.Consistency != route.Primary }

// OutpacedFor returns for how long the replicas of a group have served almost
// none of its reads, and the primary not all of them; zero if that is not so.
func (t *Table) OutpacedFor(name string) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	p := &t.group(name).pressure
	now := t.timer.Now()
	p.turn(now)
	if p.since.IsZero() {
		return 0
	}
	return now.Sub(p.since)
}
