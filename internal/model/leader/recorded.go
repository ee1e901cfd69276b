package leader

import (
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/revision"
)

// Recorded is what a proxy knows of a group's record in the store, and which commits
// it has seen acknowledged on the strength of that. It is immutable.
type Recorded struct {
	// Revision is the store's revision of the record that was applied last; zero for
	// none.
	Revision revision.Revision
	// OpenAt is the latest boot time at which the record, if it is open, is known to have
	// been the newest: this proxy, or one that has told it, then sent a call to the store
	// that returned no newer one. Any record that replaces it was written later. Zero if
	// that is not known since the endpoint became the known primary.
	OpenAt time.Duration
	// Commits is how many commits the primary has acknowledged to this proxy since
	// OpenAt was last set.
	Commits int
	// LastCommit is the position that the answer to the latest of them reported, and
	// LastCommitAt the boot time of that answer.
	LastCommit   position.Position
	LastCommitAt time.Duration
}

// RecordAge returns how long before now the record was last known to be open, and
// whether that is known.
func (s State) RecordAge(now time.Duration) (time.Duration, bool) {
	return now - s.Recorded.OpenAt, s.Recorded.OpenAt > 0
}

// RecordAgeMs returns RecordAge in milliseconds, for logs; -1 if it is not known.
func (s State) RecordAgeMs(now time.Duration) int64 {
	if age, known := s.RecordAge(now); known {
		return age.Milliseconds()
	}
	return -1
}

// RecordPrecedes reports whether a record is older than the one that was applied last. A
// closed record precedes the open one that replaces it before the store has it; both
// have the same revision.
func (s State) RecordPrecedes(other revision.Revision, closed bool) bool {
	if other == s.Recorded.Revision {
		return other > 0 && closed && !s.Closed
	}
	return other < s.Recorded.Revision
}

// WithRevision returns the state with the revision of the record that is applied now.
func (s State) WithRevision(applied revision.Revision) State {
	s.Recorded.Revision = applied
	return s
}

// WithRecordOpen returns the state with the knowledge that the record was open, and the
// newest, at a time.
func (s State) WithRecordOpen(at time.Duration) State {
	if at > s.Recorded.OpenAt {
		s.Recorded.OpenAt, s.Recorded.Commits = at, 0
	}
	return s
}

// WithCommit returns the state with a commit that the endpoint has just acknowledged. It
// counts only if the endpoint is the known primary.
func (s State) WithCommit(endpoint string, p position.Position, now time.Duration) State {
	if s.Endpoint != endpoint {
		return s
	}
	s.Recorded.Commits++
	s.Recorded.LastCommit, s.Recorded.LastCommitAt = p, now
	return s
}
