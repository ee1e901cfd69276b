package failover

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder/internal/host/control"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/model/heartbeat"
	"eelgrassladder.example/eelgrassladder/internal/model/leader"
)

const (
	// informTimeout is the timeout of a call to another proxy. One that is told of a closed
	// record answers after leader.CommitGrace.
	informTimeout = 300 * time.Millisecond
	// maxListingTime is how long after it has started to receive the log of a primary a
	// member is listed by the store.
	maxListingTime = 500 * time.Millisecond
)

// Informer tells other proxies that a record was closed, and asks them for theirs.
type Informer interface {
	// CloseRecord tells the proxy at an address that a group's record was closed. It
	// returns what the proxy knows of the group once that proxy reports no more commits of
	// the old primary as acknowledged.
	CloseRecord(ctx context.Context, address string, r heartbeat.Record) (heartbeat.PrimaryReport, error)
	// ExchangeOnce sends a message to the proxy at an address and returns its answer.
	ExchangeOnce(ctx context.Context, address string, m heartbeat.Message) (heartbeat.Message, error)
}

// informProxies tells all other proxies of the closed record, and learns which commits
// they have reported as acknowledged. A proxy whose host refuses the connection has ended
// and reports no more. This proxy itself stops after leader.CommitGrace as well. Proxies
// that are not known, and so cut off from the store for long, do not matter if the old
// primary's process is down.
func (c *change) informProxies(ctx context.Context) {
	ct := c.controller
	closed := heartbeat.Record{Group: c.group, Revision: c.record.Revision, Value: c.record.Bytes()}
	proxies, allKnown, err := ct.otherProxies(ctx)
	_, silent, _ := askProxies(ctx, proxies, func(ctx context.Context, address string) error {
		asked := ct.clock.SinceBoot()
		r, err := ct.informer.CloseRecord(ctx, address, closed)
		if err == nil {
			ct.learnReport(c.group, proxies[address], r, asked)
		}
		return err
	})
	if remaining := c.closedAt + leader.CommitGrace - ct.clock.SinceBoot(); remaining > 0 {
		timer.Pause(ctx, ct.timer, remaining)
	}
	c.informed = err == nil && len(silent) == 0 && (allKnown || c.oldDown)
	klog.InfoS("Proxies informed of the change", "Group", c.group, "Token", c.record.Revision, "Proxies", len(proxies),
		"Silent", silent, "AllKnown", allKnown, "Told", ct.table.Leader(c.group).Acknowledged.Position.String())
}

// askProxies calls ask for all proxies at once, whose names are given by address, and waits for at
// most informTimeout. It returns the addresses of those that have answered, and the names of those
// that have not but may run. It reports whether one has ended: its host refuses the connection.
func askProxies(ctx context.Context, proxies map[string]string, ask func(ctx context.Context, address string) error) (answered, silent []string, ended bool) {
	ctx, cancel := context.WithTimeout(ctx, informTimeout)
	defer cancel()
	var mutex sync.Mutex
	g := task.New(ctx)
	for address, name := range proxies {
		g.Go("call to a proxy", func(ctx context.Context) error {
			err := ask(ctx, address)
			mutex.Lock()
			defer mutex.Unlock()
			switch {
			case err == nil:
				answered = append(answered, address)
			case control.Refused(err):
				ended = true
			default:
				silent = append(silent, name)
			}
			return nil
		})
	}
	_ = g.Wait() // each function returns nil
	slices.Sort(silent)
	return answered, silent, ended
}

// otherProxies returns the names of the other proxies that may run, by address, and whether
// those are all. An error means that the store did not say which are registered.
func (ct *Controller) otherProxies(ctx context.Context) (names map[string]string, allKnown bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, listReadTimeout)
	defer cancel()
	names, allKnown = ct.state.DepartedProxies()
	registered, err := ct.state.RegisteredProxies(ctx)
	maps.Copy(names, registered)
	return names, allKnown, err
}

// learnReport notes the position that another proxy knows to be acknowledged.
func (ct *Controller) learnReport(group, name string, r heartbeat.PrimaryReport, asked time.Duration) {
	ct.table.UpdateLeader(group, func(l leader.State) leader.State {
		return l.WithReported(r.Acknowledged, name, asked-r.AcknowledgedAge)
	})
}

// awaitReportsEnd waits until no proxy can still report a commit of the old primary as
// acknowledged, and each member that has helped to acknowledge one is listed. It does not
// wait if all proxies are informed: their reports say which commits were acknowledged. A
// proxy that was not informed reports commits until the old primary was stopped, or while
// its last proof is valid; it gets no new one once all recorded members are suspended.
// awaitReportsEnd reports whether it waited.
func (c *change) awaitReportsEnd(ctx context.Context) bool {
	ct := c.controller
	if c.informed {
		return false
	}
	if c.membersListedAt == 0 {
		c.membersListedAt = ct.clock.SinceBoot() + maxListingTime
		if !c.oldStopped.Load() {
			c.membersListedAt += leader.ProofLifetime
		}
	}
	remaining := c.membersListedAt - ct.clock.SinceBoot()
	if remaining <= 0 {
		return false
	}
	timer.Pause(ctx, ct.timer, remaining)
	return true
}
