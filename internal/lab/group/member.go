// Package group simulates a database group for tests and experiments. Each member is
// a listener that speaks the PostgreSQL protocol, has a term, a replicated log, slots
// and a connection limit, and takes injected faults.
package group

import (
	"sync"
	"sync/atomic"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/lab/sql"
	model "eelgrassladder.example/eelgrassladder/internal/model/group"
)

// CodeSuperseded is the SQLSTATE with which a member refuses work of another term.
const CodeSuperseded = "GT001"

// entry is one entry of the log.
type entry struct {
	term    uint64
	changes []sql.Change
	// receivedAt is when this member received the entry.
	receivedAt time.Time
}

// TermStart is where the entries of a term start in a log.
type TermStart struct {
	Term uint64
	// FirstIndex is the log index of the term's first entry; indexes count from 1.
	FirstIndex uint64
}

// Member is one database server of a group.
type Member struct {
	// name is unique in the system.
	name string
	// slots holds a token for each statement that runs.
	slots           chan struct{}
	connectionLimit int

	// controlBytes counts the bytes on control connections, including an estimate of
	// the headers of packets.
	controlBytes atomic.Uint64

	// mutex guards everything below. No other lock is taken while it is held.
	mutex sync.Mutex
	// changed is closed and replaced whenever something below changes.
	changed    chan struct{}
	conditions Conditions
	// term is the highest term that the member has granted to a proxy or joined as a
	// replica.
	term uint64
	// proposer is the name of the proxy to which the member granted the term; empty
	// if it joined a term that it had not granted.
	proposer string
	// role is the member's role in the term.
	role model.Role
	// upstream is the primary that a replica follows; nil for other roles.
	upstream *Member
	// lastContact is when a replica last received a message of its primary.
	lastContact time.Time
	// log holds the entries; the entry with log index n is log[n-1].
	log []entry
	// applied is the number of entries that reads can see.
	applied uint64
	// database has the changes of the applied entries.
	database *sql.Database
	// connections counts the open connections.
	connections int
	// primaryReads and replicaReads count the queries that the member ran in
	// each role.
	primaryReads uint64
	replicaReads uint64
}

// newMember returns a fenced member in term zero.
func newMember(name string, slots, limit int, c Conditions) *Member {
	return &Member{
		name: name, slots: make(chan struct{}, slots), connectionLimit: limit, changed: make(chan struct{}),
		conditions: c, role: model.Fenced, database: sql.NewDatabase(),
	}
}

// Name returns the member's name.
func (m *Member) Name() string { return m.name }

// Conditions returns the current conditions.
func (m *Member) Conditions() Conditions {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.conditions
}

// SetConditions replaces the conditions.
func (m *Member) SetConditions(c Conditions) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.conditions = c
	m.notify()
}

// Progress returns the progress that the member reports.
func (m *Member) Progress() model.Progress {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.progress(time.Now())
}

// TermStarts returns the start of each term in the member's log, in order.
func (m *Member) TermStarts() []TermStart {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var starts []TermStart
	var lastTerm uint64
	for i, e := range m.log {
		if e.term != lastTerm {
			starts = append(starts, TermStart{Term: e.term, FirstIndex: uint64(i + 1)})
			lastTerm = e.term
		}
	}
	return starts
}

// Reads returns how many queries the member ran as a primary, and in other roles.
func (m *Member) Reads() (primary, replica uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.primaryReads, m.replicaReads
}

// ControlBytes returns the bytes that control connections have carried, including an
// estimate of the headers of packets.
func (m *Member) ControlBytes() uint64 { return m.controlBytes.Load() }

// notify wakes all goroutines that wait for a change. The caller holds the mutex.
func (m *Member) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// progress returns the progress that the member reports. The caller holds the mutex.
func (m *Member) progress(now time.Time) model.Progress {
	p := model.Progress{Term: m.term, Role: m.role, Received: uint64(len(m.log)), Applied: m.applied}
	if len(m.log) > 0 {
		p.LogTerm = m.log[len(m.log)-1].term
	}
	if m.role != model.Primary {
		p.SinceContact = now.Sub(m.lastContact)
		if m.conditions.Defect == OverstateReceived {
			p.Received += overstatedEntries
		}
	}
	return p
}

