package admission

import (
	"time"

	"eelgrassladder.example/eelgrassladder"
)

// maxQueueTime is how long a request waits in ArrivalOrder before it is
// refused.
const maxQueueTime = 10 * time.Second

// ArrivalOrder serves work in order of arrival, whoever sent it. Use it as the
// baseline that Targets is compared with.
type ArrivalOrder struct{}

// Before reports whether a arrived before b.
func (ArrivalOrder) Before(_ time.Time, a, b eelgrassladder.QueuedRequest) bool {
	return a.Arrived.Before(b.Arrived)
}

// Admits lets any work take any unused slot.
func (ArrivalOrder) Admits(_ eelgrassladder.QueuedRequest, l eelgrassladder.MemberLoad) bool {
	return l.PayingInUse+l.FreeInUse < l.Slots
}

// OnArrival refuses nothing.
func (ArrivalOrder) OnArrival(time.Time, eelgrassladder.QueuedRequest, eelgrassladder.MemberLoad) eelgrassladder.Decision {
	return eelgrassladder.Decision{}
}

// WhileQueued refuses work that has waited longer than maxQueueTime.
func (ArrivalOrder) WhileQueued(now time.Time, r eelgrassladder.QueuedRequest, _ eelgrassladder.MemberLoad) eelgrassladder.Decision {
	return eelgrassladder.Decision{Refuse: now.Sub(r.Arrived) > maxQueueTime, RetryAfter: minRetryAfter}
}
