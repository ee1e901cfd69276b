package succession

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	policy "eelgrassladder.example/eelgrassladder/internal/policy/succession"
	"eelgrassladder.example/eelgrassladder/internal/table/work"
	"eelgrassladder.example/eelgrassladder/internal/trade/lead"
	"eelgrassladder.example/eelgrassladder/internal/trade/position"
	"eelgrassladder.example/eelgrassladder/internal/trade/roster"
	"eelgrassladder.example/eelgrassladder/internal/trade/tenure"
)

// fixedClock is a boot clock that stands still.
type fixedClock struct{}

func (fixedClock) Boot() time.Duration { return time.Hour }

// fakeState knows one group, "g", with its endpoints and its record.
type fakeState struct {
	Beliefs
	endpoints roster.Roster
	record    tenure.Tenure
}

func (f *fakeState) Roster() roster.Roster       { return f.endpoints }
func (f *fakeState) Groups() map[string]bool     { return map[string]bool{"g": true} }
func (f *fakeState) Proxies() map[string]string  { return nil }
func (f *fakeState) Tenure(string) tenure.Tenure { return f.record }
func (f *fakeState) Duty() tenure.Duty           { return tenure.Duty{} }
func (f *fakeState) LearnTenure(t tenure.Tenure) { f.record = t }

// fakeStore is a store that keeps the records that are written to it.
type fakeStore struct {
	eelgrassladder.KeyValue
	records []tenure.Tenure
}

func (f *fakeStore) Apply(_ context.Context, _ []eelgrassladder.Expectation, puts []eelgrassladder.Put, _ []string) (uint64, error) {
	for _, put := range puts {
		if group, ok := tenure.Group(put.Key); ok {
			record, err := tenure.Parse(group, put.Value, 0)
			if err != nil {
				return 0, err
			}
			f.records = append(f.records, record)
		}
	}
	return 100, nil
}

// TestMembersAreNotRecordedInAClosedRecord guards against a closed record that is
// written again. This proxy knows from other proxies that a new primary leads,
// but the store still has the closed record. If the proxy wrote the members to
// it, the record would get a new revision: all proxies would forget the new
// primary, and the proxy that has to open the record would give up.
func TestMembersAreNotRecordedInAClosedRecord(t *testing.T) {
	manual := timer.NewManual(time.Unix(1000, 0))
	table := work.New(manual, fixedClock{}, "here")
	table.Change("g", func(l lead.Lead) lead.Lead {
		return l.WithPrimary("next", 2, time.Hour).WithKept(lead.Kept{Position: position.Position{Term: 1, Log: 9}, Told: true})
	})
	known := &fakeState{
		endpoints: roster.New(roster.Endpoint{ID: "next", Group: "g", Address: "1"}, roster.Endpoint{ID: "joined", Group: "g", Address: "2"}),
		record: tenure.Tenure{
			Group: "g", Revision: 10, Endpoint: "old", Term: 1, Closed: true, Holder: "other",
			Members: map[string]string{"next": "1", "old": "3"},
		},
	}
	store := &fakeStore{}
	k := New("self", manual, fixedClock{}, table, nil, store, nil, known, task.New(context.Background()), nil)
	state := &groupState{}
	now := manual.Now()
	k.difference("g", state, now)
	d := k.difference("g", state, now.Add(5*time.Second))
	if d.Records() {
		k.recordMembers(context.Background(), "g", d)
	}
	for _, record := range store.records {
		assert.Assert(t, !record.Closed, "the closed record was written again: %+v", record)
	}
	_ = policy.None
}
