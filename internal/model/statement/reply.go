package statement

import "eelgrassladder.example/eelgrassladder/internal/model/position"

// Code is the outcome of a statement.
type Code int

// The outcomes. If the code is one of Busy to Overload, nothing of the client's
// transaction, or of its single statement, has taken effect.
const (
	// OK means that the statement ran and the reply is whole.
	OK Code = iota
	// Busy means that there is no capacity at the moment.
	Busy
	// Aborted means that the transaction was rolled back.
	Aborted
	// Lagging means that the endpoint, or each replica, lacks a position that the read
	// must see.
	Lagging
	// ReadOnly means that the endpoint does not accept writes.
	ReadOnly
	// Misrouted means that the address now belongs to an endpoint other than the
	// intended one.
	Misrouted
	// Overload means that the endpoint or the proxy accepts no further connection.
	Overload
	// InDoubt means that the statement may or may not have run.
	InDoubt
	// TimedOut means that the statement exceeded its timeout; it may have run.
	TimedOut
	// Failed means that the statement ran and failed.
	Failed
	// NoStatement means that no statement is prepared under the name; nothing ran.
	NoStatement
	// NoDatabase means that there is no route for the database.
	NoDatabase
	// Malformed means that the request violates the protocol.
	Malformed
	// TooLarge means that the message exceeds the size limit.
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

// NotRun reports whether an endpoint's answer with the code proves that the statement
// did not run. Aborted is no such proof: the statement may have run before it was
// rolled back. Misrouted and Overload answer an attempt to connect, before any statement.
func (c Code) NotRun() bool {
	return c == Busy || c == NoStatement || c == Lagging || c == ReadOnly
}

// State is the state of a client's session, or of a connection to an endpoint, between
// statements.
type State int

// The states between statements.
const (
	// Idle means that no transaction is open.
	Idle State = iota
	// InTransaction means that a transaction is open.
	InTransaction
	// InFailedTransaction means that the open transaction has failed and can only be
	// rolled back.
	InFailedTransaction
)

// Reply is the reply to one statement. It is immutable.
type Reply struct {
	// Rows are in the order in which the endpoint sent them.
	Rows []string
	// Signature is the endpoint's proof that it ran the statement; empty if the proxy
	// answered the statement itself.
	Signature string
	// Code is OK or says what went wrong.
	Code Code
	// Detail is a text for people that explains Code; may be empty.
	Detail string
	// State is the state of the session, or of the connection to the endpoint, after
	// the statement.
	State State
	// Position is the end of the part of the endpoint's log that reads there can see;
	// zero if the endpoint did not report it.
	Position position.Position
	// Doubtful is true for an answer without a signature that may be a copy of the answer to
	// an earlier request, or that earlier one's own. What it shows may then be older than the
	// request.
	Doubtful bool
}

// ErrorReply returns a reply with a code other than OK and without rows.
func ErrorReply(c Code, detail string) Reply { return Reply{Code: c, Detail: detail} }

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

// replyBytes is what a reply takes beside its texts.
const replyBytes = 128

// Size returns how many bytes the reply takes in memory, about.
func (r Reply) Size() int {
	size := replyBytes + len(r.Detail)
	for _, row := range r.Rows {
		size += len(row) + rowBytes
	}
	return size
}

// rowBytes is what a row takes beside its text.
const rowBytes = 16
