// Package retry decides whether a request may be sent again and bounds how
// many are.
package retry

import (
	"sync"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/class"
	"eelgrassladder.example/eelgrassladder/internal/model/request"
)

// Limits of retries.
const (
	// payingGrace is how long paying work is retried beyond its target. A
	// change of the group's owner and of its primary together take less.
	payingGrace = 6 * time.Second
	// budgetShare is the number of retries allowed per recent success.
	budgetShare = 0.1
	// minBudget is the number of retries that are always allowed in a window.
	minBudget = 10
	// budgetWindow is the length of the window in which successes are counted.
	budgetWindow = 10 * time.Second
)

// Limit returns how long a request of the class is retried.
func Limit(c class.Class) time.Duration {
	if c.Paying {
		return c.TargetLatency() + payingGrace
	}
	return c.TargetLatency()
}

// Allowed reports whether a request may be sent again after an answer. A
// request that was not sent, or that the receiver rejected because the group
// has moved, did not run. One whose outcome is unknown is sent again only if
// running it twice does no harm.
func Allowed(c class.Class, r request.Request, a request.Answer, sent bool) bool {
	if !sent || a.Moved {
		return true
	}
	return a.Outcome == request.Unknown && (c.Idempotent || r.ReadOnly)
}

// Budget bounds retries of requests that may have run to a share of recent
// successes, so that an outage does not multiply the load.
type Budget struct {
	// mutex guards the fields below. No other lock is taken while it is held.
	mutex       sync.Mutex
	windowStart time.Time
	// succeeded and retries count requests within the window.
	succeeded int
	retries   int
}

// NewBudget returns a budget whose window starts now.
func NewBudget(now time.Time) *Budget { return &Budget{windowStart: now} }

// Succeeded counts a request that needed no retry.
func (b *Budget) Succeeded(now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.rotate(now)
	b.succeeded++
}

// Spend takes one retry from the budget. It returns false if the budget is
// used up.
func (b *Budget) Spend(now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.rotate(now)
	if float64(b.retries) >= minBudget+budgetShare*float64(b.succeeded) {
		return false
	}
	b.retries++
	return true
}

// rotate starts a new window when the current one has ended. The caller holds
// the mutex.
func (b *Budget) rotate(now time.Time) {
	if now.Sub(b.windowStart) < budgetWindow {
		return
	}
	b.windowStart = now
	b.succeeded = 0
	b.retries = 0
}
