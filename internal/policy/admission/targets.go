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

// minFreeShare is the least share of the slots that a forecast counts for free
// work.
const minFreeShare = 0.05

// A caller's work is deferred by its target's time for each deferralUnit of a
// slot that the caller has recently held, at most maxDeferrals times, so that
// no caller waits forever.
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

// Before orders transactions that have begun first, then paying work, then by
// the end of the target's time. That end is deferred for callers that have
// recently held many slots, so that one caller's flood does not delay other
// callers of its class.
func (Targets) Before(_ time.Time, a, b eelgrassladder.QueuedRequest) bool {
	if a.Pinned != b.Pinned {
		return a.Pinned
	}
	if a.Class.Paying != b.Class.Paying {
		return a.Class.Paying
	}
	return fairDeadline(a).Before(fairDeadline(b))
}

// Admits lets paying work take any free slot, and free work only slots that
// paying work will not need.
func (Targets) Admits(w eelgrassladder.QueuedRequest, l eelgrassladder.MemberLoad) bool {
	if l.PayingInUse+l.FreeInUse >= l.Slots {
		return false
	}
	if w.Class.Paying || w.Pinned {
		return true
	}
	return l.PayingQueued == 0 && l.FreeInUse < freeLimit(l)
}

// OnArrival refuses work whose forecast response time exceeds its time limit.
func (Targets) OnArrival(_ time.Time, w eelgrassladder.QueuedRequest, l eelgrassladder.MemberLoad) eelgrassladder.Decision {
	if w.Pinned {
		return eelgrassladder.Decision{}
	}
	wait := forecast(w, l)
	if wait <= timeLimit(w) {
		return eelgrassladder.Decision{}
	}
	return eelgrassladder.Decision{Refuse: true, RetryAfter: max(wait-w.Class.TargetLatency(), minRetryAfter)}
}

// WhileQueued refuses waiting work that can no longer run within its time
// limit.
func (Targets) WhileQueued(now time.Time, w eelgrassladder.QueuedRequest, l eelgrassladder.MemberLoad) eelgrassladder.Decision {
	if now.Add(l.ServiceTime).Sub(w.Arrived) <= timeLimit(w) {
		return eelgrassladder.Decision{}
	}
	return eelgrassladder.Decision{Refuse: true, RetryAfter: max(forecast(w, l), minRetryAfter)}
}

// fairDeadline returns the deadline, deferred for a caller that has recently
// held many slots.
func fairDeadline(w eelgrassladder.QueuedRequest) time.Time {
	deferrals := min(w.RecentSlots/deferralUnit, maxDeferrals)
	return deadline(w).Add(time.Duration(deferrals * float64(w.Class.TargetLatency())))
}

// deadline returns the end of the target's time.
func deadline(w eelgrassladder.QueuedRequest) time.Time {
	return w.Arrived.Add(w.Class.TargetLatency())
}

// timeLimit returns how long the work may take before it is refused.
func timeLimit(w eelgrassladder.QueuedRequest) time.Duration {
	if w.Class.Paying || w.Pinned {
		return w.Class.TargetLatency() + payingGrace
	}
	return w.Class.TargetLatency()
}

// freeLimit returns how many slots free work may hold.
func freeLimit(l eelgrassladder.MemberLoad) int {
	needed := l.PayingRate * l.ServiceTime.Seconds()
	if needed < minPayingConcurrency {
		return l.Slots
	}
	return max(1, min(l.Slots-1, int(math.Ceil(float64(l.Slots)-needed))))
}

// forecast returns the time until new work would be answered.
func forecast(w eelgrassladder.QueuedRequest, l eelgrassladder.MemberLoad) time.Duration {
	slots := float64(max(l.Slots, 1))
	if !w.Class.Paying {
		needed := l.PayingRate * l.ServiceTime.Seconds()
		slots = max(slots-needed, slots*minFreeShare)
	}
	service := float64(l.ServiceTime)
	return time.Duration(float64(l.Ahead)*service/slots + service)
}
