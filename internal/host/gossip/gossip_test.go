package gossip

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/model/heartbeat"
	"eelgrassladder.example/eelgrassladder/internal/model/leader"
	"eelgrassladder.example/eelgrassladder/internal/table/scheduler"
)

// frozen is a boot clock that stands still.
type frozen struct{}

func (frozen) SinceBoot() time.Duration { return time.Hour }

// proxy is a proxy with some records, and the only partner of another.
type proxy struct {
	gossip  *Gossip
	partner *proxy
	groups  map[string]bool
	records map[string]heartbeat.Record
	// sent and answered are the last beats of either kind.
	sent, answered heartbeat.Message
}

func newProxy(groups int) *proxy {
	p := &proxy{groups: map[string]bool{}, records: map[string]heartbeat.Record{}}
	t := timer.NewManual(time.Unix(1000, 0))
	table := scheduler.New(t, frozen{}, "here")
	for i := range groups {
		name := fmt.Sprintf("group-%d", i)
		p.groups[name] = true
		table.UpdateLeader(name, func(l leader.State) leader.State {
			return l.WithPrimary("p", 1, time.Hour).WithProof(time.Hour)
		})
	}
	p.gossip = New(t, frozen{}, table, p, p)
	return p
}

func (p *proxy) Groups() map[string]bool     { return p.groups }
func (p *proxy) Name() string                { return "self" }
func (p *proxy) Proxies() map[string]string  { return map[string]string{"partner": "address"} }
func (p *proxy) CloseExcept(map[string]bool) {}

func (p *proxy) AddConfiguration(b heartbeat.Message, _ uint64) heartbeat.Message { return b }

func (p *proxy) Message() heartbeat.Message {
	var all []heartbeat.Record
	for _, r := range p.records {
		all = append(all, r)
	}
	return heartbeat.Message{Sender: "self"}.WithRecords(all)
}

func (p *proxy) Receive(b heartbeat.Message) {
	for _, r := range b.Records {
		if r.Revision > p.records[r.Group].Revision {
			p.records[r.Group] = r
		}
	}
}

func (p *proxy) Exchange(_ context.Context, _ string, b heartbeat.Message) (heartbeat.Message, error) {
	p.sent = b
	p.answered = p.partner.gossip.Answer(b)
	return p.answered, nil
}

func TestRecordsTravelOnlyBetweenProxiesThatDiffer(t *testing.T) {
	one, other := newProxy(1), newProxy(1)
	one.partner = other
	beat := func() { one.gossip.beat(context.Background()) }
	change := func(p *proxy, group string, revision uint64) {
		p.records[group] = recordOf(group, revision)
	}

	change(one, "a", 5)
	beat()
	assert.Equal(t, other.records["a"].Revision, uint64(5), "what the asker has reaches the asked")
	beat()
	assert.Equal(t, len(one.sent.Records)+len(one.answered.Records), 0, "both have the same")

	change(other, "b", 6)
	beat()
	assert.Equal(t, one.records["b"].Revision, uint64(6), "what the asked has reaches the asker")
	beat()
	assert.Equal(t, len(one.sent.Records)+len(one.answered.Records), 0)

	change(one, "a", 7)
	beat()
	assert.Equal(t, other.records["a"].Revision, uint64(7))
	change(other, "b", 8)
	change(one, "b", 9)
	beat()
	beat()
	assert.Equal(t, other.records["b"].Revision, uint64(9), "the later record stays")
	assert.Equal(t, one.records["b"].Revision, uint64(9))
}

// recordOf returns a record of a group.
func recordOf(group string, revision uint64) heartbeat.Record {
	return heartbeat.Record{Group: group, Revision: revision, Value: []byte("{}")}
}

func TestAnAnswerIsBounded(t *testing.T) {
	p := newProxy(3 * maxSights)
	first, second := p.gossip.Answer(heartbeat.Message{}).Primaries, p.gossip.Answer(heartbeat.Message{}).Primaries
	assert.Equal(t, len(first), maxSights)
	same := 0
	for i := range first {
		if first[i].Group == second[i].Group {
			same++
		}
	}
	assert.Assert(t, same < maxSights/2, "each answer tells another part")
	assert.Equal(t, len(newProxy(8).gossip.Answer(heartbeat.Message{}).Primaries), 8)
}
