// Package fleet keeps this proxy in contact with the other proxies and the
// platform. It exchanges heartbeats, which carry membership, the configuration
// and the host list, and it reads the host list and watches the configuration
// at the platform.
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
	"eelgrassladder.example/eelgrassladder/internal/table/proxies"
)

// The timing and fan-out of heartbeats.
const (
	// heartbeatTimeout bounds the wait for the reply to one heartbeat.
	heartbeatTimeout = 300 * time.Millisecond
	// hostListPeriod is the interval at which the host list is read.
	hostListPeriod = 2 * time.Second
	// bootstrapRounds is the number of heartbeat rounds after which a new
	// proxy may own groups.
	bootstrapRounds = 2
	// pushTargets is the number of random proxies that receive a change without
	// waiting for the next round.
	pushTargets = 3
)

// Exchanger sends heartbeats to other proxies.
type Exchanger interface {
	// Exchange sends a heartbeat to an address and returns the reply. It waits
	// for the reply for at most limit.
	Exchange(ctx context.Context, address string, h proxy.Heartbeat, limit time.Duration) (proxy.Heartbeat, error)
	// Disconnect closes the connections to the proxy at an address.
	Disconnect(address string)
}

// Fleet maintains this proxy's view of the other proxies, the configuration
// and the host list. Use New to create one, then Start.
type Fleet struct {
	timer          eelgrassladder.Timer
	exchanger      Exchanger
	directory      eelgrassladder.Directory
	store          eelgrassladder.Store
	proxies        *proxies.Table
	configurations *configurations.Table
	// seeds are the addresses of other proxies from the settings of this
	// process.
	seeds []string
	tasks *task.Group

	// heartbeats counts the heartbeats sent, and those received from proxies
	// that sent them unasked; replies do not count.
	heartbeats atomic.Uint64

	// mutex guards the fields below. No other lock is taken while it is held.
	mutex sync.Mutex
	// missedHeartbeats counts consecutive heartbeats without a reply, keyed by
	// the name of the proxy.
	missedHeartbeats map[string]int
	// hosts is the latest host list. It is valid only if hostsRead is true.
	hosts     hostlist.HostList
	hostsRead bool
	// hostsChanged is closed and replaced when the first host list is set, and
	// when a later one has other groups.
	hostsChanged chan struct{}
	// rounds counts the heartbeat rounds that have started.
	rounds int
}

// Option configures a Fleet in New.
type Option func(*Fleet)

// WithSeeds sets the addresses of proxies that are contacted at the start, so
// that the proxy can join the others while the platform does not answer.
func WithSeeds(addresses []string) Option { return func(f *Fleet) { f.seeds = addresses } }

// WithPlatform sets the sources of the host list and the configuration.
// Without it the fleet receives both from other proxies only.
func WithPlatform(d eelgrassladder.Directory, s eelgrassladder.Store) Option {
	return func(f *Fleet) {
		f.directory = d
		f.store = s
	}
}

// New returns a fleet. It sends nothing before Start.
func New(t eelgrassladder.Timer, e Exchanger, p *proxies.Table, c *configurations.Table, options ...Option) *Fleet {
	f := &Fleet{
		timer: t, exchanger: e, proxies: p, configurations: c,
		missedHeartbeats: map[string]int{}, hostsChanged: make(chan struct{}),
	}
	for _, o := range options {
		o(f)
	}
	return f
}

// Start runs the fleet's goroutines in the group.
func (f *Fleet) Start(g *task.Group) {
	f.tasks = g
	g.Go("heartbeats", f.runHeartbeats)
	if f.directory != nil {
		g.Go("host list", f.pollHosts)
		g.Go("configuration", f.watchConfiguration)
	}
}

// Hosts returns the latest host list and whether there is one. The channel is
// closed when the first host list is set or the list's groups change.
func (f *Fleet) Hosts() (hostlist.HostList, bool, <-chan struct{}) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.hosts, f.hostsRead, f.hostsChanged
}

// Bootstrapped reports whether enough heartbeat rounds have run for this proxy
// to decide which groups it owns.
func (f *Fleet) Bootstrapped() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.rounds > bootstrapRounds
}

