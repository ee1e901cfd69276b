// Package queue is the table of the requests of one group that wait for a
// slot at a member, and of the slots that are taken. Workers take work from
// it; it applies the policies of admission and routing and holds none itself.
package queue

import (
	"context"
	"slices"
	"sync"
	"time"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/model/class"
	"eelgrassladder.example/eelgrassladder/internal/model/request"
	"eelgrassladder.example/eelgrassladder/internal/table/lockrank"
)

// Item is a request in the queue.
type Item struct {
	// Request is what the caller asked.
	Request request.Request
	// Class is the class in force when the request arrived.
	Class class.Class
	// ReplicaAllowed is true when a replica may be tried.
	ReplicaAllowed bool
	// Member is the only member that may run it; empty for any.
	Member string
	// MayHaveRun is true once a try may have run at the primary. From then on the
	// item is never told as not run.
	MayHaveRun bool
	// Context ends when the caller gives the request up.
	Context context.Context
	// deliver is called once with the answer.
	deliver func(request.Answer)
	// view is what admission sees of the item. The queue's mutex guards it.
	view eelgrassladder.QueuedRequest
	// settled is true once deliver was called. The queue's mutex guards it.
	settled bool
}

// Job is an item with the member that it was given a slot at.
type Job struct {
	// Item is the request to run.
	Item *Item
	// Member is the name of the member.
	Member string
	// Started is when the slot was given.
	Started time.Time
}

// Member is a member as the queue sees it.
type Member struct {
	// Name is the name of the member.
	Name string
	// Slots is how many statements it runs at one time.
	Slots int
	// Snapshot is what routing sees, without Delay, which the queue adds.
	Snapshot eelgrassladder.Candidate
}

// slots counts the taken slots of one member.
type slots struct {
	paying int
	free   int
	// describing counts requests that run nothing; they need no slot.
	describing int
	// rate is the recent rate of paying requests that started there.
	rate rate
}

// Table holds the queue of one group. Its rank is Queue.
type Table struct {
	admission eelgrassladder.Admission
	router    eelgrassladder.Router
	timer     eelgrassladder.Timer
	// limit is the most requests that wait.
	limit int

	mutex *lockrank.Mutex
	// wake is signalled when a worker may find work.
	wake *sync.Cond
	// items wait, in order of arrival.
	items []*Item
	// places are the members in the term in force; nil while none serves.
	places []Member
	// taken is keyed by the name of the member.
	taken map[string]*slots
	// callers holds the recent rate of requests of each caller; it has no more
	// entries than the configuration has callers.
	callers map[string]*rate
	// used is scratch space of noteUse.
	used map[string]float64
	// forecasts is the forecast service time of each class.
	forecasts map[string]time.Duration
	// service is the forecast service time over all classes.
	service time.Duration
	// closed refuses new requests with the answer.
	closed *request.Answer
}

// initialService is the forecast before anything was measured.
const initialService = 5 * time.Millisecond

// smoothing is the weight of a new measurement in a forecast.
const smoothing = 0.05

// New returns an empty queue.
func New(a eelgrassladder.Admission, r eelgrassladder.Router, t eelgrassladder.Timer, limit int) *Table {
	q := &Table{
		admission: a, router: r, timer: t, limit: limit,
		mutex: lockrank.New(lockrank.Queue), taken: map[string]*slots{}, callers: map[string]*rate{}, used: map[string]float64{},
		forecasts: map[string]time.Duration{}, service: initialService,
	}
	q.wake = sync.NewCond(q.mutex)
	return q
}

// Offer adds a request. Its answer, a refusal included, goes to deliver.
func (q *Table) Offer(i *Item, deliver func(request.Answer)) {
	i.deliver = deliver
	i.view = eelgrassladder.QueuedRequest{
		Caller: i.Request.Caller, Class: i.Class, Arrived: i.Request.Arrived, Pinned: i.Request.Pin != 0,
	}
	if answer, refused := q.offer(i); refused {
		deliver(answer)
	}
}

// offer adds the item, or returns the refusal.
func (q *Table) offer(i *Item) (request.Answer, bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.closed != nil && i.Request.Pin == 0 {
		i.settled = true
		return *q.closed, true
	}
	if len(q.items) >= q.limit {
		i.settled = true
		return request.Refused(request.CodeTooManyConnections, "too many requests wait for this database",
			"Try again later.", q.service), true
	}
	if i.Request.DescribeOnly {
		q.items = append(q.items, i)
		q.wake.Signal()
		return request.Answer{}, false
	}
	now := q.timer.Now()
	q.noteUse(now)
	i.view.RecentSlots = q.usedBy(i.Request.Caller, now)
	if verdict := q.admission.OnArrival(now, i.view, q.load(i)); verdict.Refuse {
		i.settled = true
		return overTarget(verdict), true
	}
	q.items = append(q.items, i)
	q.wake.Signal()
	return request.Answer{}, false
}

