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
	// maxHoldTime is how long a proxy may act on its fencing token. It is shorter
	// than the time after which another proxy takes over an abandoned change.
	maxHoldTime = 2500 * time.Millisecond
	// drainTime lets work in flight finish at the old primary before a planned
	// change stops it.
	drainTime = 100 * time.Millisecond
	// commandTimeout bounds one command to an endpoint.
	commandTimeout = 300 * time.Millisecond
	// pollInterval is the pause between checks whether the promoted member leads.
	pollInterval = 40 * time.Millisecond
	// promotionTimeout is how long a promoted member may take to lead. Members
	// usually take 300 to 600 ms.
	promotionTimeout = 1500 * time.Millisecond
	// lockCooldown is how long a proxy that has ordered a promotion leaves the
	// promotion lock to the next holder. The platform leases the lock for 3 s.
	lockCooldown = 3200 * time.Millisecond
	// retryDelay is the wait before a group whose change could not begin is
	// checked again.
	retryDelay = 80 * time.Millisecond
	// openRetryDelay is the wait before another attempt to open the record.
	openRetryDelay = 60 * time.Millisecond
)

// decision is the decision to replace the primary of a group.
type decision struct {
	group string
	// revision is that of the group's record at the time of the decision.
	revision uint64
	reason   policy.Reason
	evidence policy.Evidence
	// decidedAt is the boot time of the evidence.
	decidedAt time.Duration
	// retry is true if an earlier change could not begin. The primary may have
	// answered since the evidence was collected.
	retry bool
}

// change is one attempt to replace the primary of a group.
type change struct {
	decision
	controller *Controller
	// oldDown is true if the old primary's process is known to be down.
	oldDown bool
	// old is the primary to replace; its ID may be empty.
	old topology.Endpoint
	// record is the closed record that this change wrote.
	record leadership.Record
	// began is the boot time at which the change took the promotion lock.
	began time.Duration
	// oldLog is the end of the old primary's log; zero if it has not answered.
	oldLog leader.Acknowledged
	// replicaTerm is the newest term that a replica reported before the change.
	replicaTerm uint64
	// listedAddresses holds the addresses, by ID, of the members that the store
	// listed after the record was closed.
	listedAddresses map[string]string
	// oldAnswered is true if the old primary has answered, under any ID.
	oldAnswered bool
	// oldStopped is true once the old primary has become a replica.
	oldStopped atomic.Bool
}

// change replaces the primary of a group as decided. It reports whether the
// change has begun, that is, whether the group's record was closed.
func (ct *Controller) change(ctx context.Context, d decision) bool {
	group, reason, e := d.group, d.reason, d.evidence
	l := ct.table.Leader(group)
	before := ct.state.Record(group)
	if before.Revision != d.revision || l.Closed != (reason == policy.Abandoned) || ctx.Err() != nil {
		return false
	}
	c := &change{decision: d, controller: ct, oldDown: e.Refused && e.Failures >= 2}
	c.old, _ = ct.state.Endpoints().Endpoint(l.Endpoint)
	c.old.ID = l.Endpoint
	err := c.check(ctx)
	if err == nil {
		err = c.closeRecord(ctx, l, before)
	}
	if err != nil {
		ct.reporter.Refused(ct.timer.Now(), group, reason, err)
		timer.Pause(ctx, ct.timer, retryDelay)
		return false
	}
	klog.InfoS("Change of primary begun", "Group", group, "Reason", reason.String(), "Primary", l.Endpoint,
		"Term", l.Term, "Token", c.record.Revision, "SilentMs", e.SilentFor.Milliseconds(), "Failures", e.Failures,
		"Refused", e.Refused, "StalledMs", e.StalledFor.Milliseconds(), "OutpacedMs", e.OutpacedFor.Milliseconds())
	ct.reporter.Begun(group, reason)
	defer ct.changeEnded()
	for ctx.Err() == nil && ct.clock.SinceBoot()-c.began < maxHoldTime {
		next, err := c.promote(ctx)
		if err == nil {
			c.openRecord(ctx, next)
			return true
		}
		klog.InfoS("Change of primary goes on", "Group", group, "Token", c.record.Revision, "Error", err.Error())
		timer.Pause(ctx, ct.timer, pollInterval)
	}
	klog.InfoS("Change of primary given up", "Group", group, "Token", c.record.Revision)
	ct.reporter.Ended(group, reason, GivenUp)
	c.releaseLock(ctx)
	return true
}

// changeEnded counts down the changes under way.
func (ct *Controller) changeEnded() {
	ct.mutex.Lock()
	defer ct.mutex.Unlock()
	ct.changes--
}