// HeartbeatCount returns the number of heartbeats sent and received, without
// replies.
func (f *Fleet) HeartbeatCount() uint64 { return f.heartbeats.Load() }

// Leave marks this proxy as leaving and pushes the change to other proxies.
func (f *Fleet) Leave() {
	f.proxies.Leave(f.timer.Now())
	f.PushChanges()
}

// PushChanges pushes recent changes to a few random proxies without waiting
// for the next round.
func (f *Fleet) PushChanges() {
	view, _ := f.proxies.View()
	for _, p := range gossip.RandomPeers(view, f.proxies.Self().Name, pushTargets, rand.IntN) {
		f.tasks.GoIsolated("push to "+p.Name, func(ctx context.Context) { f.exchange(ctx, p, false) })
	}
}

// runHeartbeats sends rounds of heartbeats until ctx ends. The period and the
// receivers of a round depend on the number of proxies.
func (f *Fleet) runHeartbeats(ctx context.Context) error {
	f.contactSeeds(ctx)
	f.awaitHosts(ctx)
	for ctx.Err() == nil {
		view, _ := f.proxies.View()
		plan := gossip.NewPlan(view, f.proxies.Self().Name, f.nextRound(), rand.IntN)
		round := task.New(ctx)
		for _, p := range plan.Peers {
			round.GoIsolated("heartbeat to "+p.Name, func(ctx context.Context) { f.exchange(ctx, p, true) })
		}
		timer.Pause(ctx, f.timer, plan.Period)
		_ = round.Wait()
	}
	return ctx.Err()
}

// awaitHosts waits for the first host list, at most hostListPeriod. Once this
// proxy sends heartbeats, others may hand groups over to it, and it can take over
// only groups of the host list.
func (f *Fleet) awaitHosts(ctx context.Context) {
	timeout := f.timer.Once(hostListPeriod)
	defer timeout.Stop()
	for {
		_, ok, changed := f.Hosts()
		if ok || f.directory == nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-timeout.C():
			return
		case <-changed:
		}
	}
}

// nextRound counts a round and returns its number, starting with 1.
func (f *Fleet) nextRound() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.rounds++
	return f.rounds
}

// exchange sends a heartbeat to a proxy, applies the reply, and sends what the
// proxy lacks. If counted is true, a failure counts as a missed heartbeat.
func (f *Fleet) exchange(ctx context.Context, p membership.Proxy, counted bool) {
	reply, err := f.send(ctx, p.Address, f.composeHeartbeat(false))
	if ctx.Err() != nil {
		return
	}
	if err != nil || reply.Sender.Name != p.Name {
		if counted {
			f.recordMiss(p)
		}
		return
	}
	f.clearMisses(p)
	f.applyHeartbeat(reply)
	f.sendMissing(ctx, p, reply)
}

// send counts and sends one heartbeat, and returns the reply.
func (f *Fleet) send(ctx context.Context, address string, h proxy.Heartbeat) (proxy.Heartbeat, error) {
	f.heartbeats.Add(1)
	return f.exchanger.Exchange(ctx, address, h, heartbeatTimeout)
}

// sendMissing sends the proxy what it lacks according to the heartbeat received
// from it: all known proxies if the digests differ, and a newer configuration. It
// applies the reply.
func (f *Fleet) sendMissing(ctx context.Context, p membership.Proxy, received proxy.Heartbeat) {
	view, _ := f.proxies.View()
	current := f.configurations.Current()
	differs := received.Digest != view.Digest()
	if !differs && received.ConfigurationVersion >= current.Version {
		return
	}
	h := f.composeHeartbeat(differs)
	if received.ConfigurationVersion < current.Version {
		h = withConfiguration(h, current)
	}
	reply, err := f.send(ctx, p.Address, h)
	if err == nil {
		f.applyHeartbeat(reply)
	}
}

