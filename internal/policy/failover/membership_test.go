package failover_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/model/topology"
	"eelgrassladder.example/eelgrassladder/internal/policy/failover"
)

func TestMembersAreComparedWithTheRecord(t *testing.T) {
	recorded := map[string]string{"a": "1", "b": "2", "c": "3"}
	m := failover.Compare(recorded, []topology.Endpoint{{ID: "a", Address: "1"}, {ID: "new", Address: "2"}})
	assert.DeepEqual(t, m.Joined, []string{"new"})
	assert.DeepEqual(t, m.Left, []string{"c"}) // the new member has the log of b
	assert.Assert(t, !m.Equal(failover.Membership{}))
	assert.Assert(t, failover.Compare(recorded, []topology.Endpoint{
		{ID: "a", Address: "1"}, {ID: "b", Address: "2"}, {ID: "c", Address: "3"},
	}).Equal(failover.Membership{}))
}

func TestMembersAreRecordedInTurn(t *testing.T) {
	joined, left := failover.Membership{Joined: []string{"a"}}, failover.Membership{Left: []string{"b"}}
	for name, c := range map[string]struct {
		difference failover.Difference
		want       bool
	}{
		"others may join at the same time": {failover.Difference{Membership: joined, Lasted: 500 * time.Millisecond}, false},
		"one has joined":                   {failover.Difference{Membership: joined, Lasted: time.Second}, true},
		"another proxy comes first":        {failover.Difference{Membership: joined, Lasted: time.Second, WriterIndex: 1}, false},
		"its entry may come back soon":     {failover.Difference{Membership: left, Lasted: time.Second, ListAge: time.Minute}, false},
		"the list was read lately":         {failover.Difference{Membership: left, Lasted: 2 * time.Second, ListAge: 2 * time.Second}, false},
		"one has left":                     {failover.Difference{Membership: left, Lasted: 2 * time.Second, ListAge: time.Minute}, true},
		"those before it have not acted":   {failover.Difference{Membership: left, Lasted: time.Minute, ListAge: time.Minute, WriterIndex: 10}, true},
		"no difference":                    {failover.Difference{Lasted: time.Minute, ListAge: time.Minute}, false},
	} {
		assert.Equal(t, c.difference.ShouldRecord(), c.want, name)
	}
}

func TestProxiesTakeTurns(t *testing.T) {
	all := []string{"a", "b", "c", "d", "e"}
	firsts := map[string]bool{}
	for _, group := range []string{"g1", "g2", "g3", "g4", "g5", "g6", "g7", "g8"} {
		seen := map[int]bool{}
		for i, self := range all {
			others := map[string]string{}
			for k, o := range all {
				if k != i {
					others[o] = "address"
				}
			}
			turn := failover.WriterIndex(self, others, group)
			assert.Assert(t, !seen[turn], "two proxies have turn %d", turn)
			seen[turn] = true
			if turn == 0 {
				firsts[self] = true
			}
		}
	}
	assert.Assert(t, len(firsts) > 1, "one proxy works for all groups")
}
