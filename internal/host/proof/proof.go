// Package proof asks endpoints for what reads need to know of the primary
// where no other traffic has told it lately: that it is still the only one,
// and how far its log has come.
package proof

import (
	"context"
	"sync"
	"time"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/control"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/table/work"
	"eelgrassladder.example/eelgrassladder/internal/trade/lead"
	"eelgrassladder.example/eelgrassladder/internal/trade/roster"
	"eelgrassladder.example/eelgrassladder/internal/trade/statement"
)

const (
	// askTime bounds one question to an endpoint.
	askTime = 250 * time.Millisecond
	// pause is the least time between two rounds for one group.
	pause = 25 * time.Millisecond
	// freshSample is the age up to which a position needs no renewal.
	freshSample = 600 * time.Millisecond
)

// Prober asks endpoints. Use New to make one.
type Prober struct {
	timer     eelgrassladder.Timer
	clock     eelgrassladder.Clock
	table     *work.Table
	dialer    *control.Dialer
	tasks     *task.Group
	endpoints func(group string) []roster.Endpoint

	// mutex guards asking. It is a leaf.
	mutex sync.Mutex
	// asking holds the groups with a round under way or just ended.
	asking map[string]bool
	// turns counts rounds, so that replicas are asked in turn.
	turns int
}

// New returns a prober of the groups in the table.
func New(t eelgrassladder.Timer, c eelgrassladder.Clock, table *work.Table, dialer *control.Dialer,
	g *task.Group, endpoints func(string) []roster.Endpoint,
) *Prober {
	return &Prober{
		timer: t, clock: c, table: table, dialer: dialer, tasks: g, endpoints: endpoints, asking: map[string]bool{},
	}
}

// Want starts a round for a group, unless one is under way. It does not block.
func (p *Prober) Want(group string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.asking[group] {
		return
	}
	p.asking[group] = true
	p.turns++
	turn := p.turns
	p.tasks.Detach("proof", func(ctx context.Context) {
		p.ask(ctx, group, turn)
		timer.Pause(ctx, p.timer, pause)
		p.mutex.Lock()
		defer p.mutex.Unlock()
		delete(p.asking, group)
	})
}

// ask asks the primary, if its term or its position is not known, and then a
// replica.
func (p *Prober) ask(ctx context.Context, group string, turn int) {
	l := p.table.Lead(group)
	all := p.endpoints(group)
	if l.Closed || l.Endpoint == "" {
		return
	}
	if l.Term == 0 || p.clock.Boot()-l.Newest() > freshSample {
		p.askPrimary(ctx, group, l, all)
	}
	l = p.table.Lead(group)
	if l.Term != 0 && l.Aging(p.clock.Boot()) {
		p.askReplica(ctx, group, l, all, turn)
	}
}

// askPrimary learns the term and the position of the primary.
func (p *Prober) askPrimary(ctx context.Context, group string, l lead.Lead, all []roster.Endpoint) {
	for _, e := range all {
		if e.ID != l.Endpoint {
			continue
		}
		asked := p.clock.Boot()
		s, reply, ok := p.status(ctx, e)
		if !ok || !s.Primary {
			return
		}
		p.table.Change(group, func(l lead.Lead) lead.Lead {
			if l.Endpoint != e.ID {
				return l
			}
			if l.Term == 0 {
				l = l.WithTerm(s.Term)
			}
			return l.WithAnswer(asked, reply.Position)
		})
	}
}

// askReplica proves that no change of primary is under way: a change suspends
// all replicas first.
func (p *Prober) askReplica(ctx context.Context, group string, l lead.Lead, all []roster.Endpoint, turn int) {
	for _, e := range p.replicas(l, all, turn) {
		asked := p.clock.Boot()
		s, _, ok := p.status(ctx, e)
		if !ok || s.Primary || s.Term != l.Term || s.Suspended > l.Term {
			continue
		}
		p.table.Change(group, func(now lead.Lead) lead.Lead {
			if now.Endpoint != l.Endpoint || now.Term != l.Term {
				return now
			}
			return now.WithProof(asked)
		})
		return
	}
}

// replicas returns the replicas in the order of the turn. Those that have
// lately failed come last: they may take the whole time of a question.
func (p *Prober) replicas(l lead.Lead, all []roster.Endpoint, turn int) []roster.Endpoint {
	var sound, failing []roster.Endpoint
	for i := range all {
		e := all[(i+turn)%len(all)]
		switch {
		case e.ID == l.Endpoint:
		case p.table.Health(e.ID).Failures > 0:
			failing = append(failing, e)
		default:
			sound = append(sound, e)
		}
	}
	return append(sound, failing...)
}

// status asks one endpoint.
func (p *Prober) status(ctx context.Context, e roster.Endpoint) (roster.Status, statement.Reply, bool) {
	c, err := p.dialer.Question(ctx, e)
	if err != nil {
		return roster.Status{}, statement.Reply{}, false
	}
	s, reply, err := c.Status(p.timer.Now().Add(askTime))
	c.Release(err, reply.Position)
	return s, reply, err == nil && reply.Code == statement.OK
}
