package member_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/lab/member"
	"eelgrassladder.example/eelgrassladder/internal/lab/testbed"
)

// TestALaggingReplicaKeepsVisibleEntries guards against a simulated replica that hides
// entries again when a lag is injected after reads have seen them, which no real
// replica does (soak, seed 102).
func TestALaggingReplicaKeepsVisibleEntries(t *testing.T) {
	g := task.New(context.Background())
	defer func() {
		g.Stop()
		_ = g.Wait()
	}()
	group := member.NewGroup("g", 1, time.Millisecond)
	primary, err := group.Add(g, "p", 2, 8, 0)
	assert.NilError(t, err)
	replica, err := group.Add(g, "r", 2, 8, 0)
	assert.NilError(t, err)
	c, err := testbed.DialMember(primary)
	assert.NilError(t, err)
	defer c.Close()
	a, err := c.Do("WRITE x 1")
	assert.NilError(t, err)
	assert.Assert(t, a.OK())
	r, err := testbed.DialMember(replica)
	assert.NilError(t, err)
	defer r.Close()
	a, err = r.Do("READ x")
	assert.NilError(t, err)
	assert.DeepEqual(t, a.Rows, []string{"1"})
	replica.SetFault(member.Fault{Lag: time.Minute})
	a, err = r.Do("READ x")
	assert.NilError(t, err)
	assert.DeepEqual(t, a.Rows, []string{"1"})
}

// tasks returns a group of tasks, which the end of the test stops.
func tasks(t *testing.T) *task.Group {
	t.Helper()
	g := task.New(context.Background())
	t.Cleanup(func() {
		g.Stop()
		_ = g.Wait()
	})
	return g
}

// start starts a group, whose first member is the primary, and stops it at the end of
// the test. It returns the group's tasks, too.
func start(t *testing.T, members int) (*member.Group, []*member.Member, *task.Group) {
	t.Helper()
	g, group := tasks(t), member.NewGroup("g", 1, time.Millisecond)
	for i := range members {
		_, err := group.Add(g, fmt.Sprintf("m-%d", i), 2, 8, 0)
		assert.NilError(t, err)
	}
	return group, group.Members(), g
}

// dial opens a session to a member and closes it at the end of the test.
func dial(t *testing.T, m *member.Member) *testbed.Client {
	t.Helper()
	c, err := testbed.DialMember(m)
	assert.NilError(t, err)
	t.Cleanup(c.Close)
	return c
}

// do runs a statement on a new connection. The statement must succeed.
func do(t *testing.T, m *member.Member, text string) testbed.Answer {
	t.Helper()
	a, err := dial(t, m).Do(text)
	assert.NilError(t, err)
	assert.Equal(t, a.Code, "", "%s", text)
	return a
}

// startWrite sends a write to a member, waits until the write is in the
// member's log, and returns a channel for the code of its answer.
func startWrite(t *testing.T, g *task.Group, m *member.Member, text string) chan string {
	t.Helper()
	receivedBefore, c, code := m.Received(), dial(t, m), make(chan string, 1)
	g.GoIsolated("caller", func(context.Context) {
		a, err := c.Do(text)
		if err != nil {
			a.Code = err.Error()
		}
		code <- a.Code
	})
	assert.NilError(t, testbed.WaitFor(context.Background(), time.Second, func() bool { return m.Received() != receivedBefore }))
	return code
}

// awaitPrimary waits until a member has become a primary, at most a second.
func awaitPrimary(t *testing.T, m *member.Member) {
	t.Helper()
	assert.NilError(t, testbed.WaitFor(context.Background(), time.Second, func() bool {
		primary, _ := m.State()
		return primary
	}))
}

