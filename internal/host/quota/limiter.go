package quota

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/logging"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/host/worker"
	"eelgrassladder.example/eelgrassladder/internal/model/team"
	policy "eelgrassladder.example/eelgrassladder/internal/policy/quota"
	table "eelgrassladder.example/eelgrassladder/internal/table/quota"
)

const (
	// workers is the number of teams for which tokens can be borrowed at one time. A request
	// takes about a millisecond, and up to policy.AnswerTimeout at a proxy that does not
	// answer, which is then not asked for policy.SkipTime.
	workers = 32
	// upkeepInterval is how often the view is refreshed without a change, because proxies
	// whose registrations have ended are forgotten with time, and how often unused
	// connections are looked for.
	upkeepInterval = time.Second
	// refusalsPerSecond is the number of log lines per second for refused operations.
	refusalsPerSecond = 10
)

// Observer counts what is done with tokens. Its methods must not block.
type Observer interface {
	// OperationCounted is called for each operation of a limited team.
	OperationCounted(OperationResult)
	// LoanCounted is called for each request of this proxy to another one, or of another one
	// to this proxy.
	LoanCounted(LoanSide, LoanResult)
	// RegisterRefusals exports the numbers of refused operations by name of the team. The
	// function must be safe for concurrent use.
	RegisterRefusals(refusals func() map[string]uint64)
}

// Connections are the connections to other proxies, over which tokens are borrowed.
type Connections interface {
	eelgrassladder.Lenders
	// CloseIdle closes connections that have not been used for long.
	CloseIdle()
	// Close closes the connections that are not in use.
	Close()
}

// Limiter is the eelgrassladder.Quotas of a system whose teams are limited. Use New, then
// Start.
type Limiter struct {
	table   *table.Table
	clock   eelgrassladder.Clock
	timer   eelgrassladder.Timer
	lenders Connections
	// view returns what is known of the system.
	view     func() table.View
	observer Observer
	refusals *logging.Sampler
}

// New returns a limiter of the proxy self, which asks other proxies through lenders. The
// function view returns what is known of the system; call Refresh when that changes.
func New(self string, b policy.Bounds, c eelgrassladder.Clock, t eelgrassladder.Timer, lenders Connections, view func() table.View, o Observer) *Limiter {
	l := &Limiter{
		table: table.New(self, b), clock: c, timer: t, lenders: lenders, view: view, observer: o,
		refusals: logging.NewSampler(refusalsPerSecond),
	}
	o.RegisterRefusals(func() map[string]uint64 { return l.table.Refusals(reportedTeams) })
	return l
}

// Start starts the workers that borrow tokens in the task group. They run until its context is
// cancelled.
func (l *Limiter) Start(g *task.Group) {
	worker.New(workers, l.table, l.borrow).Start(g)
	g.Go("quotas", l.maintain)
}

// Refresh applies what is known of the system.
func (l *Limiter) Refresh() { l.table.Refresh(l.clock.SinceBoot(), l.view) }

// Take takes a token of a team: from this proxy's own bucket, or else from other proxies.
func (l *Limiter) Take(ctx context.Context, t team.Team, priority int) bool {
	w, v := l.table.Admit(t.Name, priority, l.clock.SinceBoot())
	if v.Unlimited {
		// The version of the configuration that names the team may have come just now.
		l.Refresh()
		w, v = l.table.Admit(t.Name, priority, l.clock.SinceBoot())
	}
	if w != nil {
		v = l.await(ctx, w)
	}
	switch {
	case v.Unlimited:
	case !v.Granted:
		l.observer.OperationCounted(Refused)
		l.logRefusal(v.Refusal)
	case v.Own:
		l.observer.OperationCounted(Own)
	default:
		l.observer.OperationCounted(Borrowed)
	}
	return v.Granted || v.Unlimited
}

// await waits for the token of an operation, for policy.MaxWait.
func (l *Limiter) await(ctx context.Context, w *table.Waiter) table.Verdict {
	timeout := l.timer.Once(policy.MaxWait)
	defer timeout.Stop()
	select {
	case v := <-w.Verdict():
		return v
	case <-timeout.C():
	case <-ctx.Done():
	}
	return l.table.Abandon(w, l.clock.SinceBoot())
}

// GiveBack returns the token of an operation of which nothing was sent to this proxy's own
// bucket, if there is room.
func (l *Limiter) GiveBack(t team.Team, asked time.Duration) {
	if l.table.GiveBack(t.Name, asked, l.clock.SinceBoot()) {
		l.observer.OperationCounted(Returned)
	}
}

// Lend takes up to a number of tokens of a team for another proxy, and returns how many. It
// keeps a reserve of them.
func (l *Limiter) Lend(teamName string, tokens, reserve int) int {
	n := l.table.Lend(teamName, tokens, reserve, l.clock.SinceBoot())
	l.observer.LoanCounted(Holder, grantResult(n, tokens))
	return n
}

// borrow borrows tokens for a team until none of its operations waits any more.
func (l *Limiter) borrow(ctx context.Context, j table.Job) {
	for {
		ask, ok := l.table.Next(j, l.clock.SinceBoot())
		if !ok {
			return
		}
		granted, answer := l.ask(ctx, ask)
		l.table.Receive(j, ask, granted, answer, l.clock.SinceBoot())
	}
}

// ask makes one request.
func (l *Limiter) ask(ctx context.Context, ask table.Ask) (int, table.Answer) {
	ctx, cancel := context.WithTimeout(ctx, policy.AnswerTimeout)
	defer cancel()
	granted, err := l.lenders.Borrow(ctx, ask.Address, ask.Team, ask.Tokens, ask.Reserve)
	took := l.clock.SinceBoot() - ask.At
	switch {
	case err != nil:
		l.observer.LoanCounted(Borrower, LoanFailed)
		klog.V(1).InfoS("Proxy did not lend", "Proxy", ask.Lender, "Address", ask.Address, "Team", ask.Team, "TookMs", took.Milliseconds(), "Error", err.Error())
		return 0, table.Failed
	case took > policy.AnswerTimeout:
		l.observer.LoanCounted(Borrower, LoanLate)
		return 0, table.Late
	}
	l.observer.LoanCounted(Borrower, grantResult(granted, ask.Tokens))
	return granted, table.Answered
}

// maintain refreshes the view and closes unused connections until ctx ends. Then it closes the
// table, which wakes the workers so that they stop.
func (l *Limiter) maintain(ctx context.Context) error {
	ticks := l.timer.Subscribe(upkeepInterval)
	defer ticks.Stop()
	defer l.lenders.Close()
	defer l.table.Close()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks.C():
			l.Refresh()
			l.lenders.CloseIdle()
		}
	}
}

// logRefusal logs a refused operation.
func (l *Limiter) logRefusal(r table.Refusal) {
	omitted, allowed := l.refusals.Allow(l.timer.Now(), "")
	if !allowed {
		return
	}
	klog.InfoS("Operation over the team's limit", "Team", r.Team.Name, "Rate", r.Team.Rate, "Burst", r.Team.Burst,
		"OperationsPerWindow", r.Limit.Operations, "Capacity", r.Limit.Capacity, "ShareRate", r.Share.Rate, "ShareCapacity", r.Share.Capacity,
		"Tokens", r.Tokens, "Asked", r.Asked, "AskedAgeMs", (l.clock.SinceBoot() - r.At).Milliseconds(), "TimedOut", r.TimedOut, "Omitted", omitted)
}
