package statement

import "eelgrassladder.example/eelgrassladder/internal/model/position"

// Code is the outcome of a statement.
type Code int

// The outcomes. Those from Busy to Overload promise that nothing of the
// client's transaction, or of its single statement, was kept.
const (
	// OK means that the statement ran and the reply is whole.
	OK Code = iota
	// Busy means that there is no capacity at the moment.
	Busy
	// Aborted means that the transaction was rolled back.
	Aborted
	// Lagging means that no replica is fresh enough.
	Lagging
	// ReadOnly means that the endpoint does not accept writes.
	ReadOnly
	// Misrouted means that the endpoint is another one than was meant.
	Misrouted
	// Overload means that there are too many connections.
	Overload
	// InDoubt means that the statement may or may not have run.
	InDoubt
	// TimedOut means that the statement ran out of time and may have run.
	TimedOut
	// Failed means that the statement ran and failed.
	Failed
	// NoStatement means that the prepared name is unknown; nothing ran.
	NoStatement
	// NoDatabase means that no route leads to the database.
	NoDatabase
	// Malformed means that the request breaks the protocol.
	Malformed
	// TooLarge means that the message is over the limit.
	TooLarge
	// Unauthorized means that the caller may not connect.
	Unauthorized
)

// String returns the name of the code.
func (c Code) String() string {
	return [...]string{
		"OK", "Busy", "Aborted", "Lagging", "ReadOnly", "Misrouted", "Overload", "InDoubt", "TimedOut", "Failed",
		"NoStatement", "NoDatabase", "Malformed", "TooLarge", "Unauthorized",
	}[c]
}

// NotRun reports whether an endpoint that answers with the code has proven
// that the statement did not run.
func (c Code) NotRun() bool {
	return c == Busy || c == NoStatement || c == Lagging || c == ReadOnly
}

// State is the state of a session between statements.
type State int

// The states of a session.
const (
	// Idle means that no transaction is open.
	Idle State = iota
	// InTransaction means that a transaction is open.
	InTransaction
	// InFailedTransaction means that the open transaction has failed and can only be
	// rolled back.
	InFailedTransaction
)

// Reply is the answer to one statement. It is immutable.
type Reply struct {
	// Rows are the rows in the order in which the endpoint sent them.
	Rows []string
	// Signature is the endpoint's proof of the run; empty for an answer of
	// the proxy's own.
	Signature string
	// Code is OK or says what went wrong.
	Code Code
	// Detail is text for people; may be empty.
	Detail string
	// State is the state of the session, or of the endpoint's connection,
	// after the statement.
	State State
	// Position is the end of the endpoint's log that reads there can see;
	// zero when it was not told.
	Position position.Position
}

// Fail returns the reply for a statement that the proxy answers itself with
// an error.
func Fail(c Code, detail string) Reply { return Reply{Code: c, Detail: detail} }

// WithState returns the reply with another state.
func (r Reply) WithState(s State) Reply {
	r.State = s
	return r
}

// WithPosition returns the reply with another position.
func (r Reply) WithPosition(p position.Position) Reply {
	r.Position = p
	return r
}
