package queue

import (
	"math"
	"slices"
	"time"

	"eelgrassladder.example/eelgrassladder"
)

// rateWindow is the time over which the rate of paying work is taken.
const rateWindow = time.Second

// rate is a rate of events that fades with time.
type rate struct {
	// count is the faded number of events in the window before at.
	count float64
	at    time.Time
}

// add counts an event.
func (r *rate) add(now time.Time) {
	r.count = r.value(now)*rateWindow.Seconds() + 1
	r.at = now
}

// value returns events a second.
func (r *rate) value(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.count * math.Exp(-now.Sub(r.at).Seconds()/rateWindow.Seconds()) / rateWindow.Seconds()
}

// pick takes the best item that some member may run now. The caller holds
// the mutex.
func (q *Table) pick() (Job, bool) {
	if len(q.items) == 0 || len(q.places) == 0 {
		return Job{}, false
	}
	now := q.timer.Now()
	q.noteUse(now)
	places := q.routed()
	best, bestPlace := -1, -1
	for at := range places {
		load := q.loadOf(q.places[at], now)
		full := load.PayingInUse+load.FreeInUse >= load.Slots
		for i, item := range q.items {
			if full && !item.Request.DescribeOnly {
				continue
			}
			if best >= 0 && !q.admission.Before(now, item.view, q.items[best].view) {
				continue
			}
			admitted := item.Request.DescribeOnly || q.admission.Admits(item.view, load)
			if admitted && q.mayRun(item, places, at, now) {
				best, bestPlace = i, at
			}
		}
	}
	if best < 0 {
		return Job{}, false
	}
	item := q.items[best]
	q.items = slices.Delete(q.items, best, best+1)
	return q.start(item, q.places[bestPlace].Name, now), true
}

// noteUse brings up to date how many slots each waiting item's caller has
// lately held. It looks each caller up once.
func (q *Table) noteUse(now time.Time) {
	clear(q.used)
	for _, i := range q.items {
		used, ok := q.used[i.Request.Caller]
		if !ok {
			used = q.usedBy(i.Request.Caller, now)
			q.used[i.Request.Caller] = used
		}
		i.view.RecentSlots = used
	}
}

// usedBy returns how many slots a caller has lately held. The caller of the
// method holds the mutex.
func (q *Table) usedBy(caller string, now time.Time) float64 {
	r, ok := q.callers[caller]
	if !ok {
		return 0
	}
	return r.value(now) * q.service.Seconds()
}

// start takes a slot. The caller holds the mutex.
func (q *Table) start(i *Item, member string, now time.Time) Job {
	r, ok := q.callers[i.Request.Caller]
	if !ok {
		r = &rate{}
		q.callers[i.Request.Caller] = r
	}
	r.add(now)
	s := q.slotsOf(member)
	switch {
	case i.Request.DescribeOnly:
		s.describing++
	case i.Class.Paying:
		s.paying++
		s.rate.add(now)
	default:
		s.free++
	}
	return Job{Item: i, Member: member, Started: now}
}

// mayRun reports whether routing lets the item run at a place.
func (q *Table) mayRun(i *Item, places []eelgrassladder.Candidate, at int, now time.Time) bool {
	if i.Member != "" {
		return q.places[at].Name == i.Member
	}
	return q.router.Eligible(eelgrassladder.ReadRequest{
		ReplicaAllowed: i.ReplicaAllowed,
		Paying:         i.Class.Paying,
		Required:       i.Request.Required,
		Staleness:      i.Class.MaxStaleness(),
		TimeLeft:       i.Request.Arrived.Add(i.Class.TargetLatency()).Sub(now),
	}, places, at)
}

// routed returns the places with the delay that the queue forecasts.
func (q *Table) routed() []eelgrassladder.Candidate {
	places := make([]eelgrassladder.Candidate, len(q.places))
	for i, p := range q.places {
		places[i] = p.Snapshot
		s := q.slotsOf(p.Name)
		if s.paying+s.free >= p.Slots {
			places[i].Delay = q.service
		}
	}
	return places
}

// slotsOf returns the counts of a member. The caller holds the mutex.
func (q *Table) slotsOf(member string) *slots {
	s, ok := q.taken[member]
	if !ok {
		s = &slots{}
		q.taken[member] = s
	}
	return s
}

// loadOf returns what admission sees of one member. The caller holds the
// mutex.
func (q *Table) loadOf(p Member, now time.Time) eelgrassladder.MemberLoad {
	s := q.slotsOf(p.Name)
	l := eelgrassladder.MemberLoad{
		Slots: p.Slots, PayingInUse: s.paying, FreeInUse: s.free,
		PayingRate: s.rate.value(now), ServiceTime: q.service,
	}
	for _, i := range q.items {
		if i.Class.Paying && !i.Request.DescribeOnly && (p.Snapshot.Primary || i.ReplicaAllowed) && (i.Member == "" || i.Member == p.Name) {
			l.PayingQueued++
		}
	}
	return l
}

// load returns what admission sees of all members that may run the item. The
// caller holds the mutex.
func (q *Table) load(i *Item) eelgrassladder.MemberLoad {
	now := q.timer.Now()
	l := eelgrassladder.MemberLoad{ServiceTime: q.forecast(i.Class.Name)}
	for _, p := range q.places {
		if !p.Snapshot.Usable || (!p.Snapshot.Primary && !i.ReplicaAllowed) || (p.Snapshot.Primary && i.ReplicaAllowed && len(q.places) > 1) {
			continue
		}
		s := q.slotsOf(p.Name)
		l.Slots += p.Slots
		l.PayingInUse += s.paying
		l.FreeInUse += s.free
		l.PayingRate += s.rate.value(now)
	}
	for _, o := range q.items {
		if o != i && o.ReplicaAllowed == i.ReplicaAllowed && q.admission.Before(now, o.view, i.view) {
			l.Ahead++
		}
	}
	return l
}

// forecast returns the service time of a class. The caller holds the mutex.
func (q *Table) forecast(class string) time.Duration {
	if d, ok := q.forecasts[class]; ok {
		return d
	}
	return q.service
}

// learn adds a measurement to the forecasts. The caller holds the mutex.
func (q *Table) learn(class string, d time.Duration) {
	q.forecasts[class] = blend(q.forecast(class), d)
	q.service = blend(q.service, d)
}

// blend moves a forecast towards a measurement.
func blend(old, measured time.Duration) time.Duration {
	return old + time.Duration(smoothing*float64(measured-old))
}
