package soak

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"
)

// storePart is the part of the system that stands for the whole store in spans. A proxy is the
// part with its name, and its link to the store the one with the name of the relay.
const storePart = ""

// forever is a time after the end of each run.
var forever = time.Unix(1<<40, 0)

// span is a time in which a part of the system was disturbed. It is immutable.
type span struct {
	part string
	// from is when it began, and to when it ended; forever while it goes on.
	from, to time.Time
}

// spans records when the parts of the system are disturbed.
type spans struct {
	// mutex guards the fields below. No other lock is taken while it is held.
	mutex sync.Mutex
	// open holds how many disturbances of each part go on, and since when there is any.
	open map[string]openSpan
	// closed holds the spans that are over.
	closed []span
}

// openSpan counts the disturbances of one part that go on. It is immutable.
type openSpan struct {
	count int
	from  time.Time
}

// begin records the start of a disturbance.
func (s *spans) begin(part string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.open == nil {
		s.open = map[string]openSpan{}
	}
	o := s.open[part]
	if o.count == 0 {
		o.from = time.Now()
	}
	s.open[part] = openSpan{count: o.count + 1, from: o.from}
}

// end records the end of a disturbance.
func (s *spans) end(part string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	o := s.open[part]
	if o.count > 1 {
		s.open[part] = openSpan{count: o.count - 1, from: o.from}
		return
	}
	delete(s.open, part)
	s.closed = append(s.closed, span{part: part, from: o.from, to: time.Now()})
}

// all returns the spans so far, ordered by their start.
func (s *spans) all() []span {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	all := slices.Clone(s.closed)
	for part, o := range s.open {
		all = append(all, span{part: part, from: o.from, to: forever})
	}
	slices.SortFunc(all, func(a, b span) int { return cmp.Or(a.from.Compare(b.from), cmp.Compare(a.part, b.part)) })
	return all
}

// calmAfter returns the earliest time that is at least the length after a time and before
// which no relevant part was disturbed for the length; forever if one still is. The spans are
// ordered by their start.
func calmAfter(all []span, at time.Time, length time.Duration, relevant func(part string) bool) time.Time {
	calm := at.Add(length)
	for _, s := range all {
		switch {
		case !relevant(s.part) || !s.from.Before(calm):
		case s.to == forever:
			return forever
		case s.to.Add(length).After(calm):
			calm = s.to.Add(length)
		}
	}
	return calm
}

// learned returns the time until which a proxy, one of several, may use the version of the
// configuration that another one replaced at a time: readTime without a disturbance of the proxy
// or the store. A proxy that the store alone does not serve learns of versions from the others
// within applyTime, while all of them run and the store serves one of them.
func (s *spans) learned(proxy string, proxies []string, at time.Time) time.Time {
	all, link := s.all(), proxy+linkToStore
	if !slices.ContainsFunc(all, func(o span) bool { return o.part == link && o.to.After(at.Add(-applyTime)) }) {
		return calmAfter(all, at, readTime, func(part string) bool { return part == storePart || part == proxy })
	}
	earliest := forever
	for _, source := range proxies {
		calm := calmAfter(all, at, applyTime, func(part string) bool {
			return !strings.HasSuffix(part, linkToStore) || part == source+linkToStore
		})
		if calm.Before(earliest) {
			earliest = calm
		}
	}
	return earliest
}

// learnedByAll is learned for all proxies together.
func (s *spans) learnedByAll(at time.Time) time.Time {
	return calmAfter(s.all(), at, applyTime, func(string) bool { return true })
}
