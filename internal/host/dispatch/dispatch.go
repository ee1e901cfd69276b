// Package dispatch routes requests to the proxies that own their groups, which
// may be this proxy, and retries them while that is safe.
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

// retryPause is the delay before a request is tried again.
const retryPause = 5 * time.Millisecond

// Proxies provides the current view of the proxies.
type Proxies interface {
	// View returns the view and a channel that is closed when it changes.
	View() (membership.View, <-chan struct{})
}

// Dispatcher implements the root package's Dispatcher.
type Dispatcher struct {
	// self is the name of this proxy.
	self    string
	timer   eelgrassladder.Timer
	proxies Proxies
	// local serves requests at this proxy.
	local    eelgrassladder.Sibling
	siblings eelgrassladder.Siblings
	// classOf returns the class with a name in the current configuration, and
	// false if there is none.
	classOf func(string) (class.Class, bool)
	// budget limits the retries of requests that may have run.
	budget      *retry.Budget
	ownerFinder ownership.Finder
}

// New returns a dispatcher for the proxy named self; local serves the requests
// for groups that it owns itself.
func New(
	self string, t eelgrassladder.Timer, p Proxies, local eelgrassladder.Sibling,
	s eelgrassladder.Siblings, classOf func(string) (class.Class, bool),
) *Dispatcher {
	return &Dispatcher{
		self: self, timer: t, proxies: p, local: local, siblings: s, classOf: classOf,
		budget: retry.NewBudget(t.Now()),
	}
}

// Dispatch runs a request and returns its final outcome. It retries while the
// policy allows that, at most for retry.Limit of the class since the request
// arrived. After a try that may have run, it retries only within the budget.
func (d *Dispatcher) Dispatch(ctx context.Context, r request.Request) request.Answer {
	c, ok := d.classOf(r.Class)
	if !ok {
		return request.Refused(request.CodeBadValue, "class of work \""+r.Class+"\" is not in the configuration", "", 0)
	}
	if r.Pin != 0 {
		return d.dispatchPinned(ctx, r)
	}
	earlierMayHaveRun := false
	for {
		answer, sent := d.tryOnce(ctx, r)
		now := d.timer.Now()
		if !retry.Allowed(c, r, answer, sent) {
			d.budget.CountFinal(now)
			return answer.WithEarlierTry(earlierMayHaveRun)
		}
		mayHaveRun := !answer.Moved && sent
		earlierMayHaveRun = earlierMayHaveRun || (mayHaveRun && !r.ReadOnly)
		expired := ctx.Err() != nil || now.Sub(r.Arrived) > retry.Limit(c)
		if expired || (mayHaveRun && !d.budget.Spend(now)) {
			return answer.WithEarlierTry(earlierMayHaveRun)
		}
		timer.Pause(ctx, d.timer, retryPause)
	}
}

// tryOnce sends a request to the owner of its group once. It also reports
// whether the owner may have received it. A request that the owner did not
// receive or rejected as moved is answered by notServed.
func (d *Dispatcher) tryOnce(ctx context.Context, r request.Request) (request.Answer, bool) {
	sibling, ok := d.groupOwner(r.Group)
	if !ok {
		return notServed(), false
	}
	answer, sent := sibling.Forward(ctx, r)
	if !sent || answer.Moved {
		refused := notServed()
		refused.Moved = answer.Moved
		return refused, sent
	}
	return answer, true
}

// notServed refuses a request because no proxy is known to serve its group.
func notServed() request.Answer {
	return request.Refused(request.CodeCannotConnect, "no proxy serves this database at the moment",
		"Try again.", time.Second)
}

// dispatchPinned sends a request to the proxy that holds its open transaction.
// It is not retried.
func (d *Dispatcher) dispatchPinned(ctx context.Context, r request.Request) request.Answer {
	sibling, ok := d.proxyByName(r.Owner)
	if !ok {
		return request.RolledBack("the proxy that held the transaction is gone")
	}
	answer, sent := sibling.Forward(ctx, r)
	if !sent || answer.Moved {
		return request.RolledBack("the proxy that held the transaction is gone")
	}
	return answer
}

// RollBack rolls back a pinned transaction that its caller has abandoned. owner is
// the name of the proxy that holds it.
func (d *Dispatcher) RollBack(group, owner string, pin uint64) {
	if sibling, ok := d.proxyByName(owner); ok {
		sibling.RollBack(group, pin)
	}
}

// groupOwner returns the proxy that owns a group.
func (d *Dispatcher) groupOwner(group string) (eelgrassladder.Sibling, bool) {
	view, _ := d.proxies.View()
	p, ok := d.ownerFinder.Owner(view, group)
	if !ok {
		return nil, false
	}
	return d.siblingFor(p), true
}

// proxyByName returns the proxy with a name, and false if it is dead or not in
// the view.
func (d *Dispatcher) proxyByName(name string) (eelgrassladder.Sibling, bool) {
	view, _ := d.proxies.View()
	p, ok := view.Proxy(name)
	if !ok || p.State == membership.Dead {
		return nil, false
	}
	return d.siblingFor(p), true
}

// siblingFor returns the client for a proxy, which may be this one.
func (d *Dispatcher) siblingFor(p membership.Proxy) eelgrassladder.Sibling {
	if p.Name == d.self {
		return d.local
	}
	return d.siblings.Client(p)
}
