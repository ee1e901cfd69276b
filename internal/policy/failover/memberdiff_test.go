package failover_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/model/leadership"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
	"eelgrassladder.example/eelgrassladder/internal/policy/failover"
)

func TestCompareFindsJoinedAndLeftMembers(t *testing.T) {
	recorded := leadership.Record{Members: map[string]string{"a": "1", "b": "2", "c": "3"}}
	diff := failover.Compare(recorded, []topology.Endpoint{{ID: "a", Address: "1"}, {ID: "new", Address: "2"}})
	assert.DeepEqual(t, diff.Joined, []string{"new"})
	assert.DeepEqual(t, diff.Left, []string{"c"}) // the new member has b's address
	assert.Assert(t, !diff.Equal(failover.MemberDiff{}))
	assert.Assert(t, failover.Compare(recorded, []topology.Endpoint{
		{ID: "a", Address: "1"}, {ID: "b", Address: "2"}, {ID: "c", Address: "3"},
	}).Equal(failover.MemberDiff{}))
}

// TestAMemberThatStartsAgainIsNotTheRecordedOne guards against the comparison of a log that
// its member has lost, and against a wait for members that did not start again.
func TestAMemberThatStartsAgainIsNotTheRecordedOne(t *testing.T) {
	listed := func(start int64) []topology.Endpoint {
		return []topology.Endpoint{{ID: "a", Address: "1", StartedAt: 5}, {ID: "b", Address: "2", StartedAt: start}}
	}
	record := leadership.Record{}.WithMembers(listed(7))
	formerBuild := record
	formerBuild.Starts = nil
	for name, c := range map[string]struct {
		record leadership.Record
		start  int64
		want   failover.MemberDiff
	}{
		"the same start":                   {record, 7, failover.MemberDiff{}},
		"a later start":                    {record, 9, failover.MemberDiff{Restarted: []string{"b"}}},
		"an earlier start, by a new clock": {record, 3, failover.MemberDiff{Restarted: []string{"b"}}},
		"a start that is not listed":       {record, 0, failover.MemberDiff{}},
		"a record of a former build":       {formerBuild, 9, failover.MemberDiff{Joined: []string{"a", "b"}}},
	} {
		diff := failover.Compare(c.record, listed(c.start))
		assert.DeepEqual(t, diff, c.want)
		assert.Assert(t, diff.Equal(c.want), name)
		assert.DeepEqual(t, diff.Incomparable(), c.want.Restarted)
	}
	assert.DeepEqual(t, failover.Compare(record, listed(9)[1:]).Incomparable(), []string{"a", "b"})
	assert.Assert(t, !failover.MemberDiff{Restarted: []string{"b"}}.Equal(failover.MemberDiff{}))
}

// TestMembersAreRecordedOnceTheDifferenceLasts guards against writes for a
// difference that ends by itself, and against writes by all proxies at once.
func TestMembersAreRecordedOnceTheDifferenceLasts(t *testing.T) {
	joined, left := failover.MemberDiff{Joined: []string{"a"}}, failover.MemberDiff{Left: []string{"b"}}
	restarted := failover.MemberDiff{Restarted: []string{"a"}}
	for name, c := range map[string]struct {
		difference failover.ObservedDiff
		want       bool
	}{
		"other members may join at the same time":  {failover.ObservedDiff{MemberDiff: joined, Lasted: 500 * time.Millisecond}, false},
		"other members may start again soon":       {failover.ObservedDiff{MemberDiff: restarted, Lasted: 200 * time.Millisecond}, false},
		"a member has started again":               {failover.ObservedDiff{MemberDiff: restarted, Lasted: 250 * time.Millisecond}, true},
		"a member has joined":                      {failover.ObservedDiff{MemberDiff: joined, Lasted: time.Second}, true},
		"another proxy writes first":               {failover.ObservedDiff{MemberDiff: joined, Lasted: time.Second, WriterIndex: 1}, false},
		"an expired entry may return soon":         {failover.ObservedDiff{MemberDiff: left, Lasted: time.Second, ListAge: time.Minute}, false},
		"the list was only just read":              {failover.ObservedDiff{MemberDiff: left, Lasted: 2 * time.Second, ListAge: 2 * time.Second}, false},
		"a member has left":                        {failover.ObservedDiff{MemberDiff: left, Lasted: 2 * time.Second, ListAge: time.Minute}, true},
		"all earlier writers have failed to write": {failover.ObservedDiff{MemberDiff: left, Lasted: time.Minute, ListAge: time.Minute, WriterIndex: 10}, true},
		"no difference":                            {failover.ObservedDiff{Lasted: time.Minute, ListAge: time.Minute}, false},
	} {
		assert.Equal(t, c.difference.ShouldRecord(), c.want, name)
	}
}

// TestProxiesHaveDifferentWriterIndexes guards against two proxies that write
// at the same time, and against one proxy that writes for all groups.
func TestProxiesHaveDifferentWriterIndexes(t *testing.T) {
	proxies := []string{"a", "b", "c", "d", "e"}
	firsts := map[string]bool{}
	for _, group := range []string{"g1", "g2", "g3", "g4", "g5", "g6", "g7", "g8"} {
		seen := map[int]bool{}
		for i, self := range proxies {
			others := map[string]string{}
			for k, other := range proxies {
				if k != i {
					others[other] = "address"
				}
			}
			index := failover.WriterIndex(self, others, group)
			assert.Assert(t, !seen[index], "two proxies have index %d", index)
			seen[index] = true
			if index == 0 {
				firsts[self] = true
			}
		}
	}
	assert.Assert(t, len(firsts) > 1, "one proxy is the first for all groups")
}
