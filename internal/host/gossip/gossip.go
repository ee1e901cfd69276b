// Package gossip exchanges with other proxies what each knows, so that a
// proxy that the store turns away, or that cannot reach some endpoints, still
// learns of configurations, changes of primary and proofs.
package gossip

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/model/heartbeat"
	"eelgrassladder.example/eelgrassladder/internal/model/leader"
	"eelgrassladder.example/eelgrassladder/internal/table/scheduler"
)

const (
	// period is how often a beat is sent, to one proxy after the other. What
	// one proxy knows takes some rounds to reach all; with more than fewProxies
	// of them beats are sent every shortPeriod, so that proofs arrive young
	// enough to spare questions to endpoints.
	period      = 300 * time.Millisecond
	shortPeriod = 150 * time.Millisecond
	fewProxies  = 8
	// limit bounds one exchange.
	limit = 600 * time.Millisecond
	// maxSights bounds an answer, at some 60 bytes each; among more groups a
	// random part is told.
	maxSights = 128
)

// Exchanger sends a beat to the proxy at an address and returns its answer.
type Exchanger interface {
	Exchange(ctx context.Context, address string, b heartbeat.Message) (heartbeat.Message, error)
	// CloseExcept drops the connections to all other addresses.
	CloseExcept(addresses map[string]bool)
}

// ClusterState are what the process takes to be in force.
type ClusterState interface {
	// Groups returns the names of the groups that routes lead to.
	Groups() map[string]bool
	// Name returns the name of this proxy.
	Name() string
	// Proxies returns the addresses of the other proxies by name.
	Proxies() map[string]string
	// Message returns what is told to others, besides primaries and the text of
	// the configuration.
	Message() heartbeat.Message
	// AddConfiguration adds the text to a beat for a proxy that has an older
	// version.
	AddConfiguration(b heartbeat.Message, theirs uint64) heartbeat.Message
	// Receive takes what another proxy has told, besides primaries.
	Receive(b heartbeat.Message)
}

// Gossip exchanges beats. Use New, then Run.
type Gossip struct {
	timer   eelgrassladder.Timer
	clock   eelgrassladder.Clock
	table   *scheduler.Table
	peers   Exchanger
	beliefs ClusterState
	// turn counts beats, so that proxies take turns, and told holds the digest
	// that each partner has told last. Run alone uses them.
	turn int
	told map[string]uint64
}

// New returns a gossip among the proxies that are registered.
func New(t eelgrassladder.Timer, c eelgrassladder.Clock, table *scheduler.Table, x Exchanger, b ClusterState) *Gossip {
	return &Gossip{timer: t, clock: c, table: table, peers: x, beliefs: b, told: map[string]uint64{}}
}

// Run sends beats until ctx ends.
func (g *Gossip) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		wait := period
		if len(g.beliefs.Proxies()) > fewProxies {
			wait = shortPeriod
		}
		timer.Pause(ctx, g.timer, wait)
		g.beat(ctx)
	}
	return ctx.Err()
}

// Answer returns the beat that answers b. Only answers carry the text of a
// configuration: what the asker has is known then, and none is sent twice.
func (g *Gossip) Answer(b heartbeat.Message) heartbeat.Message {
	g.beliefs.Receive(b)
	answer := g.beliefs.AddConfiguration(g.beliefs.Message().ForReceiver(b.Digest), b.Version)
	answer.Primaries = g.sights()
	return answer
}

// beat exchanges one beat with the next proxy.
func (g *Gossip) beat(ctx context.Context) {
	name, address := g.next()
	if address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	sent := g.clock.SinceBoot()
	answer, err := g.peers.Exchange(ctx, address, g.beliefs.Message().ForReceiver(g.told[name]))
	if err != nil {
		delete(g.told, name)
		klog.V(1).InfoS("Beat without an answer", "Proxy", name, "Address", address, "Error", err.Error())
		return
	}
	g.told[name] = answer.Digest
	g.beliefs.Receive(answer)
	g.see(answer, sent)
}

// next returns the proxy whose turn it is.
func (g *Gossip) next() (name, address string) {
	proxies := g.beliefs.Proxies()
	peers := partners(g.beliefs.Name(), proxies)
	if len(peers) == 0 {
		return "", ""
	}
	addresses := make(map[string]bool, len(peers))
	for _, p := range peers {
		addresses[proxies[p]] = true
	}
	g.peers.CloseExcept(addresses)
	maps.DeleteFunc(g.told, func(name string, _ uint64) bool { return !slices.Contains(peers, name) })
	g.turn++
	name = peers[g.turn%len(peers)]
	return name, proxies[name]
}

// sights returns what this proxy knows of primaries that it has proven, and of
// commits that were acknowledged.
func (g *Gossip) sights() []heartbeat.PrimaryReport {
	now := g.clock.SinceBoot()
	var all []heartbeat.PrimaryReport
	for group := range g.beliefs.Groups() {
		if s, ok := sight(group, g.table.Leader(group), now); ok {
			all = append(all, s)
		}
	}
	if len(all) > maxSights {
		rand.Shuffle(len(all), func(i, k int) { all[i], all[k] = all[k], all[i] })
		all = all[:maxSights]
	}
	return all
}

// sight returns what is told of a group, if there is anything to tell.
func sight(group string, l leader.State, now time.Duration) (heartbeat.PrimaryReport, bool) {
	s := heartbeat.PrimaryReport{Group: group, ProofAge: -1}
	if l.Acknowledged.Observed {
		s.Acknowledged, s.AcknowledgedAge = l.Acknowledged.Position, now-l.Acknowledged.At
	}
	if !l.Open() || !l.ProvenAt(now) {
		return s, l.Acknowledged.Observed
	}
	s.Endpoint, s.Term, s.ProofAge = l.Endpoint, l.Term, now-l.Proven
	if asked, p, ok := l.LastSample(); ok {
		s.PositionAge, s.Position = now-asked, p
	}
	return s, true
}

// see takes what an answer to a beat sent at some time tells of primaries.
// The ages in it were counted after that time, so that what they are taken
// off from it is on the safe side.
func (g *Gossip) see(b heartbeat.Message, sent time.Duration) {
	for _, s := range b.Primaries {
		g.table.UpdateLeader(s.Group, func(l leader.State) leader.State {
			if !s.Acknowledged.IsZero() {
				l = l.WithAcknowledged(leader.Acknowledged{Position: s.Acknowledged, Observed: true, Source: b.Sender, At: sent - s.AcknowledgedAge})
			}
			return proven(l, s, sent)
		})
	}
}

// proven is the lead with what a sight proves of its primary.
func proven(l leader.State, s heartbeat.PrimaryReport, sent time.Duration) leader.State {
	if s.ProofAge < 0 || s.PositionAge < 0 || s.Term == 0 || l.Endpoint != s.Endpoint || !l.Open() {
		return l
	}
	if l.Term == 0 {
		l = l.WithTerm(s.Term)
	}
	if l.Term != s.Term {
		return l
	}
	l = l.WithProof(sent - s.ProofAge)
	if s.Position.IsZero() {
		return l
	}
	return l.WithSample(sent-s.PositionAge, s.Position)
}
