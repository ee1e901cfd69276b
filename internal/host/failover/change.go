package failover

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder/internal/host/control"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/model/leader"
	"eelgrassladder.example/eelgrassladder/internal/model/leadership"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/revision"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
	policy "eelgrassladder.example/eelgrassladder/internal/policy/failover"
)

const (
	// maxTimeToPromote is how long after it took the promotion lock a proxy may order
	// the promotion. It is shorter than the 4 s after which another proxy may take the
	// lock and continue the change.
	maxTimeToPromote = 2500 * time.Millisecond
	// drainTime is the time that a planned change gives statements to finish at the
	// old primary before it stops it.
	drainTime = 100 * time.Millisecond
	// commandTimeout is the timeout of one command to an endpoint.
	commandTimeout = 300 * time.Millisecond
	// pollInterval is the pause between checks whether the promoted member leads.
	pollInterval = 40 * time.Millisecond
	// newTermTimeout is how long a change waits for the replicas to hear of the new term,
	// and newTermPollInterval the pause between checks. They usually need a few
	// milliseconds; one that receives nothing never hears of it, and must not keep the
	// group without a primary.
	newTermTimeout      = 250 * time.Millisecond
	newTermPollInterval = 15 * time.Millisecond
	// promotionTimeout is how long a promoted member may take to lead. Members
	// usually take 300 to 600 ms.
	promotionTimeout = 1500 * time.Millisecond
	// lockCooldown is how long after ordering a promotion a proxy does not take the
	// promotion lock from another proxy. It is slightly longer than the platform's
	// lease of the lock, 3 s.
	lockCooldown = 3200 * time.Millisecond
	// retryDelay is the wait before a group whose change could not begin is
	// checked again.
	retryDelay = 80 * time.Millisecond
	// openRetryDelay is the wait before another attempt to open the record.
	openRetryDelay = 60 * time.Millisecond
)

// decision says which group's primary to replace, and why. It is immutable.
type decision struct {
	group string
	// revision is that of the group's record at the time of the decision.
	revision revision.Revision
	reason   policy.Reason
	evidence policy.Evidence
	// decidedAt is the boot time at which the evidence was collected.
	decidedAt time.Duration
	// retry is true if the last change of the group could not begin. The primary may
	// have answered since the evidence was collected.
	retry bool
}

// change is one attempt to replace the primary of a group.
type change struct {
	decision
	controller *Controller
	// oldDown is true if the old primary's process was down when the change was
	// decided.
	oldDown bool
	// old is the primary to replace. Its ID is empty if the group has no primary, and
	// its address is empty if the store does not list it.
	old topology.Endpoint
	// record is the closed record that this change wrote.
	record leadership.Record
	// written is that record as the store has it now: with the elected member, once
	// there is one.
	written leadership.Record
	// began is the boot time at which the change took the promotion lock.
	began time.Duration
	// oldLog is the end of the old primary's log; zero if the old primary has not
	// answered, or only with a log that lacks recorded commits.
	oldLog leader.Acknowledged
	// replicaTerm is the newest term that a replica reported before the change.
	replicaTerm uint64
	// checkedEnds holds the ends of the members' logs before the record was closed, by ID.
	checkedEnds map[string]position.Position
	// listed holds the members that the store listed after the record was closed; nil
	// if the list was not read yet.
	listed []topology.Endpoint
	// listAskedAt is the boot time at which that list was asked for.
	listAskedAt time.Duration
	// leaderAnswered is true if a member has answered that it leads the record's term
	// or a later one. The change then does not need the answers of unlisted members.
	leaderAnswered bool
	// oldStopped is true if the old primary was made a replica.
	oldStopped atomic.Bool
	// informed is true if every other proxy knows of the closed record.
	informed bool
	// closedAt is the boot time from which this proxy has treated the record as closed.
	closedAt time.Duration
	// membersListedAt is the boot time from which no proxy reports a commit of the old
	// primary as acknowledged, and each member that received one is listed; zero if that is
	// not known yet.
	membersListedAt time.Duration
	// suspended holds the IDs of the members that were suspended for this change.
	suspended map[string]bool
}

