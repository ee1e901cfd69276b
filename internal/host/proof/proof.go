// Package proof asks endpoints for what reads need to know of the primary
// where no other traffic has told it lately: that it is still the only one,
// and how far its log has come.
package proof

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/control"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/table/work"
	"eelgrassladder.example/eelgrassladder/internal/trade/lead"
	"eelgrassladder.example/eelgrassladder/internal/trade/roster"
	"eelgrassladder.example/eelgrassladder/internal/trade/statement"
	"eelgrassladder.example/eelgrassladder/internal/trade/tenure"
)

const (
	// askTime bounds one question to an endpoint.
	probeTimeout = 250 * time.Millisecond
	// pause is the least time between two rounds for one group.
	roundPause = 25 * time.Millisecond
	// freshSample is the age up to which a position needs no renewal.
	maxSampleAge = 600 * time.Millisecond
	// readTime bounds one reading of the records; the store answers in 4 ms.
	readTimeout = 250 * time.Millisecond
	// readPause is the least time between two readings of the records: each is
	// a priced call, and proves all groups for lead.ProofLifetime.
	readInterval = 300 * time.Millisecond
)

// Ledger reads who leads the groups from the platform's store.
type Records interface {
	// Records returns the records of all groups, none older than the call. A
	// group without one has had no change of primary.
	Records(ctx context.Context) (map[string]tenure.Tenure, error)
	// Groups returns the names of the groups that routes lead to.
	Groups() map[string]bool
}

// Prober asks endpoints. Use New to make one.
type Prober struct {
	timer     eelgrassladder.Timer
	clock     eelgrassladder.Clock
	table     *work.Table
	dialer    *control.Dialer
	records   Records
	tasks     *task.Group
	endpoints func(group string) []roster.Endpoint

	// mutex guards the fields below. It is a leaf.
	mutex sync.Mutex
	// asking holds the groups with a round under way or just ended.
	probing map[string]bool
	// turns counts rounds, so that replicas are asked in turn.
	rounds int
	// read is when the records were last asked for; zero for never.
	recordsRead time.Duration
}

// New returns a prober of the groups in the table.
func New(t eelgrassladder.Timer, c eelgrassladder.Clock, table *work.Table, dialer *control.Dialer,
	records Records, g *task.Group, endpoints func(string) []roster.Endpoint,
) *Prober {
	return &Prober{
		timer: t, clock: c, table: table, dialer: dialer, records: records, tasks: g, endpoints: endpoints,
		probing: map[string]bool{},
	}
}

// Want starts a round for a group, unless one is under way. It does not block.
func (p *Prober) Want(group string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.probing[group] {
		return
	}
	p.probing[group] = true
	p.rounds++
	round := p.rounds
	p.tasks.Detach("proof", func(ctx context.Context) {
		p.runRound(ctx, group, round)
		timer.Pause(ctx, p.timer, roundPause)
		p.mutex.Lock()
		defer p.mutex.Unlock()
		delete(p.probing, group)
	})
}

// ask asks the primary, if its term or its position is not known, and then a
// replica that is likely to answer. If it does not, the rest of the proof's
// time allows no second such wait, so the record in the store comes next.
func (p *Prober) runRound(ctx context.Context, group string, round int) {
	l := p.table.Lead(group)
	all := p.endpoints(group)
	if l.Closed || l.Endpoint == "" {
		return
	}
	if l.Term == 0 || p.clock.Boot()-l.Newest() > maxSampleAge {
		p.askPrimary(ctx, group, l, all)
	}
	l = p.table.Lead(group)
	if l.Term == 0 || !l.Aging(p.clock.Boot()) {
		return
	}
	healthy, failing := p.replicas(l, all, round)
	first := healthy[:min(len(healthy), 1)]
	if p.askReplicas(ctx, group, l, first) || p.readRecords(ctx, group) {
		return
	}
	p.askReplicas(ctx, group, l, append(healthy[len(first):], failing...))
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

// askReplicas proves that no change of primary is under way, and reports
// whether it could: a change suspends all replicas first.
func (p *Prober) askReplicas(ctx context.Context, group string, l lead.Lead, replicas []roster.Endpoint) bool {
	for _, e := range replicas {
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
		return true
	}
	return false
}

// replicas returns the replicas in the order of the turn, and apart those
// that have lately failed: each may take the whole time of a question.
func (p *Prober) replicas(l lead.Lead, all []roster.Endpoint, round int) (healthy, failing []roster.Endpoint) {
	for i := range all {
		e := all[(i+round)%len(all)]
		switch {
		case e.ID == l.Endpoint:
		case p.table.Health(e.ID).Failures > 0:
			failing = append(failing, e)
		default:
			healthy = append(healthy, e)
		}
	}
	return healthy, failing
}

// readRecords proves the primaries of all groups by their records in the
// store, and reports whether that of the group is proven.
func (p *Prober) readRecords(ctx context.Context, group string) bool {
	asked := p.clock.Boot()
	if !p.beginRead(asked) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	records, err := p.records.Records(ctx)
	if err != nil {
		klog.V(1).InfoS("Records of primaries cannot be read", "Error", err.Error())
		return false
	}
	for name := range p.records.Groups() {
		p.table.Change(name, func(l lead.Lead) lead.Lead {
			if l.Term == 0 || !l.Open() || !records[name].Proves(l.Endpoint, l.Term) {
				return l
			}
			return l.WithProof(asked)
		})
	}
	return !p.table.Lead(group).Aging(p.clock.Boot())
}

// mayRead reports whether the records may be read now, and notes that they
// are.
func (p *Prober) beginRead(now time.Duration) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.recordsRead != 0 && now-p.recordsRead < readInterval {
		return false
	}
	p.recordsRead = now
	return true
}

// status asks one endpoint.
func (p *Prober) status(ctx context.Context, e roster.Endpoint) (roster.Status, statement.Reply, bool) {
	c, err := p.dialer.Question(ctx, e)
	if err != nil {
		return roster.Status{}, statement.Reply{}, false
	}
	s, reply, err := c.Status(p.timer.Now().Add(probeTimeout))
	c.Release(err, reply.Position)
	return s, reply, err == nil && reply.Code == statement.OK
}
