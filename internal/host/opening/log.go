package opening

import (
	"sync"
	"time"

	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder"
)

// logInterval is the least time between two log lines.
const logInterval = time.Second

// Log is an Observer that writes a summary of the attempts to the structured log, at most once
// in logInterval. Use NewLog to make one.
type Log struct {
	clock eelgrassladder.Clock

	// mutex guards the fields below. No other lock is taken while it is held.
	mutex sync.Mutex
	// since is when the summary began.
	since time.Duration
	// results counts the attempts since then, and took sums up their times, by ID of the
	// endpoint.
	results map[Result]int
	took    map[string]time.Duration
}

// NewLog returns a Log without attempts.
func NewLog(c eelgrassladder.Clock) *Log {
	return &Log{clock: c, since: c.SinceBoot(), results: map[Result]int{}, took: map[string]time.Duration{}}
}

// ConnectionAttempted adds an attempt to the summary, and logs the summary if it is old enough.
func (l *Log) ConnectionAttempted(a Attempt) {
	now := l.clock.SinceBoot()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.results[a.Result]++
	l.took[a.Endpoint] += a.Took
	if now-l.since < logInterval {
		return
	}
	total, longest, endpoint := time.Duration(0), time.Duration(0), ""
	for id, took := range l.took {
		total += took
		if took > longest {
			longest, endpoint = took, id
		}
	}
	klog.InfoS("Connections opened", "Opened", l.results[Opened], "Full", l.results[Full], "Busy", l.results[Busy],
		"Late", l.results[Late], "Failed", l.results[Failed], "TookMs", total.Milliseconds(), "Endpoints", len(l.took),
		"Endpoint", endpoint, "EndpointTookMs", longest.Milliseconds(), "SinceMs", (now - l.since).Milliseconds())
	l.since = now
	clear(l.results)
	clear(l.took)
}
