// Package gateway runs the statements of client sessions at the endpoints of
// database groups. Front ends decode what clients send, call it, and encode
// its replies.
package gateway

import (
	"context"
	"strings"
	"time"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/quota"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/host/worker"
	"eelgrassladder.example/eelgrassladder/internal/model/leader"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/route"
	"eelgrassladder.example/eelgrassladder/internal/model/statement"
	"eelgrassladder.example/eelgrassladder/internal/policy/retry"
	"eelgrassladder.example/eelgrassladder/internal/table/scheduler"
)

const (
	// workers is the number of statements that can run at one time. It is higher than
	// the number of endpoints' connections that one proxy may use.
	workers = 512
	// sweepInterval is how often the table checks its waiting statements.
	sweepInterval = 20 * time.Millisecond
	// firstRoutesTimeout is how long a new session waits for the first routes. A
	// process reads the store within 60 ms of its start. A client that is refused can
	// try another proxy.
	firstRoutesTimeout = 500 * time.Millisecond
)

// Gateway runs the statements of sessions. Use New, then Start.
type Gateway struct {
	timer     eelgrassladder.Timer
	clock     eelgrassladder.Clock
	table     *scheduler.Table
	connector eelgrassladder.Connector
	routes    Routes
	prover    Prover
	observer  Observer
	quotas    eelgrassladder.Quotas
	tasks     *task.Group
	// delegator has operations run by other proxies; nil if this proxy runs all itself.
	delegator eelgrassladder.Delegator
	// name is the name of this proxy.
	name string
	// sweeps are called with each sweep of the table.
	sweeps []func()
	// budget limits the retries of reads whose earlier attempt is still under way.
	budget *retry.Budget
}

// Routes provides the current routes.
type Routes interface {
	// Routes returns the current routes. Their version is 0 until there are any.
	Routes() route.Table
	// Known returns a channel that is closed once there are routes.
	Known() <-chan struct{}
}

// Observer is called when a statement is answered and when an attempt fails. Its
// methods must not block.
type Observer interface {
	// Answered is called for each reply to a statement for which the gateway has
	// looked for an endpoint.
	Answered(Answered)
	// AttemptFailed is called for each attempt at an endpoint that did not lead to a
	// reply for the client.
	AttemptFailed(FailedAttempt)
}

// Answered describes a statement that was replied to. It is immutable.
type Answered struct {
	// Statement is what the client asked for.
	Statement statement.Statement
	// Route is the route that was used.
	Route route.Route
	// RoutesVersion is the version of the routes from which Route is.
	RoutesVersion uint64
	// Team is the name of the client's team; empty if clients need not identify themselves.
	Team string
	// Reply is the reply to the client.
	Reply statement.Reply
	// Endpoint is the ID of the endpoint of the last attempt; empty if there was no
	// attempt.
	Endpoint string
	// Primary is true if the endpoint was used as the primary.
	Primary bool
	// Took is the time from the arrival of the statement to the reply.
	Took time.Duration
	// Attempts is the number of attempts at endpoints.
	Attempts int
	// Pooler is the name of the proxy that ran the statement, or was asked to, in place of
	// this one; empty for none. Asker is the name of the proxy that has the client, if it is
	// not this one.
	Pooler, Asker string
	// Committed is true if the reply tells the client that a commit is acknowledged, in a
	// group that keeps acknowledged commits through a change of primary.
	Committed bool
	// Leader is what the proxy knew of the group's primary when the reply was ready, and
	// Now is the boot time at which it was ready.
	Leader leader.State
	Now    time.Duration
}

// FailedAttempt describes an attempt at an endpoint that did not lead to a reply
// for the client. It is immutable.
type FailedAttempt struct {
	// Statement is what the client asked for.
	Statement statement.Statement
	// Endpoint is the ID of the endpoint.
	Endpoint string
	// Reason says what went wrong.
	Reason string
	// Reply is the endpoint's answer; the zero value if there was none.
	Reply statement.Reply
	// After is the position that the endpoint's log had to hold; zero for none.
	After position.Position
	// Sent is true if the statement may have run at the endpoint. It is always true for
	// a statement of a transaction that has begun there.
	Sent bool
	// Took is the time since the statement arrived. If the outcome is unknown, it is the
	// time of the attempt, or zero for the commit of a transaction.
	Took time.Duration
}

// Option configures a Gateway.
type Option func(*Gateway)

// WithQuotas sets what limits the operations of teams. Without it they are not limited.
func WithQuotas(q eelgrassladder.Quotas) Option { return func(g *Gateway) { g.quotas = q } }

// New returns a gateway that submits statements to the table and runs them, once
// they are assigned, in the task group.
func New(t eelgrassladder.Timer, c eelgrassladder.Clock, table *scheduler.Table, connector eelgrassladder.Connector,
	routes Routes, p Prover, o Observer, tasks *task.Group, options ...Option,
) *Gateway {
	g := &Gateway{
		timer: t, clock: c, table: table, connector: connector, routes: routes, prover: p, observer: o, quotas: quota.Unlimited{},
		tasks: tasks, budget: retry.NewBudget(t.Now()),
	}
	for _, option := range options {
		option(g)
	}
	return g
}

// OnSweep has f called with each sweep of the table. Call it before Start.
func (g *Gateway) OnSweep(f func()) { g.sweeps = append(g.sweeps, f) }

// Start starts the workers and the sweep in the task group. They run until its
// context is cancelled.
func (g *Gateway) Start() {
	pool := worker.New(workers, g.table, func(_ context.Context, a scheduler.Assignment) { a.Do() })
	pool.Start(g.tasks)
	g.tasks.Go("sweep", g.sweep)
}

// Open begins the session of a client, which identifies itself with a key; may be empty. If
// it returns no session, the reply says why.
// If there are no routes yet, it waits for them, up to firstRoutesTimeout, because it
// cannot tell before whether the database exists.
func (g *Gateway) Open(database, key string, options ...SessionOption) (*Session, statement.Reply) {
	if !g.awaitRoutes() {
		return nil, statement.ErrorReply(statement.Busy, "the routes are not known yet")
	}
	if _, _, refusal := identify(g.routes.Routes(), database, key); refusal.Code != statement.OK {
		return nil, refusal
	}
	// The texts are parts of the whole message, which they would keep.
	s := &Session{
		gateway: g, database: strings.Clone(database), key: strings.Clone(key), prepared: map[string]statement.Prepared{},
		account: eelgrassladder.UnlimitedMemory{},
	}
	for _, option := range options {
		option(s)
	}
	return s, statement.Reply{}
}

// awaitRoutes waits for the first routes and reports whether there are any.
func (g *Gateway) awaitRoutes() bool {
	select {
	case <-g.routes.Known():
		return true
	default:
	}
	timeout := g.timer.Once(firstRoutesTimeout)
	defer timeout.Stop()
	select {
	case <-g.routes.Known():
		return true
	case <-timeout.C():
	case <-g.tasks.Context().Done():
	}
	return false
}

// sweep makes the table check its waiting statements every sweepInterval until ctx
// ends. Then it closes the table, which wakes the workers so that they stop.
func (g *Gateway) sweep(ctx context.Context) error {
	ticks := g.timer.Subscribe(sweepInterval)
	defer ticks.Stop()
	defer g.table.Close()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks.C():
			g.table.Sweep()
			for _, f := range g.sweeps {
				f()
			}
		}
	}
}
