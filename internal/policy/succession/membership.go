package succession

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"eelgrassladder.example/eelgrassladder/internal/trade/roster"
)

const (
	// joinDelay is how long members that join are waited for, so that those that
	// come together cost one write.
	joinDelay = time.Second
	// leaveDelay is how long a member is missed before it is taken to have left;
	// entries that lapsed with the store are back within 2 s.
	leaveDelay = 2 * time.Second
	// writerDelay is how long a proxy leaves to the one whose turn comes before
	// its own; the store answers in 4 ms, and a watch shows it soon after.
	writerDelay = 400 * time.Millisecond
	// maxWriterIndex bounds the wait with many proxies.
	maxWriterIndex = 10
)

// Membership is how the members that the store lists differ from those in the
// group's record. It is immutable.
type Membership struct {
	// Joined are the IDs of listed members that the record lacks.
	Joined []string
	// Left are the IDs of recorded members that are not listed, and whose place
	// no other member of the group has taken. What they alone received besides
	// the primary may be known to nobody.
	Left []string
}

// Compare returns how the listed members of a group differ from the recorded
// ones, whose addresses are keyed by ID.
func Compare(recorded map[string]string, listed []roster.Endpoint) Membership {
	var diff Membership
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
func (m Membership) Equal(other Membership) bool {
	return slices.Equal(m.Joined, other.Joined) && slices.Equal(m.Left, other.Left)
}

// Difference is what one proxy knows of a difference between list and record.
// It is immutable.
type Difference struct {
	Membership
	// Lasted is how long the difference has been there.
	Lasted time.Duration
	// HasList is how long this proxy has had the store's list of endpoints.
	HasList time.Duration
	// Turn is this proxy's place among those that could write the record, from
	// zero.
	Turn int
}

// Records reports whether this proxy writes the members to the record now.
func (d Difference) Records() bool {
	wait := time.Duration(d.Turn) * writerDelay
	if len(d.Joined) > 0 {
		return d.Lasted >= joinDelay+wait
	}
	return len(d.Left) > 0 && d.Settled() && d.Lasted >= leaveDelay+wait
}

// Settled reports whether the members that are missed are taken to have left.
func (d Difference) Settled() bool { return d.Lasted >= leaveDelay && d.HasList >= listTime }

// Turn returns the place of a proxy among others, which are keyed by name, for
// work on a group that one of them does.
func Turn(self string, others map[string]string, group string) int {
	ownWeight := weight(self, group)
	earlier := 0
	for other := range others {
		if order := cmp.Compare(weight(other, group), ownWeight); order < 0 || (order == 0 && other < self) {
			earlier++
		}
	}
	return min(earlier, maxWriterIndex)
}

// weight orders the proxies differently for each group.
func weight(proxy, group string) uint64 { return xxhash.Sum64String(group + " " + proxy) }
