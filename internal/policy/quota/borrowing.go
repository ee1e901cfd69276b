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

// NewBorrowing returns the order of asking the lenders for which usable is true. It begins
// at another lender with each turn, so that the requests are spread over all.
func NewBorrowing(lenders []string, turn int, usable func(lender string) bool) Borrowing {
	var b Borrowing
	for i := range lenders {
		lender := lenders[(turn+i)%len(lenders)]
		if !usable(lender) {
			continue
		}
		if b.lenders = append(b.lenders, lender); len(b.lenders) == maxEmptyLenders {
			break
		}
	}
	return b
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
