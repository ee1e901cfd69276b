package member_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/lab/line"
	"eelgrassladder.example/eelgrassladder/internal/lab/member"
	"eelgrassladder.example/eelgrassladder/internal/lab/testbed"
)

// exchange sends messages on a connection and returns what the member answers up to the end
// of the connection. The last message must end it.
func exchange(t *testing.T, m *member.Member, messages ...string) string {
	t.Helper()
	c, err := net.Dial("tcp4", m.Address)
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	_, err = c.Write([]byte(strings.Join(messages, line.End) + line.End))
	assert.NilError(t, err)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
	var answer strings.Builder
	buffer := make([]byte, 512)
	for {
		n, err := c.Read(buffer)
		answer.Write(buffer[:n])
		if err != nil {
			assert.ErrorContains(t, err, "EOF")
			return answer.String()
		}
	}
}

// TestAMemberRefusesAsEndpointsDo guards against a member that accepts what endpoints refuse,
// or refuses it in another way, so that the fault of a proxy never shows.
func TestAMemberRefusesAsEndpointsDo(t *testing.T) {
	_, members, _ := start(t, 2)
	const (
		greeting  = "READY I 1.1\r\n"
		opened    = greeting + "COMPLETE -\r\nREADY T 1.1\r\n"
		malformed = "ERROR MALFORMED "
		inFailed  = malformed + "failed transaction\r\nREADY E 1.1\r\n"
	)
	connect := func(messages ...string) []string {
		return append(append([]string{"CONNECT g team m-0"}, messages...), "END")
	}
	for _, c := range []struct {
		name     string
		messages []string
		want     string
	}{
		{"another group", []string{"CONNECT h team m-0"}, "ERROR MISROUTED another member\r\n"},
		{"another member", []string{"CONNECT g team m-1"}, "ERROR MISROUTED another member\r\n"},
		{"no member", []string{"CONNECT g team"}, "ERROR MISROUTED another member\r\n"},
		{"no caller", []string{"CONNECT g  m-0"}, "ERROR MISROUTED another member\r\n"},
		{"caller with a blank", []string{"CONNECT g two teams m-0"}, "ERROR MISROUTED another member\r\n"},
		{"no identifier", connect("QUERY  READ x"), greeting + malformed + "no identifier\r\nREADY I 1.1\r\n"},
		{"no item", connect("QUERY q READ"), greeting + malformed + "arguments\r\nREADY I 1.1\r\n"},
		{"no item to write", connect("QUERY q WRITE "), greeting + malformed + "arguments\r\nREADY I 1.1\r\n"},
		{"no name to set", connect("QUERY q SET  v"), greeting + malformed + "arguments\r\nREADY I 1.1\r\n"},
		{"no shape", connect("QUERY q PREPARE s READ"), greeting + malformed + "arguments\r\nREADY I 1.1\r\n"},
		{"no mode", connect("QUERY q PREPARE s DROP x"), greeting + malformed + "arguments\r\nREADY I 1.1\r\n"},
		{"status with an argument", connect("QUERY q STATUS now"), greeting + malformed + "arguments\r\nREADY I 1.1\r\n"},
		{"commit of nothing", connect("QUERY q COMMIT"), greeting + malformed + "no transaction\r\nREADY I 1.1\r\n"},
		{"unknown position", connect("QUERY q AFTER 1.9 READ x"), greeting + "ERROR LAGGING behind\r\nREADY I 1.1\r\n"},
		{
			"transaction in a transaction", connect("QUERY q BEGIN", "QUERY q BEGIN READ", "QUERY q COMMIT"),
			opened + malformed + "a transaction is open\r\nREADY E 1.1\r\nERROR ABORTED failed\r\nREADY I 1.1\r\n",
		},
		{
			"failed transaction",
			connect("QUERY q BEGIN", "QUERY q EXECUTE s x", "QUERY q READ x", "QUERY q AFTER 1.9 READ x", "QUERY q SET a b",
				"QUERY q STATUS", "QUERY q RESET", "QUERY q COMMIT now", "QUERY q ROLLBACK"),
			opened + "ERROR NOSTMT s\r\nREADY E 1.1\r\n" + strings.Repeat(inFailed, 6) + "COMPLETE -\r\nREADY I 1.1\r\n",
		},
	} {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, exchange(t, members[0], c.messages...), c.want) })
	}
	longest := "QUERY q READ " + strings.Repeat("x", line.MaxLength-len("QUERY q READ ")-len(line.End))
	assert.Equal(t, exchange(t, members[0], connect(longest)...),
		greeting+fmt.Sprintf("ROW -\r\nCOMPLETE sig-m-0-q-%d\r\nREADY I 1.1\r\n", len(longest)-len("QUERY q ")))
}

