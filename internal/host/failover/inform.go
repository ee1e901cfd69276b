package failover

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder/internal/host/control"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/model/heartbeat"
	"eelgrassladder.example/eelgrassladder/internal/model/leader"
)

// informTimeout is the timeout of telling one proxy of a closed record. The proxy answers
// after leader.CommitGrace.
const informTimeout = 300 * time.Millisecond

// Informer tells other proxies that a record was closed.
type Informer interface {
	// CloseRecord tells the proxy at an address that a group's record was closed. It
	// returns what the proxy knows of the group once that proxy reports no more commits of
	// the old primary as acknowledged.
	CloseRecord(ctx context.Context, address string, r heartbeat.Record) (heartbeat.PrimaryReport, error)
}

// informProxies tells all other proxies of the closed record, and learns which commits
// they have reported as acknowledged. A proxy whose host refuses the connection has ended
// and reports no more. This proxy itself stops after leader.CommitGrace as well.
func (c *change) informProxies(ctx context.Context) {
	ct := c.controller
	closed := heartbeat.Record{Group: c.group, Revision: c.record.Revision, Value: c.record.Bytes()}
	proxies := ct.state.Proxies()
	var mutex sync.Mutex
	var silent []string
	limited, cancel := context.WithTimeout(ctx, informTimeout)
	defer cancel()
	g := task.New(limited)
	for name, address := range proxies {
		g.Go("closed record", func(ctx context.Context) error {
			asked := ct.clock.SinceBoot()
			r, err := ct.informer.CloseRecord(ctx, address, closed)
			switch {
			case err == nil:
				ct.learnReport(c.group, name, r, asked)
			case !control.Refused(err):
				mutex.Lock()
				defer mutex.Unlock()
				silent = append(silent, name)
			}
			return nil
		})
	}
	_ = g.Wait() // each function returns nil
	if remaining := c.began + leader.CommitGrace - ct.clock.SinceBoot(); remaining > 0 {
		timer.Pause(ctx, ct.timer, remaining)
	}
	c.informed = len(silent) == 0
	klog.InfoS("Proxies informed of the change", "Group", c.group, "Token", c.record.Revision, "Proxies", len(proxies),
		"Silent", silent, "Told", ct.table.Leader(c.group).Acknowledged.Position.String())
}

// learnReport notes the position that another proxy knows to be acknowledged.
func (ct *Controller) learnReport(group, name string, r heartbeat.PrimaryReport, asked time.Duration) {
	if r.Acknowledged.IsZero() {
		return
	}
	ct.table.UpdateLeader(group, func(l leader.State) leader.State {
		return l.WithAcknowledged(leader.Acknowledged{Position: r.Acknowledged, Observed: true, Source: name, At: asked - r.AcknowledgedAge})
	})
}

// awaitReportsEnd waits until no proxy can still report a commit of the old primary as
// acknowledged. A proxy that was not informed does so while its last proof is valid, and
// gets no new one once all recorded members are suspended. It does not wait if all
// proxies are informed or the old primary was stopped. It reports whether it waited.
func (c *change) awaitReportsEnd(ctx context.Context) bool {
	ct := c.controller
	if c.informed || c.oldStopped.Load() {
		return false
	}
	if c.reportsEnd == 0 {
		c.reportsEnd = ct.clock.SinceBoot() + leader.ProofLifetime
	}
	remaining := c.reportsEnd - ct.clock.SinceBoot()
	if remaining <= 0 {
		return false
	}
	timer.Pause(ctx, ct.timer, remaining)
	return true
}
