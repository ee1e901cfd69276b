package failover

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/control"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/model/leader"
	"eelgrassladder.example/eelgrassladder/internal/model/leadership"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
	policy "eelgrassladder.example/eelgrassladder/internal/policy/failover"
)

const (
	// holdTime is how long a holder may act on its token. It is less than the
	// time after which another proxy takes an abandoned change over.
	holdTime = 2500 * time.Millisecond
	// quiesceTime lets work in flight at a primary end before a planned
	// change stops it.
	quiesceTime = 100 * time.Millisecond
	// orderTime bounds one order to an endpoint.
	orderTime = 300 * time.Millisecond
	// pollTime is the pause between questions whether a member leads yet.
	pollTime = 40 * time.Millisecond
	// promoteTime is how long a member may take to lead; it takes 300 to
	// 600 ms.
	promoteTime = 1500 * time.Millisecond
	// turnTime is how long a proxy that has ordered a promotion leaves the duty
	// to the next holder; the platform's lease of a duty is 3 s.
	turnTime = 3200 * time.Millisecond
	// retryPause is the wait before a change that could not begin is judged
	// again.
	retryPause = 80 * time.Millisecond
	// openPause is the wait before the record is opened once more.
	openPause = 60 * time.Millisecond
)

// judgement is the decision to replace the primary of a group.
type judgement struct {
	group string
	// revision is that of the group's record when it was judged.
	revision uint64
	reason   policy.Reason
	evidence policy.Evidence
	// judgedAt is the boot time of the evidence.
	judgedAt time.Duration
	// again is true if a change could not begin before: the evidence may be
	// older than an answer of the primary.
	again bool
}

// change is one change of primary.
type change struct {
	judgement
	keeper *Controller
	// dead is true if the old primary's process is known to be down.
	dead bool
	// old is the primary that is replaced; its ID may be empty.
	old topology.Endpoint
	// record is the closed record that this change has written.
	record leadership.Record
	// began is when the change took its token.
	began time.Duration
	// primary is what the old primary holds; zero if it does not tell.
	primary leader.Acknowledged
	// term is the newest term that a replica knew before the change.
	term uint64
	// listed holds the addresses of the members that the store listed once the
	// record was closed, by ID.
	listed map[string]string
	// found is true if the old primary has answered, under whichever ID.
	found bool
	// stopped is true once the old primary is a replica.
	stopped atomic.Bool
}

// change replaces the primary of a group that was judged, and reports whether
// it has begun to.
func (k *Controller) change(ctx context.Context, j judgement) bool {
	group, reason, e := j.group, j.reason, j.evidence
	l := k.table.Leader(group)
	before := k.beliefs.Record(group)
	if before.Revision != j.revision || l.Closed != (reason == policy.Abandoned) || ctx.Err() != nil {
		return false
	}
	c := &change{judgement: j, keeper: k, dead: e.Refused && e.Failures >= 2}
	c.old, _ = k.beliefs.Endpoints().Endpoint(l.Endpoint)
	c.old.ID = l.Endpoint
	err := c.check(ctx)
	if err == nil {
		err = c.close(ctx, l, before)
	}
	if err != nil {
		k.notes.Refused(k.timer.Now(), group, reason, err)
		timer.Pause(ctx, k.timer, retryPause)
		return false
	}
	klog.InfoS("Change of primary begun", "Group", group, "Reason", reason.String(), "Primary", l.Endpoint,
		"Term", l.Term, "Token", c.record.Revision, "SilentMs", e.SilentFor.Milliseconds(), "Failures", e.Failures,
		"Refused", e.Refused, "StalledMs", e.StalledFor.Milliseconds(), "OutpacedMs", e.OutpacedFor.Milliseconds())
	k.notes.Begun(group, reason)
	defer k.finished()
	for ctx.Err() == nil && k.clock.SinceBoot()-c.began < holdTime {
		next, err := c.promote(ctx)
		if err == nil {
			c.open(ctx, next)
			return true
		}
		klog.InfoS("Change of primary goes on", "Group", group, "Token", c.record.Revision, "Error", err.Error())
		timer.Pause(ctx, k.timer, pollTime)
	}
	klog.InfoS("Change of primary given up", "Group", group, "Token", c.record.Revision)
	k.notes.Ended(group, reason, GivenUp)
	c.release(ctx)
	return true
}

