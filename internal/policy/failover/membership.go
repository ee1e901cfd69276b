package failover

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"eelgrassladder.example/eelgrassladder/internal/model/topology"
)

const (
	// joinDelay is how long a proxy waits for further members to join, so that
	// members that start together cost one write.
	joinDelay = time.Second
	// leaveDelay is how long a member is missing from the list before it
	// counts as having left. Entries that expired while the store was down
	// return within 2 s.
	leaveDelay = 2 * time.Second
	// writerDelay is how long a proxy waits for each proxy that comes before
	// it. The store answers in 4 ms, and its watch reports the write soon
	// after.
	writerDelay = 400 * time.Millisecond
	// maxWriterIndex bounds the total wait where there are many proxies.
	maxWriterIndex = 10
)

// MemberDiff is the difference between the members that the store lists and
// those in the group's record. It is immutable.
type MemberDiff struct {
	// Joined are the IDs of listed members that the record lacks.
	Joined []string
	// Left are the IDs of recorded members that are not listed and whose
	// address no other member has taken over. If such a member was the only
	// replica to receive a commit, no remaining replica holds it.
	Left []string
}

// Compare returns the difference between the listed members of a group and the
// recorded ones, whose addresses are keyed by ID.
func Compare(recorded map[string]string, listed []topology.Endpoint) MemberDiff {
	var diff MemberDiff
	listedIDs, listedAddresses := make(map[string]bool, len(listed)), make(map[string]bool, len(listed))
	for _, e := range listed {
		listedIDs[e.ID], listedAddresses[e.Address] = true, true
		if _, ok := recorded[e.ID]; !ok {
			diff.Joined = append(diff.Joined, e.ID)
		}
	}
	for id, address := range recorded {
		if !listedIDs[id] && !listedAddresses[address] {
			diff.Left = append(diff.Left, id)
		}
	}
	slices.Sort(diff.Left)
	return diff
}

// Equal reports whether two differences are the same.
func (m MemberDiff) Equal(other MemberDiff) bool {
	return slices.Equal(m.Joined, other.Joined) && slices.Equal(m.Left, other.Left)
}

// ObservedDiff is one proxy's view of a difference between the list and the
// record. It is immutable.
type ObservedDiff struct {
	MemberDiff
	// Lasted is the time since the difference appeared.
	Lasted time.Duration
	// ListAge is how long this proxy has had the store's list of endpoints.
	ListAge time.Duration
	// WriterIndex is this proxy's index, from zero, among the proxies that may
	// write the record.
	WriterIndex int
}

// ShouldRecord reports whether this proxy should write the members to the
// record now.
func (d ObservedDiff) ShouldRecord() bool {
	wait := time.Duration(d.WriterIndex) * writerDelay
	if len(d.Joined) > 0 {
		return d.Lasted >= joinDelay+wait
	}
	return len(d.Left) > 0 && d.LeaveConfirmed() && d.Lasted >= leaveDelay+wait
}

// LeaveConfirmed reports whether the missing members count as having left.
func (d ObservedDiff) LeaveConfirmed() bool { return d.Lasted >= leaveDelay && d.ListAge >= minListAge }

// WriterIndex returns the index of a proxy in the order in which it and the
// others, keyed by name, may do a task for the group that one of them has to
// do.
func WriterIndex(self string, others map[string]string, group string) int {
	ownWeight := weight(self, group)
	earlier := 0
	for other := range others {
		if order := cmp.Compare(weight(other, group), ownWeight); order < 0 || (order == 0 && other < self) {
			earlier++
		}
	}
	return min(earlier, maxWriterIndex)
}

// weight is the sort key of a proxy; it orders the proxies differently for
// each group.
func weight(proxy, group string) uint64 { return xxhash.Sum64String(group + " " + proxy) }
