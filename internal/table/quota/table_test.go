package quota

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/model/team"
	policy "eelgrassladder.example/eelgrassladder/internal/policy/quota"
)

// newBorrower returns a table whose bucket of the team is empty, and that knows n other proxies.
func newBorrower(now time.Duration, n int, teams ...team.Team) *Table {
	t := New("self", policy.DefaultBounds())
	v := View{Version: 1, Teams: teams, Lenders: map[string]string{}}
	for i := range n {
		v.Lenders[fmt.Sprintf("other-%d", i)] = "address"
	}
	t.Refresh(now, func() View { return v })
	return t
}

// takeNow returns the next job, if there is one.
func takeNow(t *Table) (Job, bool) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	return t.Take(ended)
}

// TestOnlyOneBorrowingOfATeamIsInProgress guards against a proxy that sends as many requests as
// operations wait.
func TestOnlyOneBorrowingOfATeamIsInProgress(t *testing.T) {
	now := time.Hour
	table := newBorrower(now, 5, team.Team{Name: bakery}.WithLimit(50, 50), team.Team{Name: "hotel"}.WithLimit(50, 50))
	for range 100 {
		w, _ := table.Admit(bakery, 0, now)
		assert.Assert(t, w != nil)
	}
	w, _ := table.Admit("hotel", 0, now)
	assert.Assert(t, w != nil)
	j, ok := takeNow(table)
	assert.Assert(t, ok)
	other, ok := takeNow(table)
	assert.Assert(t, ok && other.account != j.account, "another team has to wait")
	_, ok = takeNow(table)
	assert.Assert(t, !ok)
	ask, ok := table.Next(j, now)
	assert.Assert(t, ok)
	assert.Equal(t, ask.Tokens, policy.MaxLoan)
	table.Receive(j, ask, 64, Answered, now+time.Millisecond)
	ask, ok = table.Next(j, now+time.Millisecond)
	assert.Assert(t, ok)
	assert.Equal(t, ask.Tokens, 36)
	table.Receive(j, ask, 36, Answered, now+2*time.Millisecond)
	_, ok = table.Next(j, now+2*time.Millisecond)
	assert.Assert(t, !ok)
	w, _ = table.Admit(bakery, 0, now+2*time.Millisecond)
	assert.Assert(t, w != nil)
	_, ok = takeNow(table)
	assert.Assert(t, ok, "the next operation that waits begins no borrowing")
}

// TestAnOperationOfALaterTimeGetsTheTokenAskedForIt guards against a token that is dropped
// because the worker that asks for it has read the clock before the operation, and has got the
// mutex after it.
func TestAnOperationOfALaterTimeGetsTheTokenAskedForIt(t *testing.T) {
	now := time.Hour
	table := newBorrower(now, 5, team.Team{Name: bakery}.WithLimit(50, 50))
	w, _ := table.Admit(bakery, 0, now+time.Microsecond)
	assert.Assert(t, w != nil)
	j, ok := takeNow(table)
	assert.Assert(t, ok)
	ask, ok := table.Next(j, now)
	assert.Assert(t, ok)
	table.Receive(j, ask, ask.Tokens, Answered, now+time.Millisecond)
	select {
	case v := <-w.Verdict():
		assert.DeepEqual(t, v, Verdict{Granted: true})
	default:
		t.Fatal("the operation has no token")
	}
}

