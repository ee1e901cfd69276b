// Package delegation has operations of this proxy's clients run by other proxies, and runs
// operations of theirs.
package delegation

import (
	"context"
	"slices"
	"sync"
	"time"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/model/delegation"
	"eelgrassladder.example/eelgrassladder/internal/model/statement"
	"eelgrassladder.example/eelgrassladder/internal/policy/pooling"
)

const (
	// openTimeout bounds the opening of a stream. A pooler that has a fifth of a core may be
	// kept from running for 80 ms at a time, and answers in two steps.
	openTimeout = 200 * time.Millisecond
	// avoidTime is how long a pooler is not asked that could not be reached, gave no answer or
	// takes no operations.
	avoidTime = time.Second
	// streamIdleTime is how long a stream without operations stays open.
	streamIdleTime = 10 * time.Second
	// sweepMargin is by how much a wait may end before its deadline: the interval of Sweep.
	sweepMargin = 20 * time.Millisecond
	// answerMargin is how long before the deadline of the wait a pooler's answer has to be
	// ready, so that it arrives in time.
	answerMargin = sweepMargin + 10*time.Millisecond
)

// Side says which side of an operation is counted.
type Side string

// The sides.
const (
	// SideAsker is the proxy that has the client.
	SideAsker Side = "Asker"
	// SidePooler is the proxy that runs the operation.
	SidePooler Side = "Pooler"
)

// Result is what became of an operation.
type Result string

// The results of operations. An operation can have several, one at each pooler.
const (
	// Served means that a pooler ran the first statement.
	Served Result = "Served"
	// Refused means that a pooler had no capacity for the first statement.
	Refused Result = "Refused"
	// Moved means that a pooler ran nothing.
	Moved Result = "Moved"
	// Unreachable means that nothing could be sent to a pooler.
	Unreachable Result = "Unreachable"
	// Lost means that the stream ended before an answer.
	Lost Result = "Lost"
	// Late means that a pooler did not answer in time.
	Late Result = "Late"
	// GivenUp means that the proxy with the client gave up the operation.
	GivenUp Result = "GivenUp"
	// Expired means that the transaction was idle for too long.
	Expired Result = "Expired"
)

// Observer counts operations. It must not block.
type Observer interface {
	// OperationDelegated is called for each result of an operation.
	OperationDelegated(s Side, r Result)
}

// Stream is an open stream of operations to a pooler. Several goroutines may send; one
// receives.
type Stream interface {
	// Send sends a request. After an error the pooler does not have it and will not get it.
	Send(number uint64, r delegation.Request) error
	// TooLong reports whether an error of Send concerns the request and not the stream.
	TooLong(err error) bool
	// Receive returns the next answer and the number of its operation.
	Receive() (uint64, delegation.Answer, error)
	// Close ends the stream.
	Close()
}

// Open opens a stream to the proxy at an address.
type Open func(ctx context.Context, address string) (Stream, error)

// Directory knows the poolers.
type Directory interface {
	// Poolers returns the poolers of a group.
	Poolers(group string) pooling.Poolers
	// Proxies returns the addresses of the other proxies by name.
	Proxies() map[string]string
}

// Client has operations run by poolers. It implements eelgrassladder.Delegator. Use NewClient
// to make one.
type Client struct {
	timer     eelgrassladder.Timer
	tasks     *task.Group
	directory Directory
	open      Open
	observer  Observer

	// mutex guards links. The mutex of a link may be taken while it is held.
	mutex sync.Mutex
	// links holds a link for each pooler that was asked, by its name.
	links map[string]*link
}

// NewClient returns a Client without open streams.
func NewClient(t eelgrassladder.Timer, tasks *task.Group, d Directory, open Open, o Observer) *Client {
	return &Client{timer: t, tasks: tasks, directory: d, open: open, observer: o, links: map[string]*link{}}
}

// Delegate returns a new operation of a team at a pooler of the group, or nil.
func (c *Client) Delegate(group, team string, tried []string) eelgrassladder.DelegatedOperation {
	poolers := c.directory.Poolers(group)
	if !poolers.Delegates() {
		return nil
	}
	addresses, now := c.directory.Proxies(), c.timer.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	name, ok := poolers.Ask(team, func(pooler string) (int, bool) {
		address := addresses[pooler]
		if address == "" || slices.Contains(tried, pooler) {
			return 0, false
		}
		l := c.links[pooler]
		if l == nil {
			return 0, true
		}
		return l.load(address, now)
	})
	if !ok {
		return nil
	}
	l := c.links[name]
	if l == nil {
		l = &link{client: c, name: name, opening: make(chan struct{}, 1)}
		c.links[name] = l
	}
	l.begin(addresses[name])
	return &operation{link: l, answers: make(chan result, 1)}
}

// Sweep ends waits for answers whose deadline has come, and closes streams that are not used.
func (c *Client) Sweep() {
	now := c.timer.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for name, l := range c.links {
		if l.sweep(now) {
			delete(c.links, name)
		}
	}
}

