package quota

// reportedTeams is the number of teams whose refused operations are exported. It bounds the
// values of a label.
const reportedTeams = 20

// OperationResult says what became of an operation of a limited team.
type OperationResult int

const (
	// Own says that the operation got a token of this proxy.
	Own OperationResult = iota
	// Borrowed says that it got one of another proxy.
	Borrowed
	// Refused says that it got none.
	Refused
	// Returned says that its token was given back because nothing was sent to an endpoint.
	Returned
)

// String returns the name of the result, for metrics.
func (r OperationResult) String() string {
	return [...]string{"Own", "Borrowed", "Refused", "Returned"}[r]
}

// LoanSide says which side of a loan this proxy was.
type LoanSide int

const (
	// Borrower is the side that asks.
	Borrower LoanSide = iota
	// Holder is the side that lends.
	Holder
)

// String returns the name of the side, for metrics.
func (s LoanSide) String() string { return [...]string{"Borrower", "Holder"}[s] }

// LoanResult says what became of a request for tokens.
type LoanResult int

const (
	// LoanGranted says that all tokens were given.
	LoanGranted LoanResult = iota
	// LoanPartial says that some were given.
	LoanPartial
	// LoanEmpty says that none was given.
	LoanEmpty
	// LoanFailed says that there was no answer, or an error.
	LoanFailed
	// LoanLate says that the answer came too late to be used.
	LoanLate
)

// String returns the name of the result, for metrics.
func (r LoanResult) String() string {
	return [...]string{"Granted", "Partial", "Empty", "Failed", "Late"}[r]
}

// grantResult returns the result of a request that was answered with a number of tokens.
func grantResult(granted, asked int) LoanResult {
	switch {
	case granted == 0:
		return LoanEmpty
	case granted < asked:
		return LoanPartial
	default:
		return LoanGranted
	}
}
