package succession

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/control"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	policy "eelgrassladder.example/eelgrassladder/internal/policy/succession"
	"eelgrassladder.example/eelgrassladder/internal/trade/lead"
	"eelgrassladder.example/eelgrassladder/internal/trade/position"
	"eelgrassladder.example/eelgrassladder/internal/trade/roster"
	"eelgrassladder.example/eelgrassladder/internal/trade/tenure"
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
	// retryPause is the wait before a change that could not begin is judged
	// again.
	retryPause = 80 * time.Millisecond
	// openPause is the wait before the record is opened once more.
	openPause = 60 * time.Millisecond
)

// change is one change of primary.
type change struct {
	keeper *Keeper
	group  string
	reason policy.Reason
	// dead is true if the old primary's process is known to be down.
	dead bool
	// old is the primary that is replaced; its ID may be empty.
	old roster.Endpoint
	// record is the closed record that this change has written.
	record tenure.Tenure
	// began is when the change took its token.
	began time.Duration
}

// change replaces the primary of a group that was judged under a revision of
// its record, and reports whether it has begun to.
func (k *Keeper) change(ctx context.Context, group string, judged uint64, reason policy.Reason, e policy.Evidence) bool {
	l := k.table.Lead(group)
	before := k.beliefs.Tenure(group)
	if before.Revision != judged || l.Closed != (reason == policy.Abandoned) || ctx.Err() != nil {
		return false
	}
	c := &change{keeper: k, group: group, reason: reason, dead: e.Refused && e.Failures >= 2}
	c.old, _ = k.beliefs.Roster().Endpoint(l.Endpoint)
	c.old.ID = l.Endpoint
	err := c.check(ctx)
	if err == nil {
		err = c.close(ctx, l, before)
	}
	if err != nil {
		klog.InfoS("Change of primary not begun", "Group", group, "Reason", reason.String(), "Error", err.Error())
		timer.Pause(ctx, k.timer, retryPause)
		return false
	}
	klog.InfoS("Change of primary begun", "Group", group, "Reason", reason.String(), "Primary", l.Endpoint,
		"Term", l.Term, "Token", c.record.Revision, "SilentMs", e.Silent.Milliseconds(), "Failures", e.Failures,
		"Refused", e.Refused, "StalledMs", e.Stalled.Milliseconds(), "OutpacedMs", e.Outpaced.Milliseconds())
	defer k.finished()
	for ctx.Err() == nil && k.clock.Boot()-c.began < holdTime {
		next, term, err := c.promote(ctx)
		if err == nil {
			c.open(ctx, next, term)
			return true
		}
		klog.InfoS("Change of primary goes on", "Group", group, "Token", c.record.Revision, "Error", err.Error())
		timer.Pause(ctx, k.timer, pollTime)
	}
	klog.InfoS("Change of primary given up", "Group", group, "Token", c.record.Revision)
	c.release(ctx)
	return true
}

// finished notes the end of a change.
func (k *Keeper) finished() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.changing--
}

// alone reports whether no other change of this proxy is under way.
func (k *Keeper) alone() bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.changing <= 1
}

// release gives the duty back, so that another proxy need not wait for it.
func (c *change) release(ctx context.Context) {
	k := c.keeper
	d := k.beliefs.Duty()
	if d.Holder != k.name || !k.alone() {
		return
	}
	_, err := k.store.Apply(ctx, []eelgrassladder.Expectation{{Key: tenure.DutyKey, Revision: d.Revision}},
		[]eelgrassladder.Put{{Key: tenure.DutyKey, Value: d.WithHolder(k.name, false).Bytes()}}, nil)
	if err != nil {
		klog.InfoS("Duty not given back", "Error", err.Error())
	}
}

// close takes the token and closes the group's record for all proxies.
func (c *change) close(ctx context.Context, l lead.Lead, before tenure.Tenure) error {
	k := c.keeper
	duty := k.beliefs.Duty()
	if !policy.Takes(k.name, duty.Holder, duty.Busy, k.clock.Boot()-duty.Seen) {
		return errors.Errorf("proxy %s holds the duty", duty.Holder)
	}
	taken := duty.WithHolder(k.name, true)
	record := tenure.Tenure{Group: c.group, Endpoint: l.Endpoint, Term: max(l.Term, before.Term)}.WithClosed(k.name)
	c.began = k.clock.Boot()
	revision, err := k.store.Apply(ctx,
		[]eelgrassladder.Expectation{
			{Key: tenure.Key(c.group), Revision: before.Revision}, {Key: tenure.DutyKey, Revision: duty.Revision},
		},
		[]eelgrassladder.Put{
			{Key: tenure.Key(c.group), Value: record.Bytes()}, {Key: tenure.DutyKey, Value: taken.Bytes()},
		}, nil)
	if err != nil {
		return err
	}
	c.record = record.WithRevision(revision)
	k.mutex.Lock()
	k.changing++
	k.mutex.Unlock()
	k.beliefs.LearnDuty(taken.WithRevision(revision, c.began))
	k.beliefs.LearnTenure(c.record)
	return nil
}

