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
	"eelgrassladder.example/eelgrassladder/internal/model/revision"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
	"eelgrassladder.example/eelgrassladder/internal/table/scheduler"
)

// fixedClock is a boot clock that stands still.
type fixedClock struct{}

func (fixedClock) SinceBoot() time.Duration { return time.Hour }

// fakeState is a ClusterState of one group, "g", with its endpoints and its record.
type fakeState struct {
	ClusterState
	endpoints topology.Snapshot
	record    leadership.Record
}

func (f *fakeState) Endpoints() topology.Snapshot    { return f.endpoints }
func (f *fakeState) Era() uint64                     { return f.record.Era }
func (f *fakeState) Groups() map[string]bool         { return map[string]bool{"g": true} }
func (f *fakeState) Proxies() map[string]string      { return nil }
func (f *fakeState) Record(string) leadership.Record { return f.record }
func (f *fakeState) KnownRecords() map[string]leadership.Record {
	return map[string]leadership.Record{"g": f.record}
}
func (f *fakeState) PromotionLock() leadership.PromotionLock { return leadership.PromotionLock{} }
func (f *fakeState) LearnRecord(r leadership.Record)         { f.record = r }

// fakeStore is a KeyValue that collects the records that are written to it. Each write
// succeeds.
type fakeStore struct {
	eelgrassladder.KeyValue
	records []leadership.Record
}

func (f *fakeStore) Apply(_ context.Context, _ []eelgrassladder.Expectation, puts []eelgrassladder.Put, _ []string) (revision.Revision, error) {
	for _, put := range puts {
		if group, ok := leadership.Group(put.Key); ok {
			record, err := leadership.Parse(group, put.Value, 0)
			if err != nil {
				return 0, err
			}
			f.records = append(f.records, record)
		}
	}
	return 100, nil
}

// TestMembersAreNotRecordedInAClosedRecord guards against a second write of a closed
// record. This proxy has learned from other proxies that a new primary leads, but the
// store still has the closed record. If the proxy wrote the members to it, the record
// would get a new revision: all proxies would forget the new primary, and the proxy
// that has to open the record would give up.
func TestMembersAreNotRecordedInAClosedRecord(t *testing.T) {
	manual := timer.NewManual(time.Unix(1000, 0))
	table := scheduler.New(manual, fixedClock{}, "here")
	table.UpdateLeader("g", func(l leader.State) leader.State {
		return l.WithPrimary("next", 2, time.Hour).WithAcknowledged(leader.Acknowledged{Position: position.Position{Term: 1, Log: 9}, Observed: true})
	})
	cluster := &fakeState{
		endpoints: topology.New(topology.Endpoint{ID: "next", Group: "g", Address: "1"}, topology.Endpoint{ID: "joined", Group: "g", Address: "2"}),
		record: leadership.Record{
			Group: "g", Revision: 10, Endpoint: "old", Term: 1, Closed: true, Holder: "other",
			Members: map[string]string{"next": "1", "old": "3"},
		},
	}
	store := &fakeStore{}
	ct := New("self", manual, fixedClock{}, table, nil, store, nil, nil, cluster, task.New(context.Background()), nil)
	state := &groupState{}
	now := manual.Now()
	// The first call starts the time of the difference. After 5 s this proxy may
	// record the members.
	ct.updateDiff("g", state, now)
	diff := ct.updateDiff("g", state, now.Add(5*time.Second))
	if diff.ShouldRecord() {
		ct.recordMembers(context.Background(), "g", diff)
	}
	for _, record := range store.records {
		assert.Assert(t, !record.Closed, "the closed record was written again: %+v", record)
	}
}
