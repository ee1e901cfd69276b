package failover

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/model/leadership"
	policy "eelgrassladder.example/eelgrassladder/internal/policy/failover"
)

// sighting is an election as this process first saw it. It is immutable.
type sighting struct {
	election leadership.Election
	// seen is the boot time at which this process learned of the election.
	seen time.Duration
	// refused is true if the order was refused, or never sent.
	refused bool
	// answered is true if the platform has answered the order, or refused it.
	answered bool
	// own is true if this process has made the election. An earlier process of the same name
	// can't get an answer any more.
	own bool
}

// withOwn returns the sighting of an election that this process has made.
func (s sighting) withOwn() sighting {
	s.own = true
	return s
}

// withRefused returns the sighting of an election whose order was refused.
func (s sighting) withRefused() sighting {
	s.refused, s.answered = true, true
	return s
}

// withAnswered returns the sighting of an election whose order was answered.
func (s sighting) withAnswered() sighting {
	s.answered = true
	return s
}

// order returns the order of the election as of a boot time.
func (s sighting) order(now time.Duration) policy.Order {
	return policy.Order{Endpoint: s.election.Endpoint, Token: s.election.Token, Answered: s.answered, Age: now - s.seen}
}

// noteElections records when this process learns of elections, also of groups that no route
// uses. The caller holds the mutex.
func (ct *Controller) noteElections() {
	for group, r := range ct.state.KnownRecords() {
		if r.Elected.Endpoint != "" || len(ct.elections[group]) > 0 {
			ct.noteElection(group, r)
		}
	}
}

// noteElection records when this process learns of the election in a group's record. A
// record without an election ends all earlier ones. The caller holds the mutex.
func (ct *Controller) noteElection(group string, r leadership.Record) {
	now, election := ct.clock.SinceBoot(), r.Elected
	if election.Endpoint == "" {
		delete(ct.elections, group)
		return
	}
	known := slices.Clone(ct.elections[group])
	if !slices.ContainsFunc(known, func(s sighting) bool { return s.election.Is(election) }) {
		// The elections whose orders are in doubt no more are dropped.
		known = slices.DeleteFunc(known, func(s sighting) bool { return now-s.seen >= policy.PromotionDoubt })
		known = append(known, sighting{election: election, seen: now})
	}
	for i, s := range known {
		if election.Answered {
			known[i] = s.withAnswered()
		}
	}
	ct.elections[group] = known
}

// noteOwnElection records that this process has made the election in a group's record.
func (ct *Controller) noteOwnElection(group string, r leadership.Record) {
	ct.mutex.Lock()
	defer ct.mutex.Unlock()
	ct.noteElection(group, r) // counts the time of the order from now
	ct.updateSighting(group, r.Elected, sighting.withOwn)
}

// updateSighting replaces the sighting of an election, if there is one. The caller holds the
// mutex.
func (ct *Controller) updateSighting(group string, e leadership.Election, update func(sighting) sighting) {
	known := slices.Clone(ct.elections[group])
	for i, s := range known {
		if s.election.Is(e) {
			known[i] = update(s)
		}
	}
	ct.elections[group] = known
}

// noteAllElections is noteElections with the mutex.
func (ct *Controller) noteAllElections() {
	ct.mutex.Lock()
	defer ct.mutex.Unlock()
	ct.noteElections()
}

// electionOver returns a group's record, and whether this proxy should remove the election
// from it: the record is open, and none of the group's orders is in doubt any more. A process
// that starts later would take the election for a new one. The caller holds the mutex.
func (ct *Controller) electionOver(group string) (leadership.Record, bool) {
	r := ct.state.Record(group)
	if r.Closed || r.Elected.Endpoint == "" {
		return r, false
	}
	ct.noteElection(group, r)
	now := ct.clock.SinceBoot()
	inDoubt := slices.ContainsFunc(ct.elections[group], func(s sighting) bool { return s.order(now).InDoubt() })
	return r, !inDoubt && policy.WriterIndex(ct.name, ct.state.Proxies(), group) == 0
}