// TestAMemberEndsTheConnectionOfATooLongMessage guards against a member that runs a message
// beyond the platform's limit.
func TestAMemberEndsTheConnectionOfATooLongMessage(t *testing.T) {
	_, members, _ := start(t, 1)
	c := dial(t, members[0])
	assert.NilError(t, c.Send("QUERY q READ "+strings.Repeat("x", line.MaxLength-len("QUERY q READ ")-len(line.End)+1)))
	_, err := c.ReadLine()
	assert.Assert(t, err != nil)
	ran, _ := members[0].Counts()
	assert.Equal(t, ran, 0)
}

// TestConnectionsOfAllCallersCountAgainstOneLimit guards against a member that takes more
// connections than an endpoint does: for each caller, or after those of a peer without power.
func TestConnectionsOfAllCallersCountAgainstOneLimit(t *testing.T) {
	group, _, g := start(t, 1)
	m, err := group.Add(g, "small", 2, 2, 0)
	assert.NilError(t, err)
	first, err := testbed.DialAs(m.Address, "g", "bakery small")
	assert.NilError(t, err)
	defer first.Close()
	second, err := testbed.DialAs(m.Address, "g", "hotel small")
	assert.NilError(t, err)
	assert.Equal(t, exchange(t, m, "CONNECT g school small"), "ERROR OVERLOAD too many connections\r\n")
	_, rejected := m.Counts()
	assert.Equal(t, rejected, 1)

	group.DelayCloses(300 * time.Millisecond)
	closed := time.Now()
	second.Close()
	for {
		c, err := testbed.DialAs(m.Address, "g", "school small")
		if err == nil {
			c.Close()
			break
		}
		assert.ErrorContains(t, err, "ERROR OVERLOAD")
		time.Sleep(5 * time.Millisecond)
	}
	assert.Assert(t, time.Since(closed) >= 300*time.Millisecond)
	m.Restart()
	assert.NilError(t, testbed.WaitFor(context.Background(), time.Second, func() bool {
		c, err := testbed.DialMember(m)
		if err == nil {
			c.Close()
		}
		return err == nil
	}), "connections from before the restart still count")
}

// TestANewConnectionHoldsASlot guards against a member at which new connections cost nothing.
func TestANewConnectionHoldsASlot(t *testing.T) {
	g, group := tasks(t), member.NewGroup("g", 0, time.Millisecond)
	group.ConnectTime = 40 * time.Millisecond
	m, err := group.Add(g, "m", 1, 8, 0)
	assert.NilError(t, err)
	c, err := testbed.DialMember(m)
	assert.NilError(t, err)
	defer c.Close()
	began := time.Now()
	g.GoIsolated("another caller", func(context.Context) {
		if other, err := testbed.DialMember(m); err == nil {
			other.Close()
		}
	})
	time.Sleep(10 * time.Millisecond)
	_, err = c.Do("READ x")
	assert.NilError(t, err)
	assert.Assert(t, time.Since(began) >= 40*time.Millisecond, "%v", time.Since(began))
}

// TestStatementsOfStrangersAreRecorded guards against a statement that runs for a name that is
// no team's, such as a key.
func TestStatementsOfStrangersAreRecorded(t *testing.T) {
	g, group := tasks(t), member.NewGroup("g", 0, time.Millisecond)
	group.KnownCaller = func(name string) bool { return name == "bakery" }
	m, err := group.Add(g, "m", 1, 8, 0)
	assert.NilError(t, err)
	for _, caller := range []string{"bakery", "k1"} {
		c, err := testbed.DialAs(m.Address, "g", caller+" m")
		assert.NilError(t, err)
		defer c.Close()
		_, err = c.DoAs("q1", "READ x")
		assert.NilError(t, err)
	}
	assert.DeepEqual(t, group.UnknownCallers(), []string{`m ran q1 "READ x" for "k1"`})
}