// composeHeartbeat returns a heartbeat with the recent membership changes or,
// if full is true, all known proxies. It requests the host list if there is none.
func (f *Fleet) composeHeartbeat(full bool) proxy.Heartbeat {
	view, _ := f.proxies.View()
	h := proxy.Heartbeat{
		Sender: f.proxies.Self(), Digest: view.Digest(), ConfigurationVersion: f.configurations.Current().Version, Full: full,
	}
	if full {
		h.Changes = view.All()
	} else {
		h.Changes = f.proxies.Recent(f.timer.Now())
	}
	_, h.WantHosts, _ = f.Hosts() // whether there is a host list; inverted below
	h.WantHosts = !h.WantHosts
	return h
}

// withConfiguration returns the heartbeat with the configuration added.
func withConfiguration(h proxy.Heartbeat, c configuration.Configuration) proxy.Heartbeat {
	h.Configuration = c.Text
	h.ChangeID = c.ChangeID
	h.ConfigurationVersion = c.Version
	return h
}

// HandleHeartbeat applies a heartbeat from another proxy and returns the reply.
func (f *Fleet) HandleHeartbeat(h proxy.Heartbeat) proxy.Heartbeat {
	f.heartbeats.Add(1)
	f.clearMisses(h.Sender)
	f.applyHeartbeat(h)
	reply := f.composeHeartbeat(h.Full)
	reply.Full = false // a reply asks for no answer
	if current := f.configurations.Current(); h.ConfigurationVersion < current.Version {
		reply = withConfiguration(reply, current)
	}
	if list, ok, _ := f.Hosts(); ok && h.WantHosts {
		if text, err := json.Marshal(list); err == nil {
			reply.Hosts = string(text)
		}
	}
	return reply
}

// applyHeartbeat applies the membership, configuration and host list of a
// heartbeat. If membership or configuration changed, it pushes the change.
func (f *Fleet) applyHeartbeat(h proxy.Heartbeat) {
	now := f.timer.Now()
	changed := f.proxies.Merge(append(h.Changes, h.Sender), now)
	if h.Configuration != "" {
		changed = f.Adopt(h.Configuration, h.ConfigurationVersion, h.ChangeID) || changed
	}
	if h.Hosts != "" {
		var list hostlist.HostList
		if err := json.Unmarshal([]byte(h.Hosts), &list); err == nil {
			f.setHosts(list, false)
		}
	}
	if changed {
		f.PushChanges()
	}
}

// Adopt applies the text of a configuration if it is valid and its version is
// newer than the current one. It reports whether it did.
func (f *Fleet) Adopt(text string, version uint64, changeID string) bool {
	if version <= f.configurations.Current().Version {
		return false
	}
	parsed, findings := configuration.Parse("configuration", []byte(text))
	if len(findings) > 0 {
		klog.ErrorS(findings.Err(), "Configuration was not applied, because it is invalid", "Version", version)
		return false
	}
	if !f.configurations.Adopt(parsed.WithVersion(version, changeID)) {
		return false
	}
	klog.InfoS("Configuration applied", "Version", version, "ChangeID", changeID)
	return true
}

// clearMisses resets the count of missed heartbeats of a proxy.
func (f *Fleet) clearMisses(p membership.Proxy) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	delete(f.missedHeartbeats, p.Name)
}

// recordMiss counts a missed heartbeat and declares the proxy dead after
// gossip.MissesUntilDead in a row.
func (f *Fleet) recordMiss(p membership.Proxy) {
	f.mutex.Lock()
	f.missedHeartbeats[p.Name]++
	dead := f.missedHeartbeats[p.Name] >= gossip.MissesUntilDead
	if dead {
		delete(f.missedHeartbeats, p.Name)
	}
	f.mutex.Unlock()
	if !dead || p.State == membership.Dead {
		return
	}
	if f.proxies.MarkDead(p, f.timer.Now()) {
		klog.InfoS("Proxy does not answer", "Proxy", p.Name)
		f.exchanger.Disconnect(p.Address)
		f.PushChanges()
	}
}

// contactSeeds exchanges heartbeats with the seeds, so that a new proxy learns
// the membership while the platform does not answer.
func (f *Fleet) contactSeeds(ctx context.Context) {
	for _, address := range f.seeds {
		reply, err := f.send(ctx, address, f.composeHeartbeat(true))
		if err == nil {
			f.applyHeartbeat(reply)
		}
	}
}
