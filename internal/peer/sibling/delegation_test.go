package sibling

import (
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/gen/peer"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/model/delegation"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/statement"
)

// odd is a text that is no UTF-8 and has the separators of the line protocol.
const odd = " \xff\r\n\x00 "

func fullRequest() delegation.Request {
	values := statement.Values{}.With("a"+odd, odd).With("b", "")
	return delegation.Request{
		Opening: &delegation.Opening{
			Asker: "proxy-1", Database: "d" + odd, Team: "t" + odd, Version: 7, Written: position.Position{Term: 2, Log: 9}, AdmittedAge: 7 * time.Millisecond,
			Begin: statement.Statement{ID: "q1" + odd, Kind: statement.BeginRead, Text: "BEGIN READ" + odd},
		},
		Statement: statement.Statement{
			ID: "q2", Kind: statement.Execute, Text: "EXECUTE s1" + odd, Name: "s1", Prepared: statement.Prepared{Writes: true, Text: "WRITE" + odd}, Arguments: odd,
		},
		Left: 700 * time.Millisecond, Waited: 3 * time.Millisecond, Values: &values,
	}
}

func fullAnswer() delegation.Answer {
	return delegation.Answer{
		Reply: statement.Reply{
			Rows: []string{odd, "", "row"}, Signature: "sig" + odd, Code: statement.Failed, Detail: odd, State: statement.InTransaction,
			Position: position.Position{Term: 3, Log: 4},
		},
		Written: position.Position{Term: 3, Log: 5}, RanOutside: true, Endpoint: "m-1", Primary: true, Attempts: 2,
	}
}

// TestOperationsPassUnchanged guards against texts, rows, values and positions that are changed
// on the way.
func TestOperationsPassUnchanged(t *testing.T) {
	text, err := proto.Marshal(encodeRequest(5, fullRequest()))
	assert.NilError(t, err)
	var m peer.Delegated
	assert.NilError(t, proto.Unmarshal(text, &m))
	got, want := decodeRequest(&m), fullRequest()
	assert.Assert(t, got.Values.Equal(*want.Values))
	got.Values, want.Values = nil, nil
	assert.DeepEqual(t, got, want)

	text, err = proto.Marshal(encodeAnswer(5, fullAnswer()))
	assert.NilError(t, err)
	var a peer.DelegatedAnswer
	assert.NilError(t, proto.Unmarshal(text, &a))
	assert.DeepEqual(t, decodeAnswer(&a), fullAnswer())
}

// TestAllKindsCodesAndStatesHaveAnIndex guards against a kind or code that is added and arrives
// as another one.
func TestAllKindsCodesAndStatesHaveAnIndex(t *testing.T) {
	for k := statement.Unknown; k <= statement.Deallocate; k++ {
		assert.Equal(t, valueAt(kinds, indexOf(kinds, k, statement.Unknown), statement.Unknown), k)
	}
	for c := statement.OK; c <= statement.Unauthorized; c++ {
		assert.Equal(t, valueAt(codes, indexOf(codes, c, statement.InDoubt), statement.InDoubt), c)
	}
	for s := statement.Idle; s <= statement.InFailedTransaction; s++ {
		assert.Equal(t, valueAt(states, indexOf(states, s, statement.InFailedTransaction), statement.InFailedTransaction), s)
	}
	assert.Equal(t, valueAt(codes, 1<<31, statement.InDoubt), statement.InDoubt, "a code of a later version promises nothing")
}

// echo answers each request with its text, in a goroutine for each so that answers are sent at
// the same time.
type echo struct{ tasks *task.Group }

func (echo) RunsDelegations() bool { return true }

func (e echo) ServeDelegations(s *DelegationStream) {
	for {
		number, r, err := s.Receive()
		if err != nil {
			return
		}
		e.tasks.GoIsolated("answer", func(context.Context) {
			_ = s.Send(number, delegation.Answer{Reply: statement.Reply{Rows: []string{r.Statement.Text}}})
		})
	}
}

