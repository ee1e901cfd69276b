package failover

import (
	"context"
	"slices"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder/internal/model/topology"
	policy "eelgrassladder.example/eelgrassladder/internal/policy/failover"
)

// check makes sure that the change can succeed, and is of use, before anything
// is stopped for it: all replicas answer, and a member holds what is kept. For
// a primary whose commits are late, no replica has what it has; for one that
// cannot carry all reads, all of them apply its log late.
func (c *change) check(ctx context.Context) error {
	replicas, lapsed := c.keeper.replicas(c.group, c.old.ID), c.keeper.lapsed(c.group)
	if len(replicas) == 0 {
		return errors.New("the group has no replica")
	}
	// The primary comes first: what it has then, a sound replica has by now.
	old := answer{err: errNotAsked}
	if c.stoppable() {
		old = c.statuses(ctx, []topology.Endpoint{c.old})[0]
		c.tells(old)
	}
	answers := c.statuses(ctx, append(replicas, lapsed...))
	answers = append(answers[:len(replicas)], c.alive(answers[len(replicas):])...)
	c.found = c.leads(old) || slices.ContainsFunc(answers, c.leads)
	for _, a := range answers {
		if a.err != nil && c.must(a.endpoint) {
			return errors.WithMessagef(a.err, "endpoint %s", a.endpoint.ID)
		}
		c.term = max(c.term, a.status.Term)
		if c.leads(a) {
			c.tells(a)
		}
	}
	answers = slices.DeleteFunc(answers, func(a answer) bool { return a.err != nil })
	if err := c.checkKept(old, answers); err != nil {
		return err
	}
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
	return a.err == nil && a.status.Primary && a.status.Term >= c.keeper.beliefs.Record(c.group).Term
}

// must reports whether a change cannot go on without a member. One that is not
// listed may hold what nobody else does but the old primary, and may acknowledge
// more; where the old primary is stopped and compared it can do neither.
func (c *change) must(e topology.Endpoint) bool {
	_, seen := c.keeper.beliefs.Endpoints().Endpoint(e.ID)
	return !c.found || seen || c.listed[e.ID] != ""
}

// alive returns the answers of members that are not listed and live on. They
// are members until they are silent: they may acknowledge still.
func (c *change) alive(lapsed []answer) []answer {
	var found []answer
	for _, a := range lapsed {
		if a.err == nil {
			klog.InfoS("Member is not listed and answers", "Group", c.group, "Endpoint", a.endpoint.ID)
			c.keeper.sight(c.group, []topology.Endpoint{a.endpoint})
			found = append(found, a)
		}
	}
	return found
}

// checkKept returns an error if nobody could lead without losing commits. The
// old primary may lead again if it was stopped in an abandoned change, or is
// stalled by a suspension that such a change has left behind.
func (c *change) checkKept(old answer, replicas []answer) error {
	members := replicas
	left := slices.ContainsFunc(replicas, func(a answer) bool { return a.status.Suspended > 0 })
	if c.reason == policy.Abandoned || (c.reason == policy.Stalled && left) {
		members = append(members[:len(members):len(members)], old)
	}
	kept, err := c.floor()
	if err != nil {
		return err
	}
	if _, ok := policy.Elect(candidates(members), kept.Position); !ok {
		return c.lacking(members, kept)
	}
	return nil
}

// checkSilent returns an error if the primary answers again. It is asked after
// the replicas: what they lacked before, they may have from it.
func (c *change) checkSilent(ctx context.Context) error {
	if !c.again || c.old.Address == "" {
		return nil
	}
	if old := c.statuses(ctx, []topology.Endpoint{c.old})[0]; old.err == nil && old.status.Primary {
		return errors.New("the primary answers again")
	}
	return nil
}

// checkStalled returns an error if a replica has all that the primary has.
func checkStalled(old answer, replicas []answer) error {
	if old.err != nil {
		return nil // it does not answer either
	}
	for _, a := range replicas {
		if a.status.Received.Covers(old.status.Received) && a.status.Suspended == 0 {
			return errors.New("a replica has received all commits")
		}
	}
	return nil
}

// checkOutpaced returns an error if a replica applies the log soon.
func checkOutpaced(replicas []answer) error {
	for _, a := range replicas {
		if a.status.Lag < policy.OutpacedLag {
			return errors.Errorf("endpoint %s lags by %v only", a.endpoint.ID, a.status.Lag)
		}
	}
	return nil
}
