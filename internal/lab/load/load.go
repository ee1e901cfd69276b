package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/lab/cluster"
	"eelgrassladder.example/eelgrassladder/internal/lab/group"
	"eelgrassladder.example/eelgrassladder/internal/lab/workload"
	"eelgrassladder.example/eelgrassladder/internal/model/configuration"
	"eelgrassladder.example/eelgrassladder/internal/model/request"
)

// Run is one load on a cluster. Create it with New, call Offer and then Finish.
type Run struct {
	plan     Plan
	cluster  *cluster.Cluster
	ledger   *ledger
	pools    *connectionPools
	sessions []*clientSession
	tasks    *task.Group
	// slots holds a token for each request in progress and bounds their number.
	slots chan struct{}
	// initialPrimaryReads and initialReplicaReads are the members' counts of queries
	// before the load.
	initialPrimaryReads, initialReplicaReads uint64

	// mutex guards the fields below. No other lock is taken while it is held.
	mutex           sync.Mutex
	tallies         map[string]*tally
	classNames      []string
	codes           map[string]int
	unknownOutcomes int
	// acknowledged holds the acknowledged writes by group. The failover gaps are
	// computed from them.
	acknowledged map[string][]acknowledgement
	faults       []fault
	termChanges  int
	reconnects   int
}

// acknowledgement holds the times when a write was sent and acknowledged.
type acknowledgement struct {
	sent time.Time
	at   time.Time
}

// fault is the time when the primary of a group, or its owner, failed.
type fault struct {
	group string
	at    time.Time
}

// New prepares a load on a running cluster: it creates tables, rows and sessions in
// every group and waits until the replicas have applied them.
func New(ctx context.Context, cl *cluster.Cluster, p Plan) (*Run, error) {
	r := &Run{
		plan: p, cluster: cl, ledger: newLedger(), pools: newConnectionPools(cl.Addresses), slots: make(chan struct{}, maxOutstanding),
		tallies: map[string]*tally{}, codes: map[string]int{}, acknowledged: map[string][]acknowledgement{},
	}
	c, findings := configuration.Parse("configuration", []byte(p.Workload.Configuration))
	if err := findings.Err(); err != nil {
		return nil, err
	}
	for _, class := range c.Classes() {
		r.tallies[class.Name] = newTally(class)
		r.classNames = append(r.classNames, class.Name)
	}
	random := rand.New(rand.NewPCG(p.Seed, 0))
	for _, g := range cl.Groups {
		if err := r.createTables(ctx, g.Name()); err != nil {
			return nil, err
		}
		for i := range p.Sessions {
			cs := &clientSession{id: int64(i), group: g.Name()}
			if random.Float64() < p.NamedShare {
				cs.name = fmt.Sprintf("session-%d", i)
			}
			r.sessions = append(r.sessions, cs)
		}
	}
	if err := r.awaitReplicas(ctx); err != nil {
		return nil, err
	}
	r.initialPrimaryReads, r.initialReplicaReads = r.countReads()
	return r, nil
}

// createTables creates the tables of a group, and a row of sketches for each session,
// 200 rows a statement.
func (r *Run) createTables(ctx context.Context, groupName string) error {
	s := r.plan.Workload.Paying[0]
	c, err := connect(ctx, r.cluster.Addresses()[0], s, groupName)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close(ctx) }()
	for _, text := range tableStatements {
		if _, err := c.Exec(ctx, text); err != nil {
			return errors.WithStack(err)
		}
	}
	for first := 0; first < r.plan.Sessions; first += 200 {
		text := "INSERT INTO sketches (id, version, label) VALUES "
		for i := first; i < min(first+200, r.plan.Sessions); i++ {
			if i > first {
				text += ", "
			}
			text += fmt.Sprintf("(%d, 0, '%s')", i, labelOf(int64(i)))
		}
		if _, err := c.Exec(ctx, text); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}

