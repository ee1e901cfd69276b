// Package scheduler is the table of statements that wait for an endpoint, of
// the endpoints, and of the connections to them. It assigns endpoints to
// statements; workers take the assignments and run them.
package scheduler

import (
	"context"
	"slices"
	"sync"
	"time"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/model/leader"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/revision"
	"eelgrassladder.example/eelgrassladder/internal/model/route"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
	"eelgrassladder.example/eelgrassladder/internal/policy/placement"
	"eelgrassladder.example/eelgrassladder/internal/policy/pooling"
	"eelgrassladder.example/eelgrassladder/internal/policy/sharing"
	"eelgrassladder.example/eelgrassladder/internal/policy/shedding"
	"eelgrassladder.example/eelgrassladder/internal/table/lockrank"
)

// Table holds waiting statements, endpoints and connections. Use New to make
// one. The rank of its mutex is lockrank.Scheduler.
type Table struct {
	timer      eelgrassladder.Timer
	clock      eelgrassladder.Clock
	dataCentre string

	// mutex guards the fields below. Its rank is lockrank.Scheduler; the functions that
	// UpdateLeader calls may take locks of higher ranks.
	mutex *lockrank.Mutex
	// wake is signalled when an assignment is added to ready.
	wake *sync.Cond
	// ready holds the assignments that no worker has taken yet.
	ready []Assignment
	// groups is keyed by the name of the group.
	groups map[string]*group
	// endpoints is keyed by ID. An unlisted endpoint stays until its last
	// connection is closed.
	endpoints map[string]*endpoint
	// fleet is the set of proxies that share the connections of the endpoints.
	fleet sharing.Fleet
	// connectionLimit returns how many connections an endpoint of a group accepts.
	connectionLimit func(group string) int
	// onProofNeeded is called with the name of a group whose primary must be
	// proven to be the only one.
	onProofNeeded func(group string)
}

// group is the state of a database group.
type group struct {
	// leader is what is known of the primary.
	leader leader.State
	// endpoints are the listed endpoints, ordered by ID.
	endpoints []*endpoint
	// waiting is ordered by Job.before.
	waiting []*Job
	reads   readStats
}

// primaryStalled reports whether the primary acknowledges no writes.
func (g *group) primaryStalled(now time.Time) bool {
	for _, e := range g.endpoints {
		if e.listed.ID == g.leader.Endpoint {
			return e.stalled(now)
		}
	}
	return false
}

// New returns a table for a proxy in the data centre.
func New(t eelgrassladder.Timer, c eelgrassladder.Clock, dataCentre string) *Table {
	table := &Table{
		timer: t, clock: c, dataCentre: dataCentre, mutex: lockrank.New(lockrank.Scheduler),
		groups: map[string]*group{}, endpoints: map[string]*endpoint{},
		connectionLimit: func(string) int { return 1 }, onProofNeeded: func(string) {},
	}
	table.wake = sync.NewCond(table.mutex)
	return table
}

// OnProofNeeded sets the function that is called with the name of a group
// whose primary must be proven to be the only one. It is called while the
// table is locked and must not block. Call OnProofNeeded before the table is
// used.
func (t *Table) OnProofNeeded(f func(group string)) { t.onProofNeeded = f }

// Take returns the next assignment, and waits for one if there is none. It
// returns false if there is none and ctx has ended; call Close then to end the
// wait.
func (t *Table) Take(ctx context.Context) (Assignment, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for len(t.ready) == 0 {
		if ctx.Err() != nil {
			return Assignment{}, false
		}
		t.wake.Wait()
	}
	a := t.ready[0]
	t.ready = t.ready[1:]
	return a, true
}

// Close wakes all workers, so that they notice that their context has ended.
func (t *Table) Close() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.wake.Broadcast()
}

// Submit adds a job. It is assigned or refused at once if possible, and waits
// otherwise.
func (t *Table) Submit(j *Job) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	g := t.group(j.Need.Group)
	if t.assign(g, j) {
		return
	}
	if now := t.timer.Now(); t.mustRefuse(g, j, now) {
		t.refuse(g, j, now)
		return
	}
	index, _ := slices.BinarySearchFunc(g.waiting, j, func(a, b *Job) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	g.waiting = slices.Insert(g.waiting, index, j)
}

// Sweep assigns endpoints to waiting jobs, refuses those that have waited too
// long, and closes unused connections. Call it periodically.
func (t *Table) Sweep() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.timer.Now()
	t.closeUnused(now)
	for _, g := range t.groups {
		if len(g.waiting) == 0 {
			continue
		}
		t.assignWaiting(g)
		g.waiting = slices.DeleteFunc(g.waiting, func(j *Job) bool {
			if !t.mustRefuse(g, j, now) {
				return false
			}
			t.refuse(g, j, now)
			return true
		})
	}
}

