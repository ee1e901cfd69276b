package endpoint_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/model/group"
	"eelgrassladder.example/eelgrassladder/internal/peer/endpoint"
)

// repeatingMember is a member that answers each query with one row, the query's text, and then
// gives the answers in repeat a second time, by the text. It notes the queries in queries, and in repeated that a second answer was sent
// before the next query.
type repeatingMember struct {
	listener net.Listener
	tasks    *task.Group
	repeat   map[string]repetition
	queries  chan string
	repeated chan struct{}
}

// repetition is the second answer to a query.
type repetition struct {
	// after is how long after the first one it comes.
	after time.Duration
	// before is the query before whose answer it comes; empty for none.
	before string
	// value is what it has in place of the query's text; empty for none.
	value string
}

func startRepeating(t *testing.T, repeat map[string]repetition) *repeatingMember {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	m := &repeatingMember{listener: l, tasks: task.New(context.Background()), repeat: repeat, queries: make(chan string, 100), repeated: make(chan struct{}, 100)}
	m.tasks.GoIsolated("repeating member", func(context.Context) {
		for {
			stream, err := l.Accept()
			if err != nil {
				return
			}
			m.tasks.GoIsolated("connection", func(context.Context) { m.serve(stream) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		m.tasks.Stop()
		_ = m.tasks.Wait()
	})
	return m
}

func (m *repeatingMember) address() string { return m.listener.Addr().String() }

// serve answers the messages on a connection until it is closed.
func (m *repeatingMember) serve(stream net.Conn) {
	stop := context.AfterFunc(m.tasks.Context(), func() { _ = stream.Close() })
	defer stop()
	defer stream.Close()
	b := pgproto3.NewBackend(stream, stream)
	if _, err := b.ReceiveStartupMessage(); err != nil {
		return
	}
	b.Send(&pgproto3.AuthenticationOk{})
	b.Send(&pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte{0, 0, 0, 1}})
	b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	last := ""
	for b.Flush() == nil {
		message, err := b.Receive()
		if err != nil {
			return
		}
		switch message.(type) {
		case *pgproto3.Parse:
			b.Send(&pgproto3.ParseComplete{})
			b.Send(&pgproto3.ParameterDescription{})
			b.Send(&pgproto3.NoData{})
		case *pgproto3.Sync:
			b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
		}
		q, ok := message.(*pgproto3.Query)
		if !ok {
			continue
		}
		m.queries <- q.String
		if r := m.repeat[last]; r.before == q.String {
			answer(b, r.valueOr(last))
		}
		answer(b, q.String)
		last = q.String
		if r, ok := m.repeat[q.String]; ok && r.before == "" {
			if r.after > 0 && b.Flush() != nil {
				return
			}
			time.Sleep(r.after)
			answer(b, r.valueOr(q.String))
			if b.Flush() != nil {
				return
			}
			m.repeated <- struct{}{}
		}
	}
}

// valueOr returns the value, or the text if there is none.
func (r repetition) valueOr(text string) string {
	if r.value != "" {
		return r.value
	}
	return text
}

// positionQuery is the query with which a proxy asks for a position.
const positionQuery = "SELECT * FROM group_position()"

// answer sends the answer to a query.
func answer(b *pgproto3.Backend, text string) {
	values := [][]byte{[]byte(text)}
	var term int
	if _, err := fmt.Sscanf(text, "SELECT * FROM group_fence(%d,", &term); err == nil {
		values[0] = fmt.Appendf(nil, "%d fenced 1 5 5 0", term)
	}
	switch text {
	case positionQuery:
		values = [][]byte{[]byte("1"), []byte("7")}
	case "DISCARD ALL", "insert", "insert again":
		b.Send(&pgproto3.CommandComplete{CommandTag: []byte(text)})
		b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
		return
	}
	b.Send(&pgproto3.RowDescription{Fields: make([]pgproto3.FieldDescription, len(values))})
	b.Send(&pgproto3.DataRow{Values: values})
	b.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
	b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
}

// sent returns the queries that the member has had.
func (m *repeatingMember) sent() []string {
	var texts []string
	for {
		select {
		case text := <-m.queries:
			texts = append(texts, text)
		default:
			return texts
		}
	}
}

// TestNothingIsSentAfterASecondAnswer guards against a caller that gets the rows of another
// one: the endpoint has answered the request before twice.
func TestNothingIsSentAfterASecondAnswer(t *testing.T) {
	for name, after := range map[string]time.Duration{"at once": 0, "later": 5 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			m := startRepeating(t, map[string]repetition{"one": {after: after}})
			c, err := endpoint.Connect(context.Background(), m.address(), database, endpoint.Credentials{User: "test"}, 1)
			assert.NilError(t, err)
			defer c.Close()
			_, _, err = c.Exchange(context.Background(), query(t, "one"), false)
			assert.NilError(t, err)
			<-m.repeated
			result, sent, err := c.Exchange(context.Background(), query(t, "two"), false)
			assert.Assert(t, err != nil, "the answer is %q", result.Payload)
			assert.Assert(t, !sent && c.Broken())
			assert.DeepEqual(t, m.sent(), []string{"one"})
		})
	}
}

