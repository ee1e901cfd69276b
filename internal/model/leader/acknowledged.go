package leader

import (
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/position"
)

// Acknowledged is the newest position that is known to be acknowledged. A member
// whose log lacks it must not lead. It is immutable.
type Acknowledged struct {
	// Position never becomes older, in the order of position.Position.UpToDateWith,
	// unless the log of a primary that already leads shows that commits were lost.
	Position position.Position
	// Observed is true once the answer to a commit has reported a position to this
	// proxy, or to one that has told this proxy. Until then, there may be acknowledged
	// commits after Position of which this proxy does not know.
	Observed bool
	// Source says where Position came from, such as the name of a proxy, or
	// SourceRecord.
	Source string
	// At is the boot time at which the source knew the position; zero if that is not
	// known.
	At time.Duration
}

// SourceRecord is the source of a position that comes from the group's record.
const SourceRecord = "Record"

// With returns the newer of a and other, in the order of position.Position.UpToDateWith.
// The result is observed if one of them is.
func (a Acknowledged) With(other Acknowledged) Acknowledged {
	observed := a.Observed || other.Observed
	if !a.Position.UpToDateWith(other.Position) {
		a = other
	}
	a.Observed = observed
	return a
}

// WithAcknowledged returns the state with the acknowledged position that another
// source reports, if it is newer.
func (s State) WithAcknowledged(a Acknowledged) State {
	s.Acknowledged = s.Acknowledged.With(a)
	return s
}

// WithReported returns the state with the position that another proxy knew to be
// acknowledged at a boot time; a zero position reports none.
func (s State) WithReported(p position.Position, proxy string, at time.Duration) State {
	if p.IsZero() {
		return s
	}
	return s.WithAcknowledged(Acknowledged{Position: p, Observed: true, Source: proxy, At: at})
}

// WithRecord returns the state with the acknowledged position in the record of a
// primary's term. It also reports whether that primary lacks commits that were known
// to be acknowledged. Those commits are lost: the position falls back to that of the
// record, so that later primaries need not hold them.
func (s State) WithRecord(term uint64, p position.Position, now time.Duration) (State, bool) {
	recorded := Acknowledged{Position: p, Source: SourceRecord, At: now}
	if !p.IsZero() && term > s.Acknowledged.Position.Term && !p.UpToDateWith(s.Acknowledged.Position) {
		recorded.Observed = s.Acknowledged.Observed
		s.Acknowledged = recorded
		return s, true
	}
	return s.WithAcknowledged(recorded), false
}
