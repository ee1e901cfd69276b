package leader

import (
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/position"
)

// Acknowledged is the newest position that is known to be acknowledged. A member whose
// log lacks it must not lead. It is immutable.
type Acknowledged struct {
	// Position never falls in the order of position.Holds, unless the log of a
	// primary that leads already shows that commits were lost.
	Position position.Position
	// Observed is true once an answer to a commit has told a position, to this
	// proxy or to one that it heard of. Until then, commits may be acknowledged
	// that no proxy remembers.
	Observed bool
	// Source is where Position came from: the name of a proxy, or the record
	// of the group.
	Source string
	// At is the boot time at which the source knew it.
	At time.Duration
}

// SourceRecord is the source of a position that the group's record tells.
const SourceRecord = "Record"

// With returns what two sources together tell.
func (k Acknowledged) With(other Acknowledged) Acknowledged {
	told := k.Observed || other.Observed
	if !k.Position.UpToDateWith(other.Position) {
		k = other
	}
	k.Observed = told
	return k
}

// WithAcknowledged returns the lead with what another source tells of kept commits.
func (l State) WithAcknowledged(k Acknowledged) State {
	l.Acknowledged = l.Acknowledged.With(k)
	return l
}

// WithRecord returns the lead with the position that was known to be kept when
// the record of a primary's term was written, and whether that primary lacks
// commits that were told before. What it lacks is lost, and is no longer
// asked of the next one.
func (l State) WithRecord(term uint64, p position.Position, now time.Duration) (State, bool) {
	told := Acknowledged{Position: p, Source: SourceRecord, At: now}
	if !p.IsZero() && term > l.Acknowledged.Position.Term && !p.UpToDateWith(l.Acknowledged.Position) {
		told.Observed = l.Acknowledged.Observed
		l.Acknowledged = told
		return l, true
	}
	return l.WithAcknowledged(told), false
}
