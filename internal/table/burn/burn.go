// Package burn is the table of the numbers of good and bad requests, by class,
// that this proxy has answered to its own callers. Burn rates of error budgets
// are computed from them.
package burn

import (
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/class"
	"eelgrassladder.example/eelgrassladder/internal/table/lockrank"
)

// bucketLength is the time that one bucket covers.
const bucketLength = 30 * time.Second

// bucketCount is the number of buckets of a class. They cover the longest
// window, 72 hours of 120 buckets each, and one bucket more.
const bucketCount = 72*120 + 1

// Window is a length of time for which burn rates are reported.
type Window struct {
	// Name is the window's name in reports.
	Name string
	// Length is a multiple of bucketLength.
	Length time.Duration
}

// Windows are the windows for which burn rates are reported, the shortest first.
var Windows = []Window{
	{"5m", 5 * time.Minute},
	{"1h", time.Hour},
	{"6h", 6 * time.Hour},
	{"3d", 72 * time.Hour},
}

// Count holds the numbers of good and bad requests of one class in one window.
type Count struct {
	Class string
	// Window is the name of one of Windows.
	Window string
	// Covered is the part of the window in which this proxy has been running.
	Covered time.Duration
	Good    uint64
	Bad     uint64
	// Share is the share of good requests that the class's target required at
	// the latest request.
	Share float64
}

// bucket counts the requests of one class within one bucketLength. Its number is
// the time since the Unix epoch in units of bucketLength, rounded down.
type bucket struct {
	number int64
	good   uint64
	bad    uint64
}

// classBuckets is the ring of buckets of one class.
type classBuckets struct {
	// share is Count.Share.
	share float64
	// buckets holds the bucket of a number at that number modulo bucketCount.
	buckets []bucket
}

// Table counts the requests of all classes. The rank of its mutex is
// lockrank.Burn. Nothing is stored on the host: the table starts empty with
// the process, and Count.Covered says how much of a window it covers.
type Table struct {
	mutex   *lockrank.Mutex
	started time.Time
	classes map[string]*classBuckets
}

// New returns an empty table that counts from now.
func New(now time.Time) *Table {
	return &Table{mutex: lockrank.New(lockrank.Burn), started: now, classes: map[string]*classBuckets{}}
}

// Record counts one request of a class. A request is good if its whole answer
// was delivered within the target's time, counted from when the first proxy
// had received the whole request. Refused and late requests, and those whose
// outcome is unknown, are bad.
func (t *Table) Record(c class.Class, good bool, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	ring, ok := t.classes[c.Name]
	if !ok {
		ring = &classBuckets{buckets: make([]bucket, bucketCount)}
		t.classes[c.Name] = ring
	}
	ring.share = c.Target.Share
	number := now.UnixNano() / int64(bucketLength)
	b := &ring.buckets[number%bucketCount]
	if b.number != number {
		*b = bucket{number: number}
	}
	if good {
		b.good++
	} else {
		b.bad++
	}
}

// Counts returns the counts of every class in every window.
func (t *Table) Counts(now time.Time) []Count {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var counts []Count
	for name, ring := range t.classes {
		for _, window := range Windows {
			count := ring.count(window, now)
			count.Class = name
			count.Covered = min(window.Length, now.Sub(t.started))
			counts = append(counts, count)
		}
	}
	return counts
}

// count returns the sum of the buckets of the window that ends now, the bucket
// that is not full yet included.
func (s *classBuckets) count(w Window, now time.Time) Count {
	sum := Count{Window: w.Name, Share: s.share}
	last := now.UnixNano() / int64(bucketLength)
	first := last - int64(w.Length/bucketLength) + 1
	for number := first; number <= last; number++ {
		b := s.buckets[number%bucketCount]
		if b.number == number {
			sum.Good += b.good
			sum.Bad += b.bad
		}
	}
	return sum
}

// Rate returns the burn rate: the share of bad requests divided by the share
// that the target allows. At a rate of 1 the error budget lasts exactly for
// its period. The rate is zero if there are no requests, and also if the target
// allows no bad request.
func (c Count) Rate() float64 {
	total := c.Good + c.Bad
	if total == 0 || c.Share >= 1 {
		return 0
	}
	return float64(c.Bad) / float64(total) / (1 - c.Share)
}
