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
	interval      = 300 * time.Millisecond
	shortInterval = 150 * time.Millisecond
	fewProxies    = 8
	// limit bounds one exchange.
	exchangeTimeout = 600 * time.Millisecond
	// maxSights bounds an answer, at some 60 bytes each; among more groups a
	// random part is told.
	maxReports = 128
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
	Configuration(b beat.Beat, receiverVersion uint64) beat.Beat
	// Heard takes what another proxy has told, besides primaries.
	Heard(b beat.Beat)
}

// Gossip exchanges beats. Use New, then Run.
type Gossip struct {
	timer     eelgrassladder.Timer
	clock     eelgrassladder.Clock
	table     *work.Table
	exchanger Exchanger
	beliefs   Beliefs
	// turn counts beats, so that proxies take turns, and told holds the digest
	// that each partner has told last. Run alone uses them.
	turn    int
	digests map[string]uint64
}

// New returns a gossip among the proxies that are registered.
func New(t eelgrassladder.Timer, c eelgrassladder.Clock, table *work.Table, x Exchanger, b Beliefs) *Gossip {
	return &Gossip{timer: t, clock: c, table: table, exchanger: x, beliefs: b, digests: map[string]uint64{}}
}

// Run sends beats until ctx ends.
func (g *Gossip) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		wait := interval
		if len(g.beliefs.Proxies()) > fewProxies {
			wait = shortInterval
		}
		timer.Pause(ctx, g.timer, wait)
		g.exchange(ctx)
	}
	return ctx.Err()
}

// Answer returns the beat that answers b. Only answers carry the text of a
// configuration: what the asker has is known then, and none is sent twice.
func (g *Gossip) Answer(b beat.Beat) beat.Beat {
	g.beliefs.Heard(b)
	answer := g.beliefs.Configuration(g.beliefs.Beat().For(b.Digest), b.Version)
	answer.Sights = g.reports()
	return answer
}

// beat exchanges one beat with the next proxy.
func (g *Gossip) exchange(ctx context.Context) {
	name, address := g.next()
	if address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	sent := g.clock.Boot()
	answer, err := g.exchanger.Exchange(ctx, address, g.beliefs.Beat().For(g.digests[name]))
	if err != nil {
		delete(g.digests, name)
		klog.V(1).InfoS("Beat without an answer", "Proxy", name, "Address", address, "Error", err.Error())
		return
	}
	g.digests[name] = answer.Digest
	g.beliefs.Heard(answer)
	g.learn(answer, sent)
}

// next returns the proxy whose turn it is.
func (g *Gossip) next() (name, address string) {
	proxies := g.beliefs.Proxies()
	chosen := partners(g.beliefs.Name(), proxies)
	if len(chosen) == 0 {
		return "", ""
	}
	addresses := make(map[string]bool, len(chosen))
	for _, p := range chosen {
		addresses[proxies[p]] = true
	}
	g.exchanger.Keep(addresses)
	maps.DeleteFunc(g.digests, func(name string, _ uint64) bool { return !slices.Contains(chosen, name) })
	g.turn++
	name = chosen[g.turn%len(chosen)]
	return name, proxies[name]
}

// sights returns what this proxy knows of primaries that it has proven, and of
// commits that were acknowledged.
func (g *Gossip) reports() []beat.Sight {
	now := g.clock.Boot()
	var all []beat.Sight
	for group := range g.beliefs.Groups() {
		if r, ok := report(group, g.table.Lead(group), now); ok {
			all = append(all, r)
		}
	}
	if len(all) > maxReports {
		rand.Shuffle(len(all), func(i, k int) { all[i], all[k] = all[k], all[i] })
		all = all[:maxReports]
	}
	return all
}

// sight returns what is told of a group, if there is anything to tell.
func report(group string, l lead.Lead, now time.Duration) (beat.Sight, bool) {
	r := beat.Sight{Group: group, Proven: -1}
	if l.Kept.Told {
		r.Kept, r.KeptAge = l.Kept.Position, now-l.Kept.At
	}
	if !l.Open() || !l.Valid(now) {
		return r, l.Kept.Told
	}
	r.Endpoint, r.Term, r.Proven = l.Endpoint, l.Term, now-l.Proven
	if asked, p, ok := l.Last(); ok {
		r.Asked, r.Position = now-asked, p
	}
	return r, true
}

// see takes what an answer to a beat sent at some time tells of primaries.
// The ages in it were counted after that time, so that what they are taken
// off from it is on the safe side.
func (g *Gossip) learn(b beat.Beat, sent time.Duration) {
	for _, r := range b.Sights {
		g.table.Change(r.Group, func(l lead.Lead) lead.Lead {
			if !r.Kept.IsZero() {
				l = l.WithKept(lead.Kept{Position: r.Kept, Told: true, Source: b.Sender, At: sent - r.KeptAge})
			}
			return withReport(l, r, sent)
		})
	}
}

// proven is the lead with what a sight proves of its primary.
func withReport(l lead.Lead, r beat.Sight, sent time.Duration) lead.Lead {
	if r.Proven < 0 || r.Asked < 0 || r.Term == 0 || l.Endpoint != r.Endpoint || !l.Open() {
		return l
	}
	if l.Term == 0 {
		l = l.WithTerm(r.Term)
	}
	if l.Term != r.Term {
		return l
	}
	l = l.WithProof(sent - r.Proven)
	if r.Position.IsZero() {
		return l
	}
	return l.WithSample(sent-r.Asked, r.Position)
}
