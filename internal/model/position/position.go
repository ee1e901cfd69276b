// Package position holds places in the log of a database group.
package position

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Position is a place in the log of a group. The zero value is the start.
type Position struct {
	// Term is the term in which the position was acknowledged.
	Term uint64
	// Log counts entries of the log; it never falls along acknowledged work.
	Log uint64
}

// Covers reports whether a log that reaches p holds everything up to q.
// Terms are not compared: an acknowledged position keeps its place in every
// later term.
func (p Position) Covers(q Position) bool { return p.Log >= q.Log }

// UpToDateWith reports whether a log whose last entry is p holds the kept entry. A log
// that ends in a later term was built on all that was kept before; one that ends
// in an earlier term lacks the entry, however long it is.
func (p Position) UpToDateWith(kept Position) bool {
	return p.Term > kept.Term || (p.Term == kept.Term && p.Log >= kept.Log)
}

// Later returns the one of p and q that covers the other.
func (p Position) Later(q Position) Position {
	if p.Log > q.Log || (p.Log == q.Log && p.Term >= q.Term) {
		return p
	}
	return q
}

// IsZero reports whether p is the start of the log.
func (p Position) IsZero() bool { return p == Position{} }

// String returns the position as TERM.LOG.
func (p Position) String() string { return fmt.Sprintf("%d.%d", p.Term, p.Log) }

// Parse reads a position written by String.
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
