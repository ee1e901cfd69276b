package logging

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxPendingBytes limits the size of the log lines that wait to be written.
	// Further lines are dropped, so that a blocked reader of the log does not
	// block the process.
	maxPendingBytes = 256 << 10
	// flushDelay is the delay after a write, in which lines are collected for
	// the next one.
	flushDelay = 50 * time.Millisecond
)

// Writer buffers log lines, so that logging never blocks on the target. Use
// NewWriter to create one, then Run.
type Writer struct {
	target io.Writer
	// wake has room for one value. It wakes Run when a line is buffered.
	wake chan struct{}

	// mutex guards the fields below. No other lock is taken while it is held.
	mutex   sync.Mutex
	pending []byte
	// dropped is the number of lines dropped since the last write.
	dropped int
}

// NewWriter returns a writer to target. Nothing is written before Run or Flush
// is called.
func NewWriter(target io.Writer) *Writer {
	return &Writer{target: target, wake: make(chan struct{}, 1)}
}

// Write buffers a line or, if the buffer is full, drops it. It never blocks
// and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if len(w.pending)+len(line) > maxPendingBytes {
		w.dropped++
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Run writes the buffered lines, at most once per flushDelay, until ctx ends, and
// then the remaining ones.
func (w *Writer) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			w.Flush()
			return ctx.Err()
		case <-w.wake:
		}
		w.Flush()
		pause := time.NewTimer(flushDelay)
		select {
		case <-ctx.Done():
		case <-pause.C:
		}
		pause.Stop()
	}
}

// Flush writes the buffered lines. It blocks as long as the target does.
func (w *Writer) Flush() {
	w.mutex.Lock()
	lines, dropped := w.pending, w.dropped
	w.pending, w.dropped = nil, 0
	w.mutex.Unlock()
	if dropped > 0 {
		lines = append(lines, fmt.Sprintf("{\"Level\":\"WARN\",\"Message\":\"Log lines dropped\",\"Lines\":%d}\n", dropped)...)
	}
	if len(lines) > 0 {
		_, _ = w.target.Write(lines) // a failure of the log cannot be logged
	}
}
