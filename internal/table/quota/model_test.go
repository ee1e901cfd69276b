package quota

import (
	"container/heap"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/model/team"
	policy "eelgrassladder.example/eelgrassladder/internal/policy/quota"
)

// Times of the modelled system.
const (
	// leaseTime is how long a proxy that does not reach the store stays registered.
	leaseTime = 8 * time.Second
	// watchTime is how long a proxy takes at most to learn of a change in the store, and
	// learnLimit the same for a version of the configuration.
	watchTime  = 1800 * time.Millisecond
	learnLimit = learnTime
	// announceTime is how long a process without a registration produces nothing.
	announceTime = 2 * time.Second
	// retention is how long a proxy counts after its registration has ended.
	retention = 60 * time.Second
)

// event is something that happens at a time.
type event struct {
	at    time.Duration
	order int
	run   func()
}

// events is a heap of events, the next first.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(a, b int) bool {
	return e[a].at < e[b].at || e[a].at == e[b].at && e[a].order < e[b].order
}
func (e events) Swap(a, b int) { e[a], e[b] = e[b], e[a] }

// Push adds an event, for container/heap.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes and returns the last event, for container/heap.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// limitPeriod is a limit of a team and the time in which windows may run what it allows.
type limitPeriod struct {
	operations  float64
	from, until time.Duration
}

// world is a model of proxies, a store, and clients of teams. The proxies use real tables.
type world struct {
	random  *rand.Rand
	now     time.Duration
	pending events
	order   int
	bounds  policy.Bounds
	proxies []*modelProxy
	// registered holds the names in the store.
	registered map[string]bool
	version    uint64
	teams      map[string]team.Team
	limits     map[string][]limitPeriod
	// lost and duplicated are the shares of messages that are; slow is the share that takes
	// up to 0.4 s.
	lost, duplicated, slow float64
	// held is true while operations run as late as their tokens allow. Released together with
	// others, they make the busiest windows.
	held bool
	// abandoned is the share of operations of which nothing is sent, and whose tokens are given
	// back.
	abandoned float64
	// runs holds the times at which operations ran at endpoints, by team.
	runs                            map[string][]time.Duration
	asked, refused, borrowed, calls int
}

// modelProxy is a proxy of the model.
type modelProxy struct {
	world *world
	name  string
	table *Table
	// alive is false while no process runs. process counts the processes.
	alive   bool
	process int
	// frozenUntil is until when the process does not run.
	frozenUntil time.Duration
	// cutFromStore and cutFromOthers are true while the proxy does not reach them; gone is true
	// for one that never comes back.
	cutFromStore, cutFromOthers, gone bool
	// known holds what the process has learned of other proxies: zero for a registered one,
	// and otherwise when it learned that the registration had ended.
	known        map[string]time.Duration
	version      uint64
	teams        map[string]team.Team
	producesFrom time.Duration
	waiting      []*modelWait
}

// modelWait is an operation that waits for a token.
type modelWait struct {
	waiter *Waiter
	team   string
	joined time.Duration
	done   bool
}

// newWorld returns a world with n registered proxies, whose processes start now.
func newWorld(seed uint64, n int, teams ...team.Team) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Hour, bounds: policy.DefaultBounds(), registered: map[string]bool{},
		teams: map[string]team.Team{}, limits: map[string][]limitPeriod{}, runs: map[string][]time.Duration{},
	}
	for i := range n {
		w.registered[fmt.Sprintf("proxy-%d", i)] = true
	}
	for _, tm := range teams {
		w.configure(tm)
	}
	for i := range n {
		p := &modelProxy{world: w, name: fmt.Sprintf("proxy-%d", i)}
		w.proxies = append(w.proxies, p)
		p.start()
	}
	return w
}

// after adds an event.
func (w *world) after(d time.Duration, run func()) {
	w.order++
	heap.Push(&w.pending, event{at: w.now + d, order: w.order, run: run})
}

// advance runs the events of a time.
func (w *world) advance(d time.Duration) {
	end := w.now + d
	for len(w.pending) > 0 && w.pending[0].at <= end {
		e := heap.Pop(&w.pending).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

// between returns a random time.
func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)+1))
}