// refuse passes the refusal of a job to a worker.
func (t *Table) refuse(g *group, j *Job, now time.Time) {
	r := t.waitReason(g, j)
	if r == NoCapacity && j.replicaEligible() {
		g.reads.countRefused(now)
	}
	a := Assignment{Refused: true, Reason: r, run: j.Run}
	if r == NoCapacity {
		a.Shortage = t.shortage(g, j, now)
	}
	t.enqueue(a)
}

// shortage returns what a job lacks at the endpoints that could run it. If it lacks different
// things at several, the one that is declared last counts.
func (t *Table) shortage(g *group, j *Job, now time.Time) Shortage {
	s := NoShortage
	for _, e := range g.endpoints {
		if g.eligible(e, j) {
			s = max(s, e.shortage(now, j.Team))
		}
	}
	return s
}

// eligible reports whether an endpoint can run a job if it has capacity.
func (g *group) eligible(e *endpoint, j *Job) bool {
	return e.listed.ID == g.leader.Endpoint || j.replicaEligible()
}

// mustRefuse reports whether a job must be refused now instead of waiting.
func (t *Table) mustRefuse(g *group, j *Job, now time.Time) bool {
	w := j.wait(now)
	switch t.waitReason(g, j) {
	case NoPrimary:
		if g.leader.Closed {
			return shedding.ForChange(w, t.clock.SinceBoot()-g.leader.Since)
		}
		return shedding.ForUnknownWait(w)
	case NoCapacity:
		return shedding.ForCapacity(w, max(t.forecastWait(g, j), t.connectionWait(g, j, now)))
	case NoProof:
		return shedding.ForProof(w, t.clock.SinceBoot()-g.leader.Since)
	case NoReplica:
		return shedding.ForUnknownWait(w)
	default:
		return shedding.ForCapacity(w, 0)
	}
}

// forecastWait forecasts the time until a waiting job gets an endpoint, from
// the jobs before it that compete for the same endpoints, and from the slowest
// of these endpoints.
func (t *Table) forecastWait(g *group, j *Job) time.Duration {
	ahead, slots, serviceTime := 0, 0, time.Duration(0)
	for _, k := range g.waiting {
		if k != j && k.before(j) && k.Need.Write == j.Need.Write {
			ahead++
		}
	}
	for _, e := range g.endpoints {
		if !j.Need.Write || e.listed.ID == g.leader.Endpoint {
			slots += int(e.limit)
			serviceTime = max(serviceTime, e.serviceTime)
		}
	}
	return time.Duration(ahead) * serviceTime / time.Duration(max(slots, 1))
}

// connectionWait returns how long it takes at least until one of the endpoints that can run a job
// has a connection for it.
func (t *Table) connectionWait(g *group, j *Job, now time.Time) time.Duration {
	wait, found := time.Duration(0), false
	for _, e := range g.endpoints {
		if w := e.connectionWait(now); g.eligible(e, j) && (!found || w < wait) {
			wait, found = w, true
		}
	}
	return wait
}

// Leader returns what is known of a group's primary.
func (t *Table) Leader(name string) leader.State {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.group(name).leader
}

// UpdateLeader replaces what is known of a group's primary by the result of f,
// and returns the values before and after. f is called while the table is
// locked and must not block. A function that applies a value of another table reads
// that value itself; one that was read before may be older than what the table knows.
func (t *Table) UpdateLeader(name string, f func(leader.State) leader.State) (before, after leader.State) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	g := t.group(name)
	before = g.leader
	g.leader = f(before)
	t.assignWaiting(g)
	return before, g.leader
}

// ConfirmRecords records that the records of primaries with the given revisions, by the
// name of the group, were the current ones of the store at a boot time, and open. A group
// whose primary comes from another record is left as it is.
func (t *Table) ConfirmRecords(revisions map[string]revision.Revision, at time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for name, r := range revisions {
		if g := t.group(name); g.leader.Open() && g.leader.Recorded.Revision == r {
			g.leader = g.leader.WithRecordOpen(at)
		}
	}
}

// SetEndpoints applies the platform's list of endpoints. It closes the idle
// connections to endpoints that were removed or have been restarted.
func (t *Table) SetEndpoints(snapshot topology.Snapshot) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for id, e := range t.endpoints {
		if _, ok := snapshot.Endpoint(id); !ok {
			e.unlisted = true
			t.closeIdle(e, 0)
			if e.open == 0 {
				delete(t.endpoints, id)
			}
		}
	}
	for _, g := range t.groups {
		g.endpoints = nil
	}
	for _, listed := range snapshot.All() {
		e, ok := t.endpoints[listed.ID]
		if !ok {
			e = &endpoint{serviceTime: initialServiceTime, baseServiceTime: initialServiceTime, openingTime: initialOpeningTime, share: 1, limit: 1}
			t.endpoints[listed.ID] = e
		}
		if e.listed.StartedAt != listed.StartedAt {
			t.closeIdle(e, 0)
			e.applied, e.lacked = position.Position{}, position.Position{}
		}
		e.listed, e.unlisted = listed, false
		g := t.group(listed.Group)
		g.endpoints = append(g.endpoints, e)
	}
	t.divideConnections()
	t.assignAllWaiting()
}

