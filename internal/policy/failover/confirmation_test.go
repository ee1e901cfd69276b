package failover_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/policy/failover"
)

// view returns a listed member that has answered.
func view(id string, primary bool, term uint64) failover.MemberView {
	return failover.MemberView{ID: id, Listed: true, Answered: true, Primary: primary, Term: term}
}

// silentView returns a listed member that has not answered.
func silentView(id string) failover.MemberView { return failover.MemberView{ID: id, Listed: true} }

// suspendedView returns a replica that is suspended for a term.
func suspendedView(id string, term, suspended uint64) failover.MemberView {
	v := view(id, false, term)
	v.SuspendedTerm = suspended
	return v
}

// TestARecordOfAFormerEraIsConfirmedOnlyIfNoChangeCanBeMissing guards against a proof of a former
// primary, or a second one, after the store has forgotten a change of primary.
func TestARecordOfAFormerEraIsConfirmedOnlyIfNoChangeCanBeMissing(t *testing.T) {
	calm := []failover.MemberView{view("a", true, 1), view("b", false, 1), view("c", false, 1)}
	newer := []failover.MemberView{view("a", false, 2), view("b", true, 2), view("c", false, 2)}
	for name, c := range map[string]struct {
		age      time.Duration
		all      bool
		silent   int
		recorded bool
		closed   bool
		members  []failover.MemberView
		want     failover.Verdict
		primary  string
		term     uint64
	}{
		"all proxies have told":                     {all: true, recorded: true, members: calm, want: failover.Unchanged, primary: "a", term: 1},
		"all have told, the members do not answer":  {all: true, recorded: true, members: []failover.MemberView{silentView("a"), silentView("b")}, want: failover.Unchanged, primary: "a", term: 1},
		"all have told, of a closed record":         {all: true, recorded: true, closed: true, members: calm, want: failover.Interrupted, primary: "a", term: 1},
		"the list may lack members":                 {age: 2 * time.Second, recorded: true, members: calm, want: failover.Undecided, primary: "a", term: 1},
		"only the members know":                     {age: 3 * time.Second, recorded: true, members: calm, want: failover.Unchanged, primary: "a", term: 1},
		"a member leads a later term":               {age: 3 * time.Second, recorded: true, members: newer, want: failover.Interrupted, primary: "a", term: 1},
		"the former primary is cut off and leads":   {age: 3 * time.Second, recorded: true, members: []failover.MemberView{view("a", true, 1), view("b", true, 2), view("c", false, 2)}, want: failover.Interrupted, primary: "a", term: 1},
		"a replica is of a later term":              {age: 3 * time.Second, recorded: true, members: []failover.MemberView{view("a", true, 1), view("b", false, 2), view("c", false, 1)}, want: failover.Interrupted, primary: "a", term: 1},
		"a replica is suspended":                    {age: 3 * time.Second, recorded: true, members: []failover.MemberView{view("a", true, 1), suspendedView("b", 1, 2), view("c", false, 1)}, want: failover.Interrupted, primary: "a", term: 1},
		"the same, although all have told":          {all: true, recorded: true, members: []failover.MemberView{view("a", true, 1), suspendedView("b", 1, 2)}, want: failover.Interrupted, primary: "a", term: 1},
		"the primary is a replica":                  {age: 3 * time.Second, recorded: true, members: []failover.MemberView{view("a", false, 1), view("b", false, 1), view("c", false, 1)}, want: failover.Interrupted, primary: "a", term: 1},
		"the primary is silent":                     {age: 3 * time.Second, recorded: true, members: []failover.MemberView{silentView("a"), view("b", false, 1), view("c", false, 1)}, want: failover.Unchanged, primary: "a", term: 1},
		"a listed replica is silent":                {age: 11 * time.Second, recorded: true, members: []failover.MemberView{view("a", true, 1), silentView("b"), view("c", false, 1)}, want: failover.Undecided, primary: "a", term: 1},
		"a listed replica is silent for long":       {age: 12 * time.Second, recorded: true, members: []failover.MemberView{view("a", true, 1), silentView("b"), view("c", false, 1)}, want: failover.Unchanged, primary: "a", term: 1},
		"primary and replica are silent for long":   {age: 12 * time.Second, recorded: true, members: []failover.MemberView{silentView("a"), silentView("b"), view("c", false, 1)}, want: failover.Undecided, primary: "a", term: 1},
		"a replica that is not listed is gone":      {age: 3 * time.Second, recorded: true, members: []failover.MemberView{view("a", true, 1), {ID: "b"}, view("c", false, 1)}, want: failover.Unchanged, primary: "a", term: 1},
		"a proxy is silent":                         {age: 11 * time.Second, silent: 1, recorded: true, members: calm, want: failover.Undecided, primary: "a", term: 1},
		"a proxy is silent for long":                {age: 12 * time.Second, silent: 1, recorded: true, members: calm, want: failover.Unchanged, primary: "a", term: 1},
		"no record":                                 {age: 3 * time.Second, members: calm, want: failover.Unchanged, primary: "a", term: 1},
		"no record, and two primaries":              {age: 3 * time.Second, members: []failover.MemberView{view("b", true, 2), view("a", true, 1)}, want: failover.Interrupted, primary: "a", term: 1},
		"no record, and no primary":                 {age: 3 * time.Second, members: []failover.MemberView{view("a", false, 1), view("b", false, 1)}, want: failover.Interrupted},
		"no record, and a silent member":            {age: 12 * time.Second, members: []failover.MemberView{view("a", true, 1), silentView("b")}, want: failover.Undecided, primary: "a", term: 1},
		"no record, all have told, silent member":   {all: true, members: []failover.MemberView{view("a", true, 1), silentView("b")}, want: failover.Undecided, primary: "a", term: 1},
		"no record, all have told, all have joined": {all: true, members: calm, want: failover.Unchanged, primary: "a", term: 1},
	} {
		r := failover.Recollection{EraAge: c.age, AllTold: c.all, Silent: c.silent, Recorded: c.recorded, Closed: c.closed, Members: c.members}
		if c.recorded {
			r.Endpoint, r.Term = "a", 1
		}
		verdict, primary, term := r.Decide()
		assert.Equal(t, verdict, c.want, name)
		assert.Equal(t, primary, c.primary, name)
		assert.Equal(t, term, c.term, name)
	}
}

// TestEachWriterLeavesTheEarlierOnesTheirTurn guards against all proxies that confirm a record at the
// same time.
func TestEachWriterLeavesTheEarlierOnesTheirTurn(t *testing.T) {
	assert.Assert(t, failover.MayConfirm(0, 0))
	assert.Assert(t, !failover.MayConfirm(300*time.Millisecond, 1))
	assert.Assert(t, failover.MayConfirm(400*time.Millisecond, 1))
}
