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
	// Opening is the answer to a BEGIN, which has no signature.
	Opening
	// Unsigned is the answer to another statement that accesses no data, such as a SET.
	Unsigned
	// Status is the answer to a status request or command: one row without a signature.
	Status
)

// String returns the name of the kind.
func (e Expected) String() string { return [...]string{"Signed", "Opening", "Unsigned", "Status"}[e] }

// mayRefuse reports whether a statement without a signed answer can be refused with a code.
// Only a BEGIN can lack a position, no such statement needs a prepared one, and a SET or the
// like takes no slot of the endpoint. A member that has lost the lead refuses any statement
// of a transaction as ReadOnly.
func (e Expected) mayRefuse(c statement.Code) bool {
	switch c {
	case statement.NoStatement:
		return false
	case statement.Lagging:
		return e == Opening
	case statement.ReadOnly:
		return e != Status
	case statement.Busy:
		return e != Unsigned
	default:
		return true
	}
}

// Outstanding is a set of statements whose own answers may still come, because those that
// were taken for them may have been copies. It holds the kinds of answers other than Signed,
// and is immutable.
type Outstanding uint8

// With returns the set with a statement that expects the kind of answer.
func (o Outstanding) With(e Expected) Outstanding { return o | 1<<e }

// has reports whether a statement of the set expects the kind of answer.
func (o Outstanding) has(e Expected) bool { return o&(1<<e) != 0 }

// mayRefuse reports whether a statement of the set can be refused with a code.
func (o Outstanding) mayRefuse(c statement.Code) bool {
	for _, e := range [...]Expected{Opening, Unsigned, Status} {
		if o.has(e) && e.mayRefuse(c) {
			return true
		}
	}
	return false
}

// Evidence is what the earlier answers on the connection tell about an answer. It is
// immutable.
type Evidence struct {
	// Repeats is true if an earlier answer was the same.
	Repeats bool
	// SignatureUsed is true if an earlier answer had the signature, and was another one.
	SignatureUsed bool
	// Outstanding are the earlier statements whose own answers may still come.
	Outstanding Outstanding
	// Trusted is true if the endpoint is taken to send each answer once; see Conduct.
	Trusted bool
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
		// Whichever status request was refused, another one follows.
		if e != Status && (v.Repeats || v.Outstanding.mayRefuse(r.Code)) {
			return Unclear
		}
		return Own
	case e == Signed || (e == Status) != (len(r.Rows) > 0):
		if v.Repeats || v.Outstanding != 0 {
			return Copy
		}
		return Unclear
	case e == Opening && !v.Trusted && v.Doubtful(e):
		// If the BEGIN was refused, the next statement would run outside of a transaction.
		return Unclear
	default:
		// Statements that access no data often get equal answers. What was sent before the
		// next signed answer has been processed by then, in order.
		return Own
	}
}

// Doubtful reports whether an answer without a signature that is taken for the own one of a
// statement may be that of an earlier statement with the same kind of answer.
func (v Evidence) Doubtful(e Expected) bool { return v.Repeats || v.Outstanding.has(e) }

// HindersWrites reports whether a connection that has had an error with the code should carry
// no write: the write may be refused alike, which would be unclear and leave it in doubt.
func HindersWrites(c statement.Code) bool { return c == statement.Busy || c == statement.ReadOnly }

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

// After returns the statements whose own answers may still come once an answer is taken for
// the own one of a statement. A new signature shows that all before it have been answered.
func (v Evidence) After(e Expected, r statement.Reply) Outstanding {
	switch {
	case r.Signature != "":
		return 0
	case v.Repeats, r.Code != statement.OK && v.Outstanding.mayRefuse(r.Code):
		return v.Outstanding.With(e)
	default:
		return v.Outstanding
	}
}