// link is what a Client knows of one pooler.
type link struct {
	client *Client
	name   string
	// opening is a semaphore of capacity one that is held while a stream is opened.
	opening chan struct{}

	// mutex guards the fields below and those of the stream. No other lock is taken while it
	// is held.
	mutex sync.Mutex
	// address is where the pooler is reached.
	address string
	// stream is used for new operations; nil while none is open. streams are all open ones,
	// those included that only have operations of before the pooler began to stop.
	stream  *stream
	streams []*stream
	// operations is the number of operations under way.
	operations int
	// avoidUntil is when the pooler may be asked again, and idleSince when the last operation
	// ended.
	avoidUntil, idleSince time.Time
	// failing is true from when the pooler is avoided until it has run an operation. One
	// operation at a time tries then; trying is true while one does.
	failing, trying bool
}

// load returns the number of operations under way at the pooler, or false if it may not be
// asked now. A pooler that has another address than before is not avoided.
func (l *link) load(address string, now time.Time) (int, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.operations, l.address != address || !now.Before(l.avoidUntil) && !l.trying
}

// begin counts an operation at the pooler, which is reached at an address.
func (l *link) begin(address string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.operations++
	l.trying = l.failing
	if l.address != address {
		l.address, l.avoidUntil = address, time.Time{}
		l.failing, l.trying = false, false
		for _, s := range slices.Clone(l.streams) {
			l.closeStream(s)
		}
	}
}

// end counts the end of an operation that used a stream; nil for none.
func (l *link) end(s *stream) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.operations--
	l.idleSince = l.client.timer.Now()
	l.trying = l.trying && l.operations > 0
	if s == nil {
		return
	}
	s.operations--
	if s != l.stream && s.operations == 0 {
		l.closeStream(s)
	}
}

// detach makes no further operations use a stream, whose pooler is stopping. It stays open
// until its operations have ended.
func (l *link) detach(s *stream) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.stream == s {
		l.stream = nil
	}
}

// avoid makes the pooler not be asked for a while.
func (l *link) avoid() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.avoidFrom(l.client.timer.Now())
}

// avoidFrom is avoid while the caller holds the mutex.
func (l *link) avoidFrom(now time.Time) {
	l.avoidUntil, l.failing, l.trying = now.Add(avoidTime), true, false
}

// stream is an open stream with the operations that use it. The mutex of its link guards its
// fields.
type stream struct {
	Stream
	// lastNumber is the number of the latest operation.
	lastNumber uint64
	// operations is the number of operations that use the stream.
	operations int
	// waiting holds the operations that wait for an answer, by number.
	waiting map[uint64]*operation
	// heard is when the last answer came.
	heard time.Time
	// failed is true once the stream cannot be used any more.
	failed bool
}

// acquire returns the open stream for one more operation, and opens one if there is none.
func (l *link) acquire(ctx context.Context) (*stream, error) {
	if s, _ := l.use(); s != nil {
		return s, nil
	}
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	select {
	case l.opening <- struct{}{}:
		defer func() { <-l.opening }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	s, address := l.use()
	if s != nil {
		return s, nil
	}
	opened, err := l.client.open(ctx, address)
	if err != nil {
		return nil, err
	}
	s = &stream{Stream: opened, operations: 1, waiting: map[uint64]*operation{}}
	if !l.adopt(s, address) {
		opened.Close()
		return nil, eelgrassladder.ErrNotDelegated
	}
	l.client.tasks.GoIsolated("answers of "+l.name, func(ctx context.Context) {
		defer context.AfterFunc(ctx, opened.Close)()
		l.receive(s)
	})
	return s, nil
}

// adopt makes a stream to an address the open one. It returns false if the pooler has another
// address by now.
func (l *link) adopt(s *stream, address string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.address != address {
		return false
	}
	l.stream, l.streams, l.idleSince = s, append(l.streams, s), l.client.timer.Now()
	return true
}

// use returns the open stream for one more operation, nil if there is none, and the address of
// the pooler.
func (l *link) use() (*stream, string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.stream != nil {
		l.stream.operations++
	}
	return l.stream, l.address
}

// hasFailed reports whether a stream cannot be used any more.
func (l *link) hasFailed(s *stream) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return s.failed
}

// receive passes answers to the operations that wait for them until the stream ends.
func (l *link) receive(s *stream) {
	for {
		number, answer, err := s.Receive()
		if err != nil {
			l.fail(s)
			return
		}
		l.mutex.Lock()
		o := s.waiting[number]
		delete(s.waiting, number)
		s.heard = l.client.timer.Now()
		if !answer.Moved {
			l.failing, l.trying = false, false
		}
		l.mutex.Unlock()
		if o != nil {
			o.answers <- result{answer: answer}
		}
	}
}

// fail ends a stream and the waits for its answers.
func (l *link) fail(s *stream) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.closeStream(s)
}

