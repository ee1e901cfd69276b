package stutter_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/lab/stutter"
)

// The answers of the fake member, one of each kind. The first row contains line ends that end
// no message.
const (
	greeting      = "READY I 1.1\r\n"
	signed        = "ROW a\nREADY I 1.1\rb\r\nROW \r\r\nCOMPLETE sig-1\r\nREADY I 1.2\r\n"
	inTransaction = "COMPLETE -\r\nREADY T 1.2\r\n"
	unsigned      = "COMPLETE -\r\nREADY I 1.2\r\n"
	status        = "ROW primary 1 1.2 0 0 0 1\r\nCOMPLETE -\r\nREADY I 1.2\r\n"
	refusal       = "ERROR BUSY later\r\nREADY I 1.2\r\n"
)

// startRelay returns a connection through a relay to a member that sends the greeting, and
// the next answer for each further request.
func startRelay(t *testing.T, c stutter.Conditions, answers []string, options ...stutter.Option) (net.Conn, *stutter.Relay) {
	t.Helper()
	g := task.New(context.Background())
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	g.GoIsolated("member", func(context.Context) {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		requests := bufio.NewReader(conn)
		for _, a := range append([]string{greeting}, answers...) {
			if _, err := requests.ReadString('\n'); err != nil {
				return
			}
			_, _ = io.WriteString(conn, a)
		}
		_, _ = requests.ReadString('\n')
	})
	r, err := stutter.New(g, listener.Addr().String(), 7, options...)
	assert.NilError(t, err)
	r.SetConditions(c)
	conn, err := net.Dial("tcp4", r.Address())
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = conn.Close()
		_ = listener.Close()
		g.Stop()
		_ = g.Wait()
	})
	return conn, r
}

// exchange sends requests, and returns as many bytes of what follows as wanted has.
func exchange(t *testing.T, conn net.Conn, wanted string, requests ...string) string {
	t.Helper()
	_, err := io.WriteString(conn, strings.Join(requests, "\r\n")+"\r\n")
	assert.NilError(t, err)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	got := make([]byte, len(wanted))
	_, err = io.ReadFull(conn, got)
	assert.NilError(t, err)
	return string(got)
}

func TestWholeAnswersOfEachKindAreRepeated(t *testing.T) {
	t.Parallel()
	for k, repeated := range map[stutter.Kind]string{
		stutter.Greeting: greeting, stutter.Signed: signed, stutter.Unsigned: unsigned, stutter.Status: status, stutter.Error: refusal,
	} {
		answers := []string{signed, unsigned, status, refusal}
		conn, relay := startRelay(t, stutter.Conditions{Share: 1, Kinds: []stutter.Kind{k}}, answers)
		for i, a := range append([]string{greeting}, answers...) {
			wanted := a
			if a == repeated {
				wanted = a + a
			}
			request := "QUERY - STATUS"
			if i == 0 {
				request = "CONNECT group proxy"
			}
			assert.Equal(t, exchange(t, conn, wanted, request), wanted, "%s", k)
		}
		assert.Equal(t, relay.Repeated(), 1)
	}
}

func TestALateCopyFollowsLaterAnswers(t *testing.T) {
	t.Parallel()
	conn, relay := startRelay(t, stutter.Conditions{
		Share: 1, Kinds: []stutter.Kind{stutter.Signed}, Shortest: 200 * time.Millisecond, Longest: 200 * time.Millisecond,
	}, []string{signed, unsigned})
	wanted := greeting + signed + unsigned + signed
	assert.Equal(t, exchange(t, conn, wanted, "CONNECT group proxy", "QUERY 1 READ a", "QUERY - RESET"), wanted)
	assert.Equal(t, relay.Repeated(), 1)
}

func TestACopyMayEndWithTheCurrentReady(t *testing.T) {
	t.Parallel()
	conn, _ := startRelay(t, stutter.Conditions{
		Share: 1, Kinds: []stutter.Kind{stutter.Greeting, stutter.Signed}, Shortest: 200 * time.Millisecond, Longest: 200 * time.Millisecond, CurrentReady: true,
	}, []string{signed, inTransaction})
	wanted := greeting + signed + inTransaction + "READY T 1.2\r\n" + strings.Replace(signed, "READY I 1.2", "READY T 1.2", 1)
	assert.Equal(t, exchange(t, conn, wanted, "CONNECT group proxy", "QUERY 1 READ a", "QUERY 2 BEGIN"), wanted)
}

func TestStatementsAreReportedWithTheValuesInForce(t *testing.T) {
	t.Parallel()
	var mutex sync.Mutex
	var runs []stutter.Run
	conn, _ := startRelay(t, stutter.Conditions{}, []string{unsigned, unsigned, refusal, signed}, stutter.WithObserver(func(r stutter.Run) {
		mutex.Lock()
		defer mutex.Unlock()
		runs = append(runs, r)
	}))
	wanted := greeting + unsigned + unsigned + refusal + signed
	assert.Equal(t, exchange(t, conn, wanted, "CONNECT group proxy", "QUERY - SET colour light blue", "QUERY - PREPARE p READ shape",
		"QUERY 1 AFTER 1.2 WRITE a b", "QUERY 2 EXECUTE p a"), wanted)
	mutex.Lock()
	defer mutex.Unlock()
	assert.Equal(t, len(runs), 2)
	values := map[string]string{"colour": "light blue"}
	assert.DeepEqual(t, runs[0], stutter.Run{Connection: 1, ID: "1", Text: "WRITE a b", Values: values, Before: "I", After: "I", Code: "BUSY"})
	assert.Equal(t, runs[1].Shape, "READ shape")
	assert.DeepEqual(t, runs[1].Rows, []string{"a\nREADY I 1.1\rb", "\r"})
}

func TestARefusedStatementDoesNotReachTheMember(t *testing.T) {
	t.Parallel()
	conn, _ := startRelay(t, stutter.Conditions{Refused: 1}, []string{unsigned})
	assert.Equal(t, exchange(t, conn, greeting, "CONNECT group proxy"), greeting)
	refused := "ERROR BUSY refused\r\nREADY I 1.1\r\n"
	assert.Equal(t, exchange(t, conn, refused, "QUERY 1 WRITE a b"), refused)
	assert.Equal(t, exchange(t, conn, unsigned, "QUERY - RESET"), unsigned)
}
