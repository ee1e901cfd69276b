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

// clock is a timer whose pauses end at once and move the time.
type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

func (c *clock) Subscribe(d time.Duration) eelgrassladder.Subscription { return c.Once(d) }

func (c *clock) Once(d time.Duration) eelgrassladder.Subscription {
	c.now = c.now.Add(d)
	ready := make(chan time.Time, 1)
	ready <- c.now
	return fired{ready}
}

type fired struct{ ready chan time.Time }

func (f fired) C() <-chan time.Time { return f.ready }
func (fired) Stop()                 {}

// owner is an owner that answers as it is told, and counts what it ran.
type owner struct {
	clock *clock
	draw  func() int
	runs  int
}

// The ways in which a try can go.
const (
	done = iota
	lostBefore
	lostAfter
	moved
	refused
	notSent
)

func (o *owner) Forward(context.Context, request.Request) (request.Answer, bool) {
	o.clock.now = o.clock.now.Add(200 * time.Millisecond)
	switch o.draw() {
	case done:
		o.runs++
		return request.Answer{Outcome: request.Done}, true
	case lostBefore:
		return request.OutcomeUnknown("lost"), true
	case lostAfter:
		o.runs++
		return request.OutcomeUnknown("lost"), true
	case moved:
		a := request.Refused(request.CodeCannotConnect, "moved", "", 0)
		a.Moved = true
		return a, true
	case refused:
		return request.Refused(request.CodeTooManyConnections, "refused", "", 0), true
	default:
		return request.Answer{}, false
	}
}

func (*owner) Release(string, uint64) {}

// members is a view with this proxy alone.
type members struct{}

func (members) View() (membership.View, <-chan struct{}) {
	var v membership.View
	v, _ = v.WithProxy(membership.Proxy{Name: "self", Incarnation: 1})
	return v, nil
}

func TestOutcomesAreHonestAndNothingRunsTwiceThatMustNot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := class.Class{
			Name: "deposits", Paying: rapid.Bool().Draw(t, "paying"), Idempotent: rapid.Bool().Draw(t, "idempotent"),
			Target: class.Target{Share: 0.9, Within: class.Duration(time.Second)},
		}
		now := &clock{now: time.Unix(1000, 0)}
		o := &owner{clock: now, draw: func() int {
			return rapid.SampledFrom([]int{done, lostBefore, lostAfter, moved, refused, notSent, moved, notSent}).Draw(t, "try")
		}}
		find := func(string) (class.Class, bool) { return c, true }
		d := dispatch.New("self", now, members{}, o, nil, find)
		answer := d.Dispatch(context.Background(), request.Request{Group: "orders", Class: "deposits", Arrived: now.now})
		switch answer.Outcome {
		case request.NotRun:
			assert.Equal(t, o.runs, 0, "told as not run")
		case request.Done:
			assert.Assert(t, o.runs > 0)
		}
		if !c.Idempotent {
			assert.Assert(t, o.runs <= 1, "ran %d times", o.runs)
		}
	})
}