// closeStream is fail while the caller holds the mutex.
func (l *link) closeStream(s *stream) {
	if s.failed {
		return
	}
	s.failed, l.trying = true, false
	if l.stream == s {
		l.stream = nil
	}
	l.streams = slices.DeleteFunc(l.streams, func(other *stream) bool { return other == s })
	for _, o := range s.waiting {
		o.answers <- result{err: eelgrassladder.ErrAnswerLost}
	}
	s.waiting = nil
	s.Close()
}

// sweep ends the waits whose deadline has come. If the pooler has answered nothing since the
// statement was sent, its stream is closed, since it may be gone without a trace. It reports
// whether the link is of no use any more.
func (l *link) sweep(now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	unused := l.operations == 0 && now.Sub(l.idleSince) > streamIdleTime
	for _, s := range slices.Clone(l.streams) {
		if l.sweepStream(s, now) || unused {
			l.closeStream(s)
		}
	}
	return unused
}

// sweepStream ends the waits of one stream, and reports whether the pooler has gone silent.
// The caller holds the mutex.
func (l *link) sweepStream(s *stream, now time.Time) bool {
	silent := false
	for number, o := range s.waiting {
		if now.Add(sweepMargin).Before(o.deadline) {
			continue
		}
		delete(s.waiting, number)
		o.answers <- result{err: eelgrassladder.ErrAnswerLate}
		l.avoidFrom(now)
		silent = silent || s.heard.Before(o.sent)
	}
	return silent
}

// result is an answer, or the reason why there is none.
type result struct {
	answer delegation.Answer
	err    error
}

// operation is one operation at a pooler. It implements eelgrassladder.DelegatedOperation.
type operation struct {
	link *link
	// stream and number identify the operation; the stream is nil before the first statement.
	stream *stream
	number uint64
	// answers has room for the one result for which the operation waits.
	answers chan result
	// deadline is when the wait for an answer ends, and sent when the statement was sent. The
	// mutex of the link guards them while the operation waits.
	deadline, sent time.Time
}

// Pooler returns the name of the pooler.
func (o *operation) Pooler() string { return o.link.name }

// Run sends a statement and waits for its answer.
func (o *operation) Run(ctx context.Context, deadline time.Time, r delegation.Request) (delegation.Answer, error) {
	answer, err := o.run(ctx, deadline, r)
	switch {
	case err == eelgrassladder.ErrNotDelegated:
		o.count(Unreachable)
	case err == eelgrassladder.ErrAnswerLate:
		o.count(Late)
	case err != nil:
		o.count(Lost)
	case answer.Moved:
		o.link.avoid()
		if answer.Draining {
			o.link.detach(o.stream)
		}
		o.count(Moved)
	case r.Opening != nil && answer.Reply.Code == statement.Busy:
		o.count(Refused)
	case r.Opening != nil:
		o.count(Served)
	}
	return answer, err
}

// count counts a result of the operation.
func (o *operation) count(r Result) { o.link.client.observer.OperationDelegated(SideAsker, r) }

// run is Run without counting.
func (o *operation) run(ctx context.Context, deadline time.Time, r delegation.Request) (delegation.Answer, error) {
	l := o.link
	if o.stream == nil {
		s, err := l.acquire(ctx)
		if err != nil {
			l.avoid()
			return delegation.Answer{}, eelgrassladder.ErrNotDelegated
		}
		o.stream = s
	}
	if !o.register(deadline) {
		return delegation.Answer{}, eelgrassladder.ErrNotDelegated
	}
	r.Left = deadline.Sub(l.client.timer.Now()) - answerMargin
	if err := o.stream.Send(o.number, r); err != nil {
		o.unregister()
		if !o.stream.TooLong(err) {
			l.avoid()
			l.fail(o.stream)
		}
		return delegation.Answer{}, eelgrassladder.ErrNotDelegated
	}
	select {
	case received := <-o.answers:
		return received.answer, received.err
	case <-ctx.Done():
		o.unregister()
		return delegation.Answer{}, eelgrassladder.ErrAnswerLost
	}
}

// register makes the operation wait for an answer. It returns false if the stream has failed.
func (o *operation) register(deadline time.Time) bool {
	l, s := o.link, o.stream
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if s.failed {
		return false
	}
	if o.number == 0 {
		s.lastNumber++
		o.number = s.lastNumber
	}
	o.deadline, o.sent = deadline, l.client.timer.Now()
	s.waiting[o.number] = o
	return true
}

// unregister makes the operation wait no more.
func (o *operation) unregister() {
	o.link.mutex.Lock()
	defer o.link.mutex.Unlock()
	delete(o.stream.waiting, o.number)
}

// End forgets the operation, which has ended at the pooler.
func (o *operation) End() { o.link.end(o.stream) }

// GiveUp tells the pooler that the operation is given up.
func (o *operation) GiveUp() {
	defer o.link.end(o.stream)
	if o.number == 0 || o.link.hasFailed(o.stream) {
		return // the pooler has nothing, or has noticed the end of the stream
	}
	if err := o.stream.Send(o.number, delegation.Request{GivenUp: true}); err != nil {
		o.link.fail(o.stream)
	}
}
