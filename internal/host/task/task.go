// Package task starts all goroutines of the system in groups.
//
// The context of a Group ends when its parent's does, when one of its functions
// fails, or with Stop. Wait returns once all functions have returned.
package task

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"
)

// Group runs functions as goroutines. Use New to create one.
type Group struct {
	// context is passed to all functions. It ends when the parent's does, when
	// a function fails, or with Stop.
	context context.Context
	cancel  context.CancelFunc
	// goroutines starts the functions and keeps the first error.
	goroutines *errgroup.Group
}

// New returns a group without functions, whose context ends when ctx does.
//
//	g := task.New(ctx)
//	g.Go("listener", listen)
//	err := g.Wait()
func New(ctx context.Context) *Group {
	cancellable, cancel := context.WithCancel(ctx)
	goroutines, groupContext := errgroup.WithContext(cancellable)
	return &Group{context: groupContext, cancel: cancel, goroutines: goroutines}
}

// Context returns the context that is passed to the functions of the group.
func (g *Group) Context() context.Context { return g.context }

// Go runs f as a goroutine. An error of f cancels the context of the group. A
// panic is logged and counts as an error; context.Canceled does not. The name is
// used in logs and errors.
func (g *Group) Go(name string, f func(ctx context.Context) error) {
	g.goroutines.Go(func() (err error) {
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

// GoIsolated runs f as a goroutine whose failure does not affect the others: a
// panic of f is logged and does not cancel the context of the group. Use it for
// work on behalf of a single request or connection. The name is used in logs.
func (g *Group) GoIsolated(name string, f func(ctx context.Context)) {
	g.goroutines.Go(func() error {
		defer func() {
			if r := recover(); r != nil {
				klog.ErrorS(nil, "Goroutine panicked", "Name", name, "Reason", r, "Stack", string(debug.Stack()))
			}
		}()
		f(g.context)
		return nil
	})
}

// WaitStopped waits until all functions have returned, like Wait, but no longer than the
// limit after the context has ended: functions that still run then are left behind. It
// returns the first error of the functions that have returned.
func (g *Group) WaitStopped(limit time.Duration) error {
	ended := make(chan error, 1)
	var waiting errgroup.Group
	waiting.Go(func() error {
		ended <- g.Wait()
		return nil
	})
	select {
	case err := <-ended:
		return err
	case <-g.context.Done():
	}
	timeout := time.NewTimer(limit)
	defer timeout.Stop()
	select {
	case err := <-ended:
		return err
	case <-timeout.C:
		if err := context.Cause(g.context); !errors.Is(err, context.Canceled) {
			return err
		}
		return nil
	}
}

// Stop cancels the context. It does not wait for the functions.
func (g *Group) Stop() { g.cancel() }

// Wait waits until all functions have returned, cancels the context, and returns
// the first error.
func (g *Group) Wait() error {
	err := g.goroutines.Wait()
	g.cancel()
	return err
}
