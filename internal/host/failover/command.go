package failover

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder/internal/host/control"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/model/statement"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
)

// answer is the answer of one member to a command, or the error of the attempt to get
// it. The status is valid only if err is nil.
type answer struct {
	endpoint topology.Endpoint
	status   topology.Status
	err      error
	// at is the boot time at which the answer or the error came; zero if no command was
	// sent.
	at time.Duration
}

// leadsAfter reports whether the member has answered that it leads a later term.
func (a answer) leadsAfter(term uint64) bool {
	return a.err == nil && a.status.Primary && a.status.Term > term
}

// command sends one command, such as a status request, over a connection.
type command func(c *control.Connection) (topology.Status, statement.Reply, error)

// sendAll sends a command to all endpoints at once and returns their answers in
// the same order. A reply whose code is not OK becomes an error.
func (ct *Controller) sendAll(ctx context.Context, endpoints []topology.Endpoint, run command) []answer {
	answers := make([]answer, len(endpoints))
	var mutex sync.Mutex
	g := task.New(ctx)
	for i, e := range endpoints {
		g.Go("command to an endpoint", func(ctx context.Context) error {
			a := ct.send(ctx, e, run)
			mutex.Lock()
			defer mutex.Unlock()
			answers[i] = a
			return nil
		})
	}
	_ = g.Wait() // each function returns nil
	return answers
}

// send sends a command to one endpoint.
func (ct *Controller) send(ctx context.Context, e topology.Endpoint, run command) answer {
	a := answer{endpoint: e}
	conn, err := ct.dialer.DialUrgent(ctx, e)
	if err != nil {
		a.err, a.at = err, ct.clock.SinceBoot()
		return a
	}
	status, reply, err := run(conn)
	a.at = ct.clock.SinceBoot()
	conn.Release(err, reply.Position)
	if err == nil && reply.Code != statement.OK {
		err = errors.Errorf("the command was refused: %v %s", reply.Code, reply.Detail)
	}
	a.status, a.err = status, err
	return a
}

// statuses asks all endpoints for their status.
func (ct *Controller) statuses(ctx context.Context, endpoints []topology.Endpoint) []answer {
	return ct.sendAll(ctx, endpoints, func(conn *control.Connection) (topology.Status, statement.Reply, error) {
		return conn.Status(ct.timer.Now().Add(commandTimeout))
	})
}

// lastStatuses asks all endpoints for their status, and accepts one that is older than the call.
func (ct *Controller) lastStatuses(ctx context.Context, endpoints []topology.Endpoint) []answer {
	return ct.sendAll(ctx, endpoints, func(conn *control.Connection) (topology.Status, statement.Reply, error) {
		return conn.LastStatus(ct.timer.Now().Add(commandTimeout))
	})
}

// errNotAsked is the error in the answer of a member to which no command was sent.
var errNotAsked = errors.New("not asked")

// stopOld makes the old primary a replica, if it is likely to answer. From then on no
// commit can be acknowledged, not even with a replica that joins later or that was
// suspended and restarts.
func (c *change) stopOld(ctx context.Context) answer {
	if !c.oldReachable() {
		return answer{endpoint: c.old, err: errNotAsked}
	}
	term := c.record.Term + 1
	a := c.controller.send(ctx, c.old, func(conn *control.Connection) (topology.Status, statement.Reply, error) {
		return c.suspendOrDemote(conn, term)
	})
	if a.err == nil && a.status.Primary {
		a.err = errors.Errorf("endpoint %s still leads term %d", c.old.ID, a.status.Term)
	}
	c.oldStopped.Store(a.err == nil)
	if a.err != nil {
		klog.InfoS("Could not stop the old primary", "Group", c.group, "Endpoint", c.old.ID, "Error", a.err.Error())
	}
	return a
}

// suspendAll stops all members from receiving the log of a primary of a term lower
// than the given one. It returns an error unless all of them confirm: a single replica
// that still receives could acknowledge writes of the old primary.
func (c *change) suspendAll(ctx context.Context, others []topology.Endpoint, term uint64) ([]answer, error) {
	answers := c.controller.sendAll(ctx, others, func(conn *control.Connection) (topology.Status, statement.Reply, error) {
		return c.suspendOrDemote(conn, term)
	})
	return answers, checkSuspended(answers, term)
}

