package queue

import (
	"math"
	"slices"
	"time"

	"eelgrassladder.example/eelgrassladder"
)

// rateWindow is the time constant with which recent rates decay.
const rateWindow = time.Second

// rate is a rate of events that decays exponentially.
type rate struct {
	// count is the decayed number of events at the time countedAt.
	count     float64
	countedAt time.Time
}

// add counts an event.
func (r *rate) add(now time.Time) {
	r.count = r.value(now)*rateWindow.Seconds() + 1
	r.countedAt = now
}

// value returns the rate in events per second.
func (r *rate) value(now time.Time) float64 {
	if r.countedAt.IsZero() {
		return 0
	}
	return r.count * math.Exp(-now.Sub(r.countedAt).Seconds()/rateWindow.Seconds()) / rateWindow.Seconds()
}

// pick removes and returns the first item, in admission's order, that some
// member may run now. It returns false if there is none. The caller holds the
// mutex.
func (q *Table) pick() (Job, bool) {
	if len(q.items) == 0 || len(q.members) == 0 {
		return Job{}, false
	}
	now := q.timer.Now()
	q.updateUsage(now)
	candidates := q.forecastCandidates()
	best, bestMember := -1, -1
	for memberIndex := range candidates {
		load := q.memberLoad(q.members[memberIndex], now)
		full := load.PayingInUse+load.FreeInUse >= load.Slots
		for i, item := range q.items {
			if full && !item.Request.DescribeOnly {
				continue
			}
			if best >= 0 && !q.admission.Before(now, item.view, q.items[best].view) {
				continue
			}
			admitted := item.Request.DescribeOnly || q.admission.Admits(item.view, load)
			if admitted && q.mayRun(item, candidates, memberIndex, now) {
				best, bestMember = i, memberIndex
			}
		}
	}
	if best < 0 {
		return Job{}, false
	}
	item := q.items[best]
	q.items = slices.Delete(q.items, best, best+1)
	return q.takeSlot(item, q.members[bestMember].Name, now), true
}

// updateUsage updates, in each waiting item's view, the slots that its caller
// has recently held. It computes them once for each caller. The caller of the
// method holds the mutex.
func (q *Table) updateUsage(now time.Time) {
	clear(q.usage)
	for _, i := range q.items {
		usage, ok := q.usage[i.Request.Caller]
		if !ok {
			usage = q.recentSlotsOf(i.Request.Caller, now)
			q.usage[i.Request.Caller] = usage
		}
		i.view.RecentSlots = usage
	}
}

// recentSlotsOf returns the average number of slots that a caller has recently
// held: by Little's law, its request rate times the service time. The caller
// of the method holds the mutex.
func (q *Table) recentSlotsOf(caller string, now time.Time) float64 {
	callerRate, ok := q.callers[caller]
	if !ok {
		return 0
	}
	return callerRate.value(now) * q.serviceTime.Seconds()
}

// takeSlot occupies a slot of the member with the item, and counts the request
// of its caller. The caller of the method holds the mutex.
func (q *Table) takeSlot(i *Item, member string, now time.Time) Job {
	callerRate, ok := q.callers[i.Request.Caller]
	if !ok {
		callerRate = &rate{}
		q.callers[i.Request.Caller] = callerRate
	}
	callerRate.add(now)
	s := q.slotsAt(member)
	switch {
	case i.Request.DescribeOnly:
		s.descriptions++
	case i.Class.Paying:
		s.paying++
		s.rate.add(now)
	default:
		s.free++
	}
	return Job{Item: i, Member: member, Started: now}
}

// mayRun reports whether the candidate at the index may run the item. The
// candidates are in the order of the members.
func (q *Table) mayRun(i *Item, candidates []eelgrassladder.Candidate, index int, now time.Time) bool {
	if i.Member != "" {
		return q.members[index].Name == i.Member
	}
	return q.router.Eligible(eelgrassladder.RoutingRequest{
		ReplicaAllowed: i.ReplicaAllowed,
		Paying:         i.Class.Paying,
		Required:       i.Request.Required,
		Staleness:      i.Class.MaxStaleness(),
		TimeLeft:       i.Request.Arrived.Add(i.Class.TargetLatency()).Sub(now),
	}, candidates, index)
}

// forecastCandidates returns the members as routing sees them. A member without
// an unused slot has a delay of one service time.
func (q *Table) forecastCandidates() []eelgrassladder.Candidate {
	candidates := make([]eelgrassladder.Candidate, len(q.members))
	for i, m := range q.members {
		candidates[i] = m.Snapshot
		s := q.slotsAt(m.Name)
		if s.paying+s.free >= m.Slots {
			candidates[i].Delay = q.serviceTime
		}
	}
	return candidates
}

// slotsAt returns the occupied slots of a member. The caller holds the mutex.
func (q *Table) slotsAt(member string) *slots {
	s, ok := q.slotsByMember[member]
	if !ok {
		s = &slots{}
		q.slotsByMember[member] = s
	}
	return s
}

// memberLoad returns what admission sees of one member. The caller holds the
// mutex.
func (q *Table) memberLoad(m Member, now time.Time) eelgrassladder.MemberLoad {
	s := q.slotsAt(m.Name)
	l := eelgrassladder.MemberLoad{
		Slots: m.Slots, PayingInUse: s.paying, FreeInUse: s.free,
		PayingRate: s.rate.value(now), ServiceTime: q.serviceTime,
	}
	// A paying item counts at the members that may run it: those of its role,
	// or the only member that may.
	for _, i := range q.items {
		if i.Class.Paying && !i.Request.DescribeOnly && (m.Snapshot.Primary || i.ReplicaAllowed) && (i.Member == "" || i.Member == m.Name) {
			l.PayingQueued++
		}
	}
	return l
}

// groupLoad returns what admission sees of all usable members that may run the
// item, taken together. For an item that replicas may run, the primary counts
// only if it is the only member. The caller holds the mutex.
func (q *Table) groupLoad(i *Item) eelgrassladder.MemberLoad {
	now := q.timer.Now()
	l := eelgrassladder.MemberLoad{ServiceTime: q.forecast(i.Class.Name)}
	for _, m := range q.members {
		if !m.Snapshot.Usable || (!m.Snapshot.Primary && !i.ReplicaAllowed) || (m.Snapshot.Primary && i.ReplicaAllowed && len(q.members) > 1) {
			continue
		}
		s := q.slotsAt(m.Name)
		l.Slots += m.Slots
		l.PayingInUse += s.paying
		l.FreeInUse += s.free
		l.PayingRate += s.rate.value(now)
	}
	for _, other := range q.items {
		if other != i && other.ReplicaAllowed == i.ReplicaAllowed && q.admission.Before(now, other.view, i.view) {
			l.Ahead++
		}
	}
	return l
}

// forecast returns the forecast service time of a class, or of all classes if
// no request of the class was measured. The caller holds the mutex.
func (q *Table) forecast(class string) time.Duration {
	if forecast, ok := q.forecasts[class]; ok {
		return forecast
	}
	return q.serviceTime
}

// recordServiceTime adds a measured service time to the forecasts. The caller
// holds the mutex.
func (q *Table) recordServiceTime(class string, measured time.Duration) {
	q.forecasts[class] = blend(q.forecast(class), measured)
	q.serviceTime = blend(q.serviceTime, measured)
}

// blend returns the exponential moving average of a forecast and a new
// measurement.
func blend(forecast, measured time.Duration) time.Duration {
	return forecast + time.Duration(measurementWeight*float64(measured-forecast))
}
