package admission

import (
	"time"

	"eelgrassladder.example/eelgrassladder"
)

// arrivalPatience is how long work waits in order of arrival.
const arrivalPatience = 10 * time.Second

// ArrivalOrder serves work in the order in which it came, whoever sent it.
// Use it as the baseline that Targets is compared with.
type ArrivalOrder struct{}

// Before puts the earlier arrival first.
func (ArrivalOrder) Before(_ time.Time, a, b eelgrassladder.QueuedRequest) bool {
	return a.Arrived.Before(b.Arrived)
}

// Admits lets any work take any free slot.
func (ArrivalOrder) Admits(_ eelgrassladder.QueuedRequest, l eelgrassladder.MemberLoad) bool {
	return l.PayingInUse+l.FreeInUse < l.Slots
}

// OnArrival refuses nothing.
func (ArrivalOrder) OnArrival(time.Time, eelgrassladder.QueuedRequest, eelgrassladder.MemberLoad) eelgrassladder.Decision {
	return eelgrassladder.Decision{}
}

// WhileQueued refuses work that has waited very long.
func (ArrivalOrder) WhileQueued(now time.Time, w eelgrassladder.QueuedRequest, _ eelgrassladder.MemberLoad) eelgrassladder.Decision {
	return eelgrassladder.Decision{Refuse: now.Sub(w.Arrived) > arrivalPatience, RetryAfter: minRetryAfter}
}
