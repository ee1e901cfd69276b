package logging

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxPending is how many bytes of log lines may wait to be written. Lines
	// beyond it are dropped, so that a reader that has stopped delays nobody.
	maxPending = 256 << 10
	// flushPause is the time over which lines are gathered for one write.
	flushPause = 50 * time.Millisecond
)

// Writer passes log lines on without blocking those who log. Use NewWriter to
// make one, and run it.
type Writer struct {
	target io.Writer
	wake   chan struct{}

	// mutex guards the fields below. It is a leaf.
	mutex   sync.Mutex
	pending []byte
	// dropped counts lines that found no room since the last write.
	dropped int
}

// NewWriter returns a writer that passes lines on to target.
func NewWriter(target io.Writer) *Writer {
	return &Writer{target: target, wake: make(chan struct{}, 1)}
}

// Write takes a line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if len(w.pending)+len(line) > maxPending {
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

// Run writes lines until ctx ends, and then those that are left.
func (w *Writer) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			w.Flush()
			return ctx.Err()
		case <-w.wake:
		}
		w.Flush()
		pause := time.NewTimer(flushPause)
		select {
		case <-ctx.Done():
		case <-pause.C:
		}
		pause.Stop()
	}
}

// Flush writes the lines that wait. It blocks while the reader does.
func (w *Writer) Flush() {
	w.mutex.Lock()
	lines, dropped := w.pending, w.dropped
	w.pending, w.dropped = nil, 0
	w.mutex.Unlock()
	if dropped > 0 {
		lines = append(lines, fmt.Sprintf("{\"Level\":\"WARN\",\"Message\":\"Log lines dropped\",\"Lines\":%d}\n", dropped)...)
	}
	if len(lines) > 0 {
		_, _ = w.target.Write(lines) // there is nowhere to report a broken log
	}
}
