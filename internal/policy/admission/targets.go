// Package admission decides which request runs first at a member, which waits,
// and which is refused early.
package admission

import (
	"math"
	"time"

	"eelgrassladder.example/eelgrassladder"
)

// payingGrace is how long paying work may wait beyond its target before it is
// refused. A change of primary takes less.
const payingGrace = 5 * time.Second

// minPayingConcurrency is the number of slots that arriving paying work must
// need on average before slots are reserved for it.
const minPayingConcurrency = 0.02

// minFreeShare is the least share of a member's slots that a forecast assumes
// free work to get.
const minFreeShare = 0.05

// For each deferralUnit of a slot that a caller has recently held on average,
// the deadline of its requests is deferred by the target's time, at most by
// maxDeferrals times that, so that no caller waits forever.
const (
	deferralUnit = 0.125
	maxDeferrals = 2
)

// minRetryAfter is the shortest retry hint.
const minRetryAfter = 50 * time.Millisecond

// Targets orders paying work by the time left until its target, and lets free
// work use the slots that paying work will not need within a service time. Use
// it in production.
type Targets struct{}

// Before puts requests of transactions that have begun first, then paying work,
// and orders the rest by the end of the target's time. That end is deferred for
// callers that have recently held many slots, so that many requests of one
// caller do not delay other callers of its class.
func (Targets) Before(_ time.Time, a, b eelgrassladder.QueuedRequest) bool {
	if a.Pinned != b.Pinned {
		return a.Pinned
	}
	if a.Class.Paying != b.Class.Paying {
		return a.Class.Paying
	}
	return fairDeadline(a).Before(fairDeadline(b))
}

// Admits lets paying work and transactions that have begun take any unused
// slot, and free work only slots that paying work will not need.
func (Targets) Admits(r eelgrassladder.QueuedRequest, l eelgrassladder.MemberLoad) bool {
	if l.PayingInUse+l.FreeInUse >= l.Slots {
		return false
	}
	if r.Class.Paying || r.Pinned {
		return true
	}
	return l.PayingQueued == 0 && l.FreeInUse < freeLimit(l)
}

// OnArrival refuses work whose forecast response time exceeds its time limit,
// but no transaction that has begun.
func (Targets) OnArrival(_ time.Time, r eelgrassladder.QueuedRequest, l eelgrassladder.MemberLoad) eelgrassladder.Decision {
	if r.Pinned {
		return eelgrassladder.Decision{}
	}
	responseTime := forecast(r, l)
	if responseTime <= timeLimit(r) {
		return eelgrassladder.Decision{}
	}
	return eelgrassladder.Decision{Refuse: true, RetryAfter: max(responseTime-r.Class.TargetLatency(), minRetryAfter)}
}

// WhileQueued refuses waiting work that can no longer run within its time
// limit.
func (Targets) WhileQueued(now time.Time, r eelgrassladder.QueuedRequest, l eelgrassladder.MemberLoad) eelgrassladder.Decision {
	if now.Add(l.ServiceTime).Sub(r.Arrived) <= timeLimit(r) {
		return eelgrassladder.Decision{}
	}
	return eelgrassladder.Decision{Refuse: true, RetryAfter: max(forecast(r, l), minRetryAfter)}
}

// fairDeadline returns the deadline, deferred for a caller that has recently
// held many slots.
func fairDeadline(r eelgrassladder.QueuedRequest) time.Time {
	deferrals := min(r.RecentSlots/deferralUnit, maxDeferrals)
	return deadline(r).Add(time.Duration(deferrals * float64(r.Class.TargetLatency())))
}

// deadline returns the end of the target's time.
func deadline(r eelgrassladder.QueuedRequest) time.Time {
	return r.Arrived.Add(r.Class.TargetLatency())
}

// timeLimit returns how long after its arrival a request may be answered; one
// that will take longer is refused.
func timeLimit(r eelgrassladder.QueuedRequest) time.Duration {
	if r.Class.Paying || r.Pinned {
		return r.Class.TargetLatency() + payingGrace
	}
	return r.Class.TargetLatency()
}

// freeLimit returns how many slots of a member free work may hold: at least
// one, and all but one at most while paying work arrives.
func freeLimit(l eelgrassladder.MemberLoad) int {
	needed := l.PayingRate * l.ServiceTime.Seconds()
	if needed < minPayingConcurrency {
		return l.Slots
	}
	return max(1, min(l.Slots-1, int(math.Ceil(float64(l.Slots)-needed))))
}

// forecast returns the time until new work would be answered.
func forecast(r eelgrassladder.QueuedRequest, l eelgrassladder.MemberLoad) time.Duration {
	slots := float64(max(l.Slots, 1))
	if !r.Class.Paying {
		needed := l.PayingRate * l.ServiceTime.Seconds()
		slots = max(slots-needed, slots*minFreeShare)
	}
	service := float64(l.ServiceTime)
	return time.Duration(float64(l.Ahead)*service/slots + service)
}
