package experiment

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// times collects durations from many goroutines.
type times struct {
	// mutex guards histogram. It is a leaf.
	mutex     sync.Mutex
	histogram *hdrhistogram.Histogram
}

func newTimes() *times { return &times{histogram: hdrhistogram.New(1, 60_000_000, 3)} }

func (t *times) add(d time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	_ = t.histogram.RecordValue(max(d.Microseconds(), 1))
}

// quantile returns a quantile in microseconds.
func (t *times) quantile(q float64) float64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return float64(t.histogram.ValueAtQuantile(q))
}
