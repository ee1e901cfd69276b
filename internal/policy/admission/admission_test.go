package admission_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/model/class"
	"eelgrassladder.example/eelgrassladder/internal/policy/admission"
)

var start = time.Unix(1000, 0)

func randomRequest(t *rapid.T, name string) eelgrassladder.QueuedRequest {
	return eelgrassladder.QueuedRequest{
		Caller: rapid.SampledFrom([]string{"kennel-club", "breeders"}).Draw(t, name+" caller"),
		Class: class.Class{
			Paying: rapid.Bool().Draw(t, name+" paying"),
			Target: class.Target{Share: 0.99, Within: class.Duration(rapid.IntRange(1, 2000).Draw(t, name+" within")) * class.Duration(time.Millisecond)},
		},
		Arrived: start.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, name+" arrived")) * time.Millisecond),
		Pinned:  rapid.Bool().Draw(t, name+" pinned"),
	}
}

func randomLoad(t *rapid.T) eelgrassladder.MemberLoad {
	slots := rapid.IntRange(1, 4).Draw(t, "slots")
	paying := rapid.IntRange(0, slots).Draw(t, "paying")
	return eelgrassladder.MemberLoad{
		Slots: slots, PayingInUse: paying, FreeInUse: rapid.IntRange(0, slots-paying).Draw(t, "free"),
		PayingRate:   float64(rapid.IntRange(0, 2000).Draw(t, "rate")),
		ServiceTime:  time.Duration(rapid.IntRange(1, 50).Draw(t, "service")) * time.Millisecond,
		PayingQueued: rapid.IntRange(0, 3).Draw(t, "queued"),
		Ahead:        rapid.IntRange(0, 500).Draw(t, "ahead"),
	}
}

func TestFreeWorkNeverTakesWhatPayingWorkNeeds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, l := randomRequest(t, "r"), randomLoad(t)
		admits := admission.Targets{}.Admits(r, l)
		if l.PayingInUse+l.FreeInUse >= l.Slots {
			assert.Assert(t, !admits, "a full member admitted work")
			return
		}
		if r.Class.Paying || r.Pinned {
			assert.Assert(t, admits, "paying or pinned work was not admitted to an unused slot")
			return
		}
		if l.PayingQueued > 0 {
			assert.Assert(t, !admits, "free work was admitted before waiting paying work")
		}
		// Paying work that needs 0.1 slots is well above the policy's threshold.
		arriving := l.PayingRate*l.ServiceTime.Seconds() >= 0.1
		if arriving && l.Slots >= 2 && l.FreeInUse >= l.Slots-1 {
			assert.Assert(t, !admits, "free work took the last slot while paying work arrives")
		}
		if l.PayingRate == 0 && l.PayingQueued == 0 {
			assert.Assert(t, admits, "free work was not admitted to a slot that no paying work needs")
		}
	})
}

func TestOrderIsStrictAndPutsPayingWorkFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := randomRequest(t, "a"), randomRequest(t, "b"), randomRequest(t, "c")
		before := func(x, y eelgrassladder.QueuedRequest) bool { return admission.Targets{}.Before(start, x, y) }
		assert.Assert(t, !before(a, a))
		assert.Assert(t, !before(a, b) || !before(b, a))
		if before(a, b) && before(b, c) {
			assert.Assert(t, before(a, c))
		}
		if a.Class.Paying && !b.Class.Paying && !b.Pinned {
			assert.Assert(t, before(a, b))
		}
	})
}

func TestFreeWorkIsRefusedBeforePayingWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, l := randomRequest(t, "r"), randomLoad(t)
		r.Pinned = false
		now := start.Add(time.Duration(rapid.IntRange(0, 8000).Draw(t, "now")) * time.Millisecond)
		free, paying := r, r
		free.Class.Paying = false
		paying.Class.Paying = true
		policy := admission.Targets{}
		for _, decide := range []func(eelgrassladder.QueuedRequest) eelgrassladder.Decision{
			func(x eelgrassladder.QueuedRequest) eelgrassladder.Decision { return policy.OnArrival(now, x, l) },
			func(x eelgrassladder.QueuedRequest) eelgrassladder.Decision { return policy.WhileQueued(now, x, l) },
		} {
			if decide(paying).Refuse {
				assert.Assert(t, decide(free).Refuse, "paying work was refused and free work was not")
			}
			if decision := decide(free); decision.Refuse {
				assert.Assert(t, decision.RetryAfter > 0, "a refusal without a retry hint")
			}
		}
	})
}
