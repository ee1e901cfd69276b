package failover

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/model/leadership"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
	policy "eelgrassladder.example/eelgrassladder/internal/policy/failover"
)

const (
	// electionTimeout is the timeout of the write that names the elected member.
	electionTimeout = 500 * time.Millisecond
	// answerTimeout bounds the wait for the answer to an order. After an order without an
	// answer, the proxy asks the member itself whether it leads.
	answerTimeout = 500 * time.Millisecond
	// refusalDelay is the wait after a promotion was refused. The platform limits the
	// calls per second.
	refusalDelay = 150 * time.Millisecond
)

// errNoAnswerYet is the outcome of an order whose answer is still awaited.
var errNoAnswerYet = errors.Errorf("no answer for %v; it is still awaited", answerTimeout)

// heedOrder returns the candidate to promote, given the one that was elected among the
// members asked. It returns an error while an order for another member is in doubt that
// must not be promoted either.
func (c *change) heedOrder(elected policy.Candidate, asked []answer) (policy.Candidate, error) {
	order := c.controller.latestOrder(c.group)
	allowed, ok := order.Restrict(elected, candidates(asked))
	if !ok {
		return allowed, errInDoubt(order, elected.ID)
	}
	return allowed, nil
}

// errInDoubt returns the error of an election while an order for another member is in doubt.
func errInDoubt(o policy.Order, elected string) error {
	return errors.Errorf("endpoint %s was ordered to lead %v ago and may still do so, but %s would be promoted now",
		o.Endpoint, o.Age.Round(time.Millisecond), elected)
}

// checkOrders returns an error if an order may still make the old primary lead again after
// this change, or if the change would have to wait for an order of another holder while the
// group's record is closed.
func (c *change) checkOrders() error {
	ct := c.controller
	if order := ct.latestOrder(c.group); order.Blocks(c.old.ID, c.reason) {
		return errors.Errorf("primary %s was ordered to lead more than once, the last time %v ago, and may lead again after it is replaced",
			order.Endpoint, order.Age.Round(time.Millisecond))
	}
	if c.reason == policy.Abandoned {
		return nil // the member that was ordered may lead by now
	}
	return c.checkToken(ct.withSelf(ct.state.PromotionLock()))
}

// checkToken returns an error while the platform may see an order of an earlier holder
// after one with the token of the lock.
func (c *change) checkToken(lock leadership.PromotionLock) error {
	group, order, found := c.controller.mayBeSeenAfter(lock.FencingToken())
	if !found {
		return nil
	}
	return errors.Errorf("the order of endpoint %s in group %s with token %d was not answered, and the platform may see it after one with token %d; it is known for %v",
		order.Endpoint, group, order.Token, lock.FencingToken(), order.Age.Round(time.Millisecond))
}

// order has a member promoted, after it has named the member in the group's record, and
// returns the boot time at which the promotion was ordered. It returns an error if the
// promotion was refused or not ordered; without an answer, the member may still lead.
func (c *change) order(ctx context.Context, elected topology.Endpoint) (time.Duration, error) {
	ct := c.controller
	token, err := c.recordElection(ctx, elected)
	if err != nil {
		return 0, errors.WithMessagef(err, "recording the election of endpoint %s", elected.ID)
	}
	if held := ct.clock.SinceBoot() - c.began; held > maxTimeToPromote {
		ct.noteOutcome(c.group, c.written.Elected, eelgrassladder.ErrPromotionRefused) // not sent
		return 0, errors.Errorf("the change took the promotion lock %v ago; at most %v is allowed", held, maxTimeToPromote)
	}
	ct.notePromotion()
	o := eelgrassladder.PromotionOrder{Group: c.group, Endpoint: elected.ID, Token: token, SendBy: c.began + maxTimeToPromote}
	orderedAt := c.logOrdered(elected, token)
	err = c.awaitAnswer(o, orderedAt, c.sendOrder(o, orderedAt))
	if errors.Is(err, eelgrassladder.ErrPromotionRefused) {
		timer.Pause(ctx, ct.timer, refusalDelay)
		return 0, errors.WithMessagef(err, "promoting endpoint %s", elected.ID)
	}
	return orderedAt, nil
}

