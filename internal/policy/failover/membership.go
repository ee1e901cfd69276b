package failover

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"eelgrassladder.example/eelgrassladder/internal/model/topology"
)

const (
	// joinTime is how long members that join are waited for, so that those that
	// come together cost one write.
	joinTime = time.Second
	// leftTime is how long a member is missed before it is taken to have left;
	// entries that lapsed with the store are back within 2 s.
	leftTime = 2 * time.Second
	// turnTime is how long a proxy leaves to the one whose turn comes before
	// its own; the store answers in 4 ms, and a watch shows it soon after.
	turnTime = 400 * time.Millisecond
	// lastTurn bounds the wait with many proxies.
	lastTurn = 10
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
func Compare(recorded map[string]string, listed []topology.Endpoint) Membership {
	var m Membership
	present, taken := make(map[string]bool, len(listed)), make(map[string]bool, len(listed))
	for _, e := range listed {
		present[e.ID], taken[e.Address] = true, true
		if _, ok := recorded[e.ID]; !ok {
			m.Joined = append(m.Joined, e.ID)
		}
	}
	for id, address := range recorded {
		if !present[id] && !taken[address] {
			m.Left = append(m.Left, id)
		}
	}
	slices.Sort(m.Left)
	return m
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
	// ListAge is how long this proxy has had the store's list of endpoints.
	ListAge time.Duration
	// WriterIndex is this proxy's place among those that could write the record, from
	// zero.
	WriterIndex int
}

// ShouldRecord reports whether this proxy writes the members to the record now.
func (d Difference) ShouldRecord() bool {
	wait := time.Duration(d.WriterIndex) * turnTime
	if len(d.Joined) > 0 {
		return d.Lasted >= joinTime+wait
	}
	return len(d.Left) > 0 && d.Settled() && d.Lasted >= leftTime+wait
}

// Settled reports whether the members that are missed are taken to have left.
func (d Difference) Settled() bool { return d.Lasted >= leftTime && d.ListAge >= listTime }

// WriterIndex returns the place of a proxy among others, which are keyed by name, for
// work on a group that one of them does.
func WriterIndex(self string, others map[string]string, group string) int {
	own := weight(self, group)
	before := 0
	for o := range others {
		if c := cmp.Compare(weight(o, group), own); c < 0 || (c == 0 && o < self) {
			before++
		}
	}
	return min(before, lastTurn)
}

// weight orders the proxies differently for each group.
func weight(proxy, group string) uint64 { return xxhash.Sum64String(group + " " + proxy) }
