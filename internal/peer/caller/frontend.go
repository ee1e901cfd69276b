// Package caller holds the two front ends for callers, in the PostgreSQL protocol and
// over HTTP. Both decode requests and encode answers; all decisions about a request
// are the dispatcher's.
package caller

import (
	"context"
	"crypto/tls"
	"math"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/refusal"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/model/request"
	"eelgrassladder.example/eelgrassladder/internal/table/burn"
	"eelgrassladder.example/eelgrassladder/internal/table/configurations"
	"eelgrassladder.example/eelgrassladder/internal/table/lockrank"
)

// Limits for what a caller may send, and timeouts.
const (
	// DefaultConnections is the default limit for the caller connections of a proxy.
	DefaultConnections = 10000
	// MaxMessageBytes is the limit for one message of a caller.
	MaxMessageBytes = 4 << 20
	// maxBatchBytes is the limit for the messages up to one Sync.
	maxBatchBytes = 8 << 20
	// startupTimeout bounds the start-up of a connection, authentication included.
	startupTimeout = 10 * time.Second
	// writeTimeout bounds the time that a caller may take to read an answer.
	writeTimeout = 30 * time.Second
)

// Frontend is the PostgreSQL front end and what the HTTP front end shares with it. Use
// New, then Serve.
type Frontend struct {
	dispatcher eelgrassladder.Dispatcher
	timer      eelgrassladder.Timer
	versions   *configurations.Table
	burn       *burn.Table
	tasks      *task.Group
	// groupExists reports whether there is a database group of the name.
	groupExists func(name string) bool
	// tlsConfig is nil if callers are served without TLS.
	tlsConfig *tls.Config
	// limit is the highest number of connections.
	limit int
	// openLimit is the highest number of connections, those that start up included.
	openLimit int64
	// budget limits what callers hold, and refusals records those that are refused.
	budget   eelgrassladder.Budget
	refusals eelgrassladder.Refusals
	// observe is called with each answer; may be nil.
	observe func(class string, a request.Answer, took time.Duration)

	// draining is true after Drain.
	draining atomic.Bool
	// open is the number of connections, those that start up included.
	open atomic.Int64
	// lastNumber is the highest number that a connection has been given.
	lastNumber atomic.Uint32

	// mutex guards connections. Its rank in the lock order is Callers.
	mutex *lockrank.Mutex
	// connections holds the started connections by number.
	connections map[uint32]*connection
}

// Option configures a Frontend.
type Option func(*Frontend)

// WithTLS serves callers over TLS if they ask for it.
func WithTLS(c *tls.Config) Option { return func(f *Frontend) { f.tlsConfig = c } }

// WithConnectionLimit sets the highest number of connections.
func WithConnectionLimit(n int) Option { return func(f *Frontend) { f.limit = n } }

// WithOpenLimit sets the highest number of connections, those that start up included.
func WithOpenLimit(n int) Option { return func(f *Frontend) { f.openLimit = int64(n) } }

// WithBudget sets what limits the memory that callers hold.
func WithBudget(b eelgrassladder.Budget) Option { return func(f *Frontend) { f.budget = b } }

// WithRefusals sets what records callers that are refused.
func WithRefusals(r eelgrassladder.Refusals) Option { return func(f *Frontend) { f.refusals = r } }

// WithObserver sets a function that is called with each answer, its class and the
// time that it took.
func WithObserver(o func(class string, a request.Answer, took time.Duration)) Option {
	return func(f *Frontend) { f.observe = o }
}

// WithGroupLookup sets the function that reports whether a database group exists.
// Without it, a group of every name is taken to exist.
func WithGroupLookup(exists func(string) bool) Option {
	return func(f *Frontend) { f.groupExists = exists }
}

// New returns a Frontend that passes requests to the dispatcher.
func New(
	d eelgrassladder.Dispatcher, t eelgrassladder.Timer, v *configurations.Table, b *burn.Table, g *task.Group, options ...Option,
) *Frontend {
	f := &Frontend{
		dispatcher: d, timer: t, versions: v, burn: b, tasks: g, limit: DefaultConnections,
		mutex: lockrank.New(lockrank.Callers), connections: map[uint32]*connection{},
		groupExists: func(string) bool { return true },
		openLimit:   math.MaxInt64, budget: eelgrassladder.UnlimitedMemory{}, refusals: refusal.NewLog(func(eelgrassladder.RefusalReason) {}),
	}
	for _, o := range options {
		o(f)
	}
	return f
}

// Serve accepts connections of the PostgreSQL protocol until ctx ends or, on a
// draining proxy, the listener is closed; it then returns nil.
func (f *Frontend) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		stream, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil || f.draining.Load() {
				return nil
			}
			return errors.WithStack(err)
		}
		f.tasks.GoIsolated("caller", func(ctx context.Context) { f.serve(ctx, stream) })
	}
}

// serve serves one connection until it ends.
func (f *Frontend) serve(ctx context.Context, stream net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	c := &connection{frontend: f, stream: stream, known: statements{}}
	defer func() { _ = c.stream.Close() }()
	account, ok := f.budget.Open(func() {
		f.refusals.Refused(eelgrassladder.Displaced, stream.RemoteAddr().String())
		_ = stream.Close()
	})
	defer f.open.Add(-1)
	if f.open.Add(1) > f.openLimit || !ok {
		f.refusals.Refused(eelgrassladder.TooManyClients, stream.RemoteAddr().String())
		return
	}
	c.account = &sharedAccount{answerCopies: answerCopies, account: account}
	defer c.account.Close()
	if !c.startUp(ctx) {
		return
	}
	defer f.unregister(c.number)
	c.run(ctx)
}

// register adds a connection and gives it its number. It reports false if the limit is
// reached.
func (f *Frontend) register(c *connection) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(f.connections) >= f.limit {
		return false
	}
	c.number = f.lastNumber.Add(1)
	f.connections[c.number] = c
	return true
}

// unregister removes a connection that has ended.
func (f *Frontend) unregister(number uint32) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	delete(f.connections, number)
}

// Connections returns the number of caller connections.
func (f *Frontend) Connections() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.connections)
}

// cancel cancels the running request of a connection if the secret is right.
func (f *Frontend) cancel(number uint32, secret []byte) {
	f.mutex.Lock()
	c := f.connections[number]
	f.mutex.Unlock()
	if c != nil && c.hasSecret(secret) {
		c.cancelRequest()
	}
}

// Drain closes connections that are idle outside a transaction, and the others once
// their transactions have ended.
func (f *Frontend) Drain() {
	f.draining.Store(true)
	f.mutex.Lock()
	connections := make([]*connection, 0, len(f.connections))
	for _, c := range f.connections {
		connections = append(connections, c)
	}
	f.mutex.Unlock()
	for _, c := range connections {
		c.interruptIfIdle()
	}
}

// dispatch has the dispatcher run a request, counts the outcome against the class's
// target, and returns the answer. A request that its caller cancelled is not
// counted.
func (f *Frontend) dispatch(ctx context.Context, r request.Request) request.Answer {
	r = r.WithArrived(f.timer.Now())
	answer := f.dispatcher.Dispatch(ctx, r)
	now := f.timer.Now()
	took := now.Sub(r.Arrived)
	if c, ok := f.versions.Current().Class(r.Class); ok && answer.Refusal.Code != request.CodeCancelled {
		f.burn.Record(c, answer.Outcome == request.Done && took <= c.TargetLatency(), now)
	}
	if f.observe != nil {
		f.observe(r.Class, answer, took)
	}
	return answer
}