// onProcess runs a function in the present process of a proxy after a time, or as soon as the
// process is not frozen. It does nothing if that process has ended.
func (p *modelProxy) onProcess(d time.Duration, run func()) {
	process := p.process
	var attempt func()
	attempt = func() {
		switch {
		case !p.alive || p.process != process:
		case p.world.now < p.frozenUntil:
			p.world.after(p.frozenUntil-p.world.now, attempt)
		default:
			run()
		}
	}
	p.world.after(d, attempt)
}

// start starts a process, which reads the store.
func (p *modelProxy) start() {
	w := p.world
	p.alive, p.frozenUntil, p.waiting = true, 0, nil
	p.process++
	p.table = New(p.name, w.bounds)
	p.known, p.version, p.teams = map[string]time.Duration{}, w.version, map[string]team.Team{}
	for name := range w.registered {
		p.known[name] = 0
	}
	for name, tm := range w.teams {
		p.teams[name] = tm
	}
	p.producesFrom = w.now
	if !w.registered[p.name] {
		p.producesFrom = w.now + announceTime
		w.setRegistered(p.name, true)
	}
	p.refresh()
	p.upkeep()
}

// upkeep refreshes the view each second, as the host does.
func (p *modelProxy) upkeep() {
	p.onProcess(time.Second, func() {
		p.refresh()
		p.upkeep()
	})
}

// kill ends the process.
func (p *modelProxy) kill() {
	p.alive = false
	p.expire()
}

// expire ends the registration if the proxy does not renew it in time.
func (p *modelProxy) expire() {
	process := p.process
	p.world.after(leaseTime, func() {
		if p.process == process && (!p.alive || p.cutFromStore) {
			p.world.setRegistered(p.name, false)
		}
	})
}

// cutStore cuts the proxy off from the store, and from the others if all is true, for a time.
func (p *modelProxy) cutStore(d time.Duration, all bool) {
	process := p.process
	p.cutFromStore, p.cutFromOthers = true, all
	p.expire()
	p.world.after(d, func() {
		if p.process != process {
			return
		}
		p.cutFromStore, p.cutFromOthers = false, false
		if p.alive {
			p.world.setRegistered(p.name, true)
			p.learn()
		}
	})
}

// setRegistered changes the store, of which the proxies that reach it learn soon.
func (w *world) setRegistered(name string, registered bool) {
	if w.registered[name] == registered {
		return
	}
	delete(w.registered, name)
	if registered {
		w.registered[name] = true
	}
	for _, p := range w.proxies {
		if p.alive && !p.cutFromStore {
			p.learn()
		}
	}
}

// learn reads the registered proxies after a time.
func (p *modelProxy) learn() {
	w := p.world
	p.onProcess(w.between(0, watchTime), func() {
		if p.cutFromStore {
			return
		}
		for name := range w.registered {
			p.known[name] = 0
		}
		for name, ended := range p.known {
			if ended == 0 && !w.registered[name] {
				p.known[name] = w.now
			}
		}
		p.refresh()
	})
}

// configure changes the limit of a team.
func (w *world) configure(tm team.Team) {
	w.version++
	w.teams[tm.Name] = tm
	periods := w.limits[tm.Name]
	if len(periods) > 0 {
		periods[len(periods)-1].until = w.now + learnLimit + eelgrassladder.QuotaValidity
	}
	w.limits[tm.Name] = append(periods, limitPeriod{operations: w.bounds.Limit(tm).Operations, from: w.now, until: 1 << 62})
	version := w.version
	for _, p := range w.proxies {
		p.onProcess(w.between(0, learnLimit), func() { p.adopt(version, tm) })
	}
}

// adopt applies a version of the configuration.
func (p *modelProxy) adopt(version uint64, tm team.Team) {
	p.version = max(p.version, version)
	// Versions arrive in any order; a proxy takes the newest of each team.
	if p.world.teams[tm.Name] == tm {
		p.teams[tm.Name] = tm
	}
	p.refresh()
}

// refresh applies the view of the process.
func (p *modelProxy) refresh() {
	w := p.world
	p.table.Refresh(w.now, func() View {
		v := View{Version: p.version, Lenders: map[string]string{}, ProducesFrom: p.producesFrom}
		for _, tm := range p.teams {
			v.Teams = append(v.Teams, tm)
		}
		for name, ended := range p.known {
			if name != p.name && (ended == 0 || w.now-ended < retention) {
				v.Lenders[name] = "address of " + name
			}
		}
		return v
	})
}

// proxy returns a proxy by its name.
func (w *world) proxy(name string) *modelProxy {
	i := slices.IndexFunc(w.proxies, func(p *modelProxy) bool { return p.name == name })
	return w.proxies[i]
}

