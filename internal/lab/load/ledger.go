package load

import (
	"sync"

	"eelgrassladder.example/eelgrassladder/internal/lab/group"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/request"
)

// Violations counts violated guarantees. Its names are those of the report's JSON.
type Violations struct {
	// StaleReads counts reads that missed what their session had written or read.
	StaleReads int
	// LostWrites counts acknowledged writes that are not in the database.
	LostWrites int
	// DoubledWrites counts writes that are in the database more than once.
	DoubledWrites int
	// MixedTransactions counts transactions that are in the database in part, that
	// did not read their own write, or that found another transaction's settings.
	MixedTransactions int
	// WrongAnswers counts answers that belong to another request.
	WrongAnswers int
	// FalseNotRun counts writes that are in the database although their caller got
	// an error that promises that nothing ran.
	FalseNotRun int
	// SupersededAcks counts writes acknowledged at a position whose place in the log
	// a later term has overwritten.
	SupersededAcks int
}

// Total returns the sum of all counts.
func (v Violations) Total() int {
	return v.StaleReads + v.LostWrites + v.DoubledWrites + v.MixedTransactions + v.WrongAnswers + v.FalseNotRun + v.SupersededAcks
}

// write is a write of the load and its outcome.
type write struct {
	group string
	// transfer is true for a transaction that writes two legs.
	transfer bool
	outcome  request.Outcome
	// position is the one that the session's token carried with the acknowledgement;
	// zero if there was none.
	position position.Position
}

// ledger records the outcomes of all writes, and the violations found.
type ledger struct {
	// mutex guards the fields below. No other lock is taken while it is held.
	mutex sync.Mutex
	// writes is keyed by the name of the request.
	writes     map[string]write
	violations Violations
	// notes describe the first maxNotes violations.
	notes []string
}

// maxNotes is the largest number of violations that a report describes.
const maxNotes = 20

func newLedger() *ledger { return &ledger{writes: map[string]write{}} }

// recordOutcome records the outcome of a write.
func (l *ledger) recordOutcome(name string, w write) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.writes[name] = w
}

// recordViolation counts a violation with increment, and keeps the note that describes
// it unless there are maxNotes already.
func (l *ledger) recordViolation(increment func(*Violations), note string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	increment(&l.violations)
	if len(l.notes) < maxNotes {
		l.notes = append(l.notes, note)
	}
}

// contents is what the tables and the log of a group hold at the end.
type contents struct {
	// deposits counts the rows by name of the request.
	deposits map[string]int
	// legs counts the rows by name of the request and number of the leg.
	legs map[string]map[int64]int
	// termStarts holds where each term starts in the primary's log.
	termStarts []group.TermStart
}

// verify compares the recorded writes with the contents of the groups, and records
// violations.
func (l *ledger) verify(byGroup map[string]contents) {
	for name, w := range l.writes {
		c, ok := byGroup[w.group]
		if !ok {
			continue
		}
		l.verifyRows(name, w, c)
		if w.outcome == request.Done && superseded(w.position, c.termStarts) {
			l.recordViolation(func(v *Violations) { v.SupersededAcks++ }, "superseded ack "+name+" at "+w.position.String())
		}
	}
}

// verifyRows compares one recorded write with the rows of its group.
func (l *ledger) verifyRows(name string, w write, c contents) {
	deposits := c.deposits[name]
	switch {
	case deposits > 1:
		l.recordViolation(func(v *Violations) { v.DoubledWrites++ }, "doubled write "+name)
	case deposits == 0 && w.outcome == request.Done:
		l.recordViolation(func(v *Violations) { v.LostWrites++ }, "lost write "+name+" acknowledged at "+w.position.String())
	case deposits == 1 && w.outcome == request.NotRun:
		l.recordViolation(func(v *Violations) { v.FalseNotRun++ }, "write "+name+" ran after NotRun")
	}
	if w.transfer && !legsComplete(c.legs[name], deposits) {
		l.recordViolation(func(v *Violations) { v.MixedTransactions++ }, "transaction "+name+" is in the database in part")
	}
}

// legsComplete reports whether both legs of a transfer are in the database as often
// as its deposit.
func legsComplete(legs map[int64]int, deposits int) bool {
	return legs[1] == deposits && legs[2] == deposits
}

// superseded reports whether a later term has overwritten the entry of an acknowledged
// write: it starts in the log at or before the write's position.
func superseded(p position.Position, termStarts []group.TermStart) bool {
	for _, start := range termStarts {
		if start.Term > p.Term && start.FirstIndex <= p.Log {
			return true
		}
	}
	return false
}
