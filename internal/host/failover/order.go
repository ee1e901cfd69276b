package failover

import (
	"context"
	"sync"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder/internal/host/control"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/model/statement"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
)

// answer is what one member told.
type answer struct {
	endpoint topology.Endpoint
	status   topology.Status
	err      error
}

// order is a question or an order to one endpoint.
type order func(c *control.Connection) (topology.Status, statement.Reply, error)

// each gives an order to all endpoints at once. An answer that is not OK is
// an error.
func (c *change) each(ctx context.Context, all []topology.Endpoint, o order) []answer {
	answers := make([]answer, len(all))
	var mutex sync.Mutex
	g := task.New(ctx)
	for i, e := range all {
		g.Go("order to an endpoint", func(ctx context.Context) error {
			a := c.give(ctx, e, o)
			mutex.Lock()
			defer mutex.Unlock()
			answers[i] = a
			return nil
		})
	}
	_ = g.Wait() // each function returns nil
	return answers
}

// give gives an order to one endpoint.
func (c *change) give(ctx context.Context, e topology.Endpoint, o order) answer {
	a := answer{endpoint: e}
	n, err := c.keeper.dialer.DialUrgent(ctx, e)
	if err != nil {
		a.err = err
		return a
	}
	status, reply, err := o(n)
	n.Release(err, reply.Position)
	if err == nil && reply.Code != statement.OK {
		err = errors.Errorf("%v %s", reply.Code, reply.Detail)
	}
	a.status, a.err = status, err
	return a
}

// statuses asks all endpoints for their status.
func (c *change) statuses(ctx context.Context, all []topology.Endpoint) []answer {
	return c.each(ctx, all, func(n *control.Connection) (topology.Status, statement.Reply, error) {
		return n.Status(c.keeper.timer.Now().Add(orderTime))
	})
}

// errNotAsked stands for an answer of a member that is not asked.
var errNotAsked = errors.New("not asked")

// stop makes the old primary a replica, if it is likely to answer. Nothing can
// be acknowledged then, neither through a member that joins from now on nor
// through a suspended one that restarts.
func (c *change) stop(ctx context.Context) answer {
	if !c.stoppable() {
		return answer{endpoint: c.old, err: errNotAsked}
	}
	term := c.record.Term + 1
	a := c.give(ctx, c.old, func(n *control.Connection) (topology.Status, statement.Reply, error) {
		return c.halt(n, term)
	})
	if a.err == nil && a.status.Primary {
		a.err = errors.Errorf("it leads term %d", a.status.Term)
	}
	c.stopped.Store(a.err == nil)
	if a.err != nil {
		klog.InfoS("Old primary not stopped", "Group", c.group, "Endpoint", c.old.ID, "Error", a.err.Error())
	}
	return a
}

// suspend stops all replicas from receiving. All of them must answer and be
// suspended: one that goes on could acknowledge writes of the old primary.
func (c *change) suspend(ctx context.Context, others []topology.Endpoint, term uint64) ([]answer, error) {
	answers := c.each(ctx, others, func(n *control.Connection) (topology.Status, statement.Reply, error) {
		return c.halt(n, term)
	})
	return answers, halted(answers, term)
}

// recheck asks once more, right before a member is promoted: a replica that has
// restarted since its suspension receives again, and an old primary that did
// not answer may lead again.
func (c *change) recheck(ctx context.Context, replicas []answer, old answer, term uint64) error {
	members := make([]topology.Endpoint, 0, len(replicas)+1)
	for _, a := range replicas {
		members = append(members, a.endpoint)
	}
	answers := c.statuses(ctx, members)
	if err := halted(answers, term); err != nil {
		return err
	}
	for i, a := range answers {
		if a.status.Received != replicas[i].status.Received {
			return errors.Errorf("endpoint %s received until %v after its suspension at %v", a.endpoint.ID,
				a.status.Received, replicas[i].status.Received)
		}
	}
	if old.err != nil {
		return nil
	}
	if a := c.statuses(ctx, []topology.Endpoint{c.old})[0]; a.err == nil && a.status.Primary {
		return errors.Errorf("endpoint %s leads again", c.old.ID)
	}
	return nil
}

// halted returns an error for a member that does not say that it is suspended
// for the term.
func halted(answers []answer, term uint64) error {
	for _, a := range answers {
		if a.err == nil && !a.status.SuspendedFor(term) {
			a.err = errors.Errorf("primary=%v of term %d, suspended for %d", a.status.Primary, a.status.Term, a.status.Suspended)
		}
		if a.err != nil {
			return errors.WithMessagef(a.err, "endpoint %s not suspended", a.endpoint.ID)
		}
	}
	return nil
}

// resume lets members receive again that an earlier try has suspended for a term
// beyond that of the new primary, and that would not receive from it.
func (c *change) resume(ctx context.Context, others []topology.Endpoint, term uint64) {
	for _, a := range c.statuses(ctx, others) {
		if a.err != nil || a.status.Suspended <= term {
			continue
		}
		r := c.give(ctx, a.endpoint, func(n *control.Connection) (topology.Status, statement.Reply, error) {
			return n.Resume(c.keeper.timer.Now().Add(orderTime))
		})
		klog.InfoS("Replica resumed", "Group", c.group, "Endpoint", a.endpoint.ID, "Suspended", a.status.Suspended,
			"Term", term, "Failed", r.err != nil)
	}
}

// halt suspends one member. A primary cannot be suspended: one that came back
// under another ID, or that has not heard of a later term and would receive
// again as soon as it has, is made a replica first.
func (c *change) halt(n *control.Connection, term uint64) (topology.Status, statement.Reply, error) {
	end := c.keeper.timer.Now().Add(orderTime)
	s, reply, err := n.Suspend(end, term)
	if err != nil || reply.Code != statement.OK || !s.Primary {
		return s, reply, err
	}
	klog.InfoS("Primary is made a replica", "Group", c.group, "Term", s.Term, "Newest", term-1,
		"Received", s.Received.String())
	led := s.Term
	s, reply, err = n.Demote(end, term)
	if err != nil || reply.Code != statement.OK {
		return s, reply, err
	}
	if led >= c.record.Term && !s.Primary {
		c.stopped.Store(true)
	}
	return n.Suspend(end, term)
}

// demote makes the old primary a replica, if it can be reached.
func (c *change) demote(ctx context.Context, term uint64) {
	if c.old.Address == "" || c.dead || c.stopped.Load() {
		return
	}
	a := c.give(ctx, c.old, func(n *control.Connection) (topology.Status, statement.Reply, error) {
		return n.Demote(c.keeper.timer.Now().Add(orderTime), term)
	})
	if a.err != nil {
		klog.InfoS("Old primary not told", "Group", c.group, "Endpoint", c.old.ID, "Error", a.err.Error())
		return
	}
	klog.InfoS("Old primary told to follow", "Group", c.group, "Endpoint", c.old.ID, "Term", a.status.Term,
		"Received", a.status.Received.String())
}