// finished notes the end of a change.
func (k *Controller) finished() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.changing--
}

// alone reports whether no other change of this proxy is under way.
func (k *Controller) alone() bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.changing <= 1
}

// used notes that this proxy orders a promotion, and resting reports whether it
// has lately. It leaves the duty to a proxy that has taken it since: two must
// not take turns.
func (k *Controller) used() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.ordered = k.clock.SinceBoot()
}

func (k *Controller) resting() bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.ordered > 0 && k.clock.SinceBoot()-k.ordered < turnTime
}

// release gives the duty back, so that another proxy need not wait for it.
func (c *change) release(ctx context.Context) {
	k := c.keeper
	d := k.beliefs.PromotionLock()
	if d.Holder != k.name || !k.alone() {
		return
	}
	_, err := k.store.Apply(ctx, []eelgrassladder.Expectation{{Key: leadership.PromotionLockKey, Revision: d.Revision}},
		[]eelgrassladder.Put{{Key: leadership.PromotionLockKey, Value: d.WithHolder(k.name, false).Bytes()}}, nil)
	if err != nil {
		klog.InfoS("Duty not given back", "Error", err.Error())
	}
}

// close takes the token and closes the group's record for all proxies.
func (c *change) close(ctx context.Context, l leader.State, before leadership.Record) error {
	k := c.keeper
	duty := k.beliefs.PromotionLock()
	if !policy.MayTakeDuty(k.name, duty.Holder, duty.Busy, k.clock.SinceBoot()-duty.Seen) {
		return errors.Errorf("proxy %s holds the duty", duty.Holder)
	}
	if duty.Holder != k.name && k.resting() {
		return errors.Errorf("this proxy held the duty before %s", duty.Holder)
	}
	taken := duty.WithHolder(k.name, true)
	term := max(l.Term, before.Term)
	if term == 0 {
		term = c.term
	}
	before.Group = c.group
	record := before.WithPrimary(l.Endpoint, term).WithClosed(k.name)
	c.began = k.clock.SinceBoot()
	revision, err := k.store.Apply(ctx,
		[]eelgrassladder.Expectation{
			{Key: leadership.Key(c.group), Revision: before.Revision}, {Key: leadership.PromotionLockKey, Revision: duty.Revision},
		},
		[]eelgrassladder.Put{
			{Key: leadership.Key(c.group), Value: record.Bytes()}, {Key: leadership.PromotionLockKey, Value: taken.Bytes()},
		}, nil)
	if err != nil {
		return err
	}
	c.record = record.WithRevision(revision)
	k.mutex.Lock()
	k.changing++
	k.mutex.Unlock()
	k.beliefs.LearnPromotionLock(taken.WithRevision(revision, c.began))
	k.beliefs.LearnRecord(c.record)
	return nil
}

// promote stops the old primary, suspends the other members, has the best of
// them promoted and waits until it leads.
func (c *change) promote(ctx context.Context) (successor, error) {
	k := c.keeper
	if c.reason == policy.Leaving || c.reason == policy.Outpaced {
		timer.Pause(ctx, k.timer, quiesceTime)
	}
	old := c.stop(ctx)
	c.tells(old)
	others, revision, err := c.members(ctx)
	if err != nil {
		return successor{}, err
	}
	all := len(others)
	others = slices.DeleteFunc(others, func(e topology.Endpoint) bool { return !c.must(e) })
	term, leading, err := c.newest(ctx, others)
	if err != nil {
		return successor{}, err
	}
	if leading != nil {
		c.resume(ctx, others, leading.status.Term)
		return c.made(*leading, others), c.settle(ctx, k.clock.SinceBoot())
	}
	replicas, err := c.suspend(ctx, others, term+1)
	if err != nil {
		return successor{}, err
	}
	if len(others) < all && !c.stopped.Load() {
		c.found = false
		return successor{}, errors.New("the old primary is not stopped, and members that are not listed were left out")
	}
	suspended := k.clock.SinceBoot()
	if err := c.recheck(ctx, replicas, old, term+1); err != nil {
		return successor{}, err
	}
	next, err := c.elect(replicas, old, revision)
	if err != nil {
		return successor{}, err
	}
	duty := k.beliefs.PromotionLock()
	if k.clock.SinceBoot()-c.began > holdTime || duty.Holder != k.name {
		return successor{}, errors.Errorf("proxy %s holds the duty", duty.Holder)
	}
	k.used()
	if err := k.promoter.Promote(ctx, c.group, next.ID, duty.Revision); err != nil {
		klog.InfoS("Promotion without an answer", "Group", c.group, "Endpoint", next.ID, "Error", err.Error())
	}
	led, err := c.awaitLead(ctx, next)
	if err != nil {
		return successor{}, err
	}
	c.resume(ctx, others, led.status.Term)
	return c.made(led, others), c.settle(ctx, suspended)
}

