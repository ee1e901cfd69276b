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
	"eelgrassladder.example/eelgrassladder/internal/model/leadership"
	"eelgrassladder.example/eelgrassladder/internal/model/revision"
	"eelgrassladder.example/eelgrassladder/internal/table/scheduler"
)

// fixedClock is a boot clock that stands still.
type fixedClock struct{}

func (fixedClock) SinceBoot() time.Duration { return time.Hour }

// fakeProxy is a proxy with records and with one partner. It is the ClusterState and the
// Exchanger of its Gossip.
type fakeProxy struct {
	gossip  *Gossip
	partner *fakeProxy
	groups  map[string]bool
	records map[string]heartbeat.Record
	// sent is the last message sent, and answer the partner's answer to it.
	sent, answer heartbeat.Message
}

// newFakeProxy returns a proxy that has a proof of the primary of each group.
func newFakeProxy(groups int) *fakeProxy {
	p := &fakeProxy{groups: map[string]bool{}, records: map[string]heartbeat.Record{}}
	t := timer.NewManual(time.Unix(1000, 0))
	table := scheduler.New(t, fixedClock{}, "here")
	for i := range groups {
		name := fmt.Sprintf("group-%d", i)
		p.groups[name] = true
		table.UpdateLeader(name, func(l leader.State) leader.State {
			return l.WithPrimary("p", 1, time.Hour).WithProof(time.Hour)
		})
	}
	p.gossip = New(t, fixedClock{}, table, p, p)
	return p
}

func (p *fakeProxy) Groups() map[string]bool     { return p.groups }
func (p *fakeProxy) Name() string                { return "self" }
func (p *fakeProxy) Proxies() map[string]string  { return map[string]string{"partner": "address"} }
func (p *fakeProxy) CloseExcept(map[string]bool) {}

func (p *fakeProxy) Record(group string) leadership.Record {
	return leadership.Record{Group: group, Revision: p.records[group].Revision}
}

func (p *fakeProxy) AddConfiguration(m heartbeat.Message, _ uint64) heartbeat.Message { return m }

func (p *fakeProxy) Message() heartbeat.Message {
	var records []heartbeat.Record
	for _, r := range p.records {
		records = append(records, r)
	}
	return heartbeat.Message{Sender: "self"}.WithRecords(records)
}

func (p *fakeProxy) Receive(m heartbeat.Message) {
	for _, r := range m.Records {
		if r.Revision > p.records[r.Group].Revision {
			p.records[r.Group] = r
		}
	}
}

func (p *fakeProxy) Exchange(_ context.Context, _ string, m heartbeat.Message) (heartbeat.Message, error) {
	p.sent = m
	p.answer = p.partner.gossip.Answer(m)
	return p.answer, nil
}

func TestRecordsAreSentOnlyIfTheProxiesHaveDifferentOnes(t *testing.T) {
	sender, partner := newFakeProxy(1), newFakeProxy(1)
	sender.partner = partner
	exchange := func() { sender.gossip.exchange(context.Background()) }
	change := func(p *fakeProxy, group string, written revision.Revision) {
		p.records[group] = recordOf(group, written)
	}

	change(sender, "a", 5)
	exchange()
	assert.Equal(t, partner.records["a"].Revision, revision.Revision(5), "the answering proxy has the sender's record")
	exchange()
	assert.Equal(t, len(sender.sent.Records)+len(sender.answer.Records), 0, "both have the same records")

	change(partner, "b", 6)
	exchange()
	assert.Equal(t, sender.records["b"].Revision, revision.Revision(6), "the sender has the answering proxy's record")
	exchange()
	assert.Equal(t, len(sender.sent.Records)+len(sender.answer.Records), 0)

	change(sender, "a", 7)
	exchange()
	assert.Equal(t, partner.records["a"].Revision, revision.Revision(7))
	change(partner, "b", 8)
	change(sender, "b", 9)
	exchange()
	exchange()
	assert.Equal(t, partner.records["b"].Revision, revision.Revision(9), "the later record stays")
	assert.Equal(t, sender.records["b"].Revision, revision.Revision(9))
}

// recordOf returns a record of a group.
func recordOf(group string, written revision.Revision) heartbeat.Record {
	return heartbeat.Record{Group: group, Revision: written, Value: []byte("{}")}
}

// TestAnAnswerReportsAtMostMaxReportsGroups guards against answers that grow with the
// number of groups, and against groups that are never reported because of the limit.
func TestAnAnswerReportsAtMostMaxReportsGroups(t *testing.T) {
	p := newFakeProxy(3 * maxReports)
	first, second := p.gossip.Answer(heartbeat.Message{}).Primaries, p.gossip.Answer(heartbeat.Message{}).Primaries
	assert.Equal(t, len(first), maxReports)
	sameGroup := 0
	for i := range first {
		if first[i].Group == second[i].Group {
			sameGroup++
		}
	}
	assert.Assert(t, sameGroup < maxReports/2, "each answer reports a different part of the groups")
	assert.Equal(t, len(newFakeProxy(8).gossip.Answer(heartbeat.Message{}).Primaries), 8)
}
