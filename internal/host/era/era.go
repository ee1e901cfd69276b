// Package era keeps the newest known era of the platform's store.
package era

import (
	"context"
	"slices"
	"sync"

	"k8s.io/klog/v2"
)

// Tracker implements the root package's Eras. Use New to make one.
type Tracker struct {
	// mutex guards the fields below. No other lock is taken while it is held.
	mutex   sync.Mutex
	current uint64
	// ctx ends when current rises, and is then replaced. cancel ends it.
	ctx    context.Context
	cancel context.CancelFunc
	onRise []func(era uint64)
}

// New returns a Tracker that knows no era.
func New() *Tracker {
	t := &Tracker{}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	return t
}

// Current returns the newest known era; zero if the store names none.
func (t *Tracker) Current() uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.current
}

// Learn takes note of an era. If it is above the newest known one, it becomes that, the context
// ends, and the functions of OnRise are called.
func (t *Tracker) Learn(era uint64, source string) {
	t.mutex.Lock()
	before := t.current
	if era <= before {
		t.mutex.Unlock()
		return
	}
	t.current = era
	t.cancel()
	t.ctx, t.cancel = context.WithCancel(context.Background())
	called := slices.Clone(t.onRise)
	t.mutex.Unlock()
	klog.InfoS("Store is in a new era", "Era", era, "Before", before, "Source", source)
	for _, f := range called {
		f(era)
	}
}

// Context returns a context that ends when an era above the newest known one is learned.
func (t *Tracker) Context() context.Context {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.ctx
}

// OnRise has a function called with each newest era after it was learned. The function may be
// called by several goroutines at a time.
func (t *Tracker) OnRise(f func(era uint64)) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.onRise = append(t.onRise, f)
}
