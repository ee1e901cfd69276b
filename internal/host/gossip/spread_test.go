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
	"eelgrassladder.example/eelgrassladder/internal/model/leadership"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/policy/failover"
	"eelgrassladder.example/eelgrassladder/internal/table/scheduler"
)

// connectedProxy is one of many proxies whose addresses are their names. It is the
// ClusterState and the Exchanger of its Gossip.
type connectedProxy struct {
	name    string
	gossip  *Gossip
	table   *scheduler.Table
	proxies map[string]*connectedProxy
	others  map[string]string
	groups  map[string]bool
}

func (p *connectedProxy) Groups() map[string]bool { return p.groups }

func (p *connectedProxy) Name() string { return p.name }

func (p *connectedProxy) Proxies() map[string]string  { return p.others }
func (p *connectedProxy) CloseExcept(map[string]bool) {}
func (p *connectedProxy) Record(group string) leadership.Record {
	return leadership.Record{Group: group}
}

func (p *connectedProxy) AddConfiguration(m heartbeat.Message, _ uint64) heartbeat.Message { return m }

func (p *connectedProxy) Message() heartbeat.Message { return heartbeat.Message{Sender: p.name} }
func (p *connectedProxy) Receive(heartbeat.Message)  {}
func (p *connectedProxy) Exchange(_ context.Context, address string, m heartbeat.Message) (heartbeat.Message, error) {
	return p.proxies[address].gossip.Answer(m), nil
}

// roundsToSpread returns the numbers of rounds after which half of the proxies, and all of
// them, know a position that one of them has learned. In a round, each proxy makes one
// exchange. It gives up after 500 rounds.
func roundsToSpread(proxies, groups int) (half, all int) {
	proxyByName := map[string]*connectedProxy{}
	names := make([]string, proxies)
	for i := range names {
		names[i] = fmt.Sprintf("p%04d", i)
	}
	groupNames := map[string]bool{}
	for i := range groups {
		groupNames[fmt.Sprintf("group-%d", i)] = true
	}
	t := timer.NewManual(time.Unix(1000, 0))
	for _, n := range names {
		p := &connectedProxy{name: n, proxies: proxyByName, others: map[string]string{}, groups: groupNames, table: scheduler.New(t, fixedClock{}, "here")}
		for _, o := range names {
			if o != n {
				p.others[o] = o
			}
		}
		for g := range groupNames {
			p.table.UpdateLeader(g, func(l leader.State) leader.State {
				return l.WithPrimary("p", 1, time.Hour).WithAcknowledged(leader.Acknowledged{Position: position.Position{Term: 1, Log: 1}, Observed: true})
			})
		}
		p.gossip = New(t, fixedClock{}, p.table, p, p)
		p.gossip.turn = rand.IntN(100)
		proxyByName[n] = p
	}
	newest := position.Position{Term: 1, Log: 2}
	proxyByName[names[0]].table.UpdateLeader("group-0", func(l leader.State) leader.State {
		return l.WithAcknowledged(leader.Acknowledged{Position: newest, Observed: true})
	})
	for round := 1; ; round++ {
		rand.Shuffle(len(names), func(i, k int) { names[i], names[k] = names[k], names[i] })
		informed := 0
		for _, n := range names {
			proxyByName[n].gossip.exchange(context.Background())
		}
		for _, p := range proxyByName {
			if p.table.Leader("group-0").Acknowledged.Position == newest {
				informed++
			}
		}
		if half == 0 && 2*informed >= proxies {
			half = round
		}
		if informed == proxies || round == 500 {
			return half, round
		}
	}
}

// TestAnAcknowledgedPositionReachesAllProxiesInTime checks that a position reaches
// all proxies within failover.OldPrimaryWait, after which a change of primary
// relies on the positions that proxies know.
func TestAnAcknowledgedPositionReachesAllProxiesInTime(t *testing.T) {
	for _, c := range []struct{ proxies, groups int }{{5, 3}, {30, 40}, {100, 128}, {100, 610}, {430, 610}} {
		wait := interval
		if c.proxies-1 > fewProxies {
			wait = shortInterval
		}
		half, all := roundsToSpread(c.proxies, c.groups)
		took := time.Duration(all) * wait
		t.Logf("%d proxies, %d groups: half know after %v, all after %v", c.proxies, c.groups, time.Duration(half)*wait, took)
		assert.Check(t, took <= failover.OldPrimaryWait, "%d proxies, %d groups: %v", c.proxies, c.groups, took)
	}
}
