package quota

import "time"

const (
	// MaxLoan is how many tokens a proxy asks another for at most, and lends at most.
	MaxLoan = 64
	// maxEmptyLenders is after how many lenders that had too few tokens, or did not answer,
	// a proxy stops asking. Asking all holders of a team that is far over its limit would
	// cost a call each for nothing.
	maxEmptyLenders = 4
	// AnswerTimeout is how long an answer is awaited. Later answers are dropped, because a
	// frozen process may find one when it resumes.
	AnswerTimeout = 100 * time.Millisecond
	// SkipTime is how long a lender that did not answer is not asked.
	SkipTime = time.Second
	// RefusalTime is how long a team's operations are refused without asking after too few
	// tokens were found.
	RefusalTime = 200 * time.Millisecond
	// MaxWait is how long an operation waits for a token.
	MaxWait = 150 * time.Millisecond
)

// Borrowing is the order in which a proxy asks the lenders of a team. It is immutable.
type Borrowing struct {
	// lenders are those left to ask, the next first.
	lenders []string
}

// Standing is what a proxy knows of a lender when it begins to ask.
type Standing int

const (
	// Unknown says that the lender may have tokens.
	Unknown Standing = iota
	// Empty says that it had too few tokens lately, and may have produced none since.
	Empty
	// Unresponsive says that it did not answer lately.
	Unresponsive
)

// NewBorrowing returns the order of asking the lenders. It begins at another lender with each
// turn, so that the requests are spread over all. Those that were empty come last, and those
// that are unresponsive are left out.
func NewBorrowing(lenders []string, turn int, standing func(lender string) Standing) Borrowing {
	var candidates, empty []string
	for i := range lenders {
		lender := lenders[(turn+i)%len(lenders)]
		switch standing(lender) {
		case Unknown:
			candidates = append(candidates, lender)
		case Empty:
			empty = append(empty, lender)
		case Unresponsive:
		}
		if len(candidates) == maxEmptyLenders {
			break
		}
	}
	order := append(candidates, empty...)
	return Borrowing{lenders: order[:min(len(order), maxEmptyLenders)]}
}

// EmptyTime returns how long a lender that was found empty counts as Empty: until it has
// produced another token, but at most SkipTime, because others may have lent it some.
func (p Plan) EmptyTime() time.Duration {
	perHolder := p.Limit.Rate / float64(max(len(p.Lenders), 1))
	if perHolder < 1/SkipTime.Seconds() {
		return SkipTime
	}
	return time.Duration(float64(time.Second) / perHolder)
}

// Next returns the lender to ask. It reports false if no more are to be asked.
func (b Borrowing) Next() (string, bool) {
	if len(b.lenders) == 0 {
		return "", false
	}
	return b.lenders[0], true
}

// WithEmpty returns the order after the next lender had too few tokens or did not answer.
func (b Borrowing) WithEmpty() Borrowing {
	b.lenders = b.lenders[min(1, len(b.lenders)):]
	return b
}
