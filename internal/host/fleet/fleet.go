// Package fleet keeps this proxy in touch with the others: heartbeats, the
// spread of membership and of the configuration, and the platform's host
// list.
package fleet

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/model/configuration"
	"eelgrassladder.example/eelgrassladder/internal/model/hostlist"
	"eelgrassladder.example/eelgrassladder/internal/model/membership"
	"eelgrassladder.example/eelgrassladder/internal/peer/proxy"
	"eelgrassladder.example/eelgrassladder/internal/policy/gossip"
	"eelgrassladder.example/eelgrassladder/internal/table/configurations"
	"eelgrassladder.example/eelgrassladder/internal/table/members"
)

// The times of a heartbeat.
const (
	// beatTime bounds one heartbeat.
	beatTime = 300 * time.Millisecond
	// listPeriod is how often the host list is read.
	listPeriod = 2 * time.Second
	// introductionRounds is how many rounds a new proxy listens before it owns
	// anything.
	introductionRounds = 2
	// urgentPushes is how many proxies are told of a change at once.
	urgentPushes = 3
)

// Exchanger sends heartbeats to other proxies.
type Exchanger interface {
	// Exchange sends a heartbeat and returns the one that answers it.
	Exchange(ctx context.Context, address string, b proxy.Heartbeat, limit time.Duration) (proxy.Heartbeat, error)
	// Disconnect closes the connections to a proxy that is gone.
	Disconnect(address string)
}

// Fleet keeps in touch with the other proxies. Use New, then Start.
type Fleet struct {
	timer     eelgrassladder.Timer
	exchanger Exchanger
	directory eelgrassladder.Directory
	store     eelgrassladder.Store
	members   *members.Table
	versions  *configurations.Table
	// seeds are addresses of proxies from this process's settings.
	seeds []string
	tasks *task.Group

	// messages counts heartbeats sent and heard.
	messages atomic.Uint64

	// mutex guards the fields below. It is a leaf.
	mutex sync.Mutex
	// misses counts heartbeats in a row that a proxy did not answer.
	misses map[string]int
	// list is the newest host list; read tells whether there is one.
	list hostlist.HostList
	read bool
	// listChanged is closed and replaced with each new host list.
	listChanged chan struct{}
	// rounds counts heartbeat rounds.
	rounds int
}

// Option changes a Fleet while New makes it.
type Option func(*Fleet)

// WithSeeds sets addresses of proxies that are asked when the platform does
// not answer.
func WithSeeds(addresses []string) Option { return func(f *Fleet) { f.seeds = addresses } }

// WithPlatform sets the host list and the store; without it the fleet learns
// only from other proxies.
func WithPlatform(d eelgrassladder.Directory, s eelgrassladder.Store) Option {
	return func(f *Fleet) {
		f.directory = d
		f.store = s
	}
}

// New returns a fleet that knows only this proxy.
func New(t eelgrassladder.Timer, e Exchanger, m *members.Table, v *configurations.Table, options ...Option) *Fleet {
	f := &Fleet{
		timer: t, exchanger: e, members: m, versions: v,
		misses: map[string]int{}, listChanged: make(chan struct{}),
	}
	for _, o := range options {
		o(f)
	}
	return f
}

// Start runs the fleet in the group.
func (f *Fleet) Start(g *task.Group) {
	f.tasks = g
	g.Go("heartbeats", f.beat)
	if f.directory != nil {
		g.Go("host list", f.followHosts)
		g.Go("configuration", f.followStore)
	}
}

// Hosts returns the newest host list, whether there is one, and a channel
// that is closed with the next.
func (f *Fleet) Hosts() (hostlist.HostList, bool, <-chan struct{}) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.list, f.read, f.listChanged
}

// Bootstrapped reports whether this proxy has tried to reach the others once, so
// that it may judge what it owns.
func (f *Fleet) Bootstrapped() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.rounds > introductionRounds
}

// HeartbeatCount returns how many heartbeats were sent and answered.
func (f *Fleet) HeartbeatCount() uint64 { return f.messages.Load() }

// Leave tells the others that this proxy leaves.
func (f *Fleet) Leave() {
	f.members.Leave(f.timer.Now())
	f.PushChanges()
}

// PushChanges tells some others at once of what has changed here.
func (f *Fleet) PushChanges() {
	view, _ := f.members.View()
	for _, p := range gossip.RandomPeers(view, f.members.Self().Name, urgentPushes, rand.IntN) {
		f.tasks.GoIsolated("push to "+p.Name, func(ctx context.Context) { f.exchange(ctx, p, false) })
	}
}

// beat sends heartbeats at the pace that the number of proxies asks for.
func (f *Fleet) beat(ctx context.Context) error {
	f.askSeeds(ctx)
	f.awaitHosts(ctx)
	for ctx.Err() == nil {
		view, _ := f.members.View()
		plan := gossip.NewPlan(view, f.members.Self().Name, f.nextRound(), rand.IntN)
		round := task.New(ctx)
		for _, p := range plan.Peers {
			round.GoIsolated("beat "+p.Name, func(ctx context.Context) { f.exchange(ctx, p, true) })
		}
		timer.Pause(ctx, f.timer, plan.Period)
		_ = round.Wait()
	}
	return ctx.Err()
}

