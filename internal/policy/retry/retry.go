// Package retry decides whether a request may be sent again, and bounds the
// number of retries.
package retry

import (
	"sync"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/class"
	"eelgrassladder.example/eelgrassladder/internal/model/request"
)

// Limits of retries.
const (
	// payingGrace is how long beyond its target paying work is retried. A change
	// of the group's owner and one of its primary together take less.
	payingGrace = 6 * time.Second
	// budgetShare is the number of retries allowed for each request in the window
	// that was not sent again.
	budgetShare = 0.1
	// minBudget is the number of retries that are always allowed in a
	// window.
	minBudget = 10
	// budgetWindow is the length of the window in which requests and their
	// retries are counted.
	budgetWindow = 10 * time.Second
)

// Limit returns how long after its arrival a request of the class is retried.
func Limit(c class.Class) time.Duration {
	if c.Paying {
		return c.TargetLatency() + payingGrace
	}
	return c.TargetLatency()
}

// Allowed reports whether a request may be sent again after an answer; sent is
// false if it never left this proxy. A request that was not sent, or that the
// receiver rejected because the group has moved, did not run. One whose outcome
// is unknown is sent again only if running it twice does no harm.
func Allowed(c class.Class, r request.Request, a request.Answer, sent bool) bool {
	if !sent || a.Moved {
		return true
	}
	return a.Outcome == request.Unknown && (c.Idempotent || r.ReadOnly)
}

// Budget bounds the retries of requests that may have run to a share of the
// requests that were recently not sent again, so that an outage does not
// multiply the load.
type Budget struct {
	// mutex guards the fields below. No other lock is taken while it is held.
	mutex       sync.Mutex
	windowStart time.Time
	// final counts the requests in the window that were not sent again, and retries
	// the retries.
	final   int
	retries int
}

// NewBudget returns a budget whose window starts now.
func NewBudget(now time.Time) *Budget { return &Budget{windowStart: now} }

// CountFinal counts a request that is not sent again. The share of retries is
// measured against these.
func (b *Budget) CountFinal(now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.startWindowIfEnded(now)
	b.final++
}

// Spend takes one retry from the budget. It returns false if the budget is
// used up.
func (b *Budget) Spend(now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.startWindowIfEnded(now)
	if float64(b.retries) >= minBudget+budgetShare*float64(b.final) {
		return false
	}
	b.retries++
	return true
}

// startWindowIfEnded starts a new window if the current one has ended. The
// caller holds the mutex.
func (b *Budget) startWindowIfEnded(now time.Time) {
	if now.Sub(b.windowStart) < budgetWindow {
		return
	}
	b.windowStart = now
	b.final = 0
	b.retries = 0
}