// operation begins an operation of a team at the proxy, if its process runs.
func (p *modelProxy) operation(teamName string) {
	w := p.world
	if !p.alive || w.now < p.frozenUntil {
		return
	}
	w.asked++
	admitted := w.now
	waiter, v := p.table.Admit(teamName, w.now)
	if waiter == nil {
		p.decided(teamName, admitted, v)
		return
	}
	m := &modelWait{waiter: waiter, team: teamName, joined: admitted}
	p.waiting = append(p.waiting, m)
	p.onProcess(policy.MaxWait, func() {
		if !m.done {
			m.done = true
			p.decided(m.team, m.joined, p.table.Abandon(m.waiter, w.now))
		}
	})
	p.startJobs()
}

// startJobs lets workers take the jobs of the table.
func (p *modelProxy) startJobs() {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for j, ok := p.table.Take(ended); ok; j, ok = p.table.Take(ended) {
		p.step(j)
	}
}

// step makes the next request of a job.
func (p *modelProxy) step(j Job) {
	w := p.world
	ask, ok := p.table.Next(j, w.now)
	p.deliver()
	if !ok {
		return
	}
	w.calls++
	answered := false
	receive := func(granted int, a Answer) {
		if answered {
			return
		}
		answered = true
		if a == Answered && w.now-ask.At > policy.AnswerTimeout {
			a = Late
		}
		p.table.Receive(j, ask, granted, a, w.now)
		p.deliver()
		p.step(j)
	}
	copies := 1
	if w.random.Float64() < w.duplicated {
		copies = 2
	}
	lender := w.proxy(ask.Lender)
	for range copies {
		w.send(p, lender, func() {
			granted := lender.table.Lend(ask.Team, ask.Tokens, w.now)
			w.send(lender, p, func() { receive(granted, Answered) })
		})
	}
	p.onProcess(policy.AnswerTimeout+time.Millisecond, func() { receive(0, Failed) })
}

// send delivers a message, or loses it.
func (w *world) send(from, to *modelProxy, receive func()) {
	if from.cutFromOthers || to.cutFromOthers || w.random.Float64() < w.lost || !to.alive {
		return
	}
	d := w.between(300*time.Microsecond, 1500*time.Microsecond)
	if w.random.Float64() < w.slow {
		d = w.between(time.Millisecond, 400*time.Millisecond)
	}
	to.onProcess(d, receive)
}

// deliver passes verdicts on to the operations that waited.
func (p *modelProxy) deliver() {
	waiting := p.waiting
	p.waiting = nil
	for _, m := range waiting {
		if m.done {
			continue
		}
		select {
		case v := <-m.waiter.Verdict():
			m.done = true
			p.decided(m.team, m.joined, v)
		default:
			p.waiting = append(p.waiting, m)
		}
	}
}

// decided runs an operation that has a token at an endpoint after a while, or gives the token
// back.
func (p *modelProxy) decided(teamName string, admitted time.Duration, v Verdict) {
	w := p.world
	if !v.Granted {
		w.refused++
		return
	}
	if !v.Own {
		w.borrowed++
	}
	if w.random.Float64() < w.abandoned {
		p.onProcess(w.between(0, 700*time.Millisecond), func() { p.table.GiveBack(teamName, admitted, w.now) })
		return
	}
	d := w.between(0, 4*time.Millisecond)
	if w.held {
		d = max(admitted+eelgrassladder.QuotaValidity-w.now, 0)
	}
	p.onProcess(d, func() {
		if w.now-admitted <= eelgrassladder.QuotaValidity {
			w.runs[teamName] = append(w.runs[teamName], w.now)
		}
	})
}

// excess returns by how many operations, at most, a window had more than the limits allow, and
// what the window's limit was.
func (w *world) excess() (excess, limit float64) {
	excess = math.Inf(-1)
	for name, runs := range w.runs {
		slices.Sort(runs)
		last := 0
		for first, start := range runs {
			for last < len(runs) && runs[last] < start+w.bounds.Window {
				last++
			}
			allowed := 0.0
			for _, l := range w.limits[name] {
				if l.until > start && l.from < start+w.bounds.Window {
					allowed = max(allowed, l.operations)
				}
			}
			if e := float64(last-first) - allowed; e > excess {
				excess, limit = e, allowed
			}
		}
	}
	return excess, limit
}
