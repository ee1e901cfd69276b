// Package proof obtains what reads need to know about a primary when recent
// traffic has not shown it: a proof that the endpoint is still the only primary
// of its group, and the end of its log.
//
// A change of primary closes the group's record and suspends all recorded members
// first. An open record therefore proves that no change was under way when the request for
// it was sent, and a recorded replica that is not suspended that none has begun since an
// earlier proof that is still valid.
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
	// probeTimeout is the timeout of one status request to an endpoint.
	probeTimeout = 250 * time.Millisecond
	// roundPause is the pause after a round of requests for one group.
	roundPause = 25 * time.Millisecond
	// maxSampleAge is the age from which the known end of the primary's log is renewed.
	maxSampleAge = 600 * time.Millisecond
	// readTimeout is the timeout of one read of the records. The store usually answers
	// in 4 ms.
	readTimeout = 250 * time.Millisecond
	// readInterval is the shortest time between two reads of the records. The
	// platform charges for each read, and one read proves the primaries of all
	// groups for leader.ProofLifetime.
	readInterval = 300 * time.Millisecond
	// keepAliveInterval is the interval of looking for proofs that are about to expire.
	keepAliveInterval = 60 * time.Millisecond
	// fewProxies is the number of other proxies up to which the records are read before
	// a replica is asked. The store serves all proxies, each replica only some.
	fewProxies = 8
)

// MaxRecordAge is how long after a proxy last knew a group's record to be open the group's
// replicas may prove the primary to it. The members of an older record may have left.
const MaxRecordAge = 12 * time.Second

// Records reads the records of the groups' primaries from the platform's store.
type Records interface {
	// Records returns the records of all groups, by name of the group. The answer
	// is not older than the call. A group without a record has had no change of
	// primary.
	Records(ctx context.Context) (map[string]leadership.Record, error)
	// Record returns the latest known record of a group.
	Record(group string) leadership.Record
	// Era returns the newest known era of the store; zero if the store names none.
	Era() uint64
	// Groups returns the names of the groups that at least one route uses.
	Groups() map[string]bool
	// Proxies returns the addresses of the other proxies by name.
	Proxies() map[string]string
	// WasRegistered reports whether this proxy has been registered since it started, so
	// that a change of primary knows of it.
	WasRegistered() bool
}

// Prober asks endpoints and the store for proofs, and writes them to the table. Use New
// to make one.
type Prober struct {
	timer     eelgrassladder.Timer
	clock     eelgrassladder.Clock
	table     *scheduler.Table
	dialer    *control.Dialer
	records   Records
	tasks     *task.Group
	endpoints func(group string) []topology.Endpoint

	// mutex guards the fields below. No other lock is taken while it is held.
	mutex sync.Mutex
	// rounds holds, by the name of the group, the channels of the rounds that are under
	// way, or have ended less than roundPause ago. A channel is closed when its round ends.
	rounds map[string]chan struct{}
	// count counts the rounds; it determines which replica is asked first.
	count int
	// recordsRead is the boot time of the last read of the records; zero for never.
	recordsRead time.Duration
	// readFailed is true if the last read of the records has failed.
	readFailed bool
}

// New returns a prober that writes what it learns to the table. The function
// returns the endpoints of a group.
func New(t eelgrassladder.Timer, c eelgrassladder.Clock, table *scheduler.Table, dialer *control.Dialer,
	records Records, g *task.Group, endpoints func(string) []topology.Endpoint,
) *Prober {
	return &Prober{
		timer: t, clock: c, table: table, dialer: dialer, records: records, tasks: g, endpoints: endpoints,
		rounds: map[string]chan struct{}{},
	}
}

// KeepAlive prolongs the valid proofs of groups until ctx ends, while reads of the records fail
// or the record of the group is of a former era of the store: without the store, a proof that has
// expired cannot be renewed.
func (p *Prober) KeepAlive(ctx context.Context) error {
	ticks := p.timer.Subscribe(keepAliveInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks.C():
		}
		now, era, failed := p.clock.SinceBoot(), p.records.Era(), p.storeFailed()
		for group := range p.records.Groups() {
			if !failed && p.records.Record(group).WrittenIn(era) {
				continue
			}
			if l := p.table.Leader(group); l.ProvenAt(now) && l.ProofExpiring(now) {
				p.Probe(group)
			}
		}
	}
}

// Probe starts a round of requests for a group, unless one is under way or has just
// ended. It does not block.
func (p *Prober) Probe(group string) { p.Prove(group) }

// Prove starts a round of requests for a group, unless one is under way or has just ended.
// It returns a channel that is closed when the round has ended. It does not block.
func (p *Prober) Prove(group string) <-chan struct{} {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if ended, ok := p.rounds[group]; ok {
		return ended
	}
	ended := make(chan struct{})
	p.rounds[group] = ended
	p.count++
	round := p.count
	p.tasks.GoIsolated("proof", func(ctx context.Context) {
		func() {
			defer close(ended)
			p.runRound(ctx, group, round)
		}()
		timer.Pause(ctx, p.timer, roundPause)
		p.mutex.Lock()
		defer p.mutex.Unlock()
		delete(p.rounds, group)
	})
	return ended
}

