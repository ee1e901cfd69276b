// Package watch follows the changes of the keys of the platform's store that have a
// prefix.
package watch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/model/revision"
	"eelgrassladder.example/eelgrassladder/internal/policy/sharing"
)

const (
	// minWait and maxWait are the shortest and the longest time that a watch call waits
	// for a change. While the store drops its history, a waiting call can miss a change,
	// which the next call returns. So minWait must be shorter than the 3 s (5 s on large
	// sites) within which the platform requires proxies to use a new configuration. The
	// platform lets a call wait for up to 30 s.
	minWait = 1200 * time.Millisecond
	maxWait = 25 * time.Second
	// A call waits a random time between minWait and a bound. The bound is minWait for up
	// to fewProxies proxies, and waitPerProxy more for each further one, up to maxWait.
	// With many proxies, those whose calls wait long learn of a change by gossip from one
	// that has seen it.
	waitPerProxy = 600 * time.Millisecond
	fewProxies   = 5
	// batchPausePerProxy times the number of proxies is the pause after a change. Each
	// change costs one call of every proxy; with the pause, changes that follow each other
	// closely cost one call together. The pause is at most maxReaderPause at the proxies
	// that read changes at once. It is at most maxBatchPause at the others, which hear of
	// configurations and records by gossip before; that is shorter than the 2 s for which
	// a member must be missing from the list before it counts as having left.
	batchPausePerProxy = 20 * time.Millisecond
	maxReaderPause     = 600 * time.Millisecond
	maxBatchPause      = 1800 * time.Millisecond
	// minBackoff is the pause after the first failure. It doubles with each further one,
	// up to maxBackoff.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
)

// Sink receives what a Watcher reads. Its methods are called by one goroutine and
// must not block.
type Sink interface {
	// Reset receives all items with the prefix, as read at a revision of the store or later.
	// Items that it does not receive are gone.
	Reset(items []eelgrassladder.Item, read revision.Revision)
	// Changed receives the items that have changed.
	Changed(items []eelgrassladder.Item)
	// Confirmed is called after each answer of the store, once its items were passed on:
	// no other item had changed at the boot time asked, when the call was sent.
	Confirmed(asked time.Duration)
	// Disconnected is called when the store stops answering, and Reconnected when it
	// answers again.
	Disconnected(err error)
	Reconnected()
}

// Watcher follows the items whose keys have a prefix. Use New, then Run.
type Watcher struct {
	store  eelgrassladder.KeyValue
	timer  eelgrassladder.Timer
	clock  eelgrassladder.Clock
	prefix string
	sink   Sink
	// fleet returns the proxies that watch the store.
	fleet func() sharing.Fleet
	// revision is the revision after which the next watch begins; zero before the
	// first read.
	revision revision.Revision
	// failures counts the failed calls since the last answer.
	failures int
}

// New returns a watcher that passes what it reads to the sink. The function fleet
// returns the proxies that watch the store and tell each other of changes.
func New(store eelgrassladder.KeyValue, t eelgrassladder.Timer, c eelgrassladder.Clock, prefix string, sink Sink,
	fleet func() sharing.Fleet,
) *Watcher {
	return &Watcher{store: store, timer: t, clock: c, prefix: prefix, sink: sink, fleet: fleet}
}

// Run follows the items until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := w.callOnce(ctx)
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
		timer.Pause(ctx, w.timer, min(minBackoff<<min(w.failures-1, 6), maxBackoff))
	}
	return ctx.Err()
}

// callOnce makes one call to the store: it reads all items if there is no revision to
// watch from, and otherwise waits for the next change. After a failed call it asks the
// store to answer at once, to learn whether it answers again.
func (w *Watcher) callOnce(ctx context.Context) error {
	asked := w.clock.SinceBoot()
	if w.revision == 0 {
		items, revision, err := w.store.Range(ctx, w.prefix)
		if err != nil {
			return err
		}
		w.revision = revision
		w.sink.Reset(items, revision)
		w.sink.Confirmed(asked)
		return nil
	}
	wait := waitFor(w.fleet().Size(), rand.Float64())
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
	}
	w.sink.Confirmed(asked)
	if len(items) > 0 {
		timer.Pause(ctx, w.timer, batchPause(w.fleet()))
	}
	return nil
}

// batchPause returns the pause after a change.
func batchPause(f sharing.Fleet) time.Duration {
	longest := maxBatchPause
	if f.ReadsAtOnce() {
		longest = maxReaderPause
	}
	return min(batchPausePerProxy*time.Duration(f.Size()), longest)
}

// waitFor returns how long a watch call waits, given the number of proxies and a random
// number from 0 to 1. A change ends the calls of all proxies at once. Without random waits
// their next calls would also end together. With them, one call soon ends, and the call
// after it returns a change that the others have missed.
func waitFor(proxies int, random float64) time.Duration {
	bound := minWait + waitPerProxy*time.Duration(max(proxies-fewProxies, 0))
	bound = min(bound, maxWait)
	return minWait + time.Duration(random*float64(bound-minWait))
}
