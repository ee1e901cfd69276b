// Package statement holds what a client asks of a database and what it is
// told, apart from how either is written on a connection.
package statement

// Kind says what a statement does.
type Kind int

// The kinds of statements.
const (
	// Unknown is a text that no rule recognises.
	Unknown Kind = iota
	// Begin opens a transaction that may write.
	Begin
	// BeginRead opens a transaction that only reads.
	BeginRead
	// Commit ends a transaction and keeps its writes.
	Commit
	// Rollback ends a transaction and drops its writes.
	Rollback
	// Read reads one item.
	Read
	// Write writes one item.
	Write
	// Set gives a session value.
	Set
	// Prepare gives a shape a name in the session.
	Prepare
	// Execute runs a prepared shape.
	Execute
	// Deallocate forgets a prepared name.
	Deallocate
)

// String returns the name of the kind.
func (k Kind) String() string {
	return [...]string{
		"Unknown", "Begin", "BeginRead", "Commit", "Rollback", "Read", "Write", "Set", "Prepare", "Execute", "Deallocate",
	}[k]
}

// Prepared is a prepared statement apart from the name that a session gave it.
type Prepared struct {
	// Writes is true for a shape that writes.
	Writes bool
	// Text is the shape as the client wrote it; never empty.
	Text string
}

// Statement is one request of a client. It is immutable.
type Statement struct {
	// ID is the client's identifier of the request; the answer that a
	// database signs is bound to it.
	ID string
	// Kind says which of the fields below are set.
	Kind Kind
	// Text is the statement as the client wrote it.
	Text string
	// Name is the name of a session value or of a prepared statement.
	Name string
	// Value is the session value of Set.
	Value string
	// Prepared is set for Prepare, and for Execute once the session has
	// resolved the name.
	Prepared Prepared
	// Arguments are those of Execute, as the client wrote them.
	Arguments string
}

// WithPrepared returns the statement with its prepared name resolved.
func (s Statement) WithPrepared(shape Prepared) Statement {
	s.Prepared = shape
	return s
}

// Writes reports whether running the statement may change data.
func (s Statement) Writes() bool {
	return s.Kind == Write || (s.Kind == Execute && s.Prepared.Writes)
}

// AccessesData reports whether the statement reads or writes an item.
func (s Statement) AccessesData() bool {
	return s.Kind == Read || s.Kind == Write || s.Kind == Execute
}
