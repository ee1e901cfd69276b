package failover

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/model/leader"
	"eelgrassladder.example/eelgrassladder/internal/model/leadership"
	policy "eelgrassladder.example/eelgrassladder/internal/policy/failover"
)

// openRecord opens the record for the new primary and then demotes the old one.
// The record states the end of the new primary's log as acknowledged, so that no
// later change drops anything that the new primary holds now.
func (c *change) openRecord(ctx context.Context, newPrimary successor) {
	ct := c.controller
	c.adoptWritten()
	record := c.written.WithPrimary(newPrimary.id, newPrimary.term).WithoutElected(newPrimary.id).
		WithAcknowledged(newPrimary.logEnd).WithMembers(newPrimary.members)
	if ct.ordersAnswered(c.group) {
		record = record.WithOrdersAnswered()
	}
	ct.state.LearnUnwritten(record)
	if now := ct.clock.SinceBoot(); now-c.began < policy.MaxChangeTime {
		ct.proveOpened(record, now) // nobody else may change the primary yet
	}
	for ctx.Err() == nil {
		current := ct.state.Record(c.group)
		if current.Revision > c.written.Revision {
			break
		}
		var released *leadership.PromotionLock
		if lock := ct.state.PromotionLock(); lock.Holder == ct.name && lock.Busy && ct.onlyChange() && !ct.mustKeepLock(lock, c.group) {
			lock = lock.WithReleased()
			released = &lock
		}
		asked := ct.clock.SinceBoot()
		_, err := ct.write(ctx, &record, released)
		if err == nil {
			ct.proveOpened(record, asked)
			klog.InfoS("Change of primary done", "Group", c.group, "Primary", newPrimary.id, "Term", newPrimary.term,
				"Log", newPrimary.logEnd.String(), "Reason", c.reason.String(), "TookMs", (ct.clock.SinceBoot() - c.began).Milliseconds())
			ct.reporter.Ended(c.group, c.reason, Done)
			break
		}
		klog.InfoS("Could not open the record for the new primary; retrying", "Group", c.group, "Error", err.Error())
		timer.Pause(ctx, ct.timer, openRetryDelay)
	}
	c.demoteOld(ctx, newPrimary.term)
}

// proveOpened notes that the primary of a record was the only one at the boot time asked or
// later.
func (ct *Controller) proveOpened(r leadership.Record, asked time.Duration) {
	ct.table.UpdateLeader(r.Group, func(l leader.State) leader.State {
		if !l.Open() || l.Endpoint != r.Endpoint || l.Term != r.Term {
			return l
		}
		return l.WithProof(asked)
	})
}