// successor is the member that leads next.
type successor struct {
	id   string
	term uint64
	// log is where its log ended when it was seen to lead.
	log position.Position
	// members are those that were compared with it.
	members map[string]string
}

// made is the successor that an answer shows to lead.
func (c *change) made(a answer, others []topology.Endpoint) successor {
	members := addresses(others)
	if c.old.Address != "" {
		members[c.old.ID] = c.old.Address
	}
	return successor{id: a.endpoint.ID, term: a.status.Term, log: a.status.Received, members: members}
}

// settle waits until no proxy can still hold the old primary for the current
// one. That is at once if its process is down.
func (c *change) settle(ctx context.Context, suspended time.Duration) error {
	if c.dead && c.stillDown(ctx) {
		return nil
	}
	if rest := suspended + leader.ProofLifetime - c.keeper.clock.SinceBoot(); rest > 0 {
		timer.Pause(ctx, c.keeper.timer, rest)
	}
	return ctx.Err()
}

// stillDown reports whether the old primary's host still refuses connections.
// If its process starts again later, it finds that another member leads.
func (c *change) stillDown(ctx context.Context) bool {
	if c.old.Address == "" {
		return false
	}
	n, err := c.keeper.dialer.DialUrgent(ctx, c.old)
	if err == nil {
		n.Release(nil, position.Position{})
	}
	return control.Refused(err)
}

// open opens the record for the new primary, and tells the old one. All that
// the new primary holds is kept from now on.
func (c *change) open(ctx context.Context, next successor) {
	k := c.keeper
	record := c.record.WithPrimary(next.id, next.term).WithAcknowledged(next.log).WithMembers(next.members)
	k.beliefs.LearnUnwritten(record)
	for ctx.Err() == nil {
		now := k.beliefs.Record(c.group)
		if now.Revision > c.record.Revision {
			break
		}
		expected := []eelgrassladder.Expectation{{Key: leadership.Key(c.group), Revision: c.record.Revision}}
		puts := []eelgrassladder.Put{{Key: leadership.Key(c.group), Value: record.Bytes()}}
		duty := k.beliefs.PromotionLock()
		if duty.Holder == k.name && duty.Busy && k.alone() {
			duty = duty.WithHolder(k.name, false)
			expected = append(expected, eelgrassladder.Expectation{Key: leadership.PromotionLockKey, Revision: duty.Revision})
			puts = append(puts, eelgrassladder.Put{Key: leadership.PromotionLockKey, Value: duty.Bytes()})
		}
		revision, err := k.store.Apply(ctx, expected, puts, nil)
		if err == nil {
			k.beliefs.LearnRecord(record.WithRevision(revision))
			if len(puts) > 1 {
				k.beliefs.LearnPromotionLock(duty.WithRevision(revision, k.clock.SinceBoot()))
			}
			klog.InfoS("Change of primary done", "Group", c.group, "Primary", next.id, "Term", next.term,
				"Log", next.log.String(), "Reason", c.reason.String(), "TookMs", (k.clock.SinceBoot() - c.began).Milliseconds())
			k.notes.Ended(c.group, c.reason, Done)
			break
		}
		klog.InfoS("Record not opened yet", "Group", c.group, "Error", err.Error())
		timer.Pause(ctx, k.timer, openPause)
	}
	c.demote(ctx, next.term)
}
