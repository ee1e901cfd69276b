// Package position holds positions in the log of a database group.
package position

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Position is a position in the log of a group. The zero value is the start of the log.
type Position struct {
	// Term is the term of the last entry up to the position.
	Term uint64
	// Log is the number of entries up to the position. It never decreases from one
	// acknowledged commit to the next.
	Log uint64
}

// Covers reports whether reads at position p see everything up to q. It does not
// compare terms, so q must be acknowledged: an acknowledged entry has the same number
// in the log of every later term.
func (p Position) Covers(q Position) bool { return p.Log >= q.Log }

// UpToDateWith reports whether a log that ends at p holds an acknowledged entry at q.
// A log that ends in a later term than q was continued from a log that holds all
// entries acknowledged before. A log that ends in an earlier term lacks the entry,
// however long it is.
func (p Position) UpToDateWith(q Position) bool {
	return p.Term > q.Term || (p.Term == q.Term && p.Log >= q.Log)
}

// Covering returns the position that covers the other: the one with more entries, or the one
// with the later term if both have the same number. Both must be acknowledged. It does not
// order positions as UpToDateWith does, which compares terms first.
func (p Position) Covering(q Position) Position {
	if p.Log > q.Log || (p.Log == q.Log && p.Term >= q.Term) {
		return p
	}
	return q
}

// IsZero reports whether p is the start of the log.
func (p Position) IsZero() bool { return p == Position{} }

// String returns the position as TERM.LOG.
func (p Position) String() string { return fmt.Sprintf("%d.%d", p.Term, p.Log) }

// Parse parses a text that String returned. The error may be sent to callers, in that of a
// session token.
func Parse(s string) (Position, error) {
	term, log, ok := strings.Cut(s, ".")
	if !ok {
		return Position{}, errors.Errorf("position %q is not TERM.LOG", s)
	}
	t, err := strconv.ParseUint(term, 10, 64)
	if err != nil {
		return Position{}, errors.Errorf("position %q has a bad term", s)
	}
	l, err := strconv.ParseUint(log, 10, 64)
	if err != nil {
		return Position{}, errors.Errorf("position %q has a bad log place", s)
	}
	return Position{Term: t, Log: l}, nil
}
