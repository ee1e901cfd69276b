package failover

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/model/leader"
	"eelgrassladder.example/eelgrassladder/internal/model/leadership"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
	policy "eelgrassladder.example/eelgrassladder/internal/policy/failover"
	"eelgrassladder.example/eelgrassladder/internal/table/scheduler"
)

// ticking is a boot clock that stands still.
type ticking struct{}

func (ticking) SinceBoot() time.Duration { return time.Hour }

// known are beliefs with one group.
type known struct {
	ClusterState
	roster topology.Snapshot
	tenure leadership.Record
}

func (k *known) Endpoints() topology.Snapshot            { return k.roster }
func (k *known) Groups() map[string]bool                 { return map[string]bool{"g": true} }
func (k *known) Proxies() map[string]string              { return nil }
func (k *known) Record(string) leadership.Record         { return k.tenure }
func (k *known) PromotionLock() leadership.PromotionLock { return leadership.PromotionLock{} }
func (k *known) LearnRecord(t leadership.Record)         { k.tenure = t }

// puts is a store that notes what is written.
type puts struct {
	eelgrassladder.KeyValue
	all []leadership.Record
}

func (p *puts) Apply(_ context.Context, _ []eelgrassladder.Expectation, all []eelgrassladder.Put, _ []string) (uint64, error) {
	for _, one := range all {
		if group, ok := leadership.Group(one.Key); ok {
			t, err := leadership.Parse(group, one.Value, 0)
			if err != nil {
				return 0, err
			}
			p.all = append(p.all, t)
		}
	}
	return 100, nil
}

// TestMembersAreNotRecordedInAClosedRecord has a primary lead whose record the
// store has not taken yet: others have told so, and the record that this proxy
// would write to is still the closed one. Writing it under a new revision makes
// the proxies forget the primary, and the proxy that is to open it gives up.
func TestMembersAreNotRecordedInAClosedRecord(t *testing.T) {
	manual := timer.NewManual(time.Unix(1000, 0))
	table := scheduler.New(manual, ticking{}, "here")
	table.UpdateLeader("g", func(l leader.State) leader.State {
		return l.WithPrimary("next", 2, time.Hour).WithAcknowledged(leader.Acknowledged{Position: position.Position{Term: 1, Log: 9}, Observed: true})
	})
	b := &known{
		roster: topology.New(topology.Endpoint{ID: "next", Group: "g", Address: "1"}, topology.Endpoint{ID: "joined", Group: "g", Address: "2"}),
		tenure: leadership.Record{
			Group: "g", Revision: 10, Endpoint: "old", Term: 1, Closed: true, Holder: "other",
			Members: map[string]string{"next": "1", "old": "3"},
		},
	}
	store := &puts{}
	k := New("self", manual, ticking{}, table, nil, store, nil, b, task.New(context.Background()), nil)
	w := &watched{}
	now := manual.Now()
	k.difference("g", w, now)
	d := k.difference("g", w, now.Add(5*time.Second))
	if d.ShouldRecord() {
		k.record(context.Background(), "g", d)
	}
	for _, one := range store.all {
		assert.Assert(t, !one.Closed, "the closed record was written anew: %+v", one)
	}
	_ = policy.None
}