// replacePrimary carries out a decision, unless it is outdated. It reports whether
// the change has begun, that is, whether the group's record was closed.
func (ct *Controller) replacePrimary(ctx context.Context, d decision) bool {
	group, reason, e := d.group, d.reason, d.evidence
	known := ct.table.Leader(group)
	before := ct.state.Record(group)
	// Only an abandoned change starts from a closed record.
	if before.Revision != d.revision || !before.WrittenIn(ct.state.Era()) || known.Closed != (reason == policy.Abandoned) || ctx.Err() != nil {
		return false
	}
	// One refused connection does not prove that the process is down.
	c := &change{decision: d, controller: ct, oldDown: e.Refused && e.Failures >= 2}
	// A proxy that started after the record was closed knows the primary only from the record.
	replaced := cmp.Or(known.Endpoint, before.Endpoint)
	// A primary that is not listed keeps its ID but has no address.
	c.old, _ = ct.state.Endpoints().Endpoint(replaced)
	c.old.ID = replaced
	err := c.check(ctx)
	if err == nil {
		err = c.closeRecord(ctx, known, before)
	}
	if err != nil {
		ct.reporter.Refused(ct.timer.Now(), group, reason, err)
		timer.Pause(ctx, ct.timer, retryDelay)
		return false
	}
	ct.reporter.Begun(group, reason)
	defer ct.changeEnded()
	c.informProxies(ctx)
	for ctx.Err() == nil && ct.clock.SinceBoot()-c.began < maxTimeToPromote && c.inEra() {
		newPrimary, err := c.promote(ctx)
		if err == nil {
			c.openRecord(ctx, newPrimary)
			return true
		}
		klog.InfoS("Change of primary goes on", "Group", group, "Token", c.record.Revision, "Error", err.Error())
		timer.Pause(ctx, ct.timer, pollInterval)
	}
	klog.InfoS("Change of primary given up", "Group", group, "Token", c.record.Revision, "Unanswered", !ct.ordersAnswered(group))
	ct.reporter.Ended(group, reason, GivenUp)
	c.releaseLock(ctx)
	return true
}

// inEra reports whether the store is still in the era in which the record was closed. Otherwise it
// may have forgotten that, and another proxy may take the group for unchanged.
func (c *change) inEra() bool { return c.record.WrittenIn(c.controller.state.Era()) }

// closeRecord takes the promotion lock and closes the group's record, in one
// transaction of the store. Proxies that learn of the closed record send no new work
// to the old primary. It counts the change as under way before it takes the lock, so that
// another change of this proxy does not release it; call changeEnded at its end.
func (c *change) closeRecord(ctx context.Context, known leader.State, before leadership.Record) error {
	ct := c.controller
	lock := ct.state.PromotionLock()
	if err := ct.checkLock(lock); err != nil {
		return err
	}
	taken := ct.withSelf(lock)
	term := max(known.Term, before.Term)
	if term == 0 {
		term = c.replicaTerm
	}
	before.Group = c.group
	record := before.WithPrimary(c.old.ID, term).WithClosed(ct.name)
	c.began = ct.clock.SinceBoot()
	ct.changeBegins()
	written, err := ct.write(ctx, &record, &taken)
	if err != nil {
		ct.changeEnded()
		return err
	}
	c.record = record.WithRevision(written)
	c.written = c.record
	c.closedAt = ct.clock.SinceBoot()
	c.logBegun(known, before, lock)
	return nil
}

