package experiment

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// latencies is a histogram of durations, for use by many goroutines.
type latencies struct {
	// mutex guards histogram. It is a leaf.
	mutex     sync.Mutex
	histogram *hdrhistogram.Histogram
}

func newLatencies() *latencies { return &latencies{histogram: hdrhistogram.New(1, 60_000_000, 3)} }

func (l *latencies) add(d time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	_ = l.histogram.RecordValue(max(d.Microseconds(), 1))
}

// quantile returns a percentile, from 0 to 100, in microseconds.
func (l *latencies) quantile(q float64) float64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return float64(l.histogram.ValueAtQuantile(q))
}
