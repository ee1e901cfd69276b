// Package healthcheck asks endpoints that have failed whether they answer again,
// so that no client's statement has to find out.
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
	// tick is how often failing endpoints are looked for. The table spaces the
	// questions to each of them.
	tick = 50 * time.Millisecond
	// askTime bounds one question.
	askTime = 250 * time.Millisecond
)

// Checker asks failing endpoints. Use New, then Run.
type Checker struct {
	timer  eelgrassladder.Timer
	table  *scheduler.Table
	dialer *control.Dialer
	tasks  *task.Group

	// mutex guards asking. It is a leaf.
	mutex sync.Mutex
	// asking holds the IDs of endpoints with a question under way.
	asking map[string]bool
}

// New returns a checkup of the endpoints in the table.
func New(t eelgrassladder.Timer, table *scheduler.Table, dialer *control.Dialer, g *task.Group) *Checker {
	return &Checker{timer: t, table: table, dialer: dialer, tasks: g, asking: map[string]bool{}}
}

// Run asks until ctx ends.
func (c *Checker) Run(ctx context.Context) error {
	ticks := c.timer.Subscribe(tick)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks.C():
			for _, e := range c.table.ProbeCandidates() {
				c.ask(e)
			}
		}
	}
}

// ask asks an endpoint, unless a question to it is under way.
func (c *Checker) ask(e topology.Endpoint) {
	if !c.begin(e.ID) {
		return
	}
	c.tasks.GoIsolated("checkup", func(ctx context.Context) {
		defer c.end(e.ID)
		if _, reply, err := c.dialer.Status(ctx, e, askTime); err == nil {
			klog.InfoS("Endpoint answers again", "Endpoint", e.ID, "Group", e.Group, "Code", reply.Code.String())
		}
	})
}

// begin notes a question and reports whether none was under way.
func (c *Checker) begin(id string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.asking[id] {
		return false
	}
	c.asking[id] = true
	return true
}

// end notes the end of a question.
func (c *Checker) end(id string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.asking, id)
}
