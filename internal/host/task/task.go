// Package task starts every goroutine of the system.
//
// A Group ends as a whole: when its context is cancelled, or when one of its
// functions returns an error, the context that all of them were given is
// cancelled, and Wait returns once the last has returned.
package task

import (
	"context"
	"runtime/debug"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"
)

// Group runs functions as goroutines. Use New to make one.
type Group struct {
	// context is cancelled when the parent is, or when a function fails.
	context context.Context
	// cancel ends the group early.
	cancel context.CancelFunc
	// running is the library's group; it counts the functions still running.
	running *errgroup.Group
}

// New returns a group whose functions end when ctx is cancelled.
//
//	g := task.New(ctx)
//	g.Go("listener", listen)
//	err := g.Wait()
func New(ctx context.Context) *Group {
	limited, cancel := context.WithCancel(ctx)
	running, inner := errgroup.WithContext(limited)
	return &Group{context: inner, cancel: cancel, running: running}
}

// Context returns the context that the functions of the group are given.
func (g *Group) Context() context.Context { return g.context }

// Go runs f as a goroutine. A panic in f is reported and becomes the error
// of the group. An error that only says that the context was cancelled is
// not a failure.
func (g *Group) Go(name string, f func(ctx context.Context) error) {
	g.running.Go(func() (err error) {
		defer func() {
			if r := recover(); r != nil {
				klog.ErrorS(nil, "Goroutine panicked", "Name", name, "Reason", r, "Stack", string(debug.Stack()))
				err = errors.Errorf("%s panicked: %v", name, r)
			}
		}()
		err = f(g.context)
		if errors.Is(err, context.Canceled) {
			return nil
		}
		return errors.WithMessage(err, name)
	})
}

// GoIsolated runs f like Go, but a failure of f is logged and does not end the
// group. Use it for work on behalf of a single connection.
func (g *Group) GoIsolated(name string, f func(ctx context.Context)) {
	g.running.Go(func() error {
		defer func() {
			if r := recover(); r != nil {
				klog.ErrorS(nil, "Goroutine panicked", "Name", name, "Reason", r, "Stack", string(debug.Stack()))
			}
		}()
		f(g.context)
		return nil
	})
}

// Stop cancels the context of the group without waiting.
func (g *Group) Stop() { g.cancel() }

// Wait returns when all functions have returned, with the first error.
func (g *Group) Wait() error {
	err := g.running.Wait()
	g.cancel()
	return err
}
