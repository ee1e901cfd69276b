// Package gateway runs the statements of client sessions at the endpoints of
// database groups. Front ends decode what clients send, call it, and encode
// its replies.
package gateway

import (
	"context"
	"time"

	"eelgrassladder.example/eelgrassladder"
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
	// workers is how many statements run at one time at most; it is above
	// what the endpoints' connections allow one proxy.
	workers = 512
	// sweepPeriod is how often waiting statements are looked at again.
	sweepPeriod = 20 * time.Millisecond
	// firstRoutesTime is how long a session that comes before the first routes
	// waits for them. A process reads the store within 60 ms of its start; a
	// session that is refused finds another proxy.
	firstRoutesTime = 500 * time.Millisecond
)

// Gateway runs statements. Use New, then Start.
type Gateway struct {
	timer     eelgrassladder.Timer
	clock     eelgrassladder.Clock
	table     *scheduler.Table
	connector eelgrassladder.Connector
	routes    Routes
	observer  Observer
	tasks     *task.Group
	// budget bounds second tries of reads whose first is still under way.
	budget *retry.Budget
}

// Routes tells which routes are in force.
type Routes interface {
	// Routes returns the routes in force; their version is 0 before the first.
	Routes() route.Table
	// Known returns a channel that is closed once there are routes.
	Known() <-chan struct{}
}

// Observer is told of what happens to statements. Its methods must not block.
type Observer interface {
	// Answered is told of each answer to a client.
	Answered(Answered)
	// AttemptFailed is told of each try at an endpoint that did not end in an answer
	// for the client.
	AttemptFailed(FailedAttempt)
}

// Answered is the end of a client's statement. It is immutable.
type Answered struct {
	// Statement is what the client asked for.
	Statement statement.Statement
	// Route is the route that was in force.
	Route route.Route
	// Version is the version of the routes that was used.
	Version uint64
	// Reply is what the client is told.
	Reply statement.Reply
	// Endpoint is the ID of the endpoint that answered; empty for none.
	Endpoint string
	// Primary is true if the endpoint was used as the primary.
	Primary bool
	// Took is the time since the statement had come.
	Took time.Duration
	// Tries is how often an endpoint was tried.
	Tries int
	// Lead is what was known of the group's primary at the end, and Now the
	// boot time of the end.
	Lead leader.State
	Now  time.Duration
}

// FailedAttempt is one try at an endpoint that did not answer the client. It is
// immutable.
type FailedAttempt struct {
	// Statement is what the client asked for.
	Statement statement.Statement
	// Endpoint is where it was tried.
	Endpoint string
	// Reason says what went wrong.
	Reason string
	// Reply is the endpoint's answer; the zero value if there was none.
	Reply statement.Reply
	// After is the position that the endpoint's log had to hold; zero for none.
	After position.Position
	// Sent is true if the statement may have run there.
	Sent bool
	// Took is the time of the try.
	Took time.Duration
}

// New returns a gateway that takes jobs from the table.
func New(t eelgrassladder.Timer, c eelgrassladder.Clock, table *scheduler.Table, dial eelgrassladder.Connector,
	routes Routes, o Observer, g *task.Group,
) *Gateway {
	return &Gateway{
		timer: t, clock: c, table: table, connector: dial, routes: routes, observer: o, tasks: g,
		budget: retry.NewBudget(t.Now()),
	}
}

// Start runs the workers in the group until its context is cancelled.
func (g *Gateway) Start() {
	pool := worker.New(workers, g.table, func(_ context.Context, a scheduler.Assignment) { a.Do() })
	pool.Start(g.tasks)
	g.tasks.Go("sweep", g.sweep)
}

// Open begins the session of a client, or says why there is none. Before the
// first routes it waits for them a short time: a database that is not known
// yet may well exist.
func (g *Gateway) Open(database string) (*Session, statement.Reply) {
	if !g.awaitRoutes() {
		return nil, statement.Fail(statement.Busy, "the routes are not known yet")
	}
	if _, ok := g.routes.Routes().Route(database); !ok {
		return nil, statement.Fail(statement.NoDatabase, "no route leads to database "+database)
	}
	return &Session{gateway: g, database: database, prepared: map[string]statement.Prepared{}}, statement.Reply{}
}

// awaitRoutes waits for the first routes and reports whether there are any.
func (g *Gateway) awaitRoutes() bool {
	select {
	case <-g.routes.Known():
		return true
	default:
	}
	limit := g.timer.Once(firstRoutesTime)
	defer limit.Stop()
	select {
	case <-g.routes.Known():
		return true
	case <-limit.C():
	case <-g.tasks.Context().Done():
	}
	return false
}

// sweep looks at waiting statements from time to time.
func (g *Gateway) sweep(ctx context.Context) error {
	ticks := g.timer.Subscribe(sweepPeriod)
	defer ticks.Stop()
	defer g.table.Close()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks.C():
			g.table.Sweep()
		}
	}
}
