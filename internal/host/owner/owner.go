// Package owner runs one database group for the proxy that owns it: it alone
// holds the group's connections, its queue, what is observed of its members,
// and its sessions. It carries out what the policies decide.
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

// The bounds of an owner's tables and times.
const (
	// queueLimit is the most requests that wait for one group.
	queueLimit = 2048
	// sessionLimit is the most named sessions remembered for one group.
	sessionLimit = 8192
	// keyLimit is the most request keys remembered for one group.
	keyLimit = 16384
	// keyTime is how long a settled request key is remembered.
	keyTime = 10 * time.Minute
	// sweepPeriod is how often overdue requests are refused.
	sweepPeriod = 10 * time.Millisecond
	// idleTransaction is how long a transaction may wait for its caller.
	idleTransaction = 15 * time.Second
	// statementTime is how long one request may run at a member.
	statementTime = 30 * time.Second
	// acknowledgeTime is how long an answer may wait for a majority.
	acknowledgeTime = 3 * time.Second
	// extraWorkers run requests that wait for connections beside slots.
	extraWorkers = 2
)

// Owner runs one group. Use New, then Start.
type Owner struct {
	// proxy is the name of this proxy; it is the proposer of terms.
	proxy string
	// incarnation is that of this proxy's process.
	incarnation uint64
	// credentials are shown to endpoints.
	credentials endpoint.Credentials
	timer       eelgrassladder.Timer
	admission   eelgrassladder.Admission
	router      eelgrassladder.Router
	// classOf finds a class in the configuration in force.
	classOf func(name string) (class.Class, bool)
	// observe is told of each change of term; it may be nil.
	observe func(TermChange)

	// tasks ends when the owner stops.
	tasks    *task.Group
	queue    *queue.Table
	members  *observations.Table
	pins     *pins.Table
	sessions *sessions.Table
	keys     *idempotency.Table
	acks     *acknowledgements.Table
	learned  *learned
	// draining is true once the group is being handed over.
	draining atomic.Bool

	// mutex guards the fields below. It is a leaf.
	mutex sync.Mutex
	// group is the group as the platform last described it.
	group group.Group
	// generation is the term in force, or nil while none serves.
	generation *generation
	// watching holds the members whose progress is being followed.
	watching map[string]context.CancelFunc
	// highest is the highest term seen anywhere in the group.
	highest uint64
	// raise has room for one; it asks the term loop for a new term.
	raise chan raiseRequest
}

// TermChange is a change of term.
type TermChange struct {
	// Group is the name of the group.
	Group string
	// Term is the new term.
	Term uint64
	// Primary is the name of its primary.
	Primary string
	// Reason says why the term was raised.
	Reason string
	// Took is the time from the decision to the first moment of service.
	Took time.Duration
}

// Option changes an Owner while New makes it.
type Option func(*Owner)

// WithAdmission sets the policy of admission.
func WithAdmission(a eelgrassladder.Admission) Option { return func(o *Owner) { o.admission = a } }

// WithRouter sets the policy of routing.
func WithRouter(r eelgrassladder.Router) Option { return func(o *Owner) { o.router = r } }

// WithCredentials sets what is shown to endpoints.
func WithCredentials(c endpoint.Credentials) Option { return func(o *Owner) { o.credentials = c } }

// WithTermObserver sets a function that is told of each change of term.
func WithTermObserver(f func(TermChange)) Option { return func(o *Owner) { o.observe = f } }

// New returns an owner of the group for a proxy.
func New(
	proxy string, incarnation uint64, g group.Group, t eelgrassladder.Timer,
	classOf func(string) (class.Class, bool), options ...Option,
) *Owner {
	o := &Owner{
		proxy: proxy, incarnation: incarnation, group: g, timer: t, classOf: classOf,
		members:  observations.New(g),
		pins:     pins.New(incarnation << 20),
		sessions: sessions.New(sessionLimit),
		keys:     idempotency.New(keyLimit, keyTime),
		acks:     acknowledgements.New(),
		learned:  newLearned(),
		watching: map[string]context.CancelFunc{},
		raise:    make(chan raiseRequest, 1),
	}
	for _, option := range options {
		option(o)
	}
	o.queue = queue.New(o.admission, o.router, t, queueLimit)
	return o
}

// Start runs the owner until ctx ends or Stop is called. With a handover, the
// owner goes on in its term; without one, it raises the term first, which
// shuts out whoever owned the group before.
func (o *Owner) Start(ctx context.Context, h *Handover) {
	o.tasks = task.New(ctx)
	o.Describe(o.Group())
	if h != nil {
		o.adopt(*h)
	} else {
		o.askRaise("Takeover", 0)
	}
	o.tasks.Go("term", o.keepTerm)
	o.tasks.Go("sweep", o.sweep)
	slots := 0
	for _, m := range o.Group().Members {
		slots += m.Slots
	}
	worker.New(slots+extraWorkers, o.queue, o.execute).Start(o.tasks)
}