// TestAPoolLendsNoConnectionWithASecondAnswer guards against a caller that gets the rows of
// another one, or the answer to the reset: the second answer arrives while the connection is
// being returned, or is idle in the pool.
func TestAPoolLendsNoConnectionWithASecondAnswer(t *testing.T) {
	for name, repeat := range map[string]map[string]repetition{
		"before the reset is answered": {"one": {before: "DISCARD ALL"}},
		"before the reset":             {"one": {}},
		"after the reset":              {"DISCARD ALL": {}},
		"while idle":                   {"DISCARD ALL": {after: 5 * time.Millisecond}},
	} {
		t.Run(name, func(t *testing.T) {
			m := startRepeating(t, repeat)
			pool := endpoint.NewPool(m.tasks, group.Member{Name: "m", Address: m.address(), Connections: 4}, database,
				endpoint.Credentials{User: "test"}, 1, 0)
			defer pool.Close()
			for _, text := range []string{"one", "two", "three"} {
				c, err := pool.Acquire(context.Background())
				assert.NilError(t, err)
				result, _, err := c.Exchange(context.Background(), query(t, text), false)
				assert.NilError(t, err)
				assert.Equal(t, firstValue(t, result.Payload), text)
				pool.Release(c)
				if _, ok := repeat["DISCARD ALL"]; ok {
					<-m.repeated
				}
				time.Sleep(50 * time.Millisecond) // until the reset has ended
			}
		})
	}
}

// TestASecondAnswerIsNotTakenForThatOfARequest guards against a caller that gets the answer of
// another one: the second answer comes after the next request was sent, and the request's own
// answer then follows in place of the position.
func TestASecondAnswerIsNotTakenForThatOfARequest(t *testing.T) {
	for _, texts := range [][2]string{{"one", "two"}, {"one", "insert"}, {"insert", "insert again"}} {
		t.Run(texts[0]+" and "+texts[1], func(t *testing.T) {
			m := startRepeating(t, map[string]repetition{positionQuery: {before: texts[1], value: texts[0]}})
			c, err := endpoint.Connect(context.Background(), m.address(), database, endpoint.Credentials{User: "test"}, 1)
			assert.NilError(t, err)
			defer c.Close()
			_, _, err = c.Exchange(context.Background(), query(t, texts[0]), true)
			assert.NilError(t, err)
			result, sent, err := c.Exchange(context.Background(), query(t, texts[1]), true)
			assert.Assert(t, err != nil, "the answer is %q", result.Payload)
			assert.Assert(t, sent && c.Broken())
		})
	}
}

// TestASecondAnswerOnAControlConnectionShowsNoProgress guards against a change of primary that
// counts the former progress of a member for the answer to its command.
func TestASecondAnswerOnAControlConnectionShowsNoProgress(t *testing.T) {
	for name, after := range map[string]time.Duration{"at once": 0, "later": 5 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			m := startRepeating(t, map[string]repetition{fenceQuery(2): {after: after}})
			c := endpoint.NewControlConnection(m.address(), database, endpoint.Credentials{User: "test"})
			defer c.Close()
			p, err := c.Fence(context.Background(), 2, "proxy")
			assert.NilError(t, err)
			assert.Equal(t, p.Term, uint64(2))
			<-m.repeated
			p, err = c.Fence(context.Background(), 3, "proxy")
			assert.NilError(t, err)
			assert.Equal(t, p.Term, uint64(3), "the answer to an earlier command")
		})
	}
}

// fenceQuery returns the query with which a proxy fences a member.
func fenceQuery(term int) string { return fmt.Sprintf("SELECT * FROM group_fence(%d, 'proxy')", term) }
