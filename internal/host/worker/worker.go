// Package worker runs a pool of workers that take jobs from a shared source.
package worker

import (
	"context"
	"runtime/debug"
	"strconv"

	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder/internal/host/task"
)

// Source hands out jobs to workers.
type Source[J any] interface {
	// Take blocks until a job may run, without polling. It returns false once ctx is
	// cancelled.
	Take(ctx context.Context) (J, bool)
}

// Pool runs a fixed number of workers over one source.
type Pool[J any] struct {
	// size is the number of workers; at least one.
	size int
	// source is shared by all workers.
	source Source[J]
	// run runs one job. It returns nothing; the job itself delivers its result.
	run func(ctx context.Context, job J)
}

// New returns a pool of size workers, or of one if size is lower.
func New[J any](size int, source Source[J], run func(ctx context.Context, job J)) *Pool[J] {
	return &Pool[J]{size: max(size, 1), source: source, run: run}
}

// Start starts the workers in the task group. They run until its context is
// cancelled.
func (p *Pool[J]) Start(g *task.Group) {
	for i := range p.size {
		g.Go("worker "+strconv.Itoa(i), p.work)
	}
}

// work takes and runs jobs, one after another.
func (p *Pool[J]) work(ctx context.Context) error {
	for {
		job, ok := p.source.Take(ctx)
		if !ok {
			return ctx.Err()
		}
		p.runOne(ctx, job)
	}
}

// runOne runs a job. A panic ends the job and not the worker.
func (p *Pool[J]) runOne(ctx context.Context, job J) {
	defer func() {
		if r := recover(); r != nil {
			klog.ErrorS(nil, "Job panicked", "Reason", r, "Stack", string(debug.Stack()))
		}
	}()
	p.run(ctx, job)
}