// promote stops the old primary, suspends the other members, has the one with the
// longest log promoted, and waits until it leads and no proxy can still take the old
// primary for the current one. If a member already leads a newer term, that member
// is the successor, without a promotion. A planned change first waits for drainTime.
func (c *change) promote(ctx context.Context) (successor, error) {
	ct := c.controller
	if c.reason == policy.Leaving || c.reason == policy.Outpaced {
		timer.Pause(ctx, ct.timer, drainTime)
	}
	oldAnswer := c.stopOld(ctx)
	c.noteOldLog(oldAnswer)
	s, err := c.suspendMembers(ctx)
	for err == nil && s.leading == nil && c.awaitReportsEnd(ctx) {
		// Members may have joined, or started again, and acknowledged commits meanwhile.
		s, err = c.suspendMembers(ctx)
	}
	if err != nil {
		return successor{}, err
	}
	if s.leading != nil {
		c.logLeadsAlready(*s.leading)
		c.resumeAll(ctx, s.others, s.leading.status.Term)
		return c.successorFrom(*s.leading, s.others), c.awaitProofExpiry(ctx, c.awaitNewTerm(ctx, s.others, s.leading.status.Term))
	}
	if err := c.checkToken(ct.state.PromotionLock()); err != nil {
		return successor{}, err
	}
	if err := c.recheck(ctx, s.replicas, oldAnswer, s.term); err != nil {
		return successor{}, err
	}
	elected, err := c.elect(s.replicas, oldAnswer, s.listRevision)
	if err != nil {
		return successor{}, err
	}
	orderedAt, err := c.order(ctx, elected)
	if err != nil {
		return successor{}, err
	}
	promoted, err := c.awaitPrimary(ctx, elected)
	if err != nil {
		return successor{}, err
	}
	c.logLeads(promoted, orderedAt)
	c.resumeAll(ctx, s.others, promoted.status.Term)
	return c.successorFrom(promoted, s.others), c.awaitProofExpiry(ctx, c.awaitNewTerm(ctx, s.others, promoted.status.Term))
}

// successor is the new primary.
type successor struct {
	id   string
	term uint64
	// logEnd is the end of its log when it was first seen to lead.
	logEnd position.Position
	// members are the members whose logs were compared.
	members []topology.Endpoint
}

// successorFrom returns the successor from the answer of a member that leads. The
// others are the members other than the old primary that were asked.
func (c *change) successorFrom(a answer, others []topology.Endpoint) successor {
	members := others
	if c.old.Address != "" {
		members = append(slices.Clone(others), c.old)
	}
	return successor{id: a.endpoint.ID, term: a.status.Term, logEnd: a.status.Received, members: members}
}

// awaitNewTerm waits until no member of the group can prove the old primary any more, and
// returns the boot time of that. A promotion ends the suspension of all replicas; one that
// has not heard of the new term yet is unsuspended in the old term. It waits no longer than
// newTermTimeout for a replica that answers, and not for one that does not. It does not wait
// if the old primary's process is down, because nothing can be read there.
func (c *change) awaitNewTerm(ctx context.Context, others []topology.Endpoint, term uint64) time.Duration {
	ct := c.controller
	deadline := ct.clock.SinceBoot() + newTermTimeout
	for !c.oldDown && ctx.Err() == nil {
		behind := behindTerm(c.controller.lastStatuses(ctx, others), term)
		if len(behind) == 0 {
			behind = behindTerm(c.controller.statuses(ctx, others), term)
		}
		if len(behind) == 0 {
			break
		}
		if ct.clock.SinceBoot() >= deadline {
			klog.InfoS("Replica has not heard of the new term; it may still prove the old primary", "Group", c.group,
				"Endpoint", behind[0].endpoint.ID, "Term", behind[0].status.Term, "NewTerm", term)
			break
		}
		timer.Pause(ctx, ct.timer, newTermPollInterval)
	}
	return ct.clock.SinceBoot()
}

// behindTerm returns the answers of replicas that have not heard of the term.
func behindTerm(answers []answer, term uint64) []answer {
	return slices.DeleteFunc(answers, func(a answer) bool {
		return a.err != nil || a.status.Primary || max(a.status.Term, a.status.SuspendedTerm) >= term
	})
}

// awaitProofExpiry waits until the last proof that a proxy can have of the old
// primary has expired: for leader.ProofLifetime after stoppedAt, the boot time from
// which no new proof is possible. It does not wait if the old primary's process is
// down.
func (c *change) awaitProofExpiry(ctx context.Context, stoppedAt time.Duration) error {
	if c.oldDown && c.stillDown(ctx) {
		return nil
	}
	if remaining := stoppedAt + leader.ProofLifetime - c.controller.clock.SinceBoot(); remaining > 0 {
		timer.Pause(ctx, c.controller.timer, remaining)
	}
	return ctx.Err()
}

// stillDown reports whether the old primary's host still refuses connections. A
// process that starts there later learns that another member leads.
func (c *change) stillDown(ctx context.Context) bool {
	if c.old.Address == "" {
		return false
	}
	conn, err := c.controller.dialer.DialUrgent(ctx, c.old)
	if err == nil {
		conn.Release(nil, position.Position{})
	}
	return control.Refused(err)
}
