// Package burn is the table of good and bad requests per class that this
// proxy has answered to its own callers.
package burn

import (
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/class"
	"eelgrassladder.example/eelgrassladder/internal/table/lockrank"
)

// bucketLength is the time that one bucket covers.
const bucketLength = 30 * time.Second

// bucketCount is the number of buckets kept, a little over three days.
const bucketCount = 72*120 + 1

// Window is a length of time over which burn is reported.
type Window struct {
	// Name is how reports call the window.
	Name string
	// Length is a multiple of the bucket length.
	Length time.Duration
}

// Windows are the windows of every report, the shortest first.
var Windows = []Window{
	{"5m", 5 * time.Minute},
	{"1h", time.Hour},
	{"6h", 6 * time.Hour},
	{"3d", 72 * time.Hour},
}

// Count is the good and bad requests of one class in one window.
type Count struct {
	Class string
	// Window names one of Windows.
	Window string
	// Covered is how much of the window this proxy has been running.
	Covered time.Duration
	Good    uint64
	Bad     uint64
	// Share is the share of good requests that the target asked for last.
	Share float64
}

// bucket counts one class over one bucket length.
type bucket struct {
	number int64
	good   uint64
	bad    uint64
}

// series is the ring of one class.
type series struct {
	share   float64
	buckets []bucket
}

// Table counts for all classes. Its rank is Burn. Hosts keep nothing: it
// starts empty with its process, and Covered says how far it reaches.
type Table struct {
	mutex   *lockrank.Mutex
	started time.Time
	classes map[string]*series
}

// New returns an empty table that starts now.
func New(now time.Time) *Table {
	return &Table{mutex: lockrank.New(lockrank.Burn), started: now, classes: map[string]*series{}}
}

// Record counts one request of a class. A request is good when it was
// answered whole within the target's time, counted from when the first proxy
// had all of it; whatever was refused, late or unknown is bad.
func (t *Table) Record(c class.Class, good bool, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	s, ok := t.classes[c.Name]
	if !ok {
		s = &series{buckets: make([]bucket, bucketCount)}
		t.classes[c.Name] = s
	}
	s.share = c.Target.Share
	number := now.UnixNano() / int64(bucketLength)
	b := &s.buckets[number%bucketCount]
	if b.number != number {
		*b = bucket{number: number}
	}
	if good {
		b.good++
	} else {
		b.bad++
	}
}

// Counts returns the counts of every class and window.
func (t *Table) Counts(now time.Time) []Count {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var all []Count
	for name, s := range t.classes {
		for _, w := range Windows {
			c := s.sum(w, now)
			c.Class = name
			c.Covered = min(w.Length, now.Sub(t.started))
			all = append(all, c)
		}
	}
	return all
}

// sum adds the buckets of a window.
func (s *series) sum(w Window, now time.Time) Count {
	c := Count{Window: w.Name, Share: s.share}
	last := now.UnixNano() / int64(bucketLength)
	first := last - int64(w.Length/bucketLength) + 1
	for number := first; number <= last; number++ {
		b := s.buckets[number%bucketCount]
		if b.number == number {
			c.Good += b.good
			c.Bad += b.bad
		}
	}
	return c
}

// Rate returns the burn rate: the share of bad requests over the share that
// the target allows. At 1 the error budget is used up just in time.
func (c Count) Rate() float64 {
	total := c.Good + c.Bad
	if total == 0 || c.Share >= 1 {
		return 0
	}
	return float64(c.Bad) / float64(total) / (1 - c.Share)
}