// SetShares sets how many connections an endpoint of each group accepts, and
// the proxies that share them.
func (t *Table) SetShares(f sharing.Fleet, limit func(group string) int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.fleet, t.connectionLimit = f, limit
	t.divideConnections()
	t.assignAllWaiting()
}

// divideConnections sets the shares of all endpoints. Connections that the
// division leaves over remain free for control requests.
func (t *Table) divideConnections() {
	poolers := map[string]pooling.Poolers{}
	for _, e := range t.endpoints {
		limit := t.connectionLimit(e.listed.Group)
		p, ok := poolers[e.listed.Group]
		if !ok {
			p = pooling.Choose(t.fleet, e.listed.Group, limit)
			poolers[e.listed.Group] = p
		}
		a := p.Allot(t.fleet, e.listed.ID, limit)
		e.keepsUnused, e.pooled = a.Keeps, p.Delegates()
		e.proxy, e.openers = t.fleet.Self(), p.Openers(t.fleet)
		e.limitOpenings()
		if a.Max != e.share {
			e.share, e.limit = a.Max, float64(a.Max)
		}
	}
}

// assign assigns an endpoint to a job, and reports whether one could take it.
func (t *Table) assign(g *group, j *Job) bool {
	now, sinceBoot := t.timer.Now(), t.clock.SinceBoot()
	snapshots := make([]placement.EndpointSnapshot, len(g.endpoints))
	for i, e := range g.endpoints {
		snapshots[i] = e.snapshot(now, t.dataCentre, j.Team)
	}
	choice := placement.Choose(j.Need, g.leader, snapshots, sinceBoot)
	if choice.AwaitsProof || j.Need.ShouldRenewProof(g.leader, sinceBoot) {
		t.onProofNeeded(j.Need.Group)
	}
	if choice.Index < 0 {
		return false
	}
	e := g.endpoints[choice.Index]
	e.running++
	primary := e.listed.ID == g.leader.Endpoint && choice.After.IsZero()
	if j.replicaEligible() {
		g.reads.countSent(now, primary)
	}
	t.enqueue(Assignment{
		Endpoint: e.listed, After: choice.After, Connection: e.takeConnection(now, j.Team), run: j.Run,
		Primary: primary, Term: g.leader.Term, Chosen: sinceBoot,
	})
	return true
}

// Renew makes the choice of an assignment's endpoint anew, at the same endpoint, for a
// statement that was not sent in time because a connection had to be opened. It reports false
// if the endpoint must not run the statement now.
func (t *Table) Renew(a Assignment, n placement.Need) (Assignment, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	e, ok := t.endpoints[a.Endpoint.ID]
	if !ok || e.listed.StartedAt != a.Endpoint.StartedAt {
		return a, false
	}
	g, sinceBoot := t.group(n.Group), t.clock.SinceBoot()
	s := e.snapshot(t.timer.Now(), t.dataCentre, "")
	// The statement has the connection, and counts as running already.
	s.Available = true
	choice := placement.Choose(n, g.leader, []placement.EndpointSnapshot{s}, sinceBoot)
	if choice.AwaitsProof {
		t.onProofNeeded(n.Group)
	}
	if choice.Index < 0 {
		return a, false
	}
	a.After, a.Chosen, a.Term = choice.After, sinceBoot, g.leader.Term
	a.Primary = e.listed.ID == g.leader.Endpoint && choice.After.IsZero()
	return a, true
}

// enqueue passes an assignment to a worker.
func (t *Table) enqueue(a Assignment) {
	t.ready = append(t.ready, a)
	t.wake.Signal()
}

// assignWaiting assigns endpoints to the waiting jobs of a group.
func (t *Table) assignWaiting(g *group) {
	g.waiting = slices.DeleteFunc(g.waiting, func(j *Job) bool { return t.assign(g, j) })
}

// assignAllWaiting assigns endpoints to the waiting jobs of all groups.
func (t *Table) assignAllWaiting() {
	for _, g := range t.groups {
		t.assignWaiting(g)
	}
}

// group returns the state of a group, which it adds if it is missing.
func (t *Table) group(name string) *group {
	g, ok := t.groups[name]
	if !ok {
		g = &group{}
		t.groups[name] = g
	}
	return g
}

// waitReason returns why a job waits.
func (t *Table) waitReason(g *group, j *Job) Reason {
	switch {
	case len(g.endpoints) == 0:
		return NoEndpoint
	case (j.Need.Write || j.Need.Consistency == route.Primary) && !g.leader.Open():
		return NoPrimary
	case placement.AwaitsProof(j.Need, g.leader, t.clock.SinceBoot()):
		return NoProof
	case j.Need.Write && g.primaryStalled(t.timer.Now()):
		return NoReplica
	default:
		return NoCapacity
	}
}