// promote suspends the replicas, has the best one promoted and waits until
// it leads. It returns that member and its term.
func (c *change) promote(ctx context.Context) (string, uint64, error) {
	k := c.keeper
	if c.reason == policy.Leaving || c.reason == policy.Outpaced {
		timer.Pause(ctx, k.timer, quiesceTime)
	}
	others := k.replicas(c.group, c.old.ID)
	term, leading, err := c.newest(ctx, others)
	if err != nil {
		return "", 0, err
	}
	if leading != "" {
		return leading, term, c.settle(ctx, k.clock.Boot())
	}
	candidates, err := c.suspend(ctx, others, term+1)
	if err != nil {
		return "", 0, err
	}
	suspended := k.clock.Boot()
	next, ok := policy.Elect(candidates, position.Position{})
	if !ok {
		return "", 0, errors.New("no replica answers")
	}
	duty := k.beliefs.Duty()
	if k.clock.Boot()-c.began > holdTime || duty.Holder != k.name {
		return "", 0, errors.Errorf("proxy %s holds the duty", duty.Holder)
	}
	klog.InfoS("Replica chosen", "Group", c.group, "Endpoint", next.ID, "Received", next.Received.String(),
		"Candidates", len(candidates), "Token", c.record.Revision)
	if err := k.promoter.Promote(ctx, c.group, next.ID, duty.Revision); err != nil {
		klog.InfoS("Promotion without an answer", "Group", c.group, "Endpoint", next.ID, "Error", err.Error())
	}
	led, err := c.awaitLead(ctx, next.ID, term)
	if err != nil {
		return "", 0, err
	}
	return next.ID, led, c.settle(ctx, suspended)
}

// newest returns the newest term that the members know, and the one besides
// the old primary that already leads.
func (c *change) newest(ctx context.Context, others []roster.Endpoint) (uint64, string, error) {
	term, leading := c.record.Term, ""
	answers := c.statuses(ctx, others)
	for _, a := range answers {
		if a.err != nil {
			continue
		}
		if a.status.Primary && a.status.Term >= c.record.Term {
			leading = a.endpoint.ID
		}
		term = max(term, a.status.Term, a.status.Suspended)
	}
	if len(answers) == 0 {
		return 0, "", errors.New("the group has no replica")
	}
	return term, leading, nil
}

// awaitLead asks a member until it leads a term above the old one.
func (c *change) awaitLead(ctx context.Context, id string, old uint64) (uint64, error) {
	k := c.keeper
	end := k.clock.Boot() + promoteTime
	for k.clock.Boot() < end && ctx.Err() == nil {
		timer.Pause(ctx, k.timer, pollTime)
		e, ok := k.beliefs.Roster().Endpoint(id)
		if !ok {
			return 0, errors.Errorf("endpoint %s is gone", id)
		}
		answers := c.statuses(ctx, []roster.Endpoint{e})
		if a := answers[0]; a.err == nil && a.status.Primary && a.status.Term > c.record.Term {
			return a.status.Term, nil
		}
	}
	return 0, errors.Errorf("endpoint %s does not lead after term %d", id, old)
}

// settle waits until no proxy can still hold the old primary for the current
// one. That is at once if its process is down.
func (c *change) settle(ctx context.Context, suspended time.Duration) error {
	if c.dead && c.stillDown(ctx) {
		return nil
	}
	if rest := suspended + lead.ProofLifetime - c.keeper.clock.Boot(); rest > 0 {
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
	n, err := c.keeper.dialer.Order(ctx, c.old)
	if err == nil {
		n.Release(nil, position.Position{})
	}
	return control.Refused(err)
}

// open opens the record for the new primary, and tells the old one.
func (c *change) open(ctx context.Context, id string, term uint64) {
	k := c.keeper
	record := c.record.WithPrimary(id, term)
	k.beliefs.LearnOpened(record)
	for ctx.Err() == nil {
		now := k.beliefs.Tenure(c.group)
		if now.Revision > c.record.Revision {
			break
		}
		expected := []eelgrassladder.Expectation{{Key: tenure.Key(c.group), Revision: c.record.Revision}}
		puts := []eelgrassladder.Put{{Key: tenure.Key(c.group), Value: record.Bytes()}}
		duty := k.beliefs.Duty()
		if duty.Holder == k.name && duty.Busy && k.alone() {
			duty = duty.WithHolder(k.name, false)
			expected = append(expected, eelgrassladder.Expectation{Key: tenure.DutyKey, Revision: duty.Revision})
			puts = append(puts, eelgrassladder.Put{Key: tenure.DutyKey, Value: duty.Bytes()})
		}
		revision, err := k.store.Apply(ctx, expected, puts, nil)
		if err == nil {
			k.beliefs.LearnTenure(record.WithRevision(revision))
			if len(puts) > 1 {
				k.beliefs.LearnDuty(duty.WithRevision(revision, k.clock.Boot()))
			}
			klog.InfoS("Change of primary done", "Group", c.group, "Primary", id, "Term", term,
				"Reason", c.reason.String(), "TookMs", (k.clock.Boot() - c.began).Milliseconds())
			break
		}
		klog.InfoS("Record not opened yet", "Group", c.group, "Error", err.Error())
		timer.Pause(ctx, k.timer, openPause)
	}
	c.demote(ctx, term)
}