// Requeue puts an item that was not run back, after a change to where it may
// run.
func (q *Table) Requeue(i *Item) {
	q.mutex.Lock()
	if q.closed == nil || i.Request.Pin != 0 {
		q.items = append(q.items, i)
		q.wake.Signal()
		q.mutex.Unlock()
		return
	}
	answer := *q.closed
	q.mutex.Unlock()
	q.Settle(i, answer)
}

// Settle delivers the answer of an item, once.
func (q *Table) Settle(i *Item, a request.Answer) {
	q.mutex.Lock()
	first := !i.settled
	i.settled = true
	q.mutex.Unlock()
	if first {
		i.deliver(a.WithEarlierTry(i.MayHaveRun))
	}
}

// Take returns the next job, waiting for one. It implements worker.Source.
func (q *Table) Take(ctx context.Context) (Job, bool) {
	stop := context.AfterFunc(ctx, q.Wake)
	defer stop()
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for ctx.Err() == nil {
		if job, ok := q.pick(); ok {
			q.wake.Signal()
			return job, true
		}
		q.wake.Wait()
	}
	return Job{}, false
}

// TryTake returns a job if one may run now, without waiting.
func (q *Table) TryTake() (Job, bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.pick()
}

// Wake lets all workers look again.
func (q *Table) Wake() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.wake.Broadcast()
}

// Done gives a job's slot back. With measured, its time goes into the
// forecast.
func (q *Table) Done(j Job, measured bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	s := q.slotsOf(j.Member)
	switch {
	case j.Item.Request.DescribeOnly:
		s.describing--
	case j.Item.Class.Paying:
		s.paying--
	default:
		s.free--
	}
	if measured && !j.Item.Request.DescribeOnly {
		q.learn(j.Item.Class.Name, q.timer.Now().Sub(j.Started))
	}
	q.wake.Signal()
}

// SetMembers tells the queue the members of the term in force.
func (q *Table) SetMembers(places []Member) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.places = places
	q.wake.Signal()
}

// Sweep refuses what can no longer meet its target and drops what its caller
// has given up.
func (q *Table) Sweep() {
	refused := q.overdue()
	for i, answer := range refused {
		i.deliver(answer.WithEarlierTry(i.MayHaveRun))
	}
}

// overdue removes and returns the items to refuse.
func (q *Table) overdue() map[*Item]request.Answer {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	refused := map[*Item]request.Answer{}
	now := q.timer.Now()
	q.items = slices.DeleteFunc(q.items, func(i *Item) bool {
		if i.Context.Err() != nil {
			refused[i] = request.Refused(request.CodeCancelled, "the request was cancelled before it ran", "", 0)
		} else if verdict := q.admission.WhileQueued(now, i.view, eelgrassladder.MemberLoad{ServiceTime: q.forecast(i.Class.Name)}); verdict.Refuse {
			refused[i] = q.unserved(verdict)
		} else {
			return false
		}
		i.settled = true
		return true
	})
	return refused
}

// unserved words a refusal by whether a primary serves. The caller holds the
// mutex.
func (q *Table) unserved(v eelgrassladder.Decision) request.Answer {
	if len(q.places) == 0 {
		return request.Refused(request.CodeCannotConnect, "no primary serves this database",
			"A change of primary is under way; try again.", v.RetryAfter)
	}
	return overTarget(v)
}

// overTarget is the refusal of work that can't meet its target.
func overTarget(v eelgrassladder.Decision) request.Answer {
	return request.Refused(request.CodeTooManyConnections, "the request can't meet its class's target",
		"Try again in "+v.RetryAfter.Round(time.Millisecond).String()+".", v.RetryAfter)
}

// Close refuses what waits and what comes with the answer; requests of
// transactions that have begun still pass.
func (q *Table) Close(answer request.Answer) {
	q.mutex.Lock()
	q.closed = &answer
	var items []*Item
	q.items = slices.DeleteFunc(q.items, func(i *Item) bool {
		if i.Request.Pin == 0 {
			i.settled = true
			items = append(items, i)
		}
		return i.Request.Pin == 0
	})
	q.wake.Broadcast()
	q.mutex.Unlock()
	for _, i := range items {
		i.deliver(answer.WithEarlierTry(i.MayHaveRun))
	}
}

// Waiting returns how many requests wait.
func (q *Table) Waiting() int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return len(q.items)
}

// Running returns how many jobs hold slots.
func (q *Table) Running() int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	running := 0
	for _, s := range q.taken {
		running += s.paying + s.free + s.describing
	}
	return running
}
