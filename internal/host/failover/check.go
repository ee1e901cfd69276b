package failover

import (
	"context"
	"slices"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
	policy "eelgrassladder.example/eelgrassladder/internal/policy/failover"
)

// check returns an error, before anything is stopped, if the change cannot succeed
// or is not worth its cost. All required members must answer, and the log of at least
// one must hold all acknowledged commits. A stalled primary is replaced only if no
// replica has received its whole log, an outpaced one only if all replicas lag.
func (c *change) check(ctx context.Context) error {
	replicas, departed := c.controller.replicas(c.group, c.old.ID), c.controller.departedMembers(c.group)
	if len(replicas) == 0 {
		return errors.New("the group has no replica")
	}
	if err := c.checkOrders(); err != nil {
		return err
	}
	// The primary is asked first: a healthy replica has received, when it is asked
	// later, all that the primary had when it answered.
	old := answer{err: errNotAsked}
	if c.oldReachable() {
		old = c.controller.statuses(ctx, []topology.Endpoint{c.old})[0]
		c.noteOldLog(old)
	}
	answers := c.controller.statuses(ctx, append(replicas, departed...))
	answers = append(answers[:len(replicas)], c.readmitDeparted(answers[len(replicas):])...)
	c.leaderAnswered = c.leads(old) || slices.ContainsFunc(answers, c.leads)
	for _, a := range answers {
		if a.err != nil && c.required(a.endpoint) {
			return errors.WithMessagef(a.err, "asking endpoint %s for its status", a.endpoint.ID)
		}
		c.replicaTerm = max(c.replicaTerm, a.status.Term)
		if c.leads(a) {
			c.noteOldLog(a)
		}
	}
	answers = slices.DeleteFunc(answers, func(a answer) bool { return a.err != nil })
	c.checkedEnds = make(map[string]position.Position, len(answers))
	for _, a := range answers {
		c.checkedEnds[a.endpoint.ID] = a.status.Received
	}
	if err := c.checkElectable(old, answers); err != nil {
		return err
	}
	if err := c.checkReason(ctx, old, answers); err != nil {
		return err
	}
	if c.succeeds(old) || slices.ContainsFunc(answers, c.succeeds) {
		return nil // no promotion has to be ordered
	}
	return c.checkPlatform(ctx)
}

// checkPlatform returns an error if this proxy could not order a promotion now. Another one may
// be able to, so it has to be known before the record is closed.
func (c *change) checkPlatform(ctx context.Context) error {
	ct := c.controller
	if err := ct.checkAnswers(); err != nil {
		return err
	}
	if err := ct.checkLock(ct.state.PromotionLock()); err != nil {
		return err
	}
	return errors.WithMessage(ct.promoter.Ping(ctx), "asking whether the platform answers this proxy")
}

// checkReason returns an error if what the members answered rules out the reason of the change.
func (c *change) checkReason(ctx context.Context, old answer, answers []answer) error {
	switch c.reason {
	case policy.Down, policy.Unresponsive, policy.Unlisted:
		return c.checkSilent(ctx)
	case policy.Stalled:
		return checkStalled(old, answers)
	case policy.Outpaced:
		return checkOutpaced(answers)
	default:
		return nil
	}
}

// leads reports whether a member has answered that it leads the term of the
// group's record, or a later one.
func (c *change) leads(a answer) bool {
	return a.err == nil && a.status.Primary && a.status.Term >= c.controller.state.Record(c.group).Term
}

// succeeds reports whether a member has answered that it leads a later term than that of the
// group's record.
func (c *change) succeeds(a answer) bool {
	return a.leadsAfter(c.controller.state.Record(c.group).Term)
}

// required reports whether the change needs the member's answer. It needs those of
// listed members. An unlisted member may be the only one other than the old primary
// that has received some commits, and may still acknowledge more. Its answer is not needed
// once a member has answered that it leads, because that one's log is then compared
// and an old primary is stopped.
func (c *change) required(e topology.Endpoint) bool {
	_, listed := c.controller.state.Endpoints().Endpoint(e.ID)
	return !c.leaderAnswered || listed || slices.ContainsFunc(c.listed, func(l topology.Endpoint) bool { return l.ID == e.ID })
}

// readmitDeparted returns the answers of departed members that are still alive, and
// counts those as members again, because they may still acknowledge commits.
func (c *change) readmitDeparted(departed []answer) []answer {
	var alive []answer
	for _, a := range departed {
		if a.err == nil {
			klog.InfoS("Unlisted member still answers", "Group", c.group, "Endpoint", a.endpoint.ID)
			c.controller.noteListed(c.group, []topology.Endpoint{a.endpoint})
			alive = append(alive, a)
		}
	}
	return alive
}

// checkElectable returns an error if no member could lead without losing
// acknowledged commits. The old primary is a candidate too if the change continues an
// abandoned one, which may have stopped it, or if it is stalled because such a change
// has left replicas suspended.
func (c *change) checkElectable(old answer, replicas []answer) error {
	members := replicas
	suspended := slices.ContainsFunc(replicas, func(a answer) bool { return a.status.SuspendedTerm > 0 })
	if c.reason == policy.Abandoned || (c.reason == policy.Stalled && suspended) {
		members = append(members[:len(members):len(members)], old)
	}
	floor, err := c.requiredPosition()
	if err != nil {
		return err
	}
	if _, ok := policy.Elect(candidates(members), floor.Position); !ok {
		return c.noCandidate(members, floor)
	}
	return nil
}

// checkSilent returns an error if a retry finds that the primary answers again. It
// asks the primary after the replicas, which may by now have received from it what
// they lacked at the first attempt.
func (c *change) checkSilent(ctx context.Context) error {
	if !c.retry || c.old.Address == "" {
		return nil
	}
	if old := c.controller.statuses(ctx, []topology.Endpoint{c.old})[0]; old.err == nil && old.status.Primary {
		return errors.Errorf("primary %s answers again", c.old.ID)
	}
	return nil
}

// checkStalled returns an error if a replica that is not suspended has received
// the primary's whole log.
func checkStalled(old answer, replicas []answer) error {
	if old.err != nil {
		return nil // a stalled primary that does not answer either is replaced
	}
	for _, a := range replicas {
		if a.status.Received.Covers(old.status.Received) && a.status.SuspendedTerm == 0 {
			return errors.Errorf("replica %s has received the primary's whole log", a.endpoint.ID)
		}
	}
	return nil
}

// checkOutpaced returns an error if the lag of a replica is below
// policy.OutpacedLag.
func checkOutpaced(replicas []answer) error {
	for _, a := range replicas {
		if a.status.Lag < policy.OutpacedLag {
			return errors.Errorf("endpoint %s lags by only %v", a.endpoint.ID, a.status.Lag)
		}
	}
	return nil
}
