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

// ticking is a boot clock that stands still.
type ticking struct{}

func (ticking) Boot() time.Duration { return time.Hour }

// known are beliefs with one group.
type known struct {
	Beliefs
	roster roster.Roster
	tenure tenure.Tenure
}

func (k *known) Roster() roster.Roster       { return k.roster }
func (k *known) Groups() map[string]bool     { return map[string]bool{"g": true} }
func (k *known) Proxies() map[string]string  { return nil }
func (k *known) Tenure(string) tenure.Tenure { return k.tenure }
func (k *known) Duty() tenure.Duty           { return tenure.Duty{} }
func (k *known) LearnTenure(t tenure.Tenure) { k.tenure = t }

// puts is a store that notes what is written.
type puts struct {
	eelgrassladder.KeyValue
	all []tenure.Tenure
}

func (p *puts) Apply(_ context.Context, _ []eelgrassladder.Expectation, all []eelgrassladder.Put, _ []string) (uint64, error) {
	for _, one := range all {
		if group, ok := tenure.Group(one.Key); ok {
			t, err := tenure.Parse(group, one.Value, 0)
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
	table := work.New(manual, ticking{}, "here")
	table.Change("g", func(l lead.Lead) lead.Lead {
		return l.WithPrimary("next", 2, time.Hour).WithKept(lead.Kept{Position: position.Position{Term: 1, Log: 9}, Told: true})
	})
	b := &known{
		roster: roster.New(roster.Endpoint{ID: "next", Group: "g", Address: "1"}, roster.Endpoint{ID: "joined", Group: "g", Address: "2"}),
		tenure: tenure.Tenure{
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
	if d.Records() {
		k.record(context.Background(), "g", d)
	}
	for _, one := range store.all {
		assert.Assert(t, !one.Closed, "the closed record was written anew: %+v", one)
	}
	_ = policy.None
}
