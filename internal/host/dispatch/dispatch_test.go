package dispatch_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/dispatch"
	"eelgrassladder.example/eelgrassladder/internal/model/class"
	"eelgrassladder.example/eelgrassladder/internal/model/membership"
	"eelgrassladder.example/eelgrassladder/internal/model/request"
)

// fakeTimer fires every subscription immediately, after it has advanced its time
// by the delay.
type fakeTimer struct{ now time.Time }

func (t *fakeTimer) Now() time.Time { return t.now }

func (t *fakeTimer) Subscribe(period time.Duration) eelgrassladder.Subscription {
	return t.Once(period)
}

func (t *fakeTimer) Once(delay time.Duration) eelgrassladder.Subscription {
	t.now = t.now.Add(delay)
	fired := make(chan time.Time, 1)
	fired <- t.now
	return firedSubscription{fired}
}

type firedSubscription struct{ fired chan time.Time }

func (f firedSubscription) C() <-chan time.Time { return f.fired }
func (firedSubscription) Stop()                 {}

// fakeOwner ends each try with the next outcome, and counts the tries in which
// the request ran.
type fakeOwner struct {
	timer *fakeTimer
	// nextOutcome returns one of the constants below.
	nextOutcome func() int
	runs        int
}

// The outcomes of one try. In lostBeforeRun and lostAfterRun the owner received
// the request but its answer was lost; only in the latter the request ran.
const (
	completed = iota
	lostBeforeRun
	lostAfterRun
	moved
	refused
	notDelivered
)

func (o *fakeOwner) Forward(context.Context, request.Request) (request.Answer, bool) {
	o.timer.now = o.timer.now.Add(200 * time.Millisecond)
	switch o.nextOutcome() {
	case completed:
		o.runs++
		return request.Answer{Outcome: request.Done}, true
	case lostBeforeRun:
		return request.OutcomeUnknown("lost"), true
	case lostAfterRun:
		o.runs++
		return request.OutcomeUnknown("lost"), true
	case moved:
		answer := request.Refused(request.CodeCannotConnect, "moved", "", 0)
		answer.Moved = true
		return answer, true
	case refused:
		return request.Refused(request.CodeOverloaded, "refused", "", 0), true
	default:
		return request.Answer{}, false
	}
}

func (*fakeOwner) RollBack(string, uint64) {}

// singleProxyView is a dispatch.Proxies whose view holds only this proxy.
type singleProxyView struct{}

func (singleProxyView) View() (membership.View, <-chan struct{}) {
	var view membership.View
	view, _ = view.WithProxy(membership.Proxy{Name: "self", Incarnation: 1})
	return view, nil
}

// Guards against a retry after a lost answer that runs a request twice, and
// against an answer that says that a request has not run although an earlier
// try of it has.
func TestAnswersAreTrueAfterRetriesAndOnlyIdempotentRequestsRunTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := class.Class{
			Name: "deposits", Paying: rapid.Bool().Draw(t, "paying"), Idempotent: rapid.Bool().Draw(t, "idempotent"),
			Target: class.Target{Share: 0.9, Within: class.Duration(time.Second)},
		}
		clock := &fakeTimer{now: time.Unix(1000, 0)}
		o := &fakeOwner{timer: clock, nextOutcome: func() int {
			// Moved and notDelivered are listed twice: only these are always retried.
			return rapid.SampledFrom([]int{completed, lostBeforeRun, lostAfterRun, moved, refused, notDelivered, moved, notDelivered}).Draw(t, "try")
		}}
		classOf := func(string) (class.Class, bool) { return c, true }
		d := dispatch.New("self", clock, singleProxyView{}, o, nil, classOf)
		answer := d.Dispatch(context.Background(), request.Request{Group: "orders", Class: "deposits", Arrived: clock.now})
		switch answer.Outcome {
		case request.NotRun:
			assert.Equal(t, o.runs, 0, "a request that was reported as not run has run")
		case request.Done:
			assert.Assert(t, o.runs > 0)
		}
		if !c.Idempotent {
			assert.Assert(t, o.runs <= 1, "ran %d times", o.runs)
		}
	})
}
