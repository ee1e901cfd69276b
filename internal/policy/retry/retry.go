// Package retry decides whether a request may be sent again.
package retry

import (
	"sync"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/class"
	"eelgrassladder.example/eelgrassladder/internal/model/request"
)

// The limits of retries.
const (
	// payingPatience is how long paying work is tried past its target; it is
	// longer than a change of owner and of primary together.
	payingPatience = 6 * time.Second
	// budgetShare is the part of recent successes that may be retries.
	budgetShare = 0.1
	// budgetFloor is how many retries are allowed whatever succeeds.
	budgetFloor = 10
	// budgetWindow is the time over which successes count.
	budgetWindow = 10 * time.Second
)

// Limit is how long a request of the class is tried.
func Limit(c class.Class) time.Duration {
	if c.Paying {
		return c.TargetLatency() + payingPatience
	}
	return c.TargetLatency()
}

// Allowed reports whether a request may be sent again after an answer. What was
// not sent, or was told that the group has moved, has not run. What has an
// unknown outcome may run again only if that does no harm.
func Allowed(c class.Class, r request.Request, a request.Answer, sent bool) bool {
	if !sent || a.Moved {
		return true
	}
	return a.Outcome == request.Unknown && (c.Idempotent || r.ReadOnly)
}

// Budget bounds retries of requests that may have run to a share of recent
// successes, so that an outage does not multiply load.
type Budget struct {
	// mutex guards the fields below. It is a leaf.
	mutex sync.Mutex
	// began is when the window began.
	began time.Time
	// succeeded and spent count in the window.
	succeeded int
	spent     int
}

// NewBudget returns a budget whose window begins now.
func NewBudget(now time.Time) *Budget { return &Budget{began: now} }

// Succeeded counts a request that needed no retry.
func (b *Budget) Succeeded(now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.turn(now)
	b.succeeded++
}

// Spend takes one retry from the budget, or reports that it is used up.
func (b *Budget) Spend(now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.turn(now)
	if float64(b.spent) >= budgetFloor+budgetShare*float64(b.succeeded) {
		return false
	}
	b.spent++
	return true
}

// turn begins a new window when the old one is over. The caller holds the
// mutex.
func (b *Budget) turn(now time.Time) {
	if now.Sub(b.began) < budgetWindow {
		return
	}
	b.began = now
	b.succeeded = 0
	b.spent = 0
}
