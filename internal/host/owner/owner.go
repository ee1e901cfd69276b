// Package owner runs a database group at the proxy that owns it. The owner
// alone holds the group's connections, request queue, member observations and
// sessions, and executes what the policies decide.
package owner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/host/worker"
	"eelgrassladder.example/eelgrassladder/internal/model/class"
	"eelgrassladder.example/eelgrassladder/internal/model/group"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/request"
	"eelgrassladder.example/eelgrassladder/internal/peer/endpoint"
	"eelgrassladder.example/eelgrassladder/internal/table/acknowledgements"
	"eelgrassladder.example/eelgrassladder/internal/table/idempotency"
	"eelgrassladder.example/eelgrassladder/internal/table/observations"
	"eelgrassladder.example/eelgrassladder/internal/table/pins"
	"eelgrassladder.example/eelgrassladder/internal/table/queue"
	"eelgrassladder.example/eelgrassladder/internal/table/sessions"
)

// The limits of an owner's tables and waits.
const (
	// maxWaiting is the maximum number of requests in the queue of one group.
	maxWaiting = 2048
	// maxSessions is the maximum number of named sessions kept for one group.
	maxSessions = 8192
	// maxKeys is the maximum number of request keys kept for one group.
	maxKeys = 16384
	// keyLifetime is how long a settled request key and its answer are kept,
	// from the time at which the key was first seen.
	keyLifetime = 10 * time.Minute
	// sweepPeriod is the interval at which overdue requests are refused and
	// idle transactions ended.
	sweepPeriod = 10 * time.Millisecond
	// idleTransactionTimeout is how long an open transaction may wait for its
	// caller's next request.
	idleTransactionTimeout = 15 * time.Second
	// statementTimeout is how long one request may run at a member.
	statementTimeout = 30 * time.Second
	// acknowledgeTimeout is how long an answer may wait until a majority holds
	// its position.
	acknowledgeTimeout = 3 * time.Second
	// extraWorkers is the number of workers beyond one per slot, for requests
	// that wait for a connection.
	extraWorkers = 2
)

// Owner runs one group. Use New to create it, then Start.
type Owner struct {
	// proxy is the name of this proxy, which is part of its proposer ID in a
	// term change.
	proxy string
	// incarnation is the start time of this proxy's process in microseconds
	// since 1970. It tells the process from those before a restart.
	incarnation uint64
	// credentials authenticate this proxy at endpoints.
	credentials endpoint.Credentials
	timer       eelgrassladder.Timer
	admission   eelgrassladder.Admission
	router      eelgrassladder.Router
	// classOf returns the class with a name in the current configuration, and
	// false if there is none.
	classOf func(name string) (class.Class, bool)
	// onTermChange is called after each change of term; nil for no call.
	onTermChange func(TermChange)

	// tasks runs the owner's goroutines; its context ends when the owner
	// stops.
	tasks        *task.Group
	queue        *queue.Table
	observations *observations.Table
	pins         *pins.Table
	sessions     *sessions.Table
	keys         *idempotency.Table
	acks         *acknowledgements.Table
	knownWrites  *knownWrites
	// draining is true from the start of a handover.
	draining atomic.Bool

	// mutex guards the fields below, except termRequests. It may be taken while
	// the locks of Registry, controlPool and memberControl are held; while it is
	// held, only locks of rank lockrank.Connections are taken.
	mutex sync.Mutex
	// group is the group as the latest host list describes it.
	group group.Group
	// active is the active term, or nil while the group does not serve.
	active *activeTerm
	// probes holds the function that stops the probe of each member, keyed by
	// the member's name.
	probes map[string]context.CancelFunc
	// highestTerm is the highest term that any member was observed in, or that
	// this owner has proposed or activated.
	highestTerm uint64
	// termRequests passes requests to the term loop. It buffers one request;
	// further ones are dropped.
	termRequests chan termRequest
}

// TermChange reports a change of term.
type TermChange struct {
	Group string
	// Term is the new term.
	Term uint64
	// Primary is the name of the new primary.
	Primary string
	// Reason says why the term was raised.
	Reason string
	// Took is the time from the decision until the new primary serves.
	Took time.Duration
}

// Option configures an Owner in New.
type Option func(*Owner)