// TestCommitsWaitForTheReplacementOfATerminatedMember terminates the only replica that
// receives the log. The next commit must wait for the replacement, and both commits count
// as lost once the other replica, which has neither, is promoted.
func TestCommitsWaitForTheReplacementOfATerminatedMember(t *testing.T) {
	group, members, g := start(t, 3)
	members[1].SetFault(member.Fault{NotReplicating: true})
	do(t, members[0], "WRITE x 1")
	members[2].Terminate()
	code := startWrite(t, g, members[0], "WRITE x 2")
	assert.Equal(t, len(group.Members()), 2)
	replacement, err := group.Add(g, "m-new", 2, 8, 0, member.WithAddress(members[2].Address))
	assert.NilError(t, err)
	assert.Equal(t, <-code, "", "the new member did not receive the write")
	assert.Equal(t, replacement.Received(), members[0].Received())
	assert.NilError(t, group.Promote(member.Order{Member: "m-1", Token: 1}))
	awaitPrimary(t, members[1])
	lost, _ := group.Violations()
	assert.Equal(t, lost, 2)
}

func TestARestartEndsASuspension(t *testing.T) {
	group, members, g := start(t, 2)
	do(t, members[1], "SUSPEND 2")
	code := startWrite(t, g, members[0], "WRITE x 1")
	assert.Assert(t, members[1].Received() != members[0].Received())
	members[1].Restart()
	assert.Equal(t, <-code, "")
	do(t, members[1], "SUSPEND 2")
	code = startWrite(t, g, members[0], "WRITE x 2")
	do(t, members[1], "RESUME")
	assert.Equal(t, <-code, "")
	lost, _ := group.Violations()
	assert.Equal(t, lost, 0)
}

func TestAPrimaryIsStillThePrimaryAfterDownUnlessAnotherWasPromoted(t *testing.T) {
	group, members, _ := start(t, 3)
	do(t, members[0], "WRITE x 1")
	members[0].SetFault(member.Fault{Down: true})
	members[0].SetFault(member.Fault{})
	do(t, members[0], "WRITE x 2")
	members[0].SetFault(member.Fault{Down: true})
	assert.NilError(t, group.Promote(member.Order{Member: "m-1", Token: 1}))
	awaitPrimary(t, members[1])
	do(t, members[1], "WRITE x 3")
	assert.Assert(t, members[0].Received() != members[1].Received(), "the member received an entry while it was down")
	members[0].SetFault(member.Fault{})
	primary, _ := members[0].State()
	assert.Assert(t, !primary)
	assert.Equal(t, members[0].Received(), members[1].Received())
	lost, _ := group.Violations()
	assert.Equal(t, lost, 0)
}

// TestLostCommitsAreDescribedWithTheirHolders promotes the replica that has missed a commit.
func TestLostCommitsAreDescribedWithTheirHolders(t *testing.T) {
	group, members, _ := start(t, 3)
	descriptions := make(chan string, 1)
	group.OnLost = func(description string, commits []map[string]string) {
		assert.Check(t, cmp.DeepEqual(commits, []map[string]string{{"x": "1"}}))
		descriptions <- description
	}
	assert.Assert(t, group.Whole())
	members[2].SetFault(member.Fault{NotReplicating: true})
	c, err := testbed.DialMember(members[0])
	assert.NilError(t, err)
	defer c.Close()
	a, err := c.Do("WRITE x 1")
	assert.NilError(t, err)
	assert.Assert(t, a.OK())
	assert.Assert(t, !group.Whole())
	assert.NilError(t, group.Promote(member.Order{Member: "m-2", Token: 1}))
	description := <-descriptions
	assert.Assert(t, cmp.Contains(description, "m-2 leads term 2"))
	assert.Assert(t, cmp.Contains(description, "lacks 1 acknowledged commits, 1.2 to 1.2"))
	assert.Assert(t, cmp.Contains(description, "[m-1 holds=true"))
	lost, _ := group.Violations()
	assert.Equal(t, lost, 1)
}

