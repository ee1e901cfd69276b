package logging

import (
	"sync"
	"time"
)

// Sampler limits how many lines are logged per reason and second, and counts
// the omitted ones. Use NewSampler to create one.
type Sampler struct {
	// limit is the maximum number of lines per reason and second.
	limit int

	// mutex guards the fields below. No other lock is taken while it is held.
	mutex sync.Mutex
	// windowStart is the start of the current second.
	windowStart time.Time
	// counts is the number of lines offered in the current second, and omitted
	// the number that were not allowed since the last allowed one; both by
	// reason.
	counts  map[string]int
	omitted map[string]int
}

// NewSampler returns a sampler that allows at most limit lines per reason and
// second.
func NewSampler(limit int) *Sampler {
	return &Sampler{limit: limit, counts: map[string]int{}, omitted: map[string]int{}}
}

// Allow reports whether a line with the reason may be logged now. If so, omitted
// is how many lines with the reason were refused since the last allowed one.
func (s *Sampler) Allow(now time.Time, reason string) (omitted int, ok bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if now.Sub(s.windowStart) >= time.Second {
		s.windowStart = now
		clear(s.counts)
	}
	s.counts[reason]++
	if s.counts[reason] > s.limit {
		s.omitted[reason]++
		return 0, false
	}
	omitted = s.omitted[reason]
	delete(s.omitted, reason)
	return omitted, true
}
