package owner

import (
	"context"
	"time"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/request"
	"eelgrassladder.example/eelgrassladder/internal/peer/endpoint"
	"eelgrassladder.example/eelgrassladder/internal/table/pins"
	"eelgrassladder.example/eelgrassladder/internal/table/queue"
)

// maxFreePinShare is the share of a member's connections that open
// transactions of free classes may hold. One such transaction is always allowed.
const maxFreePinShare = 0.5

// execute runs one job on the connection of its transaction, or outside a
// transaction on a connection from the pool of the active term. The job ends
// after statementTimeout, or when its caller leaves or the worker's ctx ends.
func (o *Owner) execute(ctx context.Context, j queue.Job) {
	if j.Item.Context.Err() != nil {
		o.queue.Done(j, false)
		o.queue.Settle(j.Item, request.Refused(request.CodeCancelled, "the request was cancelled before it ran", "", 0))
		return
	}
	jobContext, cancel := context.WithTimeout(j.Item.Context, statementTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, cancel)
	defer stop()
	if j.Item.Request.Pin != 0 {
		o.executePinned(jobContext, j)
		return
	}
	o.executeUnpinned(jobContext, j)
}

// executeUnpinned runs a request that belongs to no open transaction. If the
// request opens one, the connection is pinned to it.
func (o *Owner) executeUnpinned(ctx context.Context, j queue.Job) {
	active := o.current()
	pool := active.pool(j.Member)
	if pool == nil {
		o.retry(j)
		return
	}
	c, err := pool.Acquire(ctx)
	if err != nil {
		o.retry(j)
		return
	}
	// If the request opens a transaction, ask for the position once that has ended.
	withPosition := !j.Item.Request.OpensTransaction
	result, sent, err := c.Exchange(ctx, j.Item.Request, withPosition)
	if err != nil {
		pool.Release(c)
		if eelgrassladder.IsMemoryRefusal(err) {
			o.queue.Done(j, false)
			o.queue.Settle(j.Item, request.OutcomeUnknown("the answer was dropped: "+err.Error()))
			return
		}
		o.handleLostConnection(j, active, sent)
		return
	}
	if result.Code == endpoint.CodeSuperseded && !result.Committed {
		c.Close()
		pool.Release(c)
		o.reportSuperseded(active)
		o.retry(j)
		return
	}
	// A replica has refused a write: queue it again, for the primary.
	if j.Member != active.primary && result.Code == request.CodeReadOnly && !j.Item.Request.ReadOnly && result.Status == request.Idle {
		pool.Release(c)
		o.knownWrites.add(j.Item.Request.Fingerprint)
		j.Item.ReplicaAllowed = false
		o.queue.Done(j, false)
		o.queue.Requeue(j.Item)
		return
	}
	if result.Status != request.Idle {
		o.pin(j, active, pool, c, result)
		return
	}
	answerPosition := result.Position
	if !withPosition {
		answerPosition, err = c.Position(ctx)
	}
	pool.Release(c)
	o.queue.Done(j, true)
	if err != nil {
		o.queue.Settle(j.Item, request.OutcomeUnknown("the connection was lost before the answer was complete"))
		return
	}
	o.deliverAnswer(j, j.Member != active.primary, result, answerPosition)
}

// executePinned runs a request of an open transaction on its pinned
// connection.
func (o *Owner) executePinned(ctx context.Context, j queue.Job) {
	p, ok := o.pins.MarkBusy(j.Item.Request.Pin)
	if !ok {
		o.queue.Done(j, false)
		o.queue.Settle(j.Item, request.RolledBack("the transaction's connection is gone"))
		return
	}
	result, _, err := p.Connection.Exchange(ctx, j.Item.Request, false)
	if err == nil && result.Status != request.Idle {
		o.pins.MarkIdle(p.ID, o.timer.Now())
		o.queue.Done(j, true)
		o.queue.Settle(j.Item, request.Answer{
			Outcome: request.Done, Payload: result.Payload, Status: result.Status,
		}.WithPin(o.proxy, p.ID))
		return
	}
	o.endPinned(ctx, j, p, result, err)
}

