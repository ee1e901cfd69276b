// Package correlation decides whether an answer belongs to the statement that waits for one
// on a connection whose answers name no statement. Endpoints may send an answer twice, the
// second time after later statements were sent.
package correlation

import "eelgrassladder.example/eelgrassladder/internal/model/statement"

// Expected is the kind of answer with which a statement succeeds.
type Expected int

// The kinds of answers.
const (
	// Signed is the answer to a read, a write or a commit. Its signature is unique.
	Signed Expected = iota
	// Unsigned is the answer to a statement that accesses no data, such as a SET.
	Unsigned
	// Status is the answer to a status request or command: one row without a signature.
	Status
)

// String returns the name of the kind.
func (e Expected) String() string { return [...]string{"Signed", "Unsigned", "Status"}[e] }

// Evidence is what the earlier answers on the connection tell about an answer. It is
// immutable.
type Evidence struct {
	// Repeats is true if an earlier answer was the same.
	Repeats bool
	// SignatureUsed is true if an earlier answer had the signature, and was another one.
	SignatureUsed bool
	// Unsettled is true if an answer that was taken for that of an earlier statement may
	// have been a copy, so that the earlier statement's own answer may still come.
	Unsettled bool
}

// Verdict is the decision about an answer.
type Verdict int

// The verdicts.
const (
	// Own means that the answer belongs to the statement that waits.
	Own Verdict = iota
	// Copy means that the answer is not the statement's, which is still to come.
	Copy
	// Unclear means that the answer cannot be assigned to a statement. The connection must
	// not be used any more, and the outcome of the statement is unknown.
	Unclear
)

// String returns the name of the verdict.
func (v Verdict) String() string { return [...]string{"Own", "Copy", "Unclear"}[v] }

// Judge decides about an answer that arrived while a statement with the expected kind of
// answer waits. No other statement that gets a signed answer may be waiting.
func Judge(e Expected, r statement.Reply, v Evidence) Verdict {
	switch {
	case r.Signature != "":
		return judgeSigned(e, v)
	case r.Code != statement.OK:
		if v.Repeats || v.Unsettled {
			return Unclear
		}
		return Own
	case e == Signed || (e == Status) != (len(r.Rows) > 0):
		if v.Repeats || v.Unsettled {
			return Copy
		}
		return Unclear
	default:
		// Statements that access no data often get equal answers. What was sent before the
		// next signed answer has been processed by then, in order.
		return Own
	}
}

// judgeSigned decides about an answer with a signature.
func judgeSigned(e Expected, v Evidence) Verdict {
	switch {
	case v.Repeats:
		return Copy
	case v.SignatureUsed || e != Signed:
		return Unclear
	default:
		return Own
	}
}

// Settles reports whether every earlier statement has been answered once an answer is taken
// for the own one of a statement. An answer that repeats another leaves that as it was, or
// makes it uncertain.
func Settles(r statement.Reply, v Evidence) bool {
	if r.Signature != "" {
		return true
	}
	return !v.Repeats && !v.Unsettled
}