// Stop ends the owner at once and waits for its goroutines. Requests that
// wait are refused as moved.
func (o *Owner) Stop() {
	o.queue.Close(moved())
	o.tasks.Stop()
	if err := o.tasks.Wait(); err != nil {
		klog.ErrorS(err, "Owner stopped with a failure", "Group", o.Group().Name)
	}
	o.retire()
	o.acks.Begin(0)
}

// Group returns the group as the platform last described it.
func (o *Owner) Group() group.Group {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.group
}

// Describe takes the group as the platform now describes it and follows the
// progress of new members.
func (o *Owner) Describe(g group.Group) {
	o.members.SetMembers(g)
	o.mutex.Lock()
	o.group = g
	for name, stop := range o.watching {
		if _, ok := g.Member(name); !ok {
			stop()
			delete(o.watching, name)
		}
	}
	for _, m := range g.Members {
		if _, ok := o.watching[m.Name]; ok {
			continue
		}
		ctx, stop := context.WithCancel(o.tasks.Context())
		o.watching[m.Name] = stop
		o.tasks.GoIsolated("watch "+m.Name, func(context.Context) { o.watch(ctx, m) })
	}
	o.mutex.Unlock()
	o.grow(g)
	o.refresh(o.timer.Now())
}

// Run runs a request and returns when its outcome is settled.
func (o *Owner) Run(ctx context.Context, r request.Request) request.Answer {
	c, ok := o.classOf(r.Class)
	if !ok {
		return request.Refused(request.CodeBadValue, "class of work is not in the configuration", "", 0)
	}
	if r.Key == "" {
		return o.run(ctx, r, c)
	}
	state, settled := o.keys.Begin(r.Key, o.timer.Now())
	switch state {
	case idempotency.Fresh:
		answer := o.run(ctx, r, c)
		o.keys.Settle(r.Key, answer)
		return answer
	case idempotency.Full:
		return request.Refused(request.CodeConfigurationLimit, "too many request keys are remembered", "Try again later.", keyTime)
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

// run queues a request and waits for its answer.
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
		item.ReplicaAllowed = o.mayReplica(r, c)
	}
	answers := make(chan request.Answer, 1)
	o.queue.Offer(item, func(a request.Answer) { answers <- a })
	answer := o.await(answers)
	if r.SessionName != "" && !answer.Position.IsZero() {
		o.sessions.Record(r.SessionName, answer.Position)
	}
	return answer
}

// await returns the answer of a queued request. When the owner ends without
// one, the request may have run.
func (o *Owner) await(answers <-chan request.Answer) request.Answer {
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

// mayReplica reports whether a replica may be tried: the class allows reads
// of some age, the request does not open a transaction that may write, and no
// replica is known to refuse its text.
func (o *Owner) mayReplica(r request.Request, c class.Class) bool {
	if c.Staleness == 0 {
		return false
	}
	if r.ReadOnly {
		return true
	}
	return !r.OpensTransaction && !o.learned.refused(r.Fingerprint)
}

// Release rolls back a transaction that its caller has left.
func (o *Owner) Release(id uint64) {
	if p, ok := o.pins.TakeIdle(id); ok {
		p.Pool.Release(p.Connection)
		return
	}
	if p, ok := o.pins.Find(id); ok {
		p.Connection.Close()
	}
}

// sweep refuses overdue requests and ends idle transactions.
func (o *Owner) sweep(ctx context.Context) error {
	s := o.timer.Subscribe(sweepPeriod)
	defer s.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-s.C():
			o.refresh(now)
			o.queue.Sweep()
			o.acks.Expire(now)
			for _, id := range o.pins.Expired(now, idleTransaction) {
				o.Release(id)
			}
		}
	}
}

// Observed returns the members, the term and the primary as observed.
func (o *Owner) Observed() (all []group.Observation, term uint64, primary string) {
	g := o.current()
	if g == nil {
		return o.members.All(), 0, ""
	}
	return o.members.All(), g.term, g.primary
}

// Waiting returns how many requests wait in the queue.
func (o *Owner) Waiting() int { return o.queue.Waiting() }

// Floor returns the position that sessions that are not known must cover.
func (o *Owner) Floor() position.Position { return o.sessions.Floor() }

// moved is the answer of a proxy that does not own the group.
func moved() request.Answer {
	a := request.Refused(request.CodeCannotConnect, "the database has moved to another proxy", "Try again.", 0)
	a.Moved = true
	return a
}

// lostTransaction is the answer to a request of a transaction that is gone.
func lostTransaction() request.Answer {
	return request.OutcomeUnknown("the transaction's connection was lost")
}