// endPinned unpins the connection of a transaction and settles the request
// that ended it.
func (o *Owner) endPinned(ctx context.Context, j queue.Job, p *pins.Pin, result endpoint.Result, err error) {
	var answerPosition position.Position
	if err == nil {
		answerPosition, err = p.Connection.Position(ctx)
	}
	o.pins.Remove(p.ID)
	p.Pool.Release(p.Connection)
	o.queue.Done(j, err == nil)
	switch {
	case err != nil:
		o.queue.Settle(j.Item, lostTransactionAnswer())
	case result.Code == endpoint.CodeSuperseded && !result.Committed:
		o.queue.Settle(j.Item, request.RolledBack("the transaction was rolled back by a change of primary"))
	default:
		o.deliverAnswer(j, p.Replica, result, answerPosition)
	}
}

// pin reserves the connection for the transaction that the request has opened.
// It refuses a free request if free transactions already hold their share of
// the member's connections.
func (o *Owner) pin(j queue.Job, active *activeTerm, pool *endpoint.Pool, c *endpoint.Connection, result endpoint.Result) {
	limit := int(float64(o.connections(j.Member)) * maxFreePinShare)
	if !j.Item.Class.Paying && o.pins.CountFree(j.Member) >= max(limit, 1) {
		pool.Release(c)
		o.queue.Done(j, true)
		o.queue.Settle(j.Item, request.Refused(request.CodeOverloaded,
			"too many transactions are open in classes that are not paying", "Try again later.", idleTransactionTimeout))
		return
	}
	id := o.pins.Add(&pins.Pin{
		Member: j.Member, Connection: c, Pool: pool, Paying: j.Item.Class.Paying, Replica: j.Member != active.primary,
	}, o.timer.Now())
	o.queue.Done(j, true)
	o.queue.Settle(j.Item, request.Answer{
		Outcome: request.Done, Payload: result.Payload, Status: result.Status, Replica: j.Member != active.primary,
	}.WithPin(o.proxy, id))
}

// connections returns how many connections the member accepts according to the
// host list, or 0 if the group has no such member.
func (o *Owner) connections(member string) int {
	m, _ := o.Group().Member(member)
	return m.Connections
}

// deliverAnswer settles a request with its result: at once if a replica ran
// it, and otherwise when a majority holds the log up to the answer's position.
// A zero position means that the member has left the term. In that case a
// request that failed without a COMMIT has changed nothing, so its error is
// delivered; the outcome of any other request is unknown.
func (o *Owner) deliverAnswer(j queue.Job, replica bool, result endpoint.Result, answerPosition position.Position) {
	answer := request.Answer{
		Outcome: request.Done, Payload: result.Payload, Status: result.Status, Replica: replica,
	}.WithPosition(answerPosition)
	if answerPosition.IsZero() && (result.Code == "" || result.Committed) {
		answer = request.OutcomeUnknown("the group changed its primary before the answer was held by a majority")
	}
	if answerPosition.IsZero() || replica {
		o.queue.Settle(j.Item, answer)
		return
	}
	o.observations.RecordPrimaryLog(answerPosition.Log, j.Started)
	o.acks.Await(answerPosition, o.timer.Now().Add(acknowledgeTimeout), func(held bool) {
		if !held {
			answer = request.OutcomeUnknown("no majority of the group is known to hold the answer")
		}
		o.queue.Settle(j.Item, answer)
	})
}

// handleLostConnection settles or retries a job whose connection broke. A
// request that was not sent, ran at a replica, is read-only or has an
// idempotent class is retried. Any other may have run, so its outcome is
// unknown.
func (o *Owner) handleLostConnection(j queue.Job, active *activeTerm, sent bool) {
	if j.Item.Context.Err() != nil {
		o.queue.Done(j, false)
		o.queue.Settle(j.Item, request.OutcomeUnknown("the request was cancelled while it ran"))
		return
	}
	repeatable := j.Member != active.primary || j.Item.Request.ReadOnly || j.Item.Class.Idempotent
	if !sent || repeatable {
		j.Item.MayHaveRun = j.Item.MayHaveRun || (sent && j.Member == active.primary && !j.Item.Request.ReadOnly)
		o.retry(j)
		return
	}
	o.queue.Done(j, false)
	o.queue.Settle(j.Item, request.OutcomeUnknown("the connection to the primary was lost while the request ran"))
}

// retry frees the job's slot and queues its request again after retryPause.
func (o *Owner) retry(j queue.Job) {
	o.queue.Done(j, false)
	o.tasks.GoIsolated("retry", func(ctx context.Context) {
		timer.Pause(ctx, o.timer, retryPause)
		o.queue.Requeue(j.Item)
	})
}

// retryPause is the delay before a request is queued again. It limits the rate
// of requests to a failing member.
const retryPause = 3 * time.Millisecond
