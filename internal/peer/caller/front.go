// Package caller is the system's side of callers: the PostgreSQL front end
// and the HTTP front end. Both decode requests and encode answers, and leave
// every decision to the dispatcher behind them.
package caller

import (
	"context"
	"crypto/tls"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/model/request"
	"eelgrassladder.example/eelgrassladder/internal/table/burn"
	"eelgrassladder.example/eelgrassladder/internal/table/configurations"
	"eelgrassladder.example/eelgrassladder/internal/table/lockrank"
)

// The bounds of what a caller may send.
const (
	// DefaultConnections is the most caller connections of one proxy.
	DefaultConnections = 10000
	// MaxMessageBytes bounds one message of a caller.
	MaxMessageBytes = 4 << 20
	// maxBatchBytes bounds the messages up to one Sync.
	maxBatchBytes = 8 << 20
	// startupTime bounds the time until a caller has shown its password.
	startupTime = 10 * time.Second
	// writeTime bounds the time that a caller may take to read an answer.
	writeTime = 30 * time.Second
)

// Frontend is what both front ends share. Use New, then Serve.
type Frontend struct {
	dispatcher eelgrassladder.Dispatcher
	timer      eelgrassladder.Timer
	versions   *configurations.Table
	burn       *burn.Table
	tasks      *task.Group
	// groups reports whether the system knows a database group.
	groups func(name string) bool
	// keys is nil when callers are served without TLS.
	keys *tls.Config
	// limit is the most connections at one time.
	limit int
	// observe is told of each answer; it may be nil.
	observe func(class string, a request.Answer, took time.Duration)

	// draining is true once idle connections are closed.
	draining atomic.Bool
	// last is the number of the newest connection.
	last atomic.Uint32

	// mutex guards connections. Its rank is Callers.
	mutex *lockrank.Mutex
	// connections is keyed by number.
	connections map[uint32]*connection
}

// Option changes a Front while New makes it.
type Option func(*Frontend)

// WithTLS serves callers over TLS when they ask for it.
func WithTLS(c *tls.Config) Option { return func(f *Frontend) { f.keys = c } }

// WithConnectionLimit sets the most connections at one time.
func WithConnectionLimit(n int) Option { return func(f *Frontend) { f.limit = n } }

// WithObserver sets a function that is told of each answer.
func WithObserver(o func(class string, a request.Answer, took time.Duration)) Option {
	return func(f *Frontend) { f.observe = o }
}

// WithGroupLookup sets the function that tells which database groups exist.
func WithGroupLookup(known func(string) bool) Option { return func(f *Frontend) { f.groups = known } }

// New returns a front that passes requests to the dispatcher.
func New(
	d eelgrassladder.Dispatcher, t eelgrassladder.Timer, v *configurations.Table, b *burn.Table, g *task.Group, options ...Option,
) *Frontend {
	f := &Frontend{
		dispatcher: d, timer: t, versions: v, burn: b, tasks: g, limit: DefaultConnections,
		mutex: lockrank.New(lockrank.Callers), connections: map[uint32]*connection{},
		groups: func(string) bool { return true },
	}
	for _, o := range options {
		o(f)
	}
	return f
}

// Serve accepts connections of the PostgreSQL protocol until ctx ends.
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

// serve runs one connection.
func (f *Frontend) serve(ctx context.Context, stream net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	c := &connection{front: f, stream: stream, known: statements{}}
	defer func() { _ = c.stream.Close() }()
	if !c.start(ctx) {
		return
	}
	defer f.leave(c.number)
	c.run(ctx)
}

// enter admits a connection, unless the limit is reached.
func (f *Frontend) enter(c *connection) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(f.connections) >= f.limit {
		return false
	}
	c.number = f.last.Add(1)
	f.connections[c.number] = c
	return true
}

// leave forgets a connection.
func (f *Frontend) leave(number uint32) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	delete(f.connections, number)
}

// Connections returns how many callers are connected.
func (f *Frontend) Connections() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.connections)
}

// cancel gives up the request that a connection runs, if the secret is right.
func (f *Frontend) cancel(number uint32, secret []byte) {
	f.mutex.Lock()
	c := f.connections[number]
	f.mutex.Unlock()
	if c != nil && c.holds(secret) {
		c.giveUp()
	}
}

// Drain closes connections that are between transactions, and the others when
// their transactions end.
func (f *Frontend) Drain() {
	f.draining.Store(true)
	f.mutex.Lock()
	all := make([]*connection, 0, len(f.connections))
	for _, c := range f.connections {
		all = append(all, c)
	}
	f.mutex.Unlock()
	for _, c := range all {
		c.closeIfIdle()
	}
}

// run passes a request on, counts the outcome against the class's target, and
// returns the answer.
func (f *Frontend) run(ctx context.Context, r request.Request) request.Answer {
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