// WithAdmission sets the admission policy.
func WithAdmission(a eelgrassladder.Admission) Option { return func(o *Owner) { o.admission = a } }

// WithRouter sets the routing policy.
func WithRouter(r eelgrassladder.Router) Option { return func(o *Owner) { o.router = r } }

// WithCredentials sets the credentials for endpoints.
func WithCredentials(c endpoint.Credentials) Option { return func(o *Owner) { o.credentials = c } }

// WithTermObserver sets a function that is called after each change of term.
func WithTermObserver(f func(TermChange)) Option { return func(o *Owner) { o.onTermChange = f } }

// New returns an owner of the group for a proxy. The owner is not started.
func New(
	proxy string, incarnation uint64, g group.Group, t eelgrassladder.Timer,
	classOf func(string) (class.Class, bool), options ...Option,
) *Owner {
	o := &Owner{
		proxy: proxy, incarnation: incarnation, group: g, timer: t, classOf: classOf,
		observations: observations.New(g),
		// With 2^20 IDs per microsecond, the IDs differ from those before a restart.
		pins:         pins.New(incarnation << 20),
		sessions:     sessions.New(maxSessions),
		keys:         idempotency.New(maxKeys, keyLifetime),
		acks:         acknowledgements.New(),
		knownWrites:  newKnownWrites(),
		probes:       map[string]context.CancelFunc{},
		termRequests: make(chan termRequest, 1),
	}
	for _, option := range options {
		option(o)
	}
	o.queue = queue.New(o.admission, o.router, t, maxWaiting)
	return o
}

// Start runs the owner until ctx ends or Stop is called. With a handover, it
// continues in the previous owner's term. Without one, it raises the term
// first, which fences off any previous owner.
func (o *Owner) Start(ctx context.Context, h *Handover) {
	o.tasks = task.New(ctx)
	o.UpdateGroup(o.Group())
	if h != nil {
		o.restore(*h)
	} else {
		o.requestTerm("Takeover", 0)
	}
	o.tasks.Go("term", o.runTermLoop)
	o.tasks.Go("sweep", o.sweep)
	slots := 0
	for _, m := range o.Group().Members {
		slots += m.Slots
	}
	worker.New(slots+extraWorkers, o.queue, o.execute).Start(o.tasks)
}

// Stop ends the owner without draining it, and waits for its goroutines.
// Requests in the queue are refused with Moved set.
func (o *Owner) Stop() {
	o.queue.Close(movedAnswer())
	o.tasks.Stop()
	if err := o.tasks.Wait(); err != nil {
		klog.ErrorS(err, "Owner stopped with an error", "Group", o.Group().Name)
	}
	o.deactivate()
	o.acks.Begin(0) // fails the answers that still wait for a majority
}

// Group returns the group as the latest host list describes it.
func (o *Owner) Group() group.Group {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.group
}

// UpdateGroup replaces the description of the group, starts probing new
// members and stops probing removed ones.
func (o *Owner) UpdateGroup(g group.Group) {
	o.observations.SetMembers(g)
	o.mutex.Lock()
	o.group = g
	for name, stop := range o.probes {
		if _, ok := g.Member(name); !ok {
			stop()
			delete(o.probes, name)
		}
	}
	for _, m := range g.Members {
		if _, ok := o.probes[m.Name]; ok {
			continue
		}
		ctx, stop := context.WithCancel(o.tasks.Context())
		o.probes[m.Name] = stop
		o.tasks.GoIsolated("probe "+m.Name, func(context.Context) { o.probeMember(ctx, m) })
	}
	o.mutex.Unlock()
	o.updatePools(g)
	o.applyObservations(o.timer.Now())
}

// Run runs a request and returns when its outcome is settled. A request with a
// known key is not run again: it gets the answer of the first request with the
// key, or is refused if that one did not run.
func (o *Owner) Run(ctx context.Context, r request.Request) request.Answer {
	c, ok := o.classOf(r.Class)
	if !ok {
		return request.Refused(request.CodeBadValue, "class of work is not in the configuration", "", 0)
	}
	if r.Key == "" {
		return o.run(ctx, r, c)
	}
	result, settled := o.keys.Begin(r.Key, o.timer.Now())
	switch result {
	case idempotency.Added:
		answer := o.run(ctx, r, c)
		o.keys.Settle(r.Key, answer)
		return answer
	case idempotency.Full:
		return request.Refused(request.CodeLimitExceeded, "too many request keys are remembered", "Try again later.", keyLifetime)
	}
	select {
	case <-ctx.Done():
		return request.OutcomeUnknown("the first run of this request key has not ended")
	case <-settled:
	}
	if answer, ok := o.keys.Answer(r.Key); ok {
		return answer
	}
	return request.Refused(request.CodeCannotConnect, "the first run of this request key was refused", "Try again.", 0)
}

