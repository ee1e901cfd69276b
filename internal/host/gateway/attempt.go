package gateway

import (
	"context"
	"time"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/control"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/route"
	"eelgrassladder.example/eelgrassladder/internal/model/statement"
	"eelgrassladder.example/eelgrassladder/internal/policy/placement"
	"eelgrassladder.example/eelgrassladder/internal/table/scheduler"
)

const (
	// answerMargin is kept of a statement's time for its reply to travel.
	answerMargin = 15 * time.Millisecond
	// patienceShare is the part of a route's target after which a read that
	// has no answer is tried elsewhere.
	patienceShare = 0.6
	// onlyShare is the part of a route's timeout after which a read that only
	// the primary can serve is tried again; sooner would add to its load.
	onlyShare = 0.5
	// busyPause is the wait before a statement that was refused as busy is
	// tried again where there is no other endpoint.
	busyPause = 8 * time.Millisecond
)

// attempt is the run of one statement of a session, over as many tries as it
// needs.
type attempt struct {
	gateway   *Gateway
	session   *Session
	statement statement.Statement
	route     route.Route
	version   uint64
	// arrived is when the statement had come.
	arrived time.Time
	// deadline is when the client must have its reply.
	deadline time.Time
	// job is the request for an endpoint that was made last.
	job scheduler.Job
	// tries counts endpoints that were tried.
	tries int
	// at is the endpoint of the last try, and asPrimary how it was chosen.
	at        string
	asPrimary bool
	// done takes the reply.
	done chan statement.Reply
}

// run runs a statement that only an endpoint can answer.
func (s *Session) run(st statement.Statement) statement.Reply {
	g := s.gateway
	a := &attempt{
		gateway: g, session: s, statement: st, arrived: g.timer.Now(),
		done: make(chan statement.Reply, 1),
	}
	if t := s.open; t != nil {
		a.route, a.version = t.route, t.version
	} else {
		routes := g.routes.Routes()
		r, ok := routes.Route(s.database)
		if !ok {
			return statement.Fail(statement.NoDatabase, "no route leads to database "+s.database)
		}
		a.route, a.version = r, routes.Version
	}
	a.deadline = a.arrived.Add(a.route.Timeout - answerMargin)
	if t := s.open; t != nil && t.connection != nil {
		g.table.BeginStatement(t.endpoint.ID)
		a.inTransaction()
	} else {
		a.submit("")
	}
	reply := a.await()
	g.observer.Answered(Answered{
		Statement: st, Route: a.route, Version: a.version, Reply: reply, Endpoint: a.at, Primary: a.asPrimary,
		Took: g.timer.Now().Sub(a.arrived), Tries: a.tries, Lead: g.table.Leader(a.route.Group), Now: g.clock.SinceBoot(),
	})
	return reply
}

// await returns the reply. When the process ends first, what became of the
// statement is not known.
func (a *attempt) await() statement.Reply {
	select {
	case reply := <-a.done:
		return reply
	case <-a.gateway.tasks.Context().Done():
		return statement.Fail(statement.InDoubt, "the proxy stops")
	}
}

// submit asks the table for an endpoint.
func (a *attempt) submit(avoid string) {
	n := a.session.need(a.route, a.statement)
	n.Avoid = avoid
	a.job = scheduler.Job{
		Need: n, Priority: a.route.Priority, Arrived: a.arrived, Timeout: a.route.Timeout - answerMargin,
		Target: a.route.Target, Run: a.assigned,
	}
	a.gateway.table.Submit(&a.job)
}

// assigned runs on a worker once the table has an endpoint for the statement,
// or the time to wait for one is over.
func (a *attempt) assigned(w scheduler.Assignment) {
	if w.Refused {
		a.refuse(w.Reason)
		return
	}
	a.tries++
	a.at, a.asPrimary = w.Endpoint.ID, w.Primary
	c, ok := a.open(w)
	if !ok {
		return
	}
	if !a.fresh(w) {
		a.gateway.table.Return(w.Endpoint.ID, c, scheduler.Outcome{Answered: true})
		a.again(w, statement.Reply{}, "the choice of the endpoint is too old", false)
		return
	}
	if a.session.open != nil {
		a.beginAt(w, c)
		return
	}
	a.single(w, c)
}

// fresh reports whether the choice of the endpoint still holds. Whatever is
// sent under it must have reached the endpoint before it does not.
func (a *attempt) fresh(w scheduler.Assignment) bool {
	return !a.job.Need.NeedsProof() || a.gateway.clock.SinceBoot()-w.Chosen <= placement.MaxSendDelay
}

// current reports whether an answer of the primary was given while it surely
// was the only one. A replica proves by its position what it has.
func (a *attempt) current(w scheduler.Assignment) bool {
	if !w.Primary || !a.job.Need.NeedsProof() {
		return true
	}
	now := a.gateway.clock.SinceBoot()
	if a.route.Consistency != route.Primary {
		now -= a.route.Staleness
	}
	l := a.gateway.table.Leader(a.route.Group)
	return l.Endpoint == w.Endpoint.ID && l.Term == w.Term && l.ProvenAt(now)
}

// refuse tells the client that nothing was run.
func (a *attempt) refuse(r scheduler.Reason) {
	code := statement.Busy
	if r == scheduler.NoProof && !a.statement.Writes() {
		code = statement.Lagging
	}
	a.finish(a.session.fail(code, "waited for an endpoint: "+r.String()))
}

