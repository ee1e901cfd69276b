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
const payingGrace = 5 * time.Second

// arrivingConcurrency is the number of slots from which on paying work counts
// as arriving.
const minPayingConcurrency = 0.02

// minLeftover is the least share of the slots that a forecast leaves to work
// that is not paying.
const minFreeShare = 0.05

// useShare is the part of a slot for which a caller's work is put off by its
// target's time, and maxShares is how often at most, so that no caller waits
// without end.
const (
	deferralUnit  = 0.125
	maxDeferrals = 2
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
func (Targets) Before(_ time.Time, a, b eelgrassladder.Waiting) bool {
	if a.Pinned != b.Pinned {
		return a.Pinned
	}
	if a.Class.Paying != b.Class.Paying {
		return a.Class.Paying
	}
	return fairDeadline(a).Before(fairDeadline(b))
}

// Admits lets paying work take any free slot, and other work only slots that
// paying work will not need.
func (Targets) Admits(w eelgrassladder.Waiting, l eelgrassladder.Load) bool {
	if l.Paying+l.Free >= l.Slots {
		return false
	}
	if w.Class.Paying || w.Pinned {
		return true
	}
	return l.PayingQueued == 0 && l.Free < freeLimit(l)
}

// Arriving refuses work whose forecast is past its time.
func (Targets) Arriving(_ time.Time, w eelgrassladder.Waiting, l eelgrassladder.Load) eelgrassladder.Verdict {
	if w.Pinned {
		return eelgrassladder.Verdict{}
	}
	wait := forecast(w, l)
	if wait <= timeLimit(w) {
		return eelgrassladder.Verdict{}
	}
	return eelgrassladder.Verdict{Refuse: true, RetryAfter: max(wait-w.Class.Within(), minRetryAfter)}
}

// Overdue refuses waiting work that can no longer meet its time.
func (Targets) Overdue(now time.Time, w eelgrassladder.Waiting, l eelgrassladder.Load) eelgrassladder.Verdict {
	if now.Add(l.Service).Sub(w.Arrived) <= timeLimit(w) {
		return eelgrassladder.Verdict{}
	}
	return eelgrassladder.Verdict{Refuse: true, RetryAfter: max(forecast(w, l), minRetryAfter)}
}

// fair is the end of the target's time, later by that time for each share of
// a slot that the caller has lately held, up to a limit.
func fairDeadline(w eelgrassladder.Waiting) time.Time {
	deferrals := min(w.Used/deferralUnit, maxDeferrals)
	return deadline(w).Add(time.Duration(deferrals * float64(w.Class.Within())))
}

// deadline is the end of the target's time.
func deadline(w eelgrassladder.Waiting) time.Time { return w.Arrived.Add(w.Class.Within()) }

// patience is how long the work may take before it is refused.
func timeLimit(w eelgrassladder.Waiting) time.Duration {
	if w.Class.Paying || w.Pinned {
		return w.Class.Within() + payingGrace
	}
	return w.Class.Within()
}

// freeLimit is how many slots work that is not paying may hold.
func freeLimit(l eelgrassladder.Load) int {
	needed := l.PayingRate * l.Service.Seconds()
	if needed < minPayingConcurrency {
		return l.Slots
	}
	return max(1, min(l.Slots-1, int(math.Ceil(float64(l.Slots)-needed))))
}

// forecast is the time until new work would be answered.
func forecast(w eelgrassladder.Waiting, l eelgrassladder.Load) time.Duration {
	slots := float64(max(l.Slots, 1))
	if !w.Class.Paying {
		needed := l.PayingRate * l.Service.Seconds()
		slots = max(slots-needed, slots*minFreeShare)
	}
	service := float64(l.Service)
	return time.Duration(float64(l.Ahead)*service/slots + service)
}