// onlyChange reports whether no other change of this proxy is under way.
func (ct *Controller) onlyChange() bool {
	ct.mutex.Lock()
	defer ct.mutex.Unlock()
	return ct.changes <= 1
}

// notePromotion notes the time at which this proxy orders a promotion.
func (ct *Controller) notePromotion() {
	ct.mutex.Lock()
	defer ct.mutex.Unlock()
	ct.lastPromotion = ct.clock.SinceBoot()
}

// coolingDown reports whether this proxy has ordered a promotion within
// lockCooldown. Until then it leaves the promotion lock to a proxy that has
// taken it since, so that two proxies do not take it from each other in turns.
func (ct *Controller) coolingDown() bool {
	ct.mutex.Lock()
	defer ct.mutex.Unlock()
	return ct.lastPromotion > 0 && ct.clock.SinceBoot()-ct.lastPromotion < lockCooldown
}

// releaseLock releases the promotion lock, so that another proxy need not wait
// for it to expire. It keeps the lock while other changes of this proxy need it.
func (c *change) releaseLock(ctx context.Context) {
	ct := c.controller
	d := ct.state.PromotionLock()
	if d.Holder != ct.name || !ct.onlyChange() {
		return
	}
	_, err := ct.store.Apply(ctx, []eelgrassladder.Expectation{{Key: leadership.PromotionLockKey, Revision: d.Revision}},
		[]eelgrassladder.Put{{Key: leadership.PromotionLockKey, Value: d.WithHolder(ct.name, false).Bytes()}}, nil)
	if err != nil {
		klog.InfoS("Could not release the promotion lock", "Error", err.Error())
	}
}

// closeRecord takes the promotion lock and closes the group's record, in one
// write to the store. From then on no proxy sends work to the old primary.
func (c *change) closeRecord(ctx context.Context, l leader.State, before leadership.Record) error {
	ct := c.controller
	lock := ct.state.PromotionLock()
	if !policy.MayTakeLock(ct.name, lock.Holder, lock.Busy, ct.clock.SinceBoot()-lock.Seen) {
		return errors.Errorf("proxy %s holds the promotion lock", lock.Holder)
	}
	if lock.Holder != ct.name && ct.coolingDown() {
		return errors.Errorf("this proxy held the promotion lock before %s", lock.Holder)
	}
	taken := lock.WithHolder(ct.name, true)
	term := max(l.Term, before.Term)
	if term == 0 {
		term = c.replicaTerm
	}
	before.Group = c.group
	record := before.WithPrimary(l.Endpoint, term).WithClosed(ct.name)
	c.began = ct.clock.SinceBoot()
	revision, err := ct.store.Apply(ctx,
		[]eelgrassladder.Expectation{
			{Key: leadership.Key(c.group), Revision: before.Revision}, {Key: leadership.PromotionLockKey, Revision: lock.Revision},
		},
		[]eelgrassladder.Put{
			{Key: leadership.Key(c.group), Value: record.Bytes()}, {Key: leadership.PromotionLockKey, Value: taken.Bytes()},
		}, nil)
	if err != nil {
		return err
	}
	c.record = record.WithRevision(revision)
	ct.mutex.Lock()
	ct.changes++
	ct.mutex.Unlock()
	ct.state.LearnPromotionLock(taken.WithRevision(revision, c.began))
	ct.state.LearnRecord(c.record)
	return nil
}

// promote stops the old primary, suspends the other members, has the most
// advanced of them promoted, and waits until it leads and no proxy can still
// take the old primary for the current one.
func (c *change) promote(ctx context.Context) (successor, error) {
	ct := c.controller
	if c.reason == policy.Leaving || c.reason == policy.Outpaced {
		timer.Pause(ctx, ct.timer, drainTime)
	}
	old := c.stopOld(ctx)
	c.noteOldLog(old)
	others, revision, err := c.readMembers(ctx)
	if err != nil {
		return successor{}, err
	}
	all := len(others)
	others = slices.DeleteFunc(others, func(e topology.Endpoint) bool { return !c.required(e) })
	term, leading, err := c.newestTerm(ctx, others)
	if err != nil {
		return successor{}, err
	}
	if leading != nil {
		c.resumeAll(ctx, others, leading.status.Term)
		return c.successorFrom(*leading, others), c.awaitProofExpiry(ctx, ct.clock.SinceBoot())
	}
	replicas, err := c.suspendAll(ctx, others, term+1)
	if err != nil {
		return successor{}, err
	}
	if len(others) < all && !c.oldStopped.Load() {
		c.oldAnswered = false
		return successor{}, errors.New("the old primary is not stopped, and unlisted members were left out")
	}
	suspended := ct.clock.SinceBoot()
	if err := c.recheck(ctx, replicas, old, term+1); err != nil {
		return successor{}, err
	}
	next, err := c.elect(replicas, old, revision)
	if err != nil {
		return successor{}, err
	}
	lock := ct.state.PromotionLock()
	if ct.clock.SinceBoot()-c.began > maxHoldTime || lock.Holder != ct.name {
		return successor{}, errors.Errorf("proxy %s holds the promotion lock", lock.Holder)
	}
	ct.notePromotion()
	if err := ct.promoter.Promote(ctx, c.group, next.ID, lock.Revision); err != nil {
		klog.InfoS("Promotion without an answer", "Group", c.group, "Endpoint", next.ID, "Error", err.Error())
	}
	led, err := c.awaitPrimary(ctx, next)
	if err != nil {
		return successor{}, err
	}
	c.resumeAll(ctx, others, led.status.Term)
	return c.successorFrom(led, others), c.awaitProofExpiry(ctx, suspended)
}

