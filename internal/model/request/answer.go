package request

import (
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/position"
)

// Outcome says what became of a request.
type Outcome int

// The outcomes of a request.
const (
	// Unknown means that the request may or may not have run.
	Unknown Outcome = iota
	// Done means that the request ran and Payload is its whole answer.
	Done
	// NotRun means that the request was proven not to have run.
	NotRun
)

// String returns the outcome's name in reports.
func (o Outcome) String() string {
	switch o {
	case Done:
		return "Done"
	case NotRun:
		return "NotRun"
	default:
		return "Unknown"
	}
}

// Status is the state of a transaction after an answer.
type Status byte

// The transaction states, as the PostgreSQL protocol writes them.
const (
	// Idle means that no transaction is open.
	Idle Status = 'I'
	// Open means that a transaction is open.
	Open Status = 'T'
	// Aborted means that the open transaction can only be rolled back.
	Aborted Status = 'E'
)

// Answer is what the owner says of a request. It is immutable.
type Answer struct {
	// Outcome says whether the request ran.
	Outcome Outcome
	// Payload is the encoded answer, whole; empty unless Outcome is Done.
	Payload []byte
	// Position is held by a majority and covers the request's effects and
	// what it has read; zero while a transaction is open.
	Position position.Position
	// Pin is the transaction that stays open, or zero.
	Pin uint64
	// Owner is the proxy that holds Pin.
	Owner string
	// Status is the state of the transaction after the answer.
	Status Status
	// Refusal explains an outcome other than Done.
	Refusal Refusal
	// Moved is true when the proxy that was asked does not own the group; the
	// request was not run and may be sent to the owner.
	Moved bool
	// Replica is true when a replica served the request.
	Replica bool
}

// Refusal is the reason why a request was not run, or not known to have run.
type Refusal struct {
	// Code is an SQLSTATE of five characters.
	Code string
	// Message is one line of text without the caller's data.
	Message string
	// Hint says what the caller may do; may be empty.
	Hint string
	// RetryAfter is how long to wait before another try; zero says nothing.
	RetryAfter time.Duration
}

// The SQLSTATEs that the system itself answers with.
const (
	// CodeTooManyConnections refuses work that can't meet its target.
	CodeTooManyConnections = "53300"
	// CodeConfigurationLimit refuses work over a stated limit.
	CodeConfigurationLimit = "53400"
	// CodeShutdown ends an idle connection of a proxy that is leaving.
	CodeShutdown = "57P01"
	// CodeCannotConnect refuses work while no primary serves.
	CodeCannotConnect = "57P03"
	// CodeUnknown says that a transaction's resolution is unknown.
	CodeUnknown = "08007"
	// CodeCancelled says that the caller cancelled the request.
	CodeCancelled = "57014"
	// CodeRolledBack reports a transaction that was rolled back.
	CodeRolledBack = "40001"
	// CodeReadOnly is how a replica refuses a write.
	CodeReadOnly = "25006"
	// CodeProtocol reports a malformed message.
	CodeProtocol = "08P01"
	// CodeNotSupported reports a feature that the system refuses.
	CodeNotSupported = "0A000"
	// CodePassword reports a failed authentication.
	CodePassword = "28P01"
	// CodeNotAllowed reports a caller that may not use a class or database.
	CodeNotAllowed = "42501"
	// CodeNoDatabase reports an unknown database.
	CodeNoDatabase = "3D000"
	// CodeBadValue reports a bad value of a setting.
	CodeBadValue = "22023"
)

// Refused returns an answer that the request was not run.
func Refused(code, message, hint string, retryAfter time.Duration) Answer {
	return Answer{
		Outcome: NotRun,
		Status:  Idle,
		Refusal: Refusal{Code: code, Message: message, Hint: hint, RetryAfter: retryAfter},
	}
}

// OutcomeUnknown returns an answer that the outcome is unknown.
func OutcomeUnknown(message string) Answer {
	return Answer{
		Outcome: Unknown,
		Status:  Idle,
		Refusal: Refusal{
			Code:    CodeUnknown,
			Message: message,
			Hint:    "Read back whether the work took effect before running it again.",
		},
	}
}

// RolledBack returns an answer that a transaction is gone. The request was not
// sent, so neither it nor a commit has run, and the member rolls back.
func RolledBack(message string) Answer {
	return Refused(CodeRolledBack, message, "Run the transaction again.", 0)
}

// WithEarlierTry returns the answer that a request may be told when an earlier
// try of it may have run: never that it was not run.
func (a Answer) WithEarlierTry(ran bool) Answer {
	if !ran || a.Outcome != NotRun {
		return a
	}
	return OutcomeUnknown("an earlier try may have run: " + a.Refusal.Message)
}

// WithPosition returns an answer with a position.
func (a Answer) WithPosition(p position.Position) Answer {
	a.Position = p
	return a
}

// WithPin returns an answer after which a transaction stays open.
func (a Answer) WithPin(owner string, pin uint64) Answer {
	a.Owner = owner
	a.Pin = pin
	return a
}
