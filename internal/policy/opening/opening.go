// Package opening decides when a proxy may open a connection to an endpoint. An opening holds a
// slot of the endpoint that a statement could use. If statements that wait for a slot open
// further connections, the openings take the slots from the statements and the overload outlasts
// its cause. So all proxies together open connections in a small part of an endpoint's slot time,
// whatever their statements wait for. The package does no I/O and knows no clock.
package opening

import "time"

const (
	// slotShare is the part of an endpoint's slot time that the openings of all proxies may take.
	slotShare = 0.25
	// burstTime is the time for which openings that follow one another at once may occupy all
	// slots of an endpoint.
	burstTime = 100 * time.Millisecond
	// An attempt that the endpoint refuses, or does not answer, multiplies the rate of openings by
	// failedFactor, down to minRate. An opened connection adds openedStep.
	failedFactor = 0.5
	openedStep   = 0.125
	minRate      = 0.125
	// refusedPause is the mean time without an opening after a refused attempt.
	refusedPause = 200 * time.Millisecond
)

// Limit is how often one proxy may open a connection to an endpoint. It is immutable. The zero
// value sets no limit.
type Limit struct {
	// interval is the mean time between two openings.
	interval time.Duration
	// burst is how many openings may follow one another at once.
	burst int
}

// NewLimit returns the limit of each of the proxies that open connections to an endpoint with
// slots. Proxies is their number, and opening the time for which one opening holds a slot.
func NewLimit(slots int, proxies float64, opening time.Duration) Limit {
	perSlot := proxies * float64(opening) / float64(max(slots, 1))
	return Limit{interval: time.Duration(perSlot / slotShare), burst: max(1, int(float64(burstTime)/max(perSlot, 1)))}
}

// Pace is the sequence of openings of one proxy at one endpoint. It is immutable. The zero value
// has no limit.
type Pace struct {
	limit Limit
	// reduction is the part by which the rate of openings is below the limit: zero for the whole
	// rate, and less than one.
	reduction float64
	// due is when the next opening would be due if the openings so far were spread evenly.
	due time.Time
	// pausedUntil is the end of the pause after a refused attempt.
	pausedUntil time.Time
}

// WithLimit returns the pace with another limit.
func (p Pace) WithLimit(l Limit) Pace {
	p.limit = l
	return p
}

// WithAttempt returns the pace after an attempt that begins now. Spread, from 0 to 1, differs
// between proxies and attempts, so that proxies that begin together do not go on together.
func (p Pace) WithAttempt(now time.Time, spread float64) Pace {
	if p.due.Before(now) {
		p.due = now
	}
	p.due = p.due.Add(spreadOut(p.interval(), spread))
	return p
}

// WithOpened returns the pace after an attempt that led to a connection.
func (p Pace) WithOpened() Pace {
	p.reduction = max(p.reduction-openedStep, 0)
	return p
}

// WithFailed returns the pace after an attempt that the endpoint did not answer. The endpoint may
// be down, so the next attempt is not delayed by more than the rate.
func (p Pace) WithFailed() Pace {
	p.reduction = 1 - max((1-p.reduction)*failedFactor, minRate)
	return p
}

// WithRefused returns the pace after an attempt that the endpoint refused for lack of a slot or of
// connections. Spread is as that of WithAttempt.
func (p Pace) WithRefused(now time.Time, spread float64) Pace {
	p = p.WithFailed()
	p.pausedUntil = now.Add(spreadOut(refusedPause, spread))
	return p
}

// PausedUntil returns the end of the pause after a refused attempt.
func (p Pace) PausedUntil() time.Time { return p.pausedUntil }

// Next returns when the next connection may be opened.
func (p Pace) Next() time.Time {
	next := p.due.Add(-time.Duration(max(p.limit.burst-1, 0)) * p.limit.interval)
	if next.Before(p.pausedUntil) {
		return p.pausedUntil
	}
	return next
}

// interval returns the mean time between two openings at the present rate.
func (p Pace) interval() time.Duration {
	return time.Duration(float64(p.limit.interval) / (1 - p.reduction))
}

// spreadOut returns a time between half and one and a half of d.
func spreadOut(d time.Duration, spread float64) time.Duration {
	return time.Duration(float64(d) * (0.5 + spread))
}
