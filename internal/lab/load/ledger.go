package load

import (
	"sync"

	"eelgrassladder.example/eelgrassladder/internal/lab/group"
	"eelgrassladder.example/eelgrassladder/internal/trade/position"
	"eelgrassladder.example/eelgrassladder/internal/trade/request"
)

// Violations counts what must never happen.
type Violations struct {
	// StaleReads are reads that missed what their session had written or read.
	StaleReads int
	// LostWrites are acknowledged writes that are not in the database.
	LostWrites int
	// DoubledWrites are writes that are in the database twice.
	DoubledWrites int
	// MixedTransactions are transactions that are in the database in part, or
	// that met another caller's work or settings.
	MixedTransactions int
	// WrongAnswers are answers that belong to another request.
	WrongAnswers int
	// FalseNotRun are writes that are in the database after the caller was
	// told that they were not run.
	FalseNotRun int
	// SupersededAcks are writes acknowledged in a term whose log was replaced
	// at their place.
	SupersededAcks int
}

// Total returns the number of all violations.
func (v Violations) Total() int {
	return v.StaleReads + v.LostWrites + v.DoubledWrites + v.MixedTransactions + v.WrongAnswers + v.FalseNotRun + v.SupersededAcks
}

// write is a write that was offered.
type write struct {
	group string
	// transfer is true for a transaction that writes two legs.
	transfer bool
	outcome  request.Outcome
	// position is that of the acknowledgement.
	position position.Position
}

// ledger remembers what callers were told.
type ledger struct {
	// mutex guards the fields below. It is a leaf.
	mutex sync.Mutex
	// writes is keyed by the request's text.
	writes     map[string]write
	violations Violations
	notes      []string
}

// maxNotes bounds the descriptions of violations.
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

// contents is what a group holds at the end.
type contents struct {
	// deposits counts rows by request.
	deposits map[string]int
	// legs holds which legs each request has, by leg.
	legs map[string]map[int64]int
	// termStarts are those of the primary's log.
	termStarts []group.Lineage
}

// verify compares what callers were told with what the groups hold.
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

// verifyRows checks the rows of one write.
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
		l.recordViolation(func(v *Violations) { v.MixedTransactions++ }, "transaction "+name+" is there in part")
	}
}

// legsComplete reports whether a transaction's legs are there as often as its row.
func legsComplete(legs map[int64]int, found int) bool { return legs[1] == found && legs[2] == found }

// superseded reports whether the place of an acknowledgement was written by a
// later term.
func superseded(p position.Position, termStarts []group.Lineage) bool {
	for _, start := range termStarts {
		if start.Term > p.Term && start.From <= p.Log {
			return true
		}
	}
	return false
}
