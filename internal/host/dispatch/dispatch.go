// Package dispatch brings requests to the owners of their groups: to this
// proxy, or to another one.
package dispatch

import (
	"context"
	"time"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/model/class"
	"eelgrassladder.example/eelgrassladder/internal/model/membership"
	"eelgrassladder.example/eelgrassladder/internal/model/request"
	"eelgrassladder.example/eelgrassladder/internal/policy/ownership"
	"eelgrassladder.example/eelgrassladder/internal/policy/retry"
)

// movedPause is the wait before a request that was not run is sent again.
const movedPause = 5 * time.Millisecond

// Members tells the proxies of the system.
type Members interface {
	// View returns the view and a channel that is closed when it changes.
	View() (membership.View, <-chan struct{})
}

// Dispatcher implements the root package's Dispatcher.
type Dispatcher struct {
	// self is the name of this proxy.
	self     string
	timer    eelgrassladder.Timer
	members  Members
	local    eelgrassladder.Sibling
	siblings eelgrassladder.Siblings
	classOf  func(string) (class.Class, bool)
	budget   *retry.Budget
	owners   ownership.Finder
}

// New returns a dispatcher for a proxy; local is the proxy itself.
func New(
	self string, t eelgrassladder.Timer, m Members, local eelgrassladder.Sibling,
	s eelgrassladder.Siblings, classOf func(string) (class.Class, bool),
) *Dispatcher {
	return &Dispatcher{
		self: self, timer: t, members: m, local: local, siblings: s, classOf: classOf,
		budget: retry.NewBudget(t.Now()),
	}
}

// Dispatch returns when the outcome of the request is settled.
func (d *Dispatcher) Dispatch(ctx context.Context, r request.Request) request.Answer {
	c, ok := d.classOf(r.Class)
	if !ok {
		return request.Refused(request.CodeBadValue, "class of work \""+r.Class+"\" is not in the configuration", "", 0)
	}
	if r.Pin != 0 {
		return d.pinned(ctx, r)
	}
	ran := false
	for {
		answer, sent := d.try(ctx, r)
		now := d.timer.Now()
		if !retry.Allowed(c, r, answer, sent) {
			d.budget.Succeeded(now)
			return answer.WithEarlierTry(ran)
		}
		spent := !answer.Moved && sent
		ran = ran || (spent && !r.ReadOnly)
		over := ctx.Err() != nil || now.Sub(r.Arrived) > retry.Limit(c)
		if over || (spent && !d.budget.Spend(now)) {
			return answer.WithEarlierTry(ran)
		}
		timer.Pause(ctx, d.timer, movedPause)
	}
}

// try sends a request to the owner of its group once.
func (d *Dispatcher) try(ctx context.Context, r request.Request) (request.Answer, bool) {
	way, ok := d.way(r.Group)
	if !ok {
		return notServed(), false
	}
	answer, sent := way.Forward(ctx, r)
	if !sent || answer.Moved {
		refused := notServed()
		refused.Moved = answer.Moved
		return refused, sent
	}
	return answer, true
}

// notServed refuses a request whose group no proxy serves.
func notServed() request.Answer {
	return request.Refused(request.CodeCannotConnect, "no proxy serves this database at the moment",
		"Try again.", time.Second)
}

// pinned sends a request to the owner that holds its transaction.
func (d *Dispatcher) pinned(ctx context.Context, r request.Request) request.Answer {
	way, ok := d.holder(r.Owner)
	if !ok {
		return request.RolledBack("the proxy that held the transaction is gone")
	}
	answer, sent := way.Forward(ctx, r)
	if !sent || answer.Moved {
		return request.RolledBack("the proxy that held the transaction is gone")
	}
	return answer
}

// Release rolls back a pinned transaction that its caller has left.
func (d *Dispatcher) Release(group, owner string, pin uint64) {
	if way, ok := d.holder(owner); ok {
		way.Release(group, pin)
	}
}

// way returns the way to the owner of a group.
func (d *Dispatcher) way(group string) (eelgrassladder.Sibling, bool) {
	view, _ := d.members.View()
	p, ok := d.owners.Owner(view, group)
	if !ok {
		return nil, false
	}
	return d.to(p), true
}

// holder returns the way to a proxy by name.
func (d *Dispatcher) holder(name string) (eelgrassladder.Sibling, bool) {
	view, _ := d.members.View()
	p, ok := view.Proxy(name)
	if !ok || p.State == membership.Dead {
		return nil, false
	}
	return d.to(p), true
}

// to returns the way to a proxy, which may be this one.
func (d *Dispatcher) to(p membership.Proxy) eelgrassladder.Sibling {
	if p.Name == d.self {
		return d.local
	}
	return d.siblings.Sibling(p)
}
