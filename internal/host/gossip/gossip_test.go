package gossip

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/table/work"
	"eelgrassladder.example/eelgrassladder/internal/trade/beat"
	"eelgrassladder.example/eelgrassladder/internal/trade/lead"
)

// fixedClock is a boot clock that stands still.
type fixedClock struct{}

func (fixedClock) Boot() time.Duration { return time.Hour }

// fakeProxy is a proxy with some records, and the only partner of another.
type fakeProxy struct {
	gossip  *Gossip
	partner *fakeProxy
	groups  map[string]bool
	records map[string]beat.Record
	// sent is the last message sent, and answered the partner's answer to it.
	sent, answered beat.Beat
}

func newFakeProxy(groups int) *fakeProxy {
	p := &fakeProxy{groups: map[string]bool{}, records: map[string]beat.Record{}}
	t := timer.NewManual(time.Unix(1000, 0))
	table := work.New(t, fixedClock{}, "here")
	for i := range groups {
		name := fmt.Sprintf("group-%d", i)
		p.groups[name] = true
		table.Change(name, func(l lead.Lead) lead.Lead {
			return l.WithPrimary("p", 1, time.Hour).WithProof(time.Hour)
		})
	}
	p.gossip = New(t, fixedClock{}, table, p, p)
	return p
}

func (p *fakeProxy) Groups() map[string]bool    { return p.groups }
func (p *fakeProxy) Name() string               { return "self" }
func (p *fakeProxy) Proxies() map[string]string { return map[string]string{"partner": "address"} }
func (p *fakeProxy) Keep(map[string]bool)       {}

func (p *fakeProxy) Configuration(b beat.Beat, _ uint64) beat.Beat { return b }

func (p *fakeProxy) Beat() beat.Beat {
	var all []beat.Record
	for _, r := range p.records {
		all = append(all, r)
	}
	return beat.Beat{Sender: "self"}.WithRecords(all)
}

func (p *fakeProxy) Heard(b beat.Beat) {
	for _, r := range b.Records {
		if r.Revision > p.records[r.Group].Revision {
			p.records[r.Group] = r
		}
	}
}

func (p *fakeProxy) Exchange(_ context.Context, _ string, b beat.Beat) (beat.Beat, error) {
	p.sent = b
	p.answered = p.partner.gossip.Answer(b)
	return p.answered, nil
}

func TestRecordsAreSentOnlyBetweenProxiesThatDiffer(t *testing.T) {
	one, other := newFakeProxy(1), newFakeProxy(1)
	one.partner = other
	exchange := func() { one.gossip.exchange(context.Background()) }
	change := func(p *fakeProxy, group string, revision uint64) {
		p.records[group] = recordOf(group, revision)
	}

	change(one, "a", 5)
	exchange()
	assert.Equal(t, other.records["a"].Revision, uint64(5), "the answering proxy has the sender's record")
	exchange()
	assert.Equal(t, len(one.sent.Records)+len(one.answered.Records), 0, "both have the same records")

	change(other, "b", 6)
	exchange()
	assert.Equal(t, one.records["b"].Revision, uint64(6), "the sender has the answering proxy's record")
	exchange()
	assert.Equal(t, len(one.sent.Records)+len(one.answered.Records), 0)

	change(one, "a", 7)
	exchange()
	assert.Equal(t, other.records["a"].Revision, uint64(7))
	change(other, "b", 8)
	change(one, "b", 9)
	exchange()
	exchange()
	assert.Equal(t, other.records["b"].Revision, uint64(9), "the later record stays")
	assert.Equal(t, one.records["b"].Revision, uint64(9))
}

// recordOf returns a record of a group.
func recordOf(group string, revision uint64) beat.Record {
	return beat.Record{Group: group, Revision: revision, Value: []byte("{}")}
}

func TestAnAnswerIsBounded(t *testing.T) {
	p := newFakeProxy(3 * maxReports)
	first, second := p.gossip.Answer(beat.Beat{}).Sights, p.gossip.Answer(beat.Beat{}).Sights
	assert.Equal(t, len(first), maxReports)
	same := 0
	for i := range first {
		if first[i].Group == second[i].Group {
			same++
		}
	}
	assert.Assert(t, same < maxReports/2, "each answer reports a different part of the groups")
	assert.Equal(t, len(newFakeProxy(8).gossip.Answer(beat.Beat{}).Sights), 8)
}