// awaitReplicas waits until every replica has applied the prepared rows, because
// requests of kind Browse expect to find them. It fails after 20 seconds.
func (r *Run) awaitReplicas(ctx context.Context) error {
	deadline := time.Now().Add(20 * time.Second)
	for _, g := range r.cluster.Groups {
		for _, m := range g.Members() {
			for m.Progress().Applied < g.Primary().Progress().Received {
				if time.Now().After(deadline) || ctx.Err() != nil {
					return errors.Errorf("wait for the prepared rows: member %s has not applied them", m.Name())
				}
				timer.Sleep(ctx, 5*time.Millisecond)
			}
		}
	}
	return nil
}

// countReads returns how many queries the members have run as primaries and as
// replicas.
func (r *Run) countReads() (primary, replica uint64) {
	for _, g := range r.cluster.Groups {
		for _, m := range g.Members() {
			primaryReads, replicaReads := m.Reads()
			primary += primaryReads
			replica += replicaReads
		}
	}
	return primary, replica
}

// Offer starts requests for the seconds of the plan and returns when every request has
// ended.
func (r *Run) Offer(ctx context.Context) {
	r.tasks = task.New(ctx)
	r.tasks.Go("paying arrivals", func(ctx context.Context) error {
		r.generateArrivals(ctx, r.plan.Workload.Paying, r.plan.PayingRate, 1)
		return nil
	})
	r.tasks.Go("free arrivals", func(ctx context.Context) error {
		r.generateArrivals(ctx, r.plan.Workload.Free, r.plan.FreeRate, 2)
		return nil
	})
	if r.plan.ProbeGroup != "" {
		r.tasks.Go("probe", r.probe)
	}
	_ = r.tasks.Wait()
}

// generateArrivals starts requests at a rate, with exponentially distributed times
// between them. It is open loop: it doesn't wait for earlier requests unless
// maxOutstanding of them are in progress. salt makes the random numbers of the paying
// and the free load differ; it is part of the names of requests.
func (r *Run) generateArrivals(ctx context.Context, streams []workload.Stream, rate float64, salt uint64) {
	if rate <= 0 {
		return
	}
	random := rand.New(rand.NewPCG(r.plan.Seed, salt))
	start := time.Now()
	var elapsedSeconds float64
	for number := 0; ; number++ {
		elapsedSeconds += random.ExpFloat64() / rate
		if elapsedSeconds > r.plan.Seconds {
			return
		}
		intended := start.Add(time.Duration(elapsedSeconds * float64(time.Second)))
		timer.Sleep(ctx, time.Until(intended))
		if ctx.Err() != nil {
			return
		}
		s := pickStream(streams, random)
		cs := r.sessions[random.IntN(len(r.sessions))]
		name := fmt.Sprintf("%d-%d-%d", r.plan.Seed, salt, number)
		seed := random.Uint64()
		r.slots <- struct{}{}
		r.tasks.GoIsolated("request", func(ctx context.Context) {
			defer func() { <-r.slots }()
			r.request(ctx, s, cs, name, intended, rand.New(rand.NewPCG(seed, 0)))
		})
	}
}

// pickStream returns a random stream. The weight of a stream is its probability.
func pickStream(streams []workload.Stream, random *rand.Rand) workload.Stream {
	remaining := random.Float64()
	for _, s := range streams {
		if remaining -= s.Weight; remaining < 0 {
			return s
		}
	}
	return streams[len(streams)-1]
}

