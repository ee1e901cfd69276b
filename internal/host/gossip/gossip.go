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
	"eelgrassladder.example/eelgrassladder/internal/table/work"
	"eelgrassladder.example/eelgrassladder/internal/trade/beat"
	"eelgrassladder.example/eelgrassladder/internal/trade/lead"
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
	Exchange(ctx context.Context, address string, b beat.Beat) (beat.Beat, error)
	// Keep drops the connections to all other addresses.
	Keep(addresses map[string]bool)
}

// Beliefs are what the process takes to be in force.
type Beliefs interface {
	// Groups returns the names of the groups that routes lead to.
	Groups() map[string]bool
	// Name returns the name of this proxy.
	Name() string
	// Proxies returns the addresses of the other proxies by name.
	Proxies() map[string]string
	// Beat returns what is told to others, besides primaries and the text of
	// the configuration.
	Beat() beat.Beat
	// Configuration adds the text to a beat for a proxy that has an older
	// version.
	Configuration(b beat.Beat, theirs uint64) beat.Beat
	// Heard takes what another proxy has told, besides primaries.
	Heard(b beat.Beat)
}

// Gossip exchanges beats. Use New, then Run.
type Gossip struct {
	timer   eelgrassladder.Timer
	clock   eelgrassladder.Clock
	table   *work.Table
	peers   Exchanger
	beliefs Beliefs
	// turn counts beats, so that proxies take turns, and told holds the digest
	// that each partner has told last. Run alone uses them.
	turn int
	told map[string]uint64
}

// New returns a gossip among the proxies that are registered.
func New(t eelgrassladder.Timer, c eelgrassladder.Clock, table *work.Table, x Exchanger, b Beliefs) *Gossip {
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
func (g *Gossip) Answer(b beat.Beat) beat.Beat {
	g.beliefs.Heard(b)
	answer := g.beliefs.Configuration(g.beliefs.Beat().For(b.Digest), b.Version)
	answer.Sights = g.sights()
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
	sent := g.clock.Boot()
	answer, err := g.peers.Exchange(ctx, address, g.beliefs.Beat().For(g.told[name]))
	if err != nil {
		delete(g.told, name)
		klog.V(1).InfoS("Beat without an answer", "Proxy", name, "Address", address, "Error", err.Error())
		return
	}
	g.told[name] = answer.Digest
	g.beliefs.Heard(answer)
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
	g.peers.Keep(addresses)
	maps.DeleteFunc(g.told, func(name string, _ uint64) bool { return !slices.Contains(peers, name) })
	g.turn++
	name = peers[g.turn%len(peers)]
	return name, proxies[name]
}

// sights returns what this proxy knows of primaries that it has proven, and of
// commits that were acknowledged.
func (g *Gossip) sights() []beat.Sight {
	now := g.clock.Boot()
	var all []beat.Sight
	for group := range g.beliefs.Groups() {
		if s, ok := sight(group, g.table.Lead(group), now); ok {
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
func sight(group string, l lead.Lead, now time.Duration) (beat.Sight, bool) {
	s := beat.Sight{Group: group, Proven: -1}
	if l.Kept.Told {
		s.Kept, s.KeptAge = l.Kept.Position, now-l.Kept.At
	}
	if !l.Open() || !l.Valid(now) {
		return s, l.Kept.Told
	}
	s.Endpoint, s.Term, s.Proven = l.Endpoint, l.Term, now-l.Proven
	if asked, p, ok := l.Last(); ok {
		s.Asked, s.Position = now-asked, p
	}
	return s, true
}

// see takes what an answer to a beat sent at some time tells of primaries.
// The ages in it were counted after that time, so that what they are taken
// off from it is on the safe side.
func (g *Gossip) see(b beat.Beat, sent time.Duration) {
	for _, s := range b.Sights {
		g.table.Change(s.Group, func(l lead.Lead) lead.Lead {
			if !s.Kept.IsZero() {
				l = l.WithKept(lead.Kept{Position: s.Kept, Told: true, Source: b.Sender, At: sent - s.KeptAge})
			}
			return proven(l, s, sent)
		})
	}
}

// proven is the lead with what a sight proves of its primary.
func proven(l lead.Lead, s beat.Sight, sent time.Duration) lead.Lead {
	if s.Proven < 0 || s.Asked < 0 || s.Term == 0 || l.Endpoint != s.Endpoint || !l.Open() {
		return l
	}
	if l.Term == 0 {
		l = l.WithTerm(s.Term)
	}
	if l.Term != s.Term {
		return l
	}
	l = l.WithProof(sent - s.Proven)
	if s.Position.IsZero() {
		return l
	}
	return l.WithSample(sent-s.Asked, s.Position)
}