// checkTerm fails for a connection of another term than the member's, and for any
// connection of a term while the member is fenced. Control connections, whose term is
// zero, are never refused. The caller holds the mutex.
func (m *Member) checkTerm(term uint64) error {
	if term == 0 {
		return nil
	}
	if term != m.term || m.role == model.Fenced {
		return sql.NewError(CodeSuperseded, "the member is in another term")
	}
	return nil
}

// commit appends the changes of a transaction to the log of a primary and applies them.
// It returns the log index of the entry; that of the last applied entry if the
// transaction changed nothing. It does not wait for replicas.
func (m *Member) commit(term uint64, t *sql.Transaction) (uint64, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if err := m.checkTerm(term); err != nil {
		return 0, err
	}
	if len(t.Changes()) == 0 {
		return m.applied, nil
	}
	if m.role != model.Primary {
		return 0, sql.NewError(sql.CodeReadOnly, "the member is a replica")
	}
	if err := t.Conflict(); err != nil {
		return 0, err
	}
	if m.conditions.Defect == DropCommits {
		return m.applied, nil
	}
	m.append(entry{term: m.term, changes: t.Changes(), receivedAt: time.Now()})
	m.applyAll()
	m.notify()
	if m.conditions.Defect == DenyCommits {
		return 0, sql.NewError(sql.CodeSerialization, "could not serialize access")
	}
	return uint64(len(m.log)), nil
}

// append adds an entry to the log. The caller holds the mutex.
func (m *Member) append(e entry) { m.log = append(m.log, e) }

// applyAll applies every received entry. The caller holds the mutex.
func (m *Member) applyAll() {
	for m.applied < uint64(len(m.log)) {
		m.database.Apply(m.log[m.applied].changes)
		m.applied++
	}
}

// truncate removes the entries after a log index and undoes those that were applied. The
// caller holds the mutex.
func (m *Member) truncate(lastKept uint64) {
	for m.applied > lastKept {
		m.applied--
		m.database.Undo(m.log[m.applied].changes)
	}
	m.log = m.log[:lastKept:lastKept]
}

// fence grants a term to a proposer. If the term is higher than its own, the member
// becomes fenced: it runs no statements of callers and follows no primary until it is
// promoted or told to follow. It fails if the member is in a higher term, or did not grant
// this one to the proposer.
func (m *Member) fence(term uint64, proposer string) (model.Progress, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if term < m.term || (term == m.term && proposer != m.proposer) {
		return model.Progress{}, sql.NewError(CodeSuperseded, "a higher term was granted, or this one to another")
	}
	if term > m.term {
		m.term = term
		m.proposer = proposer
		m.role = model.Fenced
		m.upstream = nil
		m.notify()
	}
	return m.progress(time.Now()), nil
}

// promote makes the member the primary of its term, and starts the term in the log
// with an empty entry. It fails if the term was not granted to the proposer.
func (m *Member) promote(term uint64, proposer string) (model.Progress, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if term != m.term || proposer != m.proposer {
		return model.Progress{}, sql.NewError(CodeSuperseded, "the term was not granted to this proposer")
	}
	if m.role != model.Primary {
		m.role = model.Primary
		m.upstream = nil
		m.append(entry{term: term, receivedAt: time.Now()})
		m.applyAll()
		m.notify()
	}
	return m.progress(time.Now()), nil
}

// follow makes the member join the primary of a term, as a replica once it has received
// a message of the primary. It fails if the member is in a higher term, or is itself the
// primary of this one or the member to follow.
func (m *Member) follow(term uint64, primary *Member) (model.Progress, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if term < m.term || (term == m.term && m.role == model.Primary) || primary == m {
		return model.Progress{}, sql.NewError(CodeSuperseded, "the member is in a higher term, or the primary of this one")
	}
	if term > m.term {
		m.proposer = ""
	}
	m.term = term
	m.role = model.Joining
	m.upstream = primary
	m.lastContact = time.Now()
	m.notify()
	return m.progress(time.Now()), nil
}
