// Package quota is the table of the teams' tokens at one proxy: the bucket of each team, and
// the operations that wait for tokens of other proxies.
package quota

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/team"
	policy "eelgrassladder.example/eelgrassladder/internal/policy/quota"
	"eelgrassladder.example/eelgrassladder/internal/table/lockrank"
)

// Table holds the tokens of all limited teams. All times are times since boot. Use New to make
// one.
type Table struct {
	// self is the name of this proxy. It and bounds never change.
	self   string
	bounds policy.Bounds
	// mutex guards the fields below. Its rank is lockrank.Quota.
	mutex *lockrank.Mutex
	// wake is signalled when an account is added to due.
	wake *sync.Cond
	// view is the view that was applied last, if refreshed is true.
	view      View
	refreshed bool
	// accounts is keyed by the name of the team. It holds the limited teams of the view.
	accounts map[string]*account
	// due holds the accounts with waiting operations for which no worker borrows yet.
	due []*account
	// skipped holds, by name, until when a lender that did not answer is not asked.
	skipped map[string]time.Duration
}

// account is what the table holds of one team. The table's mutex guards it.
type account struct {
	team   team.Team
	plan   policy.Plan
	bucket policy.Bucket
	// waiting are the operations that wait for a token, the most urgent first, and of equal
	// ones the first first.
	waiting []*Waiter
	// borrowing is true while the account is due or a worker borrows for it. order is the
	// order in which it asks.
	borrowing bool
	order     policy.Borrowing
	// turn counts the times that an order was begun.
	turn int
	// emptyUntil holds, by name, until when a lender counts as empty.
	emptyUntil map[string]time.Duration
	// asked is who was asked since the order was begun, with the answers.
	asked []string
	// refusedUntil is until when operations are refused without asking, by the reserve that
	// they have to leave, and refusal is what was found then.
	refusedUntil [policy.MaxReserve + 1]time.Duration
	refusal      Refusal
	// refused counts the refused operations.
	refused uint64
}

// Waiter is an operation that waits for a token.
type Waiter struct {
	account *account
	// reserve is how many tokens the operation has to leave in a bucket.
	reserve int
	joined  time.Duration
	// verdict receives the result once. It has room for it, so that the table does not
	// block.
	verdict chan Verdict
}

// Verdict returns the channel that receives the result once.
func (w *Waiter) Verdict() <-chan Verdict { return w.verdict }

// Verdict is the result for an operation.
type Verdict struct {
	// Unlimited is true if the operation needs no token: the configuration does not limit the
	// team, in a version after that of the operation.
	Unlimited bool
	// Granted is true if the operation has a token.
	Granted bool
	// Own is true if the token is from this proxy's own bucket.
	Own bool
	// Refusal says why it has none.
	Refusal Refusal
}

// Refusal describes what was found when an operation was refused. It is immutable.
type Refusal struct {
	Team  team.Team
	Limit policy.Limit
	Share policy.Share
	// Tokens is what the proxy's own bucket held.
	Tokens float64
	// Asked are the proxies that had too few tokens when they were last asked, with their
	// answers, and At is when that ended. Asked is empty if nobody could be asked; it is never
	// modified.
	Asked []string
	At    time.Duration
	// TimedOut is true if the operation had waited for as long as it may.
	TimedOut bool
}

// Ask is one request to another proxy. It is immutable.
type Ask struct {
	// Team is the name of the team, and Tokens how many are wanted. The lender keeps Reserve.
	Team            string
	Tokens, Reserve int
	// Lender is the name of the proxy to ask, and Address where it is reached.
	Lender, Address string
	// At is when the request was made.
	At time.Duration
}

// Answer is what came of an Ask.
type Answer int

const (
	// Answered says that the answer came in time.
	Answered Answer = iota
	// Failed says that there was no answer, or an error.
	Failed
	// Late says that the answer came later than policy.AnswerTimeout.
	Late
)

// String returns the name of the answer, for logs and metrics.
func (a Answer) String() string { return [...]string{"Answered", "Failed", "Late"}[a] }

// New returns a table without teams for the proxy self.
func New(self string, b policy.Bounds) *Table {
	t := &Table{self: self, bounds: b, mutex: lockrank.New(lockrank.Quota), accounts: map[string]*account{}, skipped: map[string]time.Duration{}}
	t.wake = sync.NewCond(t.mutex)
	return t
}

