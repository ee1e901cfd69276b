// Package healthcheck probes endpoints that have failed until they answer again, so
// that no client's statement has to be sent to find out.
package healthcheck

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/control"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
	"eelgrassladder.example/eelgrassladder/internal/table/scheduler"
)

const (
	// checkInterval is how often the table is asked for endpoints to probe. The table
	// ensures a pause between the probes of one endpoint.
	checkInterval = 50 * time.Millisecond
	// probeTimeout is the timeout of one status request.
	probeTimeout = 250 * time.Millisecond
)

// Checker probes failing endpoints. Use New, then Run.
type Checker struct {
	timer  eelgrassladder.Timer
	table  *scheduler.Table
	dialer *control.Dialer
	tasks  *task.Group

	// mutex guards probing. No other lock is taken while it is held.
	mutex sync.Mutex
	// probing holds the IDs of endpoints whose probe is under way.
	probing map[string]bool
}

// New returns a checker of the endpoints in the table. The probes run in the task group.
func New(t eelgrassladder.Timer, table *scheduler.Table, dialer *control.Dialer, g *task.Group) *Checker {
	return &Checker{timer: t, table: table, dialer: dialer, tasks: g, probing: map[string]bool{}}
}

// Run probes failing endpoints until ctx ends.
func (c *Checker) Run(ctx context.Context) error {
	ticks := c.timer.Subscribe(checkInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks.C():
			for _, e := range c.table.ProbeCandidates() {
				c.probe(e)
			}
		}
	}
}

// probe asks an endpoint for its status in the background, unless a probe of it is
// under way.
func (c *Checker) probe(e topology.Endpoint) {
	if !c.begin(e.ID) {
		return
	}
	c.tasks.GoIsolated("health check", func(ctx context.Context) {
		defer c.end(e.ID)
		if reply, err := c.dialer.Probe(ctx, e, probeTimeout); err == nil {
			klog.InfoS("Endpoint answers again", "Endpoint", e.ID, "Group", e.Group, "Code", reply.Code.String())
		}
	})
}

// begin marks the endpoint as being probed. It returns false if it is already.
func (c *Checker) begin(id string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.probing[id] {
		return false
	}
	c.probing[id] = true
	return true
}

// end marks the endpoint as no longer being probed.
func (c *Checker) end(id string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.probing, id)
}