// TestATerminatedMemberDoesNotComeBackWithTheEndOfAFault guards against a member that
// listens again on an address that another one may have by then.
func TestATerminatedMemberDoesNotComeBackWithTheEndOfAFault(t *testing.T) {
	_, members, _ := start(t, 3)
	members[2].Terminate()
	members[2].SetFault(member.Fault{})
	_, err := testbed.DialMember(members[2])
	assert.Assert(t, err != nil)
}

// TestAMemberMayEndDuringARead guards against a read that looks for entries in the log of a
// terminated member, which ended its goroutine while it held the lock of the group.
func TestAMemberMayEndDuringARead(t *testing.T) {
	group, members, g := start(t, 3)
	slow, err := group.Add(g, "slow", 2, 8, 50*time.Millisecond)
	assert.NilError(t, err)
	c, err := testbed.DialMember(slow)
	assert.NilError(t, err)
	defer c.Close()
	_, err = c.Do("READ x")
	assert.NilError(t, err)
	g.GoIsolated("end of the member", func(context.Context) {
		time.Sleep(20 * time.Millisecond)
		slow.Terminate()
	})
	_, err = c.Do("READ x")
	assert.Assert(t, err != nil)
	answered := make(chan bool)
	g.GoIsolated("use of the group", func(context.Context) {
		time.Sleep(100 * time.Millisecond)
		primary, _ := members[0].State()
		answered <- primary
	})
	select {
	case primary := <-answered:
		assert.Assert(t, primary)
	case <-time.After(2 * time.Second):
		t.Fatal("the group does not answer any more")
	}
}

// TestTheTokenOfADelayedOrderIsSeenWhenItIsExecuted lets a later order overtake a delayed
// one, which is refused.
func TestTheTokenOfADelayedOrderIsSeenWhenItIsExecuted(t *testing.T) {
	group, _, g := start(t, 3)
	delayed, overtaken := make(chan struct{}), make(chan struct{})
	group.DelayPromotion = func(o member.Order) time.Duration {
		if o.Member == "gone" {
			close(delayed)
			<-overtaken
		}
		return 0
	}
	refused := make(chan error, 1)
	g.GoIsolated("delayed order", func(context.Context) {
		refused <- group.Promote(member.Order{Member: "gone", Holder: "proxy-1", Token: 4})
	})
	<-delayed
	assert.NilError(t, group.Promote(member.Order{Member: "m-1", Holder: "proxy-2", Token: 7}))
	_, lowered := group.Violations()
	assert.Equal(t, lowered, 0)
	close(overtaken)
	assert.ErrorContains(t, <-refused, "no such member")
	_, lowered = group.Violations()
	assert.Equal(t, lowered, 1)
	assert.Assert(t, cmp.Contains(group.LoweredTokens()[0], "proxy-1 ordered gone with token 4 after proxy-2 had ordered m-1 with token 7"))
}

// TestACommitThatWaitsEndsWithTheTasks guards against a commit at a primary that no replica
// follows, which keeps the end of a test waiting.
func TestACommitThatWaitsEndsWithTheTasks(t *testing.T) {
	g, group := task.New(context.Background()), member.NewGroup("g", 1, time.Millisecond)
	primary, err := group.Add(g, "m-0", 2, 8, 0)
	assert.NilError(t, err)
	startWrite(t, g, primary, "WRITE x 1")
	g.Stop()
	ended := make(chan error, 1)
	task.New(context.Background()).GoIsolated("wait", func(context.Context) { ended <- g.Wait() })
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the commit still waits")
	}
}

// TestALateLeaderIsAnsweredOnceItLeads promotes a member that leads late.
func TestALateLeaderIsAnsweredOnceItLeads(t *testing.T) {
	group, members, _ := start(t, 3)
	group.LateLead = func() time.Duration { return 30 * time.Millisecond }
	began := time.Now()
	assert.NilError(t, group.Promote(member.Order{Member: "m-1", Token: 1}))
	assert.Assert(t, time.Since(began) >= 30*time.Millisecond)
	primary, _ := members[1].State()
	assert.Assert(t, primary)
}