// Admit takes a token of a team for an operation of a priority. It returns a Waiter if this proxy has none
// and others are to be asked, and the result otherwise.
func (t *Table) Admit(name string, priority int, now time.Duration) (*Waiter, Verdict) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	a, ok := t.accounts[name]
	if !ok {
		return nil, Verdict{Unlimited: true}
	}
	reserve := policy.Reserve(priority)
	if a.take(reserve, now) {
		return nil, Verdict{Granted: true, Own: true}
	}
	if now < a.refusedUntil[reserve] {
		return nil, Verdict{Refusal: a.refuse(now)}
	}
	w := &Waiter{account: a, reserve: reserve, joined: now, verdict: make(chan Verdict, 1)}
	a.enqueue(w)
	if !a.borrowing {
		a.borrowing = true
		t.due = append(t.due, a)
		t.wake.Signal()
	}
	return w, Verdict{}
}

// Abandon ends the wait of an operation, and returns the result.
func (t *Table) Abandon(w *Waiter, now time.Duration) Verdict {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	a := w.account
	i := slices.Index(a.waiting, w)
	if i < 0 {
		return <-w.verdict
	}
	a.waiting = slices.Delete(a.waiting, i, i+1)
	a.note(now)
	r := a.refuse(now)
	r.TimedOut = true
	return Verdict{Refusal: r}
}

// GiveBack returns the token of an operation, for which Admit was called at a time, to this
// proxy's own bucket. It reports false if the bucket has no room for it.
func (t *Table) GiveBack(name string, asked, now time.Duration) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	a, ok := t.accounts[name]
	return ok && a.giveBack(1, asked, now) == 1
}

// Lend takes tokens of a team for another proxy, and returns how many. It leaves a reserve.
func (t *Table) Lend(name string, tokens, reserve int, now time.Duration) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	a, ok := t.accounts[name]
	if !ok {
		return 0
	}
	n := 0
	a.bucket, n = a.bucket.WithTaken(min(tokens, policy.MaxLoan), reserve, now)
	return n
}

// Job is a team for which a worker has to borrow tokens, with Table.Next, until no operation
// waits any more.
type Job struct{ account *account }

// Take returns a team for which operations wait, and waits for one if there is none. It returns
// false if there is none and ctx has ended; call Close then to end the wait.
func (t *Table) Take(ctx context.Context) (Job, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for len(t.due) == 0 {
		if ctx.Err() != nil {
			return Job{}, false
		}
		t.wake.Wait()
	}
	a := t.due[0]
	t.due = t.due[1:]
	return Job{account: a}, true
}

// Close wakes all workers, so that they notice that their context has ended.
func (t *Table) Close() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.wake.Broadcast()
}

// Next returns the next request for a job. It reports false if the job is done: no operation
// waits any more. If nobody is left to ask, it refuses those that wait. The caller must pass
// the answer to Receive.
func (t *Table) Next(j Job, now time.Duration) (Ask, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	a := j.account
	for len(a.waiting) > 0 && a.take(a.waiting[0].reserve, now) {
		a.grant(1, true, now)
	}
	if len(a.waiting) == 0 {
		a.endBorrowing()
		return Ask{}, false
	}
	if a.asked == nil {
		a.order = policy.NewBorrowing(a.plan.Lenders, a.turn, func(lender string) policy.Standing { return t.standing(a, lender, now) })
		a.turn++
		a.asked = []string{}
	}
	lender, ok := a.order.Next()
	if !ok {
		a.refuseAll(now)
		a.endBorrowing()
		return Ask{}, false
	}
	reserve := a.waiting[0].reserve
	n := min(a.countUrgent(reserve), policy.MaxLoan)
	for _, w := range a.waiting[:n] {
		// An operation whose caller read the clock later may have got the mutex earlier. It
		// waits already, so the request is made after its time.
		now = max(now, w.joined)
	}
	a.bucket = a.bucket.WithAsked(n, now)
	return Ask{Team: a.team.Name, Tokens: n, Reserve: reserve, Lender: lender, Address: t.view.Lenders[lender], At: now}, true
}

// standing returns what is known of a lender.
func (t *Table) standing(a *account, lender string, now time.Duration) policy.Standing {
	switch {
	case now < t.skipped[lender]:
		return policy.Unresponsive
	case now < a.emptyUntil[lender]:
		return policy.Empty
	default:
		return policy.Unknown
	}
}

