// Package worker is the pool of workers that take jobs from shared tables.
package worker

import (
	"context"
	"strconv"

	"eelgrassladder.example/eelgrassladder/internal/host/task"
)

// Source hands out jobs. Take blocks, without spinning, until a job may run
// or ctx is cancelled, and then reports false.
type Source[J any] interface {
	Take(ctx context.Context) (J, bool)
}

// Pool runs a fixed number of workers over one source.
type Pool[J any] struct {
	// size is the number of workers; at least one.
	size int
	// source is shared by all workers.
	source Source[J]
	// run does one job and reports through the job itself.
	run func(ctx context.Context, job J)
}

// New returns a pool of size workers.
func New[J any](size int, source Source[J], run func(ctx context.Context, job J)) *Pool[J] {
	return &Pool[J]{size: max(size, 1), source: source, run: run}
}

// Start runs the workers in the group until its context is cancelled.
func (p *Pool[J]) Start(g *task.Group) {
	for i := range p.size {
		g.Go("worker "+strconv.Itoa(i), p.work)
	}
}

// work takes jobs one after another.
func (p *Pool[J]) work(ctx context.Context) error {
	for {
		job, ok := p.source.Take(ctx)
		if !ok {
			return ctx.Err()
		}
		p.run(ctx, job)
	}
}
