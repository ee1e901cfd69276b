// Package scheduler is the table of statements that wait for an endpoint, of the
// endpoints, and of the connections to them. Workers take from it what may
// run.
package scheduler

import (
	"context"
	"slices"
	"sync"
	"time"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/model/leader"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/route"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
	"eelgrassladder.example/eelgrassladder/internal/policy/placement"
	"eelgrassladder.example/eelgrassladder/internal/policy/shedding"
	"eelgrassladder.example/eelgrassladder/internal/table/lockrank"
)

// Table holds waiting statements, endpoints and connections. Use New to make
// one.
type Table struct {
	timer      eelgrassladder.Timer
	clock      eelgrassladder.Clock
	dataCentre string

	// mutex guards the fields below.
	mutex *lockrank.Mutex
	// wake tells workers that ready is not empty.
	wake *sync.Cond
	// ready are assignments that no worker has taken yet.
	ready []Assignment
	// groups is keyed by the name of the group.
	groups map[string]*group
	// endpoints is keyed by ID. An endpoint that is gone stays until its last
	// connection is closed.
	endpoints map[string]*endpoint
	// proxies is how many proxies share the endpoints' connections.
	proxies int
	// connections is how many connections an endpoint of a group takes.
	connections func(group string) int
	// unproven is told the name of a group whose lead must be proven.
	unproven func(group string)
}

// group is what the table holds of a database group.
type group struct {
	// lead is what is known of the primary.
	lead leader.State
	// endpoints are those in use, ordered by ID.
	endpoints []*endpoint
	// waiting is ordered with the job that goes first at the front.
	waiting []*Job
	// pressure counts reads.
	pressure pressure
}

// stalled reports whether the primary acknowledges no writes.
func (g *group) stalled(now time.Time) bool {
	for _, e := range g.endpoints {
		if e.told.ID == g.lead.Endpoint {
			return e.stalled(now)
		}
	}
	return false
}

// New returns a table for a proxy in the data centre.
func New(t eelgrassladder.Timer, c eelgrassladder.Clock, dataCentre string) *Table {
	made := &Table{
		timer: t, clock: c, dataCentre: dataCentre, mutex: lockrank.New(lockrank.Scheduler), proxies: 1,
		groups: map[string]*group{}, endpoints: map[string]*endpoint{},
		connections: func(string) int { return 1 }, unproven: func(string) {},
	}
	made.wake = sync.NewCond(made.mutex)
	return made
}

// OnProofNeeded sets the function that is told of a group whose lead must be
// proven. It must not block. Call it before the table is used.
func (t *Table) OnProofNeeded(f func(group string)) { t.unproven = f }

// Take returns the next job that may run, or false when ctx has ended.
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

// Close wakes all workers, so that they see that their context has ended.
func (t *Table) Close() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.wake.Broadcast()
}

// Submit adds a job.
func (t *Table) Submit(j *Job) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	g := t.group(j.Need.Group)
	if t.assign(g, j) {
		return
	}
	if now := t.timer.Now(); t.hopeless(g, j, now) {
		t.refuse(g, j, now)
		return
	}
	at, _ := slices.BinarySearchFunc(g.waiting, j, func(a, b *Job) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	g.waiting = slices.Insert(g.waiting, at, j)
}

// Sweep looks again at jobs that wait, refuses those whose wait is of no use,
// and closes connections that are not used. Call it from time to time.
func (t *Table) Sweep() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.timer.Now()
	t.trim(now)
	for _, g := range t.groups {
		if len(g.waiting) == 0 {
			continue
		}
		t.match(g)
		g.waiting = slices.DeleteFunc(g.waiting, func(j *Job) bool {
			if !t.hopeless(g, j, now) {
				return false
			}
			t.refuse(g, j, now)
			return true
		})
	}
}

// refuse tells a job that waiting is of no use.
func (t *Table) refuse(g *group, j *Job, now time.Time) {
	r := t.reason(g, j)
	if r == NoCapacity && j.counts() {
		g.pressure.refuse(now)
	}
	t.push(Assignment{Refused: true, Reason: r, run: j.Run})
}

// hopeless reports whether a job that waits is refused.
func (t *Table) hopeless(g *group, j *Job, now time.Time) bool {
	w := j.wait(now)
	switch t.reason(g, j) {
	case NoPrimary:
		if g.lead.Closed {
			return shedding.ForChange(w, t.clock.SinceBoot()-g.lead.Since)
		}
		return shedding.ForUnknownWait(w)
	case NoCapacity:
		return shedding.ForCapacity(w, t.ahead(g, j))
	case NoProof:
		return shedding.ForProof(w)
	case NoReplica:
		return shedding.ForUnknownWait(w)
	default:
		return shedding.ForCapacity(w, 0)
	}
}

