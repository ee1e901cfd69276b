package failover

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"eelgrassladder.example/eelgrassladder/internal/model/leadership"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
)

const (
	// joinDelay is how long a proxy waits for further members once one has
	// joined, so that members that start together cost one write.
	joinDelay = time.Second
	// restartDelay is the same wait for members that start again under their IDs. Until
	// such a member is recorded, a change of primary needs the old primary's log.
	restartDelay = 250 * time.Millisecond
	// leaveDelay is how long a member must be missing from the list before it
	// counts as having left. Entries that expired while the store was down
	// return within 2 s.
	leaveDelay = 2 * time.Second
	// writerDelay is the wait per earlier proxy in the order of writers: each
	// proxy leaves every earlier one this time to write the record. The store
	// answers in 4 ms, and its watch reports the write soon after.
	writerDelay = 400 * time.Millisecond
	// maxWriterIndex bounds the wait for earlier writers, to 4 s, where there
	// are many proxies. Those that come later in the order write at the same
	// time, and the store accepts one write.
	maxWriterIndex = 10
)

// MemberDiff is the difference between the members that the store lists and
// those in the group's record. It is immutable.
type MemberDiff struct {
	// Joined are the IDs of listed members that the record lacks, or whose start it
	// lacks.
	Joined []string
	// Restarted are the IDs of recorded members that are listed with another start. Such a
	// member may have lost the log that it had.
	Restarted []string
	// Left are the IDs of recorded members that are not listed and whose
	// address no listed member has. If such a member was the only replica to
	// receive a commit, no remaining replica holds it.
	Left []string
}

// Compare returns the difference between the listed members of a group and those in
// its record.
func Compare(record leadership.Record, listed []topology.Endpoint) MemberDiff {
	var diff MemberDiff
	listedIDs, listedAddresses := make(map[string]bool, len(listed)), make(map[string]bool, len(listed))
	for _, e := range listed {
		listedIDs[e.ID], listedAddresses[e.Address] = true, true
		_, recorded := record.Members[e.ID]
		switch {
		case !recorded, e.StartedAt != 0 && record.Starts[e.ID] == 0:
			diff.Joined = append(diff.Joined, e.ID)
		case e.Restarted(record.Member(e.ID)):
			diff.Restarted = append(diff.Restarted, e.ID)
		}
	}
	for id, address := range record.Members {
		if !listedIDs[id] && !listedAddresses[address] {
			diff.Left = append(diff.Left, id)
		}
	}
	slices.Sort(diff.Left)
	return diff
}

// Equal reports whether two differences are the same.
func (m MemberDiff) Equal(other MemberDiff) bool {
	return slices.Equal(m.Joined, other.Joined) && slices.Equal(m.Restarted, other.Restarted) && slices.Equal(m.Left, other.Left)
}

// Incomparable returns the IDs of recorded members whose logs can't be compared, because
// they have left or started again.
func (m MemberDiff) Incomparable() []string { return slices.Concat(m.Left, m.Restarted) }

// ObservedDiff is a MemberDiff, with how long one proxy has observed it. It is
// immutable.
type ObservedDiff struct {
	MemberDiff
	// Lasted is the time since the difference appeared.
	Lasted time.Duration
	// ListAge is how long this proxy has had the store's list of endpoints.
	ListAge time.Duration
	// WriterIndex is this proxy's index, from zero, in the order of writers; see
	// the function WriterIndex.
	WriterIndex int
}

// ShouldRecord reports whether this proxy should write the listed members to
// the record now. As long as no earlier writer has done so, each further proxy
// may write when its turn comes.
func (d ObservedDiff) ShouldRecord() bool {
	wait := turn(d.WriterIndex)
	if len(d.Restarted) > 0 {
		return d.Lasted >= restartDelay+wait
	}
	if len(d.Joined) > 0 {
		return d.Lasted >= joinDelay+wait
	}
	return len(d.Left) > 0 && d.LeaveConfirmed() && d.Lasted >= leaveDelay+wait
}

// LeaveConfirmed reports whether the members in Left, if there are any, count
// as having left: they have been missing for leaveDelay, and the list is complete
// again if the store was down; see minListAge.
func (d ObservedDiff) LeaveConfirmed() bool { return d.Lasted >= leaveDelay && d.ListAge >= minListAge }

// turn returns how long the writer with an index waits for the earlier ones.
func turn(writerIndex int) time.Duration { return time.Duration(writerIndex) * writerDelay }

// WriterIndex returns how many of the other proxies come before self in the
// group's order of writers, at most maxWriterIndex. Only the keys of others,
// the names of the proxies, are used.
func WriterIndex(self string, others map[string]string, group string) int {
	ownRank := rank(self, group)
	earlier := 0
	for other := range others {
		if order := cmp.Compare(rank(other, group), ownRank); order < 0 || (order == 0 && other < self) {
			earlier++
		}
	}
	return min(earlier, maxWriterIndex)
}

// rank returns the hash that orders the writers of a group, the lowest first.
// The order differs between groups, which spreads the writes over the proxies.
func rank(proxy, group string) uint64 { return xxhash.Sum64String(group + " " + proxy) }
