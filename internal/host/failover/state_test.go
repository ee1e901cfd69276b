package failover

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/model/leadership"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
	policy "eelgrassladder.example/eelgrassladder/internal/policy/failover"
)

// TestTheFormerStartOfAMemberCountsAsADeparture guards against the loss of commits of a
// member that starts again without its log before any proxy has recorded it, and against a
// wait for its former log once the record covers that.
func TestTheFormerStartOfAMemberCountsAsADeparture(t *testing.T) {
	at := func(n uint64) position.Position { return position.Position{Term: 2, Log: n} }
	former := topology.Endpoint{ID: "m", Group: "g", Address: "1", StartedAt: 5}
	again := topology.Endpoint{ID: "m", Group: "g", Address: "1", StartedAt: 9}
	now := time.Unix(1000, 0)
	state := &groupState{}
	ct := &Controller{groups: map[string]*groupState{"g": state}}
	unrecorded := func(r leadership.Record) int { return len(ct.unrecordedDepartures("g", r)) }
	record := leadership.Record{Group: "g", Acknowledged: at(3)}

	state.update(topology.New(former), "g", at(3), now)
	state.update(topology.New(former), "g", at(4), now.Add(time.Second))
	assert.Equal(t, unrecorded(record), 0, "the member has not started again")
	for i := range 3 {
		state.update(topology.New(again), "g", at(7+uint64(i)), now.Add(time.Duration(2+i)*time.Second))
		assert.Equal(t, unrecorded(record), 1)
	}
	assert.Equal(t, len(ct.departedMembers("g")), 0, "the former process has ended, and is not asked")
	assert.Equal(t, unrecorded(record.WithAcknowledged(at(6))), 1)
	assert.Equal(t, unrecorded(record.WithAcknowledged(at(7))), 0)
	assert.Equal(t, unrecorded(record.WithMembers([]topology.Endpoint{former})), 1)
	assert.Equal(t, unrecorded(record.WithMembers([]topology.Endpoint{again})), 0)
}

// TestAnUnconfirmedStartIsNotRecorded guards against a record that takes the new start of a
// member for that of the log which it had.
func TestAnUnconfirmedStartIsNotRecorded(t *testing.T) {
	member := func(id string, start int64) topology.Endpoint {
		return topology.Endpoint{ID: id, Group: "g", Address: id, StartedAt: start}
	}
	before := leadership.Record{Group: "g"}.WithMembers([]topology.Endpoint{member("a", 1), member("b", 2), member("c", 3), member("d", 4)})
	listed := []topology.Endpoint{member("a", 1), member("b", 9), member("e", 5)}
	confirmed := policy.ObservedDiff{MemberDiff: policy.MemberDiff{Left: []string{"c"}}, Lasted: time.Minute, ListAge: time.Minute}
	for name, c := range map[string]struct {
		observed policy.ObservedDiff
		covered  bool
		want     []topology.Endpoint
	}{
		"no replica holds the primary's log": {confirmed, false, []topology.Endpoint{member("a", 1), member("b", 2), member("c", 3), member("d", 4), member("e", 5)}},
		"a replica holds it":                 {confirmed, true, []topology.Endpoint{member("a", 1), member("b", 9), member("d", 4), member("e", 5)}},
		"an entry may return": {
			policy.ObservedDiff{MemberDiff: confirmed.MemberDiff, Lasted: time.Second, ListAge: time.Minute},
			true,
			[]topology.Endpoint{member("a", 1), member("b", 9), member("c", 3), member("d", 4), member("e", 5)},
		},
	} {
		want := before.WithMembers(c.want)
		got := before.WithMembers(membersToRecord(before, listed, c.observed, c.covered))
		assert.Assert(t, got.SameMembers(want), "%s: %+v", name, got)
	}
}