// Receive gives the tokens of an answer to waiting operations. What is left, because
// operations have stopped waiting, goes into the own bucket if there is room.
func (t *Table) Receive(j Job, ask Ask, granted int, answer Answer, now time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	a := j.account
	granted = max(min(granted, ask.Tokens), 0)
	if answer != Answered {
		granted = 0
		t.skipped[ask.Lender] = now + policy.SkipTime
	}
	a.bucket = a.bucket.WithUngranted(ask.Tokens-granted, now)
	if granted == ask.Tokens {
		// Those that have begun to wait meanwhile are asked for anew.
		a.asked = nil
	} else {
		a.order = a.order.WithEmpty()
		found := answer.String()
		if answer == Answered {
			found = fmt.Sprint(granted)
			a.emptyUntil[ask.Lender] = now + a.plan.EmptyTime()
		}
		a.asked = append(a.asked, ask.Lender+"="+found)
	}
	// Only operations that waited when the tokens were asked for count their validity from
	// before the lender subtracted them.
	if used := a.grant(granted, false, ask.At); granted > used {
		a.giveBack(granted-used, ask.At, now)
	}
}

// Refusals returns how many operations were refused, by name of the team, for the n teams with
// the most.
func (t *Table) Refusals(n int) map[string]uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var all []*account
	for _, a := range t.accounts {
		if a.refused > 0 {
			all = append(all, a)
		}
	}
	slices.SortFunc(all, func(a, b *account) int {
		return cmp.Or(cmp.Compare(b.refused, a.refused), cmp.Compare(a.team.Name, b.team.Name))
	})
	counts := map[string]uint64{}
	for _, a := range all[:min(n, len(all))] {
		counts[a.team.Name] = a.refused
	}
	return counts
}

// take takes one token from the bucket, if it holds more than a reserve.
func (a *account) take(reserve int, now time.Duration) bool {
	n := 0
	a.bucket, n = a.bucket.WithTaken(1, reserve, now)
	return n == 1
}

// enqueue adds an operation behind those that are as urgent or more.
func (a *account) enqueue(w *Waiter) {
	i := len(a.waiting)
	for i > 0 && a.waiting[i-1].reserve > w.reserve {
		i--
	}
	a.waiting = slices.Insert(a.waiting, i, w)
}

// countUrgent returns how many waiting operations leave the reserve or less.
func (a *account) countUrgent(reserve int) int {
	n := 0
	for n < len(a.waiting) && a.waiting[n].reserve <= reserve {
		n++
	}
	return n
}

// giveBack returns tokens to the bucket, and returns how many there was room for.
func (a *account) giveBack(n int, taken, now time.Duration) int {
	a.bucket, n = a.bucket.WithReturned(n, taken, now)
	return n
}

// grant lets up to n operations run that have waited since a time or longer, the most urgent
// first, and returns how many. Own is true if their tokens are from the bucket.
func (a *account) grant(n int, own bool, since time.Duration) int {
	granted := 0
	a.waiting = slices.DeleteFunc(a.waiting, func(w *Waiter) bool {
		if granted == n || w.joined > since {
			return false
		}
		granted++
		w.verdict <- Verdict{Granted: true, Own: own}
		return true
	})
	return granted
}

// release lets all waiting operations run because the team is not limited any more.
func (a *account) release() {
	for _, w := range a.waiting {
		w.verdict <- Verdict{Unlimited: true}
	}
	a.waiting = nil
}

// refuse counts a refused operation, and returns why it is refused.
func (a *account) refuse(now time.Duration) Refusal {
	a.refused++
	r := a.refusal
	r.Tokens = a.bucket.Tokens(now)
	return r
}

// note notes what is found now, for refusals.
func (a *account) note(now time.Duration) {
	a.refusal = Refusal{Team: a.team, Limit: a.plan.Limit, Share: a.plan.Share, Asked: slices.Clone(a.asked), At: now}
}

// refuseAll refuses all waiting operations, and for policy.RefusalTime those that come later and
// are no more urgent.
func (a *account) refuseAll(now time.Duration) {
	a.note(now)
	for reserve := a.waiting[0].reserve; reserve <= policy.MaxReserve; reserve++ {
		a.refusedUntil[reserve] = now + policy.RefusalTime
	}
	for _, w := range a.waiting {
		w.verdict <- Verdict{Refusal: a.refuse(now)}
	}
	a.waiting = nil
}

// endBorrowing ends the borrowing. The next operation that waits begins another one.
func (a *account) endBorrowing() { a.borrowing, a.asked, a.order = false, nil, policy.Borrowing{} }
