package gateway

import "eelgrassladder.example/eelgrassladder/internal/model/leader"

// Doubt says why a commit that a client was told of may be missing from the next
// primary, as far as this proxy knew when it replied. It is for logs and metrics.
type Doubt int

// The doubts about a commit.
const (
	// NoDoubt means that the primary's record was known to be open within the last
	// leader.ProofLifetime, or that the reply reports no commit.
	NoDoubt Doubt = iota
	// RecordOld means that the record was not known to be open within that time.
	RecordOld
	// RecordClosed means that the record was known to be closed, or to name another
	// primary.
	RecordClosed
)

// String returns the name of the doubt in logs and metrics.
func (d Doubt) String() string { return [...]string{"None", "RecordOld", "RecordClosed"}[d] }

// Doubt returns the doubt about the commit that the reply reports.
func (a Answered) Doubt() Doubt {
	if !a.Committed {
		return NoDoubt
	}
	if a.Leader.Closed || a.Leader.Endpoint != a.Endpoint {
		return RecordClosed
	}
	if age, known := a.Leader.RecordAge(a.Now); !known || age > leader.ProofLifetime {
		return RecordOld
	}
	return NoDoubt
}
