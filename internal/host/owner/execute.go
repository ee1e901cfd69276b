package owner

import (
	"context"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/request"
	"eelgrassladder.example/eelgrassladder/internal/peer/endpoint"
	"eelgrassladder.example/eelgrassladder/internal/table/pins"
	"eelgrassladder.example/eelgrassladder/internal/table/queue"
)

// freePinShare is the part of a member's connections that transactions of
// work that is not paying may hold.
const freePinShare = 0.5

// execute runs one job: on the connection of its transaction, or on one from
// the pool of the term in force.
func (o *Owner) execute(ctx context.Context, j queue.Job) {
	if j.Item.Context.Err() != nil {
		o.queue.Done(j, false)
		o.queue.Settle(j.Item, request.Refused(request.CodeCancelled, "the request was cancelled before it ran", "", 0))
		return
	}
	limited, cancel := context.WithTimeout(j.Item.Context, statementTime)
	defer cancel()
	stop := context.AfterFunc(ctx, cancel)
	defer stop()
	if j.Item.Request.Pin != 0 {
		o.executePinned(limited, j)
		return
	}
	o.executeFresh(limited, j)
}

// executeFresh runs a request outside any transaction.
func (o *Owner) executeFresh(ctx context.Context, j queue.Job) {
	g := o.current()
	pool := g.pool(j.Member)
	if pool == nil {
		o.retry(j)
		return
	}
	c, err := pool.Acquire(ctx)
	if err != nil {
		o.retry(j)
		return
	}
	place := !j.Item.Request.OpensTransaction
	result, sent, err := c.Exchange(ctx, j.Item.Request, place)
	if err != nil {
		pool.Release(c)
		o.failed(j, g, sent)
		return
	}
	if result.Code == endpoint.CodeSuperseded && !result.Committed {
		c.Close()
		pool.Release(c)
		o.superseded(g)
		o.retry(j)
		return
	}
	if j.Member != g.primary && result.Code == request.CodeReadOnly && !j.Item.Request.ReadOnly && result.Status == request.Idle {
		pool.Release(c)
		o.learned.learn(j.Item.Request.Fingerprint)
		j.Item.ReplicaAllowed = false
		o.queue.Done(j, false)
		o.queue.Requeue(j.Item)
		return
	}
	if result.Status != request.Idle {
		o.pin(j, g, pool, c, result)
		return
	}
	at := result.Position
	if !place {
		at, err = c.Position(ctx)
	}
	pool.Release(c)
	o.queue.Done(j, true)
	if err != nil {
		o.queue.Settle(j.Item, request.OutcomeUnknown("the connection was lost before the answer was complete"))
		return
	}
	o.release(j, j.Member != g.primary, result, at)
}

// executePinned runs a request of a transaction that is open.
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

// endPinned settles the request that ended its transaction.
func (o *Owner) endPinned(ctx context.Context, j queue.Job, p *pins.Pin, result endpoint.Result, err error) {
	var at position.Position
	if err == nil {
		at, err = p.Connection.Position(ctx)
	}
	o.pins.Remove(p.ID)
	p.Pool.Release(p.Connection)
	o.queue.Done(j, err == nil)
	switch {
	case err != nil:
		o.queue.Settle(j.Item, lostTransaction())
	case result.Code == endpoint.CodeSuperseded && !result.Committed:
		o.queue.Settle(j.Item, request.RolledBack("the transaction was rolled back by a change of primary"))
	default:
		o.release(j, p.Replica, result, at)
	}
}

// pin keeps the connection for the transaction that the request has opened.
func (o *Owner) pin(j queue.Job, g *generation, pool *endpoint.Pool, c *endpoint.Connection, result endpoint.Result) {
	limit := int(float64(o.connections(j.Member)) * freePinShare)
	if !j.Item.Class.Paying && o.pins.CountFree(j.Member) >= max(limit, 1) {
		pool.Release(c)
		o.queue.Done(j, true)
		o.queue.Settle(j.Item, request.Refused(request.CodeTooManyConnections,
			"too many transactions are open in classes that are not paying", "Try again later.", idleTransaction))
		return
	}
	id := o.pins.Add(&pins.Pin{
		Member: j.Member, Connection: c, Pool: pool, Paying: j.Item.Class.Paying, Replica: j.Member != g.primary,
	}, o.timer.Now())
	o.queue.Done(j, true)
	o.queue.Settle(j.Item, request.Answer{
		Outcome: request.Done, Payload: result.Payload, Status: result.Status, Replica: j.Member != g.primary,
	}.WithPin(o.proxy, id))
}

// connections returns the platform's figure for a member.
func (o *Owner) connections(member string) int {
	m, _ := o.Group().Member(member)
	return m.Connections
}

// release delivers an answer: at once from a replica, and from the primary
// when a majority holds what it has written or read. Without a position, a
// statement that failed without a COMMIT before it has changed nothing, and
// anything else may be lost with the term that the member has left.
func (o *Owner) release(j queue.Job, replica bool, result endpoint.Result, at position.Position) {
	answer := request.Answer{
		Outcome: request.Done, Payload: result.Payload, Status: result.Status, Replica: replica,
	}.WithPosition(at)
	if at.IsZero() && (result.Code == "" || result.Committed) {
		answer = request.OutcomeUnknown("the group changed its primary before the answer was held by a majority")
	}
	if at.IsZero() || replica {
		o.queue.Settle(j.Item, answer)
		return
	}
	o.members.RecordPrimaryLog(at.Log, j.Started)
	o.acks.Await(at, o.timer.Now().Add(acknowledgeTime), func(held bool) {
		if !held {
			answer = request.OutcomeUnknown("no majority of the group is known to hold the answer")
		}
		o.queue.Settle(j.Item, answer)
	})
}

// failed settles a job whose connection broke. What ran at a replica changed
// nothing, and what is idempotent may run again; anything else may have run.
func (o *Owner) failed(j queue.Job, g *generation, sent bool) {
	if j.Item.Context.Err() != nil {
		o.queue.Done(j, false)
		o.queue.Settle(j.Item, request.OutcomeUnknown("the request was cancelled while it ran"))
		return
	}
	harmless := j.Member != g.primary || j.Item.Request.ReadOnly || j.Item.Class.Idempotent
	if !sent || harmless {
		j.Item.MayHaveRun = j.Item.MayHaveRun || (sent && j.Member == g.primary && !j.Item.Request.ReadOnly)
		o.retry(j)
		return
	}
	o.queue.Done(j, false)
	o.queue.Settle(j.Item, request.OutcomeUnknown("the connection to the primary was lost while the request ran"))
}

// retry gives the slot back and lets the item wait again, unless its time is
// over. The pause keeps a broken member from being asked without rest.
func (o *Owner) retry(j queue.Job) {
	o.queue.Done(j, false)
	o.tasks.GoIsolated("retry", func(ctx context.Context) {
		timer.Pause(ctx, o.timer, retryPause)
		o.queue.Requeue(j.Item)
	})
}

// retryPause is the wait before an item may run again.
const retryPause = 3 * time.Millisecond
