package logging

import (
	"sync"
	"time"
)

// Sampler bounds how many lines of each reason are logged in a second, and
// counts the others. Use NewSampler to make one.
type Sampler struct {
	// budget is how many lines of a reason are logged in a second.
	budget int

	// mutex guards the fields below. It is a leaf.
	mutex sync.Mutex
	// began is when the present second began.
	began time.Time
	// counts holds the lines of this second by reason, and omitted those that
	// were left out since the last logged line of the reason.
	counts  map[string]int
	omitted map[string]int
}

// NewSampler returns a sampler that lets so many lines of a reason through in
// a second.
func NewSampler(budget int) *Sampler {
	return &Sampler{budget: budget, counts: map[string]int{}, omitted: map[string]int{}}
}

// Allow reports whether a line of the reason is logged now, and how many were
// left out before it.
func (s *Sampler) Allow(now time.Time, reason string) (omitted int, ok bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if now.Sub(s.began) >= time.Second {
		s.began = now
		clear(s.counts)
	}
	s.counts[reason]++
	if s.counts[reason] > s.budget {
		s.omitted[reason]++
		return 0, false
	}
	omitted = s.omitted[reason]
	delete(s.omitted, reason)
	return omitted, true
}
