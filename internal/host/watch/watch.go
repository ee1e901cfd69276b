// Package watch follows the keys of the platform's store below a prefix.
package watch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
)

const (
	// minWait and maxWait bound how long one call waits for a change. A watch
	// that waits may miss changes while the store drops its history; the next
	// call shows them. The platform wants a configuration in force within 3 s
	// (5 s on large sites), and lets a call wait for 30 s.
	minWait = 1200 * time.Millisecond
	maxWait = 25 * time.Second
	// waitPerProxy is how much longer the longest wait is for each proxy above
	// fewProxies: what one of many sees goes to the others by gossip.
	waitPerProxy = 600 * time.Millisecond
	fewProxies   = 5
	// restPerProxy is the rest after a change, up to maxRest, so that changes
	// that come together cost one call: each change costs a call of every
	// proxy.
	restPerProxy = 20 * time.Millisecond
	maxRest      = 600 * time.Millisecond
	// firstPause and maxPause bound the wait after a failure.
	firstPause = 50 * time.Millisecond
	maxPause   = 400 * time.Millisecond
)

// Sink takes what a Watcher has read. Its methods are called by one
// goroutine and must not block.
type Sink interface {
	// Reset takes all items below the prefix; what is not among them is gone.
	Reset(items []eelgrassladder.Item)
	// Changed takes items that have changed.
	Changed(items []eelgrassladder.Item)
	// Disconnected says that the store does not answer, and Found that it does again.
	Disconnected(err error)
	Reconnected()
}

// Watcher follows the keys below a prefix. Use New, then Run.
type Watcher struct {
	store  eelgrassladder.KeyValue
	timer  eelgrassladder.Timer
	prefix string
	sink   Sink
	// proxies returns how many proxies watch.
	proxies func() int
	// revision is where the next watch goes on; zero before the first read.
	revision uint64
	// failures counts failures since the last answer.
	failures int
}

// New returns a watcher that tells the sink, one of so many that tell each
// other.
func New(store eelgrassladder.KeyValue, t eelgrassladder.Timer, prefix string, sink Sink, proxies func() int) *Watcher {
	return &Watcher{store: store, timer: t, prefix: prefix, sink: sink, proxies: proxies}
}

// Run follows the keys until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := w.step(ctx)
		if err == nil {
			if w.failures > 0 {
				w.sink.Reconnected()
			}
			w.failures = 0
			continue
		}
		if ctx.Err() != nil {
			break
		}
		if errors.Is(err, eelgrassladder.ErrCompacted) {
			klog.InfoS("Store has dropped the history that the watch needs; reading all keys", "Revision", w.revision)
			w.revision = 0
			continue
		}
		w.failures++
		if w.failures == 1 {
			w.sink.Disconnected(err)
		}
		timer.Pause(ctx, w.timer, min(firstPause<<min(w.failures-1, 6), maxPause))
	}
	return ctx.Err()
}

// step reads all keys, or waits for the next change.
func (w *Watcher) step(ctx context.Context) error {
	if w.revision == 0 {
		items, revision, err := w.store.Range(ctx, w.prefix)
		if err != nil {
			return err
		}
		w.revision = revision
		w.sink.Reset(items)
		return nil
	}
	wait := waitFor(w.proxies(), rand.Float64())
	if w.failures > 0 {
		wait = 0
	}
	items, revision, err := w.store.Watch(ctx, w.prefix, w.revision, wait)
	if err != nil {
		return err
	}
	w.revision = max(w.revision, revision)
	if len(items) > 0 {
		w.sink.Changed(items)
		timer.Pause(ctx, w.timer, min(restPerProxy*time.Duration(w.proxies()), maxRest))
	}
	return nil
}

// waitFor returns how long a call of one of so many proxies waits, for a random
// number from 0 to 1. Each change ends the waits of all proxies at once; random
// lengths spread the next calls, so that one of them soon shows what the
// watches have missed.
func waitFor(proxies int, random float64) time.Duration {
	longest := minWait + waitPerProxy*time.Duration(max(proxies-fewProxies, 0))
	longest = min(longest, maxWait)
	return minWait + time.Duration(random*float64(longest-minWait))
}