// TestEmptyLendersLeadToARefusal guards against operations over the limit that go on costing
// requests, and against lenders that do not answer and are asked at once again.
func TestEmptyLendersLeadToARefusal(t *testing.T) {
	now := time.Hour
	table := newBorrower(now, 9, team.Team{Name: bakery}.WithLimit(50, 50))
	w, _ := table.Admit(bakery, 0, now)
	j, _ := takeNow(table)
	failed := ""
	asked := 0
	for ask, ok := table.Next(j, now); ok; ask, ok = table.Next(j, now) {
		answer := Answered
		if asked++; asked == 1 {
			answer, failed = Failed, ask.Lender
		}
		table.Receive(j, ask, 0, answer, now)
	}
	assert.Equal(t, asked, 4)
	v := <-w.Verdict()
	assert.Assert(t, !v.Granted)
	assert.Equal(t, len(v.Refusal.Asked), 4)
	assert.Equal(t, v.Refusal.Asked[0], failed+"=Failed")
	assert.Equal(t, v.Refusal.Team.Name, bakery)
	w, v = table.Admit(bakery, 0, now+policy.RefusalTime-1)
	assert.Assert(t, w == nil && !v.Granted && len(v.Refusal.Asked) == 4)
	for at := now + policy.RefusalTime; at < now+policy.SkipTime; at += policy.RefusalTime {
		w, _ = table.Admit(bakery, 0, at)
		assert.Assert(t, w != nil)
		j, _ = takeNow(table)
		for ask, ok := table.Next(j, at); ok; ask, ok = table.Next(j, at) {
			assert.Assert(t, ask.Lender != failed)
			table.Receive(j, ask, 0, Answered, at)
		}
	}
	assert.Equal(t, table.Refusals(20)[bakery], uint64(6))
	assert.Equal(t, len(table.Refusals(0)), 0)
}

// TestTokensThatNobodyWaitsForAreNotGivenToOthers guards against tokens that are valid for longer
// than they may be: an operation that began after the lender subtracted them.
func TestTokensThatNobodyWaitsForAreNotGivenToOthers(t *testing.T) {
	now := time.Hour
	table := newBorrower(now, 5, team.Team{Name: bakery}.WithLimit(50, 50))
	first, _ := table.Admit(bakery, 0, now)
	j, _ := takeNow(table)
	ask, _ := table.Next(j, now)
	later, _ := table.Admit(bakery, 0, now+1)
	v := table.Abandon(first, now+2)
	assert.Assert(t, !v.Granted && v.Refusal.TimedOut)
	table.Receive(j, ask, 1, Answered, now+3)
	select {
	case v := <-later.Verdict():
		t.Fatalf("%+v", v)
	default:
	}
}

// TestATeamWithoutALimitIsNotHeldUp guards against operations that wait for tokens of a team
// whose limit was removed, and against a table that keeps teams that are gone.
func TestATeamWithoutALimitIsNotHeldUp(t *testing.T) {
	now := time.Hour
	table := newBorrower(now, 5, team.Team{Name: bakery}.WithLimit(50, 50))
	w, _ := table.Admit(bakery, 0, now)
	table.Refresh(now, func() View { return View{Version: 2, Teams: []team.Team{{Name: bakery}}} })
	v := <-w.Verdict()
	assert.Assert(t, v.Unlimited)
	_, v = table.Admit(bakery, 0, now)
	assert.Assert(t, v.Unlimited)
	assert.Equal(t, len(table.accounts), 0)
	assert.Equal(t, table.Lend(bakery, 5, 0, now), 0)
}

// BenchmarkAdmit measures an operation that its own bucket serves.
func BenchmarkAdmit(b *testing.B) {
	now := time.Hour
	table := New("self", policy.DefaultBounds())
	table.Refresh(now, func() View {
		return View{Version: 1, Teams: []team.Team{team.Team{Name: bakery}.WithLimit(1e9, 1e9)}, ProducesFrom: now}
	})
	now += time.Second
	for b.Loop() {
		if _, v := table.Admit(bakery, 0, now); !v.Own {
			b.Fatal("not served")
		}
	}
}

// BenchmarkRefresh measures a change of the view, with 35 proxies and 86 teams.
func BenchmarkRefresh(b *testing.B) {
	v := View{Lenders: map[string]string{}, ProducesFrom: 1}
	for i := range 34 {
		v.Lenders[fmt.Sprintf("proxy-%d", i)] = "address"
	}
	for i := range 86 {
		v.Teams = append(v.Teams, team.Team{Name: fmt.Sprintf("team-%d", i)}.WithLimit(float64(5+i*5), float64(5+i*5)))
	}
	table := New("self", policy.DefaultBounds())
	for b.Loop() {
		v.Version++
		table.Refresh(time.Hour, func() View { return v })
	}
}
