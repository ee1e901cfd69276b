package succession

import (
	"context"

	"github.com/pkg/errors"

	policy "eelgrassladder.example/eelgrassladder/internal/policy/succession"
	"eelgrassladder.example/eelgrassladder/internal/trade/roster"
)

// check makes sure that the change can succeed, and is of use, before anything
// is stopped for it: all replicas answer, and a member holds what is kept. For
// a primary whose commits are late, no replica has what it has; for one that
// cannot carry all reads, all of them apply its log late.
func (c *change) check(ctx context.Context) error {
	replicas := c.keeper.replicas(c.group, c.old.ID)
	if len(replicas) == 0 {
		return errors.New("the group has no replica")
	}
	// The primary comes first: what it has then, a sound replica has by now.
	old := answer{err: errors.New("not asked")}
	if c.stoppable() {
		old = c.statuses(ctx, []roster.Endpoint{c.old})[0]
		c.assume(old)
	}
	answers := c.statuses(ctx, replicas)
	for _, a := range answers {
		if a.err != nil {
			return errors.WithMessagef(a.err, "endpoint %s", a.endpoint.ID)
		}
		c.term = max(c.term, a.status.Term)
	}
	if err := c.checkKept(old, answers); err != nil {
		return err
	}
	switch c.reason {
	case policy.Stalled:
		return checkStalled(old, answers)
	case policy.Outpaced:
		return checkOutpaced(answers)
	default:
		return nil
	}
}

// checkKept returns an error if nobody could lead without losing commits. A
// primary that was stopped in an abandoned change may lead again.
func (c *change) checkKept(old answer, replicas []answer) error {
	members := replicas
	if c.reason == policy.Abandoned {
		members = append(members[:len(members):len(members)], old)
	}
	kept := c.kept()
	if _, ok := policy.Elect(candidates(members), kept.Position); !ok {
		return c.lacking(members, kept)
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