// startEcho returns the address of a proxy that answers with echo.
func startEcho(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	g := task.New(context.Background())
	g.Go("siblings", func(ctx context.Context) error {
		return NewServer(panicking{}, panicking{}, WithDelegations(echo{g})).Serve(ctx, l)
	})
	t.Cleanup(func() {
		g.Stop()
		_ = g.Wait()
	})
	return l.Addr().String()
}

// TestLongMessagesDoNotBlockOthers guards against messages of 1 MiB that do not pass, that are
// mixed up, or behind which short ones wait.
func TestLongMessagesDoNotBlockOthers(t *testing.T) {
	d, err := OpenDelegation(context.Background(), startEcho(t))
	assert.NilError(t, err)
	defer d.Close()
	texts := map[uint64]string{}
	for i := range uint64(40) {
		texts[i+1] = strings.Repeat(string(rune('a'+i%26)), 10+int(i%4)*350_000)
	}
	var sending sync.WaitGroup
	for number, text := range texts {
		sending.Go(func() {
			assert.Check(t, d.Send(number, delegation.Request{Statement: statement.Statement{Text: text}}))
		})
	}
	received := map[uint64]bool{}
	for range texts {
		number, a, err := d.Receive()
		assert.NilError(t, err)
		assert.Assert(t, a.Reply.Rows[0] == texts[number], "message %d was changed", number)
		received[number] = true
	}
	sending.Wait()
	assert.Equal(t, len(received), len(texts))
	err = d.Send(99, delegation.Request{Statement: statement.Statement{Text: strings.Repeat("x", maxDelegatedBytes)}})
	assert.Assert(t, d.TooLong(err))
	assert.NilError(t, d.Send(100, delegation.Request{Statement: statement.Statement{Text: "still open"}}))
	number, _, err := d.Receive()
	assert.NilError(t, err)
	assert.Equal(t, number, uint64(100))
}

// TestAProxyWithoutPoolingEndsTheStream guards against a statement that is sent to a proxy that
// cannot run it, and whose outcome is then unknown.
func TestAProxyWithoutPoolingEndsTheStream(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	g := task.New(context.Background())
	g.Go("siblings", func(ctx context.Context) error { return NewServer(panicking{}, panicking{}).Serve(ctx, l) })
	defer func() {
		g.Stop()
		_ = g.Wait()
	}()
	_, err = OpenDelegation(context.Background(), l.Addr().String())
	assert.Assert(t, err != nil)
}

// TestAFrozenProxyGetsNoStream guards against a statement that is sent to a proxy whose host
// accepts connections while the process is frozen, and whose outcome is then unknown.
func TestAFrozenProxyGetsNoStream(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0") // accepts nothing
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err = OpenDelegation(ctx, l.Addr().String())
	assert.Assert(t, err != nil)
}

func FuzzDelegated(f *testing.F) {
	full, err := proto.Marshal(encodeRequest(1, fullRequest()))
	assert.NilError(f, err)
	f.Add(full)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, value []byte) {
		var m peer.Delegated
		if proto.Unmarshal(value, &m) != nil {
			return
		}
		r := decodeRequest(&m)
		assert.Assert(t, r.Left >= 0 && r.Left <= maxAge && r.Waited >= 0 && r.Waited <= maxAge)
		_ = r.Statement.Kind.String()
		var whole peer.Delegated
		var a assembly
		_, _ = a.add(m.GetNumber(), m.GetFragment(), m.GetMore(), &whole)
	})
}

func FuzzDelegatedAnswer(f *testing.F) {
	full, err := proto.Marshal(encodeAnswer(1, fullAnswer()))
	assert.NilError(f, err)
	f.Add(full)
	f.Add([]byte{})
	f.Fuzz(func(_ *testing.T, value []byte) {
		var m peer.DelegatedAnswer
		if proto.Unmarshal(value, &m) != nil {
			return
		}
		a := decodeAnswer(&m)
		_ = a.Reply.Code.String()
	})
}
