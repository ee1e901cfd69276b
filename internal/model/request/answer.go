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
	// NotRun means that the request certainly did not run.
	NotRun
)

// String returns the name of the outcome.
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

// Status is the state of a caller's transaction after an answer.
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

// Answer is the answer of a group's owner to a request. It is immutable.
type Answer struct {
	// Outcome says whether the request ran.
	Outcome Outcome
	// Payload is the whole encoded answer; empty unless Outcome is Done.
	Payload []byte
	// Position is a position up to which a majority of the group holds the log. It covers
	// what the request wrote and read. Zero while a transaction is open.
	Position position.Position
	// Pin is the ID of the transaction that stays open; zero for none.
	Pin uint64
	// Owner is the name of the proxy that holds the pinned transaction; empty without
	// Pin.
	Owner string
	// Status is the state of the transaction after the answer.
	Status Status
	// Refusal explains an outcome other than Done.
	Refusal Refusal
	// Moved is true if the proxy that was asked does not own the group. The request has
	// not run and may be sent to the owner.
	Moved bool
	// Replica is true if a replica served the request.
	Replica bool
}

// Refusal says why a request was not run, or why its outcome is unknown.
type Refusal struct {
	// Code is an SQLSTATE of five characters.
	Code string
	// Message is one line of text without the caller's data.
	Message string
	// Hint says what the caller can do; may be empty.
	Hint string
	// RetryAfter is how long to wait before another try; zero if unknown.
	RetryAfter time.Duration
}

// The SQLSTATEs that the proxy itself uses or recognises.
const (
	// CodeOverloaded refuses work that cannot meet its target, and work, transactions
	// and connections for which there is no room. PostgreSQL calls it
	// too_many_connections.
	CodeOverloaded = "53300"
	// CodeLimitExceeded refuses work that exceeds a configured limit. PostgreSQL calls
	// it configuration_limit_exceeded.
	CodeLimitExceeded = "53400"
	// CodeShutdown ends an idle caller connection when the proxy is leaving.
	CodeShutdown = "57P01"
	// CodeCannotConnect refuses work while there is no primary.
	CodeCannotConnect = "57P03"
	// CodeUnknown reports that the outcome of a transaction is unknown.
	CodeUnknown = "08007"
	// CodeCancelled reports that the caller cancelled the request.
	CodeCancelled = "57014"
	// CodeRolledBack reports that the transaction was rolled back.
	CodeRolledBack = "40001"
	// CodeReadOnly is the code with which a replica refuses a write.
	CodeReadOnly = "25006"
	// CodeProtocol reports a malformed message.
	CodeProtocol = "08P01"
	// CodeNotSupported reports a feature that the proxy does not support.
	CodeNotSupported = "0A000"
	// CodePassword reports a failed authentication.
	CodePassword = "28P01"
	// CodeNotAllowed reports that the caller may not use a class or database.
	CodeNotAllowed = "42501"
	// CodeNoDatabase reports an unknown database.
	CodeNoDatabase = "3D000"
	// CodeBadValue reports an invalid value of a setting.
	CodeBadValue = "22023"
)

// Refused returns an answer that says that the request was not run.
func Refused(code, message, hint string, retryAfter time.Duration) Answer {
	return Answer{
		Outcome: NotRun,
		Status:  Idle,
		Refusal: Refusal{Code: code, Message: message, Hint: hint, RetryAfter: retryAfter},
	}
}

// OutcomeUnknown returns an answer that says that the outcome is unknown.
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

// RolledBack returns an answer that says that the transaction was rolled back. Use it
// only if the request was not sent to the member, so that neither the request nor a
// commit in it has run.
func RolledBack(message string) Answer {
	return Refused(CodeRolledBack, message, "Run the transaction again.", 0)
}

// WithEarlierTry returns the answer to give to the caller. If an earlier try of the request
// may have run, an answer that says that the request was not run becomes one that says
// that its outcome is unknown.
func (a Answer) WithEarlierTry(mayHaveRun bool) Answer {
	if !mayHaveRun || a.Outcome != NotRun {
		return a
	}
	return OutcomeUnknown("an earlier try may have run: " + a.Refusal.Message)
}

// WithPosition returns the answer with a position.
func (a Answer) WithPosition(p position.Position) Answer {
	a.Position = p
	return a
}

// WithPin returns the answer with a transaction that stays open at a proxy.
func (a Answer) WithPin(owner string, pin uint64) Answer {
	a.Owner = owner
	a.Pin = pin
	return a
}