// sendOrder sends an order, and returns a channel that receives its outcome. The answer is
// awaited, and noted, for as long as the order is in doubt, even if the change has ended.
func (c *change) sendOrder(o eelgrassladder.PromotionOrder, orderedAt time.Duration) <-chan error {
	ct, election := c.controller, c.written.Elected
	outcome := make(chan error, 1)
	ct.tasks.GoIsolated("order to promote a member", func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, policy.PromotionDoubt)
		defer cancel()
		err := ct.promoter.Promote(ctx, o)
		ct.noteOutcome(o.Group, election, err)
		ct.noteAnswer(err)
		c.logOrderAnswered(o, orderedAt, err)
		outcome <- err
	})
	return outcome
}

// awaitAnswer returns the outcome of an order, or errNoAnswerYet after answerTimeout.
func (c *change) awaitAnswer(o eelgrassladder.PromotionOrder, orderedAt time.Duration, outcome <-chan error) error {
	timeout := c.controller.timer.Once(answerTimeout)
	defer timeout.Stop()
	select {
	case err := <-outcome:
		return err
	case <-timeout.C():
		c.logOrderAnswered(o, orderedAt, errNoAnswerYet)
		return errNoAnswerYet
	}
}

// recordElection names the elected member in the closed record, so that no other member is
// promoted while the order for this one may still be executed. It returns the fencing
// token. The write succeeds only if no other proxy has taken the promotion lock or the
// group's change, and proves that this proxy may promote. It is repeated if another change
// of this proxy has written the lock meanwhile.
func (c *change) recordElection(ctx context.Context, elected topology.Endpoint) (uint64, error) {
	for {
		lock := c.controller.state.PromotionLock()
		err := c.tryRecordElection(ctx, elected, lock)
		if !errors.Is(err, eelgrassladder.ErrConflict) || c.controller.state.PromotionLock().Revision == lock.Revision {
			return lock.FencingToken(), err
		}
	}
}

// tryRecordElection writes the election, under a state of the promotion lock. It writes the
// lock as well: that renews it, and a proxy that takes it later must know of the election,
// even if that is of another group.
func (c *change) tryRecordElection(ctx context.Context, elected topology.Endpoint, lock leadership.PromotionLock) error {
	ct := c.controller
	c.adoptWritten()
	if held := ct.clock.SinceBoot() - c.began; held > maxTimeToPromote || lock.Holder != ct.name {
		return errors.Errorf("the change took the promotion lock %v ago (at most %v is allowed), and proxy %s holds the lock now",
			held, maxTimeToPromote, lock.Holder)
	}
	if err := c.checkToken(lock); err != nil {
		return err
	}
	if err := ct.checkAnswers(); err != nil {
		return err
	}
	earlier := ct.latestOrder(c.group)
	if _, ok := earlier.Restrict(policy.Candidate{ID: elected.ID}, nil); !ok {
		return errInDoubt(earlier, elected.ID) // the adopted record names another member
	}
	record := c.written.WithElected(elected.ID, lock.FencingToken(), earlier.InDoubt() && earlier.Endpoint == elected.ID)
	renewed := ct.withSelf(lock)
	ctx, cancel := context.WithTimeout(ctx, electionTimeout)
	defer cancel()
	written, err := ct.write(ctx, &record, &renewed)
	if err != nil {
		return err
	}
	c.written = record.WithRevision(written)
	ct.noteOwnElection(c.group, c.written)
	return nil
}

// adoptWritten adopts a newer closed record of this proxy: the answer to a write of an
// earlier attempt was lost.
func (c *change) adoptWritten() {
	current := c.controller.state.Record(c.group)
	if current.Revision > c.written.Revision && current.Closed && current.Holder == c.controller.name {
		c.written = current
		c.controller.noteOwnElection(c.group, current)
	}
}
