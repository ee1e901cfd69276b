package failover

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/model/leadership"
	"eelgrassladder.example/eelgrassladder/internal/model/revision"
	policy "eelgrassladder.example/eelgrassladder/internal/policy/failover"
)

// renewalRetryDelay is the wait before another attempt to renew the promotion lock.
const renewalRetryDelay = 250 * time.Millisecond

// changeBegins increments the number of changes under way.
func (ct *Controller) changeBegins() {
	ct.mutex.Lock()
	defer ct.mutex.Unlock()
	ct.changesUnderWay++
}

// changeEnded decrements the number of changes under way.
func (ct *Controller) changeEnded() {
	ct.mutex.Lock()
	defer ct.mutex.Unlock()
	ct.changesUnderWay--
}

// onlyChange reports whether the calling change is the only one that this proxy has
// under way.
func (ct *Controller) onlyChange() bool {
	ct.mutex.Lock()
	defer ct.mutex.Unlock()
	return ct.changesUnderWay <= 1
}

// notePromotion records that this proxy orders a promotion now.
func (ct *Controller) notePromotion() {
	ct.mutex.Lock()
	defer ct.mutex.Unlock()
	now := ct.clock.SinceBoot()
	if ct.unansweredSince == 0 || now-ct.lastPromotion >= policy.PromotionDoubt {
		ct.unansweredSince = now
	}
	ct.lastPromotion = now
}

// coolingDown reports whether this proxy has ordered a promotion within the last
// lockCooldown. During that time it does not take the promotion lock from another
// proxy; otherwise two proxies could keep taking it from each other.
func (ct *Controller) coolingDown() bool {
	ct.mutex.Lock()
	defer ct.mutex.Unlock()
	return ct.lastPromotion > 0 && ct.clock.SinceBoot()-ct.lastPromotion < lockCooldown
}

// checkLock returns an error if this proxy may not take the promotion lock now.
func (ct *Controller) checkLock(lock leadership.PromotionLock) error {
	if !policy.MayTakeLock(ct.name, lock.Holder, lock.Busy, ct.clock.SinceBoot()-lock.Seen) {
		return errors.Errorf("proxy %s holds the promotion lock", lock.Holder)
	}
	if lock.Holder != ct.name && ct.coolingDown() {
		return errors.Errorf("proxy %s has taken the promotion lock, and this proxy ordered a promotion less than %v ago", lock.Holder, lockCooldown)
	}
	return nil
}

// withSelf returns the promotion lock as held by this proxy. The key of the lock may have been
// removed, so a new fencing token is above the revisions of all known records too: each order
// was recorded, at a revision above its token, before it was sent.
func (ct *Controller) withSelf(lock leadership.PromotionLock) leadership.PromotionLock {
	newest := revision.Revision(0)
	for _, r := range ct.state.KnownRecords() {
		newest = max(newest, r.Revision)
	}
	return lock.WithHolder(ct.name, newest)
}

// renewLock renews the promotion lock while this proxy waits for the answer to an order, so
// that no other proxy takes it. It does nothing if the lock was written lately.
func (ct *Controller) renewLock() {
	lock := ct.state.PromotionLock()
	if lock.Holder != ct.name || !lock.Busy || !policy.ShouldRenewLock(ct.clock.SinceBoot()-lock.Seen) || !ct.mustKeepLock(lock, "") {
		return
	}
	ct.mutex.Lock()
	defer ct.mutex.Unlock()
	if ct.renewing {
		return
	}
	ct.renewing = true
	ct.tasks.GoIsolated("renewal of the promotion lock", func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, electionTimeout)
		defer cancel()
		if _, err := ct.write(ctx, nil, &lock); err != nil {
			klog.InfoS("Could not renew the promotion lock", "Lock", lock.FencingToken(), "Error", err.Error())
			timer.Pause(ctx, ct.timer, renewalRetryDelay)
		}
		ct.mutex.Lock()
		defer ct.mutex.Unlock()
		ct.renewing = false
	})
}

// releaseLock releases the promotion lock after a change was given up, so that another
// proxy can take it at once instead of after a timeout. It also writes to the group's record
// that all orders were answered, if they were, so that the next holder need not wait for
// them. It keeps the lock while other changes of this proxy need it, and while an order is
// unanswered: this proxy can order again with the same token, but another one has to wait.
func (c *change) releaseLock(ctx context.Context) {
	ct := c.controller
	lock := ct.state.PromotionLock()
	if lock.Holder != ct.name || !ct.onlyChange() {
		return
	}
	if ct.mustKeepLock(lock, "") {
		klog.InfoS("Promotion lock kept until the orders are answered", "Group", c.group, "Lock", lock.FencingToken())
		return
	}
	lock = lock.WithReleased()
	c.adoptWritten()
	var changed *leadership.Record
	if record := c.written.WithOrdersAnswered(); ct.ordersAnswered(c.group) && record.Elected != c.written.Elected {
		changed = &record
	}
	if _, err := ct.write(ctx, changed, &lock); err != nil {
		klog.InfoS("Could not release the promotion lock; other proxies have to wait until it times out", "Error", err.Error())
	}
}
