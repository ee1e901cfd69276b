package admission

import (
	"time"

	"eelgrassladder.example/eelgrassladder"
)

// maxQueueTime is how long work waits before it is refused.
const maxQueueTime = 10 * time.Second

// ArrivalOrder serves work in order of arrival, whoever sent it. Use it as the
// baseline that Targets is compared with.
type ArrivalOrder struct{}

// Before reports whether a arrived before b.
func (ArrivalOrder) Before(_ time.Time, a, b eelgrassladder.Waiting) bool {
	return a.Arrived.Before(b.Arrived)
}

// Admits lets any work take any free slot.
func (ArrivalOrder) Admits(_ eelgrassladder.Waiting, l eelgrassladder.Load) bool {
	return l.Paying+l.Free < l.Slots
}

// Arriving refuses nothing.
func (ArrivalOrder) Arriving(time.Time, eelgrassladder.Waiting, eelgrassladder.Load) eelgrassladder.Verdict {
	return eelgrassladder.Verdict{}
}

// Overdue refuses work that has waited longer than maxQueueTime.
func (ArrivalOrder) Overdue(now time.Time, w eelgrassladder.Waiting, _ eelgrassladder.Load) eelgrassladder.Verdict {
	return eelgrassladder.Verdict{Refuse: now.Sub(w.Arrived) > maxQueueTime, RetryAfter: minRetryAfter}
}