// endElection removes the election from a record, unless the store has a newer one.
func (ct *Controller) endElection(ctx context.Context, r leadership.Record) {
	r = r.WithoutElection()
	if _, err := ct.write(ctx, &r, nil); err != nil {
		klog.InfoS("Could not remove the election from the record; the next attempt follows after a pause", "Group", r.Group, "Error", err.Error())
		timer.Pause(ctx, ct.timer, recordRetryDelay)
	}
}

// noteOutcome records the outcome of the order for an election: refused, answered, or an
// error that leaves it in doubt.
func (ct *Controller) noteOutcome(group string, election leadership.Election, err error) {
	ct.mutex.Lock()
	defer ct.mutex.Unlock()
	switch {
	case errors.Is(err, eelgrassladder.ErrPromotionRefused):
		ct.updateSighting(group, election, sighting.withRefused)
	case err == nil:
		ct.updateSighting(group, election, sighting.withAnswered)
	}
}

// latestOrder returns the latest order to promote a member of a group that was not
// refused, as far as this process knows.
func (ct *Controller) latestOrder(group string) policy.Order {
	ct.mutex.Lock()
	defer ct.mutex.Unlock()
	ct.noteElection(group, ct.state.Record(group))
	for _, s := range slices.Backward(ct.elections[group]) {
		if !s.refused {
			return s.order(ct.clock.SinceBoot())
		}
	}
	return policy.Order{}
}

// mayBeSeenAfter returns a group with an order that the platform may still see after one with the
// token, that order, and whether there is one. The platform compares the tokens of all groups.
func (ct *Controller) mayBeSeenAfter(token uint64) (string, policy.Order, bool) {
	ct.mutex.Lock()
	defer ct.mutex.Unlock()
	ct.noteElections()
	now := ct.clock.SinceBoot()
	for group, known := range ct.elections {
		for _, s := range known {
			if o := s.order(now); o.MayBeSeenAfter(token) {
				return group, o, true
			}
		}
	}
	return "", policy.Order{}, false
}

// ordersAnswered reports whether the platform sees no order of the group later, as far as
// this process knows.
func (ct *Controller) ordersAnswered(group string) bool {
	ct.mutex.Lock()
	defer ct.mutex.Unlock()
	ct.noteElection(group, ct.state.Record(group))
	now := ct.clock.SinceBoot()
	return !slices.ContainsFunc(ct.elections[group], func(s sighting) bool { return s.order(now).Unanswered() })
}

// noteAnswer records the time if the outcome of an order is an answer of the platform, which
// may have seen a refused order just now too.
func (ct *Controller) noteAnswer(err error) {
	ct.mutex.Lock()
	defer ct.mutex.Unlock()
	if err == nil || errors.Is(err, eelgrassladder.ErrPromotionRefused) {
		ct.unansweredSince, ct.lastPromotion = 0, ct.clock.SinceBoot()
	}
}

// leavesOrders reports whether this proxy leaves promotions to others, because the platform
// does not answer it. The caller holds the mutex.
func (ct *Controller) leavesOrders() bool {
	now := ct.clock.SinceBoot()
	return ct.unansweredSince > 0 && policy.LeavesOrders(now-ct.unansweredSince, now-ct.lastPromotion)
}

// checkAnswers returns an error while this proxy leaves promotions to others.
func (ct *Controller) checkAnswers() error {
	ct.mutex.Lock()
	defer ct.mutex.Unlock()
	if !ct.leavesOrders() {
		return nil
	}
	return errors.Errorf("the platform has answered no order of this proxy for %v; others may order",
		(ct.clock.SinceBoot() - ct.unansweredSince).Round(time.Millisecond))
}

// mustKeepLock reports whether this process waits for the answer to an order with the token of
// the lock, in a change of primary that it has not finished. It does not count the group
// except; empty for none.
func (ct *Controller) mustKeepLock(lock leadership.PromotionLock, except string) bool {
	ct.mutex.Lock()
	defer ct.mutex.Unlock()
	if ct.leavesOrders() {
		return false
	}
	now := ct.clock.SinceBoot()
	for group, known := range ct.elections {
		if r := ct.state.Record(group); group == except || !r.Closed || r.Holder != ct.name {
			continue
		}
		if slices.ContainsFunc(known, func(s sighting) bool {
			o := s.order(now)
			return s.own && o.Token == lock.FencingToken() && o.Unanswered()
		}) {
			return true
		}
	}
	return false
}
