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
	// MixedTransactions counts transactions that are in the database in part, or
	// that saw another caller's writes or settings.
	MixedTransactions int
	// WrongAnswers counts answers that belong to another request.
	WrongAnswers int
	// FalseNotRun counts writes that are in the database although their caller got
	// an error that promises that nothing ran.
	FalseNotRun int
	// SupersededAcks counts writes acknowledged at a log place that a later term
	// has overwritten.
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
	// position is the one that the acknowledgement carried; zero without one.
	position position.Position
}

// ledger records the outcomes of all writes, and the violations found.
type ledger struct {
	// mutex guards the fields below. It is a leaf.
	mutex sync.Mutex
	// writes is keyed by the name of the request.
	writes     map[string]write
	violations Violations
	notes      []string
}

// maxNotes bounds the number of descriptions of violations.
const maxNotes = 20

func newLedger() *ledger { return &ledger{writes: map[string]write{}} }

// recordOutcome records the outcome of a write.
func (l *ledger) recordOutcome(name string, w write) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.writes[name] = w
}

// recordViolation counts a violation and describes it.
func (l *ledger) recordViolation(count func(*Violations), note string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	count(&l.violations)
	if len(l.notes) < maxNotes {
		l.notes = append(l.notes, note)
	}
}

// contents is what the tables and the log of a group hold at the end.
type contents struct {
	// deposits counts the rows by request.
	deposits map[string]int
	// legs counts the rows of each request by leg.
	legs map[string]map[int64]int
	// termStarts holds the first place of each term in the primary's log.
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
	found := c.deposits[name]
	switch {
	case found > 1:
		l.recordViolation(func(v *Violations) { v.DoubledWrites++ }, "doubled write "+name)
	case found == 0 && w.outcome == request.Done:
		l.recordViolation(func(v *Violations) { v.LostWrites++ }, "lost write "+name+" acknowledged at "+w.position.String())
	case found == 1 && w.outcome == request.NotRun:
		l.recordViolation(func(v *Violations) { v.FalseNotRun++ }, "write "+name+" ran after NotRun")
	}
	if w.transfer && !legsComplete(c.legs[name], found) {
		l.recordViolation(func(v *Violations) { v.MixedTransactions++ }, "transaction "+name+" is in the database in part")
	}
}

// legsComplete reports whether both legs of a transaction are in the database as
// often as its deposit.
func legsComplete(legs map[int64]int, found int) bool { return legs[1] == found && legs[2] == found }

// superseded reports whether a later term has overwritten the log place of an
// acknowledged write.
func superseded(p position.Position, termStarts []group.TermStart) bool {
	for _, start := range termStarts {
		if start.Term > p.Term && start.From <= p.Log {
			return true
		}
	}
	return false
}
