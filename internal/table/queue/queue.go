// Package queue is the table of the requests of one group that wait for a slot
// at a member, and of the occupied slots. Workers take jobs from it. Which
// request runs where is decided by the policies of admission and routing.
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
	// Request is the caller's request.
	Request request.Request
	// Class is the request's class at the time when it arrived.
	Class class.Class
	// ReplicaAllowed is true if a replica may run the request.
	ReplicaAllowed bool
	// Member is the name of the only member that may run the request; empty if
	// any may.
	Member string
	// MayHaveRun is true once an attempt may have run at the primary. From
	// then on the request is never answered with NotRun.
	MayHaveRun bool
	// Context ends when the caller cancels the request.
	Context context.Context
	// deliver is called once, with the answer.
	deliver func(request.Answer)
	// view is the item as admission sees it. The table's mutex guards it.
	view eelgrassladder.QueuedRequest
	// settled is true once the answer has been decided, so that deliver was
	// called or will be. The table's mutex guards it.
	settled bool
}

// Job is an item that a worker runs, with the member at which it holds a slot.
type Job struct {
	// Item is the request to run.
	Item *Item
	// Member is the name of the member.
	Member string
	// Started is when the job got its slot.
	Started time.Time
}

// Member is a member of the group as the queue sees it.
type Member struct {
	// Name is the name of the member.
	Name string
	// Slots is how many statements the member runs at a time.
	Slots int
	// Snapshot is what routing sees, without Delay, which the queue fills in.
	Snapshot eelgrassladder.Candidate
}

// slots counts the occupied slots of one member.
type slots struct {
	paying int
	free   int
	// descriptions counts running requests that only describe a statement; they
	// occupy no slot.
	descriptions int
	// rate is the recent rate of paying requests started at the member.
	rate rate
}

// Table holds the queue of one group. The rank of its mutex is lockrank.Queue.
type Table struct {
	admission eelgrassladder.Admission
	router    eelgrassladder.Router
	timer     eelgrassladder.Timer
	// limit is the maximum number of waiting requests.
	limit int

	mutex *lockrank.Mutex
	// wake is signalled when a worker may find a job.
	wake *sync.Cond
	// items are the waiting requests, in the order in which they were added.
	items []*Item
	// members are the members that serve in the current term; empty if none
	// does.
	members []Member
	// slotsByMember is keyed by the name of the member.
	slotsByMember map[string]*slots
	// callers holds the recent request rate of each caller. It has at most one
	// entry for each caller in the configuration.
	callers map[string]*rate
	// usage holds recently held slots by caller. It is reused by each call of
	// updateUsage, and means nothing outside of it.
	usage map[string]float64
	// forecasts holds the forecast service time of each class.
	forecasts map[string]time.Duration
	// serviceTime is the forecast service time over all classes.
	serviceTime time.Duration
	// closed is the answer to new requests once the queue is closed; nil
	// before.
	closed *request.Answer
}

// initialServiceTime is the forecast before the first measurement.
const initialServiceTime = 5 * time.Millisecond

// measurementWeight is the weight of a new measurement in a forecast.
const measurementWeight = 0.05

// New returns an empty queue for at most limit waiting requests.
func New(a eelgrassladder.Admission, r eelgrassladder.Router, t eelgrassladder.Timer, limit int) *Table {
	q := &Table{
		admission: a, router: r, timer: t, limit: limit,
		mutex: lockrank.New(lockrank.Queue), slotsByMember: map[string]*slots{}, callers: map[string]*rate{}, usage: map[string]float64{},
		forecasts: map[string]time.Duration{}, serviceTime: initialServiceTime,
	}
	q.wake = sync.NewCond(q.mutex)
	return q
}

// Offer adds an item. Deliver is called once with the item's answer: by Offer
// itself if the request is refused on arrival.
func (q *Table) Offer(i *Item, deliver func(request.Answer)) {
	i.deliver = deliver
	i.view = eelgrassladder.QueuedRequest{
		Caller: i.Request.Caller, Class: i.Class, Arrived: i.Request.Arrived, Pinned: i.Request.Pin != 0,
	}
	if answer, refused := q.offer(i); refused {
		deliver(answer)
	}
}

// offer adds the item, or returns a refusal and true. Requests that only
// describe a statement are not subject to admission.
func (q *Table) offer(i *Item) (request.Answer, bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.closed != nil && i.Request.Pin == 0 {
		i.settled = true
		return *q.closed, true
	}
	if len(q.items) >= q.limit {
		i.settled = true
		return request.Refused(request.CodeOverloaded, "too many requests wait for this database",
			"Try again later.", q.serviceTime), true
	}
	if i.Request.DescribeOnly {
		q.items = append(q.items, i)
		q.wake.Signal()
		return request.Answer{}, false
	}
	now := q.timer.Now()
	q.updateUsage(now)
	i.view.RecentSlots = q.recentSlotsOf(i.Request.Caller, now)
	if decision := q.admission.OnArrival(now, i.view, q.groupLoad(i)); decision.Refuse {
		i.settled = true
		return missedTargetRefusal(decision), true
	}
	q.items = append(q.items, i)
	q.wake.Signal()
	return request.Answer{}, false
}

