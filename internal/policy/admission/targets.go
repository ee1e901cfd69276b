// Package admission decides which work goes first at a member, which waits,
// and which is refused early.
package admission

import (
	"math"
	"time"

	"eelgrassladder.example/eelgrassladder"
)

// payingPatience is how long paying work may wait past its target before it
// is refused; it is longer than a change of primary takes.
const payingPatience = 5 * time.Second

// arrivingConcurrency is the number of slots from which on paying work counts
// as arriving.
const arrivingConcurrency = 0.02

// minLeftover is the least share of the slots that a forecast leaves to work
// that is not paying.
const minLeftover = 0.05

// useShare is the part of a slot for which a caller's work is put off by its
// target's time, and maxShares is how often at most, so that no caller waits
// without end.
const (
	useShare  = 0.125
	maxShares = 2
)

// minRetryAfter is the shortest hint when to try again.
const minRetryAfter = 50 * time.Millisecond

// Targets orders paying work by the time left to its target and lets other
// work use what paying work will not need within a service time. Use it in
// production.
type Targets struct{}

// Before puts transactions that have begun first, then paying work, then the
// earlier end of the target's time, put off for callers that have lately held
// many slots. So one caller's flood does not delay the others of its class.
func (Targets) Before(_ time.Time, a, b eelgrassladder.QueuedRequest) bool {
	if a.Pinned != b.Pinned {
		return a.Pinned
	}
	if a.Class.Paying != b.Class.Paying {
		return a.Class.Paying
	}
	return fair(a).Before(fair(b))
}

// Admits lets paying work take any free slot, and other work only slots that
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

// OnArrival refuses work whose forecast is past its time.
func (Targets) OnArrival(_ time.Time, w eelgrassladder.QueuedRequest, l eelgrassladder.MemberLoad) eelgrassladder.Decision {
	if w.Pinned {
		return eelgrassladder.Decision{}
	}
	wait := forecast(w, l)
	if wait <= patience(w) {
		return eelgrassladder.Decision{}
	}
	return eelgrassladder.Decision{Refuse: true, RetryAfter: max(wait-w.Class.TargetLatency(), minRetryAfter)}
}

// WhileQueued refuses waiting work that can no longer meet its time.
func (Targets) WhileQueued(now time.Time, w eelgrassladder.QueuedRequest, l eelgrassladder.MemberLoad) eelgrassladder.Decision {
	if now.Add(l.ServiceTime).Sub(w.Arrived) <= patience(w) {
		return eelgrassladder.Decision{}
	}
	return eelgrassladder.Decision{Refuse: true, RetryAfter: max(forecast(w, l), minRetryAfter)}
}

// fair is the end of the target's time, later by that time for each share of
// a slot that the caller has lately held, up to a limit.
func fair(w eelgrassladder.QueuedRequest) time.Time {
	shares := min(w.RecentSlots/useShare, maxShares)
	return deadline(w).Add(time.Duration(shares * float64(w.Class.TargetLatency())))
}

// deadline is the end of the target's time.
func deadline(w eelgrassladder.QueuedRequest) time.Time {
	return w.Arrived.Add(w.Class.TargetLatency())
}

// patience is how long the work may take before it is refused.
func patience(w eelgrassladder.QueuedRequest) time.Duration {
	if w.Class.Paying || w.Pinned {
		return w.Class.TargetLatency() + payingPatience
	}
	return w.Class.TargetLatency()
}

// freeLimit is how many slots work that is not paying may hold.
func freeLimit(l eelgrassladder.MemberLoad) int {
	needed := l.PayingRate * l.ServiceTime.Seconds()
	if needed < arrivingConcurrency {
		return l.Slots
	}
	return max(1, min(l.Slots-1, int(math.Ceil(float64(l.Slots)-needed))))
}

// forecast is the time until new work would be answered.
func forecast(w eelgrassladder.QueuedRequest, l eelgrassladder.MemberLoad) time.Duration {
	slots := float64(max(l.Slots, 1))
	if !w.Class.Paying {
		needed := l.PayingRate * l.ServiceTime.Seconds()
		slots = max(slots-needed, slots*minLeftover)
	}
	service := float64(l.ServiceTime)
	return time.Duration(float64(l.Ahead)*service/slots + service)
}
