package delegation

import (
	"sync"
	"time"
)

// maxDelay is how much later than usual a sweep may be without a sign that the process was
// paused: frozen, or kept from running by a limit of its processor time.
const maxDelay = 100 * time.Millisecond

// pauses estimates how long a message that is read now may have waited because the process was
// paused. The zero value knows of no pause.
type pauses struct {
	// mutex guards the fields below. No other lock is taken while it is held.
	mutex sync.Mutex
	// last is the time of the last sweep; zero before the first.
	last time.Time
	// resumed is when the last pause ended, and lasted how long it was.
	resumed time.Time
	lasted  time.Duration
}

// sweep records that the process runs.
func (p *pauses) sweep(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if d := now.Sub(p.last); !p.last.IsZero() && d > maxDelay {
		p.resumed, p.lasted = now, d
	}
	p.last = now
}

// delay returns how long a message that was read now may have waited.
func (p *pauses) delay(now time.Time) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if d := now.Sub(p.last); !p.last.IsZero() && d > maxDelay {
		return d // the first sweep after the pause is still to come
	}
	if now.Sub(p.resumed) <= maxDelay {
		return p.lasted
	}
	return 0
}
