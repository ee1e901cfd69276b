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
	"eelgrassladder.example/eelgrassladder/internal/model/leader"
	"eelgrassladder.example/eelgrassladder/internal/model/leadership"
	"eelgrassladder.example/eelgrassladder/internal/model/statement"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
	"eelgrassladder.example/eelgrassladder/internal/table/scheduler"
)

const (
	// askTime bounds one question to an endpoint.
	askTime = 250 * time.Millisecond
	// pause is the least time between two rounds for one group.
	pause = 25 * time.Millisecond
	// freshSample is the age up to which a position needs no renewal.
	freshSample = 600 * time.Millisecond
	// readTime bounds one reading of the records; the store answers in 4 ms.
	readTime = 250 * time.Millisecond
	// readPause is the least time between two readings of the records: each is
	// a priced call, and proves all groups for lead.ProofLifetime.
	readPause = 300 * time.Millisecond
)

// Ledger reads who leads the groups from the platform's store.
type Ledger interface {
	// Records returns the records of all groups, none older than the call. A
	// group without one has had no change of primary.
	Records(ctx context.Context) (map[string]leadership.Record, error)
	// Groups returns the names of the groups that routes lead to.
	Groups() map[string]bool
}

// Prober asks endpoints. Use New to make one.
type Prober struct {
	timer     eelgrassladder.Timer
	clock     eelgrassladder.Clock
	table     *scheduler.Table
	dialer    *control.Dialer
	ledger    Ledger
	tasks     *task.Group
	endpoints func(group string) []topology.Endpoint

	// mutex guards the fields below. It is a leaf.
	mutex sync.Mutex
	// asking holds the groups with a round under way or just ended.
	asking map[string]bool
	// turns counts rounds, so that replicas are asked in turn.
	turns int
	// read is when the records were last asked for; zero for never.
	read time.Duration
}

// New returns a prober of the groups in the table.
func New(t eelgrassladder.Timer, c eelgrassladder.Clock, table *scheduler.Table, dialer *control.Dialer,
	ledger Ledger, g *task.Group, endpoints func(string) []topology.Endpoint,
) *Prober {
	return &Prober{
		timer: t, clock: c, table: table, dialer: dialer, ledger: ledger, tasks: g, endpoints: endpoints,
		asking: map[string]bool{},
	}
}

// Probe starts a round for a group, unless one is under way. It does not block.
func (p *Prober) Probe(group string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.asking[group] {
		return
	}
	p.asking[group] = true
	p.turns++
	turn := p.turns
	p.tasks.GoIsolated("proof", func(ctx context.Context) {
		p.ask(ctx, group, turn)
		timer.Pause(ctx, p.timer, pause)
		p.mutex.Lock()
		defer p.mutex.Unlock()
		delete(p.asking, group)
	})
}

// ask asks the primary, if its term or its position is not known, and then a
// replica that is likely to answer. If it does not, the rest of the proof's
// time allows no second such wait, so the record in the store comes next.
func (p *Prober) ask(ctx context.Context, group string, turn int) {
	l := p.table.Leader(group)
	all := p.endpoints(group)
	if l.Closed || l.Endpoint == "" {
		return
	}
	if l.Term == 0 || p.clock.SinceBoot()-l.LastSampleTime() > freshSample {
		p.askPrimary(ctx, group, l, all)
	}
	l = p.table.Leader(group)
	if l.Term == 0 || !l.ProofExpiring(p.clock.SinceBoot()) {
		return
	}
	sound, failing := p.replicas(l, all, turn)
	first := sound[:min(len(sound), 1)]
	if p.askReplicas(ctx, group, l, first) || p.readRecords(ctx, group) {
		return
	}
	p.askReplicas(ctx, group, l, append(sound[len(first):], failing...))
}

// askPrimary learns the term and the position of the primary.
func (p *Prober) askPrimary(ctx context.Context, group string, l leader.State, all []topology.Endpoint) {
	for _, e := range all {
		if e.ID != l.Endpoint {
			continue
		}
		asked := p.clock.SinceBoot()
		s, reply, ok := p.status(ctx, e)
		if !ok || !s.Primary {
			return
		}
		p.table.UpdateLeader(group, func(l leader.State) leader.State {
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
func (p *Prober) askReplicas(ctx context.Context, group string, l leader.State, replicas []topology.Endpoint) bool {
	for _, e := range replicas {
		asked := p.clock.SinceBoot()
		s, _, ok := p.status(ctx, e)
		if !ok || s.Primary || s.Term != l.Term || s.Suspended > l.Term {
			continue
		}
		p.table.UpdateLeader(group, func(now leader.State) leader.State {
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
func (p *Prober) replicas(l leader.State, all []topology.Endpoint, turn int) (sound, failing []topology.Endpoint) {
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
	return sound, failing
}

// readRecords proves the primaries of all groups by their records in the
// store, and reports whether that of the group is proven.
func (p *Prober) readRecords(ctx context.Context, group string) bool {
	asked := p.clock.SinceBoot()
	if !p.mayRead(asked) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, readTime)
	defer cancel()
	records, err := p.ledger.Records(ctx)
	if err != nil {
		klog.V(1).InfoS("Records of primaries cannot be read", "Error", err.Error())
		return false
	}
	for name := range p.ledger.Groups() {
		p.table.UpdateLeader(name, func(l leader.State) leader.State {
			if l.Term == 0 || !l.Open() || !records[name].Proves(l.Endpoint, l.Term) {
				return l
			}
			return l.WithProof(asked)
		})
	}
	return !p.table.Leader(group).ProofExpiring(p.clock.SinceBoot())
}

// mayRead reports whether the records may be read now, and notes that they
// are.
func (p *Prober) mayRead(now time.Duration) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.read != 0 && now-p.read < readPause {
		return false
	}
	p.read = now
	return true
}

// status asks one endpoint.
func (p *Prober) status(ctx context.Context, e topology.Endpoint) (topology.Status, statement.Reply, bool) {
	c, err := p.dialer.DialWithinShare(ctx, e)
	if err != nil {
		return topology.Status{}, statement.Reply{}, false
	}
	s, reply, err := c.Status(p.timer.Now().Add(askTime))
	c.Release(err, reply.Position)
	return s, reply, err == nil && reply.Code == statement.OK
}