// recheck asks the members for their status once more, right before one is promoted.
// It returns an error if a replica is no longer suspended, as after a restart, or has
// received more of the log since, or if the old primary leads again.
func (c *change) recheck(ctx context.Context, replicas []answer, old answer, term uint64) error {
	members := make([]topology.Endpoint, 0, len(replicas)+1)
	for _, a := range replicas {
		members = append(members, a.endpoint)
	}
	answers := c.controller.statuses(ctx, members)
	if err := checkSuspended(answers, term); err != nil {
		return err
	}
	for i, a := range answers {
		if a.status.Received != replicas[i].status.Received {
			return errors.Errorf("the log of endpoint %s ends at %v, but ended at %v when it was suspended", a.endpoint.ID,
				a.status.Received, replicas[i].status.Received)
		}
	}
	if old.err != nil {
		return nil
	}
	if a := c.controller.statuses(ctx, []topology.Endpoint{c.old})[0]; a.err == nil && a.status.Primary {
		return errors.Errorf("old primary %s leads again", c.old.ID)
	}
	return nil
}

// checkSuspended returns an error for the first member whose answer does not confirm
// that it is suspended for the term.
func checkSuspended(answers []answer, term uint64) error {
	for _, a := range answers {
		if a.err == nil && !a.status.SuspendedFor(term) {
			a.err = errors.Errorf("primary=%v in term %d, suspended for term %d", a.status.Primary, a.status.Term, a.status.SuspendedTerm)
		}
		if a.err != nil {
			return errors.WithMessagef(a.err, "endpoint %s is not suspended for term %d", a.endpoint.ID, term)
		}
	}
	return nil
}

// resumeAll ends the suspension of members that an earlier attempt has suspended for
// a later term than the new primary's. Otherwise they would not receive its log.
func (c *change) resumeAll(ctx context.Context, others []topology.Endpoint, term uint64) {
	for _, a := range c.controller.statuses(ctx, others) {
		if a.err != nil || a.status.SuspendedTerm <= term {
			continue
		}
		resumed := c.controller.send(ctx, a.endpoint, func(conn *control.Connection) (topology.Status, statement.Reply, error) {
			return conn.Resume(c.controller.timer.Now().Add(commandTimeout))
		})
		klog.InfoS("Replica of an earlier attempt resumed", "Group", c.group, "Endpoint", a.endpoint.ID, "Suspended", a.status.SuspendedTerm,
			"Term", term, "Failed", resumed.err != nil, "Reason", c.reason.String(), "Token", c.record.Revision, "Holder", c.controller.name)
	}
}

// suspendOrDemote suspends one member. It makes a primary a replica first, because
// primaries cannot be suspended. Such a primary can be the old one under a new ID. One
// of an earlier term would become a replica that receives the log as soon as it learns
// of the later term. If a primary of the record's term or later became a replica, the
// old primary counts as stopped.
func (c *change) suspendOrDemote(conn *control.Connection, term uint64) (topology.Status, statement.Reply, error) {
	deadline := c.controller.timer.Now().Add(commandTimeout)
	s, reply, err := conn.Suspend(deadline, term)
	if err != nil || reply.Code != statement.OK || !s.Primary {
		return s, reply, err
	}
	klog.InfoS("Demoting a primary in order to suspend it", "Group", c.group, "Term", s.Term, "Newest", term-1,
		"Received", s.Received.String())
	ledTerm := s.Term
	s, reply, err = conn.Demote(deadline, term)
	if err != nil || reply.Code != statement.OK {
		return s, reply, err
	}
	if ledTerm >= c.record.Term && !s.Primary {
		c.oldStopped.Store(true)
	}
	return conn.Suspend(deadline, term)
}

// demoteOld makes the old primary a replica, unless its process was down or it has
// been stopped already.
func (c *change) demoteOld(ctx context.Context, term uint64) {
	if c.old.Address == "" || c.oldDown || c.oldStopped.Load() {
		return
	}
	a := c.controller.send(ctx, c.old, func(conn *control.Connection) (topology.Status, statement.Reply, error) {
		return conn.Demote(c.controller.timer.Now().Add(commandTimeout), term)
	})
	if a.err != nil {
		klog.InfoS("Could not demote the old primary", "Group", c.group, "Endpoint", c.old.ID, "Error", a.err.Error())
		return
	}
	klog.InfoS("Old primary demoted", "Group", c.group, "Endpoint", c.old.ID, "Term", a.status.Term,
		"Received", a.status.Received.String())
}