// ahead forecasts the time until a job that waits has an endpoint.
func (t *Table) ahead(g *group, j *Job) time.Duration {
	before, slots, service := 0, 0, time.Duration(0)
	for _, k := range g.waiting {
		if k != j && k.before(j) && k.Need.Write == j.Need.Write {
			before++
		}
	}
	for _, e := range g.endpoints {
		if !j.Need.Write || e.told.ID == g.lead.Endpoint {
			slots += int(e.limit)
			service = max(service, e.service)
		}
	}
	return time.Duration(before) * service / time.Duration(max(slots, 1))
}

// Leader returns what is known of a group's primary.
func (t *Table) Leader(name string) leader.State {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.group(name).lead
}

// UpdateLeader replaces what is known of a group's primary by what f makes of it,
// and returns both. f must not block.
func (t *Table) UpdateLeader(name string, f func(leader.State) leader.State) (before, after leader.State) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	g := t.group(name)
	before = g.lead
	g.lead = f(before)
	t.match(g)
	return before, g.lead
}

// SetRoster brings the platform's list of endpoints into force.
func (t *Table) SetRoster(r topology.Snapshot) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for id, e := range t.endpoints {
		if _, ok := r.Endpoint(id); !ok {
			e.gone = true
			t.closeIdle(e, 0)
			if e.open == 0 {
				delete(t.endpoints, id)
			}
		}
	}
	for _, g := range t.groups {
		g.endpoints = nil
	}
	for _, told := range r.All() {
		e, ok := t.endpoints[told.ID]
		if !ok {
			e = &endpoint{service: serviceGuess, base: serviceGuess, share: 1, limit: 1}
			t.endpoints[told.ID] = e
		}
		if e.told.StartedAt != told.StartedAt {
			t.closeIdle(e, 0)
			e.applied, e.behind = position.Position{}, position.Position{}
		}
		e.told, e.gone = told, false
		g := t.group(told.Group)
		g.endpoints = append(g.endpoints, e)
	}
	t.divide()
	t.matchAll()
}

// SetShares brings into force how many connections an endpoint of each group
// takes and how many proxies share them.
func (t *Table) SetShares(proxies int, connections func(group string) int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.proxies, t.connections = max(proxies, 1), connections
	t.divide()
	t.matchAll()
}

// divide sets the shares of all endpoints. Connections that the division
// leaves over stay free for control.
func (t *Table) divide() {
	for _, e := range t.endpoints {
		share := max(t.connections(e.told.Group)/t.proxies, 1)
		if share != e.share {
			e.share, e.limit = share, float64(share)
		}
	}
}

// assign gives a job an endpoint if one is free.
func (t *Table) assign(g *group, j *Job) bool {
	now, boot := t.timer.Now(), t.clock.SinceBoot()
	places := make([]placement.EndpointSnapshot, len(g.endpoints))
	for i, e := range g.endpoints {
		places[i] = e.place(now, t.dataCentre)
	}
	c := placement.Choose(j.Need, g.lead, places, boot)
	if c.AwaitsProof || j.Need.WantsProof(g.lead, boot) {
		t.unproven(j.Need.Group)
	}
	if c.Index < 0 {
		return false
	}
	e := g.endpoints[c.Index]
	e.running++
	primary := e.told.ID == g.lead.Endpoint && c.After.IsZero()
	if j.counts() {
		g.pressure.sent(now, primary)
	}
	t.push(Assignment{
		Endpoint: e.told, After: c.After, Connection: e.take(), run: j.Run,
		Primary: primary, Term: g.lead.Term, Chosen: boot,
	})
	return true
}

// push hands an assignment to a worker.
func (t *Table) push(a Assignment) {
	t.ready = append(t.ready, a)
	t.wake.Signal()
}

// match looks for waiting jobs of a group that may run now.
func (t *Table) match(g *group) {
	g.waiting = slices.DeleteFunc(g.waiting, func(j *Job) bool { return t.assign(g, j) })
}

// matchAll looks for waiting jobs of all groups that may run now.
func (t *Table) matchAll() {
	for _, g := range t.groups {
		t.match(g)
	}
}

// group returns a group, which is made if it is not there.
func (t *Table) group(name string) *group {
	g, ok := t.groups[name]
	if !ok {
		g = &group{}
		t.groups[name] = g
	}
	return g
}

// reason says why a job waits.
func (t *Table) reason(g *group, j *Job) Reason {
	switch {
	case len(g.endpoints) == 0:
		return NoEndpoint
	case (j.Need.Write || j.Need.Consistency == route.Primary) && !g.lead.Open():
		return NoPrimary
	case j.Need.NeedsProof() && !g.lead.ProvenAt(t.clock.SinceBoot()):
		return NoProof
	case j.Need.Write && g.stalled(t.timer.Now()):
		return NoReplica
	default:
		return NoCapacity
	}
}