// successor is the new primary.
type successor struct {
	id   string
	term uint64
	// log is the end of its log when it was first seen to lead.
	log position.Position
	// members holds the addresses, by ID, of the members whose logs were compared.
	members map[string]string
}

// successorFrom returns the successor that a status answer shows to lead.
func (c *change) successorFrom(a answer, others []topology.Endpoint) successor {
	members := addresses(others)
	if c.old.Address != "" {
		members[c.old.ID] = c.old.Address
	}
	return successor{id: a.endpoint.ID, term: a.status.Term, log: a.status.Received, members: members}
}

// awaitProofExpiry waits until the last proof that a proxy can have of the old
// primary has expired. It does not wait if the old primary's process is down.
func (c *change) awaitProofExpiry(ctx context.Context, suspended time.Duration) error {
	if c.oldDown && c.stillDown(ctx) {
		return nil
	}
	if rest := suspended + leader.ProofLifetime - c.controller.clock.SinceBoot(); rest > 0 {
		timer.Pause(ctx, c.controller.timer, rest)
	}
	return ctx.Err()
}

// stillDown reports whether the old primary's host still refuses connections.
// A process that starts there later finds that another member leads.
func (c *change) stillDown(ctx context.Context) bool {
	if c.old.Address == "" {
		return false
	}
	connection, err := c.controller.dialer.DialUrgent(ctx, c.old)
	if err == nil {
		connection.Release(nil, position.Position{})
	}
	return control.Refused(err)
}

// openRecord opens the record for the new primary and then demotes the old one.
// The record states the end of the new primary's log as acknowledged, so that no
// later change drops anything that the new primary holds now.
func (c *change) openRecord(ctx context.Context, next successor) {
	ct := c.controller
	record := c.record.WithPrimary(next.id, next.term).WithAcknowledged(next.log).WithMembers(next.members)
	ct.state.LearnUnwritten(record)
	for ctx.Err() == nil {
		current := ct.state.Record(c.group)
		if current.Revision > c.record.Revision {
			break
		}
		expected := []eelgrassladder.Expectation{{Key: leadership.Key(c.group), Revision: c.record.Revision}}
		puts := []eelgrassladder.Put{{Key: leadership.Key(c.group), Value: record.Bytes()}}
		lock := ct.state.PromotionLock()
		if lock.Holder == ct.name && lock.Busy && ct.onlyChange() {
			lock = lock.WithHolder(ct.name, false)
			expected = append(expected, eelgrassladder.Expectation{Key: leadership.PromotionLockKey, Revision: lock.Revision})
			puts = append(puts, eelgrassladder.Put{Key: leadership.PromotionLockKey, Value: lock.Bytes()})
		}
		revision, err := ct.store.Apply(ctx, expected, puts, nil)
		if err == nil {
			ct.state.LearnRecord(record.WithRevision(revision))
			if len(puts) > 1 {
				ct.state.LearnPromotionLock(lock.WithRevision(revision, ct.clock.SinceBoot()))
			}
			klog.InfoS("Change of primary done", "Group", c.group, "Primary", next.id, "Term", next.term,
				"Log", next.log.String(), "Reason", c.reason.String(), "TookMs", (ct.clock.SinceBoot() - c.began).Milliseconds())
			ct.reporter.Ended(c.group, c.reason, Done)
			break
		}
		klog.InfoS("Could not open the record for the new primary; retrying", "Group", c.group, "Error", err.Error())
		timer.Pause(ctx, ct.timer, openRetryDelay)
	}
	c.demoteOld(ctx, next.term)
}