// Requeue returns an item that did not run to the queue, for example after a
// change of the members that may run it. If the queue is closed, the item gets
// the queue's closing answer unless its transaction has begun.
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

// Settle delivers the answer of an item, unless it has been answered already.
func (q *Table) Settle(i *Item, a request.Answer) {
	q.mutex.Lock()
	pending := !i.settled
	i.settled = true
	q.mutex.Unlock()
	if pending {
		i.deliver(a.WithEarlierTry(i.MayHaveRun))
	}
}

// Take returns the next job, and waits for one if there is none. It returns
// false when ctx has ended. It implements worker.Source.
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

// TryTake returns a job if one may run now, and false otherwise.
func (q *Table) TryTake() (Job, bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.pick()
}

// Wake wakes all workers that wait in Take.
func (q *Table) Wake() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.wake.Broadcast()
}

// Done releases the slot of a job. If measured is true, the time since the job
// started is added to the forecasts.
func (q *Table) Done(j Job, measured bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	s := q.slotsAt(j.Member)
	switch {
	case j.Item.Request.DescribeOnly:
		s.descriptions--
	case j.Item.Class.Paying:
		s.paying--
	default:
		s.free--
	}
	if measured && !j.Item.Request.DescribeOnly {
		q.recordServiceTime(j.Item.Class.Name, q.timer.Now().Sub(j.Started))
	}
	q.wake.Signal()
}

// SetMembers sets the members that serve in the current term.
func (q *Table) SetMembers(members []Member) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.members = members
	q.wake.Signal()
}

// Sweep refuses the requests that admission no longer lets wait, and those that
// their caller has cancelled.
func (q *Table) Sweep() {
	refused := q.removeOverdue()
	for i, answer := range refused {
		i.deliver(answer.WithEarlierTry(i.MayHaveRun))
	}
}

// removeOverdue removes the overdue and the cancelled items, and returns their
// answers.
func (q *Table) removeOverdue() map[*Item]request.Answer {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	refused := map[*Item]request.Answer{}
	now := q.timer.Now()
	q.items = slices.DeleteFunc(q.items, func(i *Item) bool {
		if i.Context.Err() != nil {
			refused[i] = request.Refused(request.CodeCancelled, "the request was cancelled before it ran", "", 0)
		} else if decision := q.admission.WhileQueued(now, i.view, eelgrassladder.MemberLoad{ServiceTime: q.forecast(i.Class.Name)}); decision.Refuse {
			refused[i] = q.overdueRefusal(decision)
		} else {
			return false
		}
		i.settled = true
		return true
	})
	return refused
}

// overdueRefusal returns the refusal of an overdue request. Its text says
// whether the group lacks a primary. The caller holds the mutex.
func (q *Table) overdueRefusal(decision eelgrassladder.Decision) request.Answer {
	if len(q.members) == 0 {
		return request.Refused(request.CodeCannotConnect, "no primary serves this database",
			"A change of primary is under way; try again.", decision.RetryAfter)
	}
	return missedTargetRefusal(decision)
}

// missedTargetRefusal returns the refusal of a request that cannot meet its
// target.
func missedTargetRefusal(decision eelgrassladder.Decision) request.Answer {
	return request.Refused(request.CodeOverloaded, "the request can't meet its class's target",
		"Try again in "+decision.RetryAfter.Round(time.Millisecond).String()+".", decision.RetryAfter)
}

// Close refuses the waiting requests and all later ones with the given answer,
// except those of transactions that have begun.
func (q *Table) Close(answer request.Answer) {
	q.mutex.Lock()
	q.closed = &answer
	var refused []*Item
	q.items = slices.DeleteFunc(q.items, func(i *Item) bool {
		if i.Request.Pin == 0 {
			i.settled = true
			refused = append(refused, i)
		}
		return i.Request.Pin == 0
	})
	q.wake.Broadcast()
	q.mutex.Unlock()
	for _, i := range refused {
		i.deliver(answer.WithEarlierTry(i.MayHaveRun))
	}
}

// Waiting returns the number of waiting requests.
func (q *Table) Waiting() int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return len(q.items)
}

// Running returns the number of jobs for which Done was not called yet.
func (q *Table) Running() int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	running := 0
	for _, s := range q.slotsByMember {
		running += s.paying + s.free + s.descriptions
	}
	return running
}