// runRound does nothing for a proxy that was never registered: a change of primary would not
// tell it. It asks the primary, if its term is unknown or its position is old. If the proof is
// about to expire, it reads the records from the store, which proves the primaries of all
// groups, and asks the replicas if the store gives no proof. It asks one healthy replica
// first if the store has failed before, because the proof could expire before the store's
// timeout, or if there are more than fewProxies other proxies.
func (p *Prober) runRound(ctx context.Context, group string, round int) {
	l := p.table.Leader(group)
	endpoints := p.endpoints(group)
	if l.Closed || l.Endpoint == "" || !p.records.WasRegistered() {
		return
	}
	if l.Term == 0 || p.clock.SinceBoot()-l.LastSampleTime() > maxSampleAge {
		p.askPrimary(ctx, group, l, endpoints)
	}
	l = p.table.Leader(group)
	if l.Term == 0 || !l.ProofExpiring(p.clock.SinceBoot()) {
		return
	}
	healthy, failing := p.replicas(l, p.records.Record(group), endpoints, round)
	first := healthy[:0]
	if p.storeFailed() || len(p.records.Proxies()) > fewProxies {
		first = healthy[:min(len(healthy), 1)]
	}
	if p.askReplicas(ctx, group, l, first) || p.readRecords(ctx, group) {
		return
	}
	p.askReplicas(ctx, group, l, append(healthy[len(first):], failing...))
}

// askPrimary asks the primary for its term and the end of its log, and writes them to the
// table.
func (p *Prober) askPrimary(ctx context.Context, group string, l leader.State, endpoints []topology.Endpoint) {
	for _, e := range endpoints {
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

// askReplicas asks the replicas, one after the other, until one proves that l describes
// the only primary: it is a replica of that term and is not suspended for a later one.
// It reports whether one did. A replica prolongs a proof that is still valid; only the
// record gives a new one, because a replica that a promotion has resumed may not have heard
// of the new term yet. None is asked if the record is older than MaxRecordAge.
func (p *Prober) askReplicas(ctx context.Context, group string, l leader.State, replicas []topology.Endpoint) bool {
	for _, e := range replicas {
		asked := p.clock.SinceBoot()
		if asked-max(l.Recorded.OpenAt, l.Since) > MaxRecordAge || !l.ProvenAt(asked) {
			return false
		}
		s, _, ok := p.status(ctx, e)
		if !ok || s.Primary || s.Term != l.Term || s.SuspendedTerm > l.Term {
			continue
		}
		p.table.UpdateLeader(group, func(current leader.State) leader.State {
			if current.Endpoint != l.Endpoint || current.Term != l.Term || !current.ProvenAt(asked) {
				return current
			}
			return current.WithProof(asked)
		})
		return true
	}
	return false
}

// replicas returns the replicas among the endpoints that can give a proof, in an order that
// changes with the round. Those that have failed since their last answer are returned
// separately, because each of them may take the whole probeTimeout.
func (p *Prober) replicas(l leader.State, record leadership.Record, endpoints []topology.Endpoint, round int) (healthy, failing []topology.Endpoint) {
	for i := range endpoints {
		e := endpoints[(i+round)%len(endpoints)]
		switch {
		case e.ID == l.Endpoint || !record.Lists(e):
		case p.table.Health(e.ID).Failures > 0:
			failing = append(failing, e)
		default:
			healthy = append(healthy, e)
		}
	}
	return healthy, failing
}

// readRecords proves the primaries of all groups by their records in the store. It
// reports whether the primary of the given group is proven afterwards.
func (p *Prober) readRecords(ctx context.Context, group string) bool {
	asked := p.clock.SinceBoot()
	if !p.beginRead(asked) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	records, err := p.records.Records(ctx)
	p.noteRead(err)
	if err != nil {
		klog.V(1).InfoS("Could not read the records of primaries", "Error", err.Error())
		return false
	}
	era := p.records.Era()
	for name := range p.records.Groups() {
		p.table.UpdateLeader(name, func(l leader.State) leader.State {
			if l.Term == 0 || !l.Open() || !records[name].Proves(l.Endpoint, l.Term, era) {
				return l
			}
			return l.WithProof(asked).WithRecordOpen(asked)
		})
	}
	return !p.table.Leader(group).ProofExpiring(p.clock.SinceBoot())
}

// beginRead reports whether readInterval allows a read of the records now. If so,
// it notes the time of the read.
func (p *Prober) beginRead(now time.Duration) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.recordsRead != 0 && now-p.recordsRead < readInterval {
		return false
	}
	p.recordsRead = now
	return true
}

// noteRead notes whether a read of the records has failed.
func (p *Prober) noteRead(err error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.readFailed = err != nil
}

// storeFailed reports whether the last read of the records has failed.
func (p *Prober) storeFailed() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.readFailed
}

// status asks one endpoint for its status and reports whether it answered OK.
func (p *Prober) status(ctx context.Context, e topology.Endpoint) (topology.Status, statement.Reply, bool) {
	conn, err := p.dialer.DialWithinShare(ctx, e)
	if err != nil {
		return topology.Status{}, statement.Reply{}, false
	}
	s, reply, err := conn.Status(p.timer.Now().Add(probeTimeout))
	conn.Release(err, reply.Position)
	return s, reply, err == nil && reply.Code == statement.OK
}