// finish hands the reply to the session.
func (a *attempt) finish(r statement.Reply) { a.done <- r }

// open returns the assignment's connection with the session's values in
// force. Without one it has tried again or finished.
func (a *attempt) open(w scheduler.Assignment) (eelgrassladder.Connection, bool) {
	g, c := a.gateway, w.Connection
	if c == nil {
		opened, reply, err := g.connect(w, a.deadline)
		if opened == nil {
			o := scheduler.Outcome{Answered: err == nil, Refused: control.Refused(err)}
			o.ConnectionsFull = reply.Code == statement.Overload || reply.Code == statement.Busy
			if reply.Code == statement.Misrouted {
				o = scheduler.Outcome{Refused: true}
			}
			g.table.Discard(w.Endpoint.ID, nil, o)
			a.again(w, reply, describe(reply, err), false)
			return nil, false
		}
		c = opened
	}
	reply, err := c.ApplySession(a.deadline, a.session.values, a.statement)
	if err != nil || reply.Code != statement.OK {
		g.table.Discard(w.Endpoint.ID, c, scheduler.Outcome{Answered: err == nil})
		a.again(w, reply, describe(reply, err), false)
		return nil, false
	}
	return c, true
}

// single runs a statement outside of a transaction.
func (a *attempt) single(w scheduler.Assignment, c eelgrassladder.Connection) {
	g := a.gateway
	asked, began := g.clock.SinceBoot(), g.timer.Now()
	reply, err := a.send(c, w.Endpoint.ID, a.patience(began), w.After, a.statement.Writes())
	if timedOut(err) && !a.statement.Writes() && !g.budget.Spend(g.timer.Now()) {
		reply, err = c.Await(a.deadline)
	}
	took := g.timer.Now().Sub(began)
	if err != nil {
		a.unanswered(w, c, err, took)
		return
	}
	o := seen(w, reply, nil)
	o.Applied = reply.Position
	if reply.Code == statement.OK {
		o.Took = took
		g.learn(w, a.route.Group, asked, reply, a.statement.Writes())
	}
	g.table.Return(w.Endpoint.ID, c, o)
	if reply.Code == statement.OK && !a.current(w) {
		a.again(w, statement.Reply{}, "the primary may have been replaced before it answered", true)
		return
	}
	if reply.Code == statement.OK && a.statement.Writes() && a.superseded(w.Endpoint.ID) {
		reply = statement.Fail(statement.InDoubt, beingReplaced)
	}
	a.judge(w, reply)
}

// beingReplaced says why a commit that was acknowledged is in doubt.
const beingReplaced = "the primary that acknowledged the commit is being replaced"

// superseded reports whether an acknowledgement that has just come may not
// last: the members that are compared for the next primary may lack the commit.
func (a *attempt) superseded(endpoint string) bool {
	g := a.gateway
	return g.replicated(a.route.Group) && g.table.Leader(a.route.Group).BeingReplaced(endpoint, g.clock.SinceBoot())
}

// send runs the statement on a connection. A write is noted while its answer
// is awaited.
func (a *attempt) send(c eelgrassladder.Connection, id string, deadline time.Time, after position.Position,
	writes bool,
) (statement.Reply, error) {
	if !writes {
		return c.Run(deadline, a.statement, after)
	}
	sent := a.gateway.timer.Now()
	a.gateway.table.WriteSent(id, sent)
	reply, err := c.Run(deadline, a.statement, after)
	a.gateway.table.WriteDone(id, sent, err == nil)
	return reply, err
}

// patience is when a try is given up.
func (a *attempt) patience(now time.Time) time.Time {
	if a.statement.Writes() {
		return a.deadline
	}
	d := now.Add(time.Duration(patienceShare * float64(a.route.Target)))
	if a.job.Need.Consistency == route.Primary {
		d = now.Add(time.Duration(onlyShare * float64(a.route.Timeout)))
	}
	if d.After(a.deadline) {
		return a.deadline
	}
	return d
}

// connect opens a connection to the endpoint of an assignment.
func (g *Gateway) connect(w scheduler.Assignment, deadline time.Time) (eelgrassladder.Connection, statement.Reply, error) {
	ctx, cancel := context.WithDeadline(g.tasks.Context(), deadline)
	defer cancel()
	return g.connector.Connect(ctx, w.Endpoint)
}

// drain waits for an answer that comes too late, so that the connection can
// be used again and the endpoint's work is not broken off.
func (a *attempt) drain(w scheduler.Assignment, c eelgrassladder.Connection) {
	g := a.gateway
	g.tasks.GoIsolated("late answer", func(context.Context) {
		reply, err := c.Await(a.deadline.Add(lateAnswer))
		if err != nil {
			g.table.Discard(w.Endpoint.ID, c, scheduler.Outcome{Refused: control.Refused(err)})
			return
		}
		if a.statement.Writes() {
			g.learnLate(a.route.Group, reply)
		}
		g.table.Return(w.Endpoint.ID, c, scheduler.Outcome{Answered: true})
	})
}

// lateAnswer is how long past a statement's deadline its answer is waited for.
const lateAnswer = 500 * time.Millisecond
