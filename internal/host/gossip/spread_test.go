package gossip

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/model/heartbeat"
	"eelgrassladder.example/eelgrassladder/internal/model/leader"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/policy/failover"
	"eelgrassladder.example/eelgrassladder/internal/table/scheduler"
)

// swarmProxy is one of many proxies that reach each other by name.
type swarmProxy struct {
	name   string
	gossip *Gossip
	table  *scheduler.Table
	all    map[string]*swarmProxy
	others map[string]string
	groups map[string]bool
}

func (p *swarmProxy) Groups() map[string]bool { return p.groups }

func (p *swarmProxy) Name() string { return p.name }

func (p *swarmProxy) Proxies() map[string]string                                       { return p.others }
func (p *swarmProxy) CloseExcept(map[string]bool)                                      {}
func (p *swarmProxy) AddConfiguration(b heartbeat.Message, _ uint64) heartbeat.Message { return b }
func (p *swarmProxy) Message() heartbeat.Message                                       { return heartbeat.Message{Sender: p.name} }
func (p *swarmProxy) Receive(heartbeat.Message)                                        {}
func (p *swarmProxy) Exchange(_ context.Context, address string, b heartbeat.Message) (heartbeat.Message, error) {
	return p.all[address].gossip.Answer(b), nil
}

// spread returns after how many rounds of beats half of the proxies, and all,
// know a position that one of them was told.
func spread(proxies, groups int) (half, all int) {
	swarm := map[string]*swarmProxy{}
	names := make([]string, proxies)
	for i := range names {
		names[i] = fmt.Sprintf("p%04d", i)
	}
	known := map[string]bool{}
	for i := range groups {
		known[fmt.Sprintf("group-%d", i)] = true
	}
	t := timer.NewManual(time.Unix(1000, 0))
	for _, n := range names {
		p := &swarmProxy{name: n, all: swarm, others: map[string]string{}, groups: known, table: scheduler.New(t, frozen{}, "here")}
		for _, o := range names {
			if o != n {
				p.others[o] = o
			}
		}
		for g := range known {
			p.table.UpdateLeader(g, func(l leader.State) leader.State {
				return l.WithPrimary("p", 1, time.Hour).WithAcknowledged(leader.Acknowledged{Position: position.Position{Term: 1, Log: 1}, Observed: true})
			})
		}
		p.gossip = New(t, frozen{}, p.table, p, p)
		p.gossip.turn = rand.IntN(100)
		swarm[n] = p
	}
	newest := position.Position{Term: 1, Log: 2}
	swarm[names[0]].table.UpdateLeader("group-0", func(l leader.State) leader.State {
		return l.WithAcknowledged(leader.Acknowledged{Position: newest, Observed: true})
	})
	for round := 1; ; round++ {
		rand.Shuffle(len(names), func(i, k int) { names[i], names[k] = names[k], names[i] })
		knows := 0
		for _, n := range names {
			swarm[n].gossip.beat(context.Background())
		}
		for _, p := range swarm {
			if p.table.Leader("group-0").Acknowledged.Position == newest {
				knows++
			}
		}
		if half == 0 && 2*knows >= proxies {
			half = round
		}
		if knows == proxies || round == 500 {
			return half, round
		}
	}
}

// TestAKeptPositionReachesAllProxiesInTime holds the beats to the time after
// which a change relies on what proxies were told.
func TestAKeptPositionReachesAllProxiesInTime(t *testing.T) {
	for _, c := range []struct{ proxies, groups int }{{5, 3}, {30, 40}, {100, 128}, {100, 610}, {430, 610}} {
		wait := period
		if c.proxies-1 > fewProxies {
			wait = shortPeriod
		}
		half, all := spread(c.proxies, c.groups)
		took := time.Duration(all) * wait
		t.Logf("%d proxies, %d groups: half know after %v, all after %v", c.proxies, c.groups, time.Duration(half)*wait, took)
		assert.Check(t, took <= failover.OldPrimaryWait, "%d proxies, %d groups: %v", c.proxies, c.groups, took)
	}
}