// run queues a request and returns its answer.
func (o *Owner) run(ctx context.Context, r request.Request, c class.Class) request.Answer {
	item := &queue.Item{Request: r, Class: c, Context: ctx}
	if r.Pin != 0 {
		p, ok := o.pins.Find(r.Pin)
		if !ok {
			return request.RolledBack("the transaction has waited too long, or its connection is gone")
		}
		item.Member = p.Member
	} else {
		if r.SessionName != "" {
			item.Request = r.WithRequired(o.sessions.Required(r.SessionName))
		}
		item.ReplicaAllowed = o.replicaAllowed(r, c)
	}
	answers := make(chan request.Answer, 1)
	o.queue.Offer(item, func(a request.Answer) { answers <- a })
	answer := o.awaitAnswer(answers)
	if r.SessionName != "" && !answer.Position.IsZero() {
		o.sessions.Record(r.SessionName, answer.Position)
	}
	return answer
}

// awaitAnswer waits for the answer of a queued request. If the owner stops
// before there is one, the outcome is unknown.
func (o *Owner) awaitAnswer(answers <-chan request.Answer) request.Answer {
	select {
	case a := <-answers:
		return a
	case <-o.tasks.Context().Done():
	}
	select {
	case a := <-answers:
		return a
	default:
		return request.OutcomeUnknown("the owner of the database stopped while the request ran")
	}
}

// replicaAllowed reports whether a replica may run the request. Its class must
// allow stale reads. In addition, it must either be read-only, or open no
// transaction and not be in knownWrites; a replica refuses it if it writes.
func (o *Owner) replicaAllowed(r request.Request, c class.Class) bool {
	if c.Staleness == 0 {
		return false
	}
	if r.ReadOnly {
		return true
	}
	return !r.OpensTransaction && !o.knownWrites.contains(r.Fingerprint)
}

// RollBack rolls back a transaction that its caller has abandoned. If a request
// is running in it, its connection is closed instead.
func (o *Owner) RollBack(id uint64) {
	if p, ok := o.pins.TakeIdle(id); ok {
		p.Pool.Release(p.Connection)
		return
	}
	if p, ok := o.pins.Find(id); ok {
		p.Connection.Close()
	}
}

// sweep periodically applies the latest observations, refuses overdue requests,
// fails answers that have waited too long for a majority, and rolls back idle
// transactions.
func (o *Owner) sweep(ctx context.Context) error {
	s := o.timer.Subscribe(sweepPeriod)
	defer s.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-s.C():
			o.applyObservations(now)
			o.queue.Sweep()
			o.acks.Expire(now)
			for _, id := range o.pins.Expired(now, idleTransactionTimeout) {
				o.RollBack(id)
			}
		}
	}
}

// Observations returns the observed members, the active term and its primary. The
// term is zero while the group does not serve.
func (o *Owner) Observations() (observed []group.Observation, term uint64, primary string) {
	active := o.current()
	if active == nil {
		return o.observations.All(), 0, ""
	}
	return o.observations.All(), active.term, active.primary
}

// Waiting returns how many requests wait in the queue.
func (o *Owner) Waiting() int { return o.queue.Waiting() }

// Floor returns the position that reads of sessions without an entry must
// cover.
func (o *Owner) Floor() position.Position { return o.sessions.Floor() }

// movedAnswer returns the refusal of a request for a group that this proxy does
// not own.
func movedAnswer() request.Answer {
	a := request.Refused(request.CodeCannotConnect, "the database has moved to another proxy", "Try again.", 0)
	a.Moved = true
	return a
}

// lostTransactionAnswer returns the answer of a request whose transaction has
// lost its connection.
func lostTransactionAnswer() request.Answer {
	return request.OutcomeUnknown("the transaction's connection was lost")
}