// awaitHosts waits a bounded time for the host list, so that a proxy that is
// known to others can take groups over.
func (f *Fleet) awaitHosts(ctx context.Context) {
	limit := f.timer.Once(listPeriod)
	defer limit.Stop()
	for {
		_, ok, changed := f.Hosts()
		if ok || f.directory == nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-limit.C():
			return
		case <-changed:
		}
	}
}

// nextRound counts rounds.
func (f *Fleet) nextRound() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.rounds++
	return f.rounds
}

// exchange sends one heartbeat and takes its answer. With counted, a failure
// counts towards the proxy's death.
func (f *Fleet) exchange(ctx context.Context, p membership.Proxy, counted bool) {
	answer, err := f.send(ctx, p.Address, f.compose(false))
	if ctx.Err() != nil {
		return
	}
	if err != nil || answer.Sender.Name != p.Name {
		if counted {
			f.missed(p)
		}
		return
	}
	f.answered(p)
	f.take(answer)
	f.repair(ctx, p, answer)
}

// send sends and counts one heartbeat.
func (f *Fleet) send(ctx context.Context, address string, b proxy.Heartbeat) (proxy.Heartbeat, error) {
	f.messages.Add(1)
	return f.exchanger.Exchange(ctx, address, b, beatTime)
}

// repair sends what the answer shows that the other proxy lacks.
func (f *Fleet) repair(ctx context.Context, p membership.Proxy, answer proxy.Heartbeat) {
	view, _ := f.members.View()
	current := f.versions.Current()
	differs := answer.Digest != view.Digest()
	if !differs && answer.Version >= current.Version {
		return
	}
	b := f.compose(differs)
	if answer.Version < current.Version {
		b = withConfiguration(b, current)
	}
	full, err := f.send(ctx, p.Address, b)
	if err == nil {
		f.take(full)
	}
}

// compose returns a heartbeat of this proxy; with full, of its whole table.
func (f *Fleet) compose(full bool) proxy.Heartbeat {
	view, _ := f.members.View()
	b := proxy.Heartbeat{
		Sender: f.members.Self(), Digest: view.Digest(), Version: f.versions.Current().Version, Full: full,
	}
	if full {
		b.Changes = view.All()
	} else {
		b.Changes = f.members.Recent(f.timer.Now())
	}
	_, b.WantHosts, _ = f.Hosts()
	b.WantHosts = !b.WantHosts
	return b
}

// withConfiguration returns a heartbeat that carries the configuration.
func withConfiguration(b proxy.Heartbeat, c configuration.Configuration) proxy.Heartbeat {
	b.Configuration = c.Text
	b.ChangeID = c.ChangeID
	b.Version = c.Version
	return b
}

// HandleHeartbeat takes a heartbeat of another proxy and returns the answer.
func (f *Fleet) HandleHeartbeat(b proxy.Heartbeat) proxy.Heartbeat {
	f.messages.Add(1)
	f.answered(b.Sender)
	f.take(b)
	answer := f.compose(b.Full)
	answer.Full = false
	if current := f.versions.Current(); b.Version < current.Version {
		answer = withConfiguration(answer, current)
	}
	if list, ok, _ := f.Hosts(); ok && b.WantHosts {
		if text, err := json.Marshal(list); err == nil {
			answer.Hosts = string(text)
		}
	}
	return answer
}

// take takes what a heartbeat carries.
func (f *Fleet) take(b proxy.Heartbeat) {
	now := f.timer.Now()
	learned := f.members.Merge(append(b.Changes, b.Sender), now)
	if b.Configuration != "" {
		learned = f.Adopt(b.Configuration, b.Version, b.ChangeID) || learned
	}
	if b.Hosts != "" {
		var list hostlist.HostList
		if err := json.Unmarshal([]byte(b.Hosts), &list); err == nil {
			f.setHosts(list, false)
		}
	}
	if learned {
		f.PushChanges()
	}
}

// Adopt puts a configuration into force if it is newer, and reports whether
// it did.
func (f *Fleet) Adopt(text string, version uint64, changeID string) bool {
	if version <= f.versions.Current().Version {
		return false
	}
	parsed, findings := configuration.Parse("configuration", []byte(text))
	if len(findings) > 0 {
		klog.ErrorS(findings.Err(), "Configuration not usable", "Version", version)
		return false
	}
	if !f.versions.Adopt(parsed.WithVersion(version, changeID)) {
		return false
	}
	klog.InfoS("Configuration in force", "Version", version, "ChangeID", changeID)
	return true
}

// answered notes that a proxy is alive.
func (f *Fleet) answered(p membership.Proxy) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	delete(f.misses, p.Name)
}

// missed notes that a proxy did not answer, and marks it dead after too many.
func (f *Fleet) missed(p membership.Proxy) {
	f.mutex.Lock()
	f.misses[p.Name]++
	dead := f.misses[p.Name] >= gossip.MissesUntilDead
	if dead {
		delete(f.misses, p.Name)
	}
	f.mutex.Unlock()
	if !dead || p.State == membership.Dead {
		return
	}
	if f.members.MarkDead(p, f.timer.Now()) {
		klog.InfoS("Proxy does not answer", "Proxy", p.Name)
		f.exchanger.Disconnect(p.Address)
		f.PushChanges()
	}
}

// askSeeds asks the proxies of the settings, so that a new proxy knows the
// system while the platform does not answer.
func (f *Fleet) askSeeds(ctx context.Context) {
	for _, address := range f.seeds {
		answer, err := f.send(ctx, address, f.compose(true))
		if err == nil {
			f.take(answer)
		}
	}
}
