package experiment

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// latencies is a histogram of durations from 1 µs to 60 s, to three significant digits.
// It is safe for concurrent use.
type latencies struct {
	// mutex guards histogram. No other lock is taken while it is held.
	mutex     sync.Mutex
	histogram *hdrhistogram.Histogram
}

func newLatencies() *latencies { return &latencies{histogram: hdrhistogram.New(1, 60_000_000, 3)} }

func (l *latencies) add(d time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	_ = l.histogram.RecordValue(max(d.Microseconds(), 1))
}

// percentile returns the percentile p, from 0 to 100, in microseconds.
func (l *latencies) percentile(p float64) float64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return float64(l.histogram.ValueAtQuantile(p))
}
