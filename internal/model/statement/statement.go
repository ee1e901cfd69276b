// Package statement holds clients' statements and the replies to them, independently
// of how they are encoded on a connection.
package statement

// Kind says what a statement does.
type Kind int

// The kinds of statements.
const (
	// Unknown is a text that the proxy does not recognise.
	Unknown Kind = iota
	// Begin opens a transaction that may write.
	Begin
	// BeginRead opens a transaction that only reads.
	BeginRead
	// Commit ends a transaction and makes its writes permanent.
	Commit
	// Rollback ends a transaction and discards its writes.
	Rollback
	// Read reads one item.
	Read
	// Write writes one item.
	Write
	// Set sets a session value.
	Set
	// Prepare prepares a statement under a name in the session.
	Prepare
	// Execute runs a prepared statement.
	Execute
	// Deallocate removes a prepared statement from the session.
	Deallocate
)

// String returns the name of the kind.
func (k Kind) String() string {
	return [...]string{
		"Unknown", "Begin", "BeginRead", "Commit", "Rollback", "Read", "Write", "Set", "Prepare", "Execute", "Deallocate",
	}[k]
}

// Prepared is a prepared statement without the name that a session gave it.
type Prepared struct {
	// Writes is true if the statement writes.
	Writes bool
	// Text is the statement as the client wrote it; never empty.
	Text string
}

// Statement is one statement of a client. It is immutable.
type Statement struct {
	// ID is the client's ID of the statement. The signature of an endpoint's answer
	// covers it.
	ID string
	// Kind determines which of the fields below are set.
	Kind Kind
	// Text is the statement as the client wrote it.
	Text string
	// Name is the name of a session value or of a prepared statement.
	Name string
	// Value is the session value of Set.
	Value string
	// Prepared is set for Prepare, and for Execute once the session has resolved the
	// name.
	Prepared Prepared
	// Arguments are those of Execute, as the client wrote them, with the separator before
	// them, so that an empty argument differs from none.
	Arguments string
}

// WithPrepared returns an Execute with the prepared statement that its name refers to.
func (s Statement) WithPrepared(p Prepared) Statement {
	s.Prepared = p
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