// request runs one request of a session and records its result. Only requests that
// read or write the session's own sketch run in the session itself; the others run in
// a new one without a token or name.
func (r *Run) request(ctx context.Context, s workload.Stream, cs *clientSession, name string, intended time.Time, random *rand.Rand) {
	if s.Kind == workload.ReadOwn || s.Kind == workload.Transfer {
		cs.mutex.Lock()
		defer cs.mutex.Unlock()
		intended = laterOf(intended, time.Now())
	} else {
		cs = &clientSession{id: cs.id, group: cs.group}
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	res := r.tryRequest(ctx, s, cs, name, random)
	r.record(s, cs, res, intended)
}

// laterOf returns the later time. request measures the latency from it: a session runs
// one request at a time, and the wait for its own earlier request is no latency of the
// system.
func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// tryRequest runs one request on a connection to a proxy chosen at random. It takes
// another connection, up to connectTries in all, if the token can't be set or the proxy
// shuts down before it reads the request. The outcome is NotRun if there is no
// connection, as nothing was sent then.
func (r *Run) tryRequest(ctx context.Context, s workload.Stream, cs *clientSession, name string, random *rand.Rand) result {
	for range connectTries {
		c, err := r.pools.acquire(ctx, random, s, cs.group)
		if err != nil {
			return result{outcome: request.NotRun, code: "connect"}
		}
		if err := cs.bind(ctx, c, r.plan.DropTokens); err != nil {
			_ = c.Close(ctx)
			continue
		}
		sent := time.Now()
		res := cs.run(ctx, r.ledger, c, s, name, random, r.plan.Sessions)
		res.sent = sent
		r.pools.release(c)
		if res.code == adminShutdownCode && res.outcome == request.NotRun {
			r.countReconnect()
			continue
		}
		return res
	}
	return result{outcome: request.NotRun, code: "connect"}
}

// adminShutdownCode is the SQLSTATE with which a proxy that shuts down closes idle
// connections. A request that was on its way to the proxy at that moment has not run.
const adminShutdownCode = "57P01"

// countReconnect counts a request that has to be sent again on another connection.
func (r *Run) countReconnect() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.reconnects++
}

// record adds the result of a request to the figures of the report. Latency counts from
// the intended start.
func (r *Run) record(s workload.Stream, cs *clientSession, res result, intended time.Time) {
	now := time.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.tallies[s.Class].add(res, now.Sub(intended))
	if res.outcome != request.Done {
		r.codes[res.code]++
	}
	if res.outcome == request.Unknown {
		r.unknownOutcomes++
	}
	if res.outcome == request.Done && (s.Kind == workload.Insert || s.Kind == workload.Transfer) {
		r.acknowledged[cs.group] = append(r.acknowledged[cs.group], acknowledgement{sent: res.sent, at: now})
	}
}

// probe sends a write to one group every probePeriod, without waiting for the
// earlier ones, to measure failover gaps precisely. The report does not count these
// writes as requests.
func (r *Run) probe(ctx context.Context) error {
	s := r.plan.Workload.Paying[0]
	end := time.Now().Add(time.Duration(r.plan.Seconds * float64(time.Second)))
	for number := 0; time.Now().Before(end) && ctx.Err() == nil; number++ {
		name := fmt.Sprintf("%d-probe-%d", r.plan.Seed, number)
		r.tasks.GoIsolated("probe", func(ctx context.Context) {
			requestCtx, cancel := context.WithTimeout(ctx, requestTimeout)
			defer cancel()
			cs := &clientSession{group: r.plan.ProbeGroup}
			res := r.tryRequest(requestCtx, s, cs, name, rand.New(rand.NewPCG(r.plan.Seed, uint64(number))))
			r.mutex.Lock()
			defer r.mutex.Unlock()
			if res.outcome == request.Done {
				r.acknowledged[cs.group] = append(r.acknowledged[cs.group], acknowledgement{sent: res.sent, at: time.Now()})
			}
		})
		timer.Sleep(ctx, probePeriod)
	}
	return nil
}

// RecordFault records that the primary of a group, or the proxy that owns the group,
// fails now.
func (r *Run) RecordFault(g *group.Group) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.faults = append(r.faults, fault{group: g.Name(), at: time.Now()})
}

// RecordTermChange counts a new term.
func (r *Run) RecordTermChange() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.termChanges++
}
