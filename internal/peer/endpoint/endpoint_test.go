package endpoint_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/lab/group"
	groupmodel "eelgrassladder.example/eelgrassladder/internal/model/group"
	"eelgrassladder.example/eelgrassladder/internal/model/request"
	"eelgrassladder.example/eelgrassladder/internal/peer/endpoint"
	"eelgrassladder.example/eelgrassladder/internal/peer/wire"
)

const database = "orders"

// start starts a group of one member.
func start(t *testing.T, c group.Conditions) (*task.Group, *group.Group) {
	t.Helper()
	tasks := task.New(context.Background())
	g, err := group.Start(tasks, database, group.Layout{Slots: 2, Connections: 6, DataCentres: []string{"a"}}, c)
	assert.NilError(t, err)
	t.Cleanup(func() {
		tasks.Stop()
		_ = tasks.Wait()
	})
	return tasks, g
}

// relay forwards bytes to a member and back, and can close the connection after a
// number of bytes of answers.
type relay struct {
	listener      net.Listener
	memberAddress string
	// budget receives how many more bytes of answers are forwarded before the
	// connection is closed; there is no limit before the first value.
	budget chan int
}

func startRelay(t *testing.T, tasks *task.Group, memberAddress string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r := &relay{listener: l, memberAddress: memberAddress, budget: make(chan int, 1)}
	tasks.GoIsolated("relay", func(ctx context.Context) {
		stop := context.AfterFunc(ctx, func() { _ = l.Close() })
		defer stop()
		for {
			client, err := l.Accept()
			if err != nil {
				return
			}
			tasks.GoIsolated("relayed", func(context.Context) { r.forward(tasks, client) })
		}
	})
	return r
}

func (r *relay) forward(tasks *task.Group, client net.Conn) {
	defer client.Close()
	member, err := net.Dial("tcp", r.memberAddress)
	if err != nil {
		return
	}
	defer member.Close()
	tasks.GoIsolated("to member", func(context.Context) {
		b := make([]byte, 4096)
		for {
			n, err := client.Read(b)
			if err != nil {
				_ = member.Close()
				return
			}
			_, _ = member.Write(b[:n])
		}
	})
	remaining := -1 // no limit
	b := make([]byte, 1)
	for {
		if _, err := member.Read(b); err != nil {
			return
		}
		select {
		case remaining = <-r.budget:
		default:
		}
		if remaining == 0 {
			return
		}
		if remaining > 0 {
			remaining--
		}
		if _, err := client.Write(b); err != nil {
			return
		}
	}
}

// query returns a request that is one simple query.
func query(t *testing.T, text string) request.Request {
	t.Helper()
	payload, err := (&pgproto3.Query{String: text}).Encode(nil)
	assert.NilError(t, err)
	return request.Request{Payload: payload}
}

// TestAConnectionClosedDuringAnAnswerReturnsNoPartOfIt closes the connection after 0, 1,
// 2 and more bytes of an answer, until the whole answer arrives.
func TestAConnectionClosedDuringAnAnswerReturnsNoPartOfIt(t *testing.T) {
	tasks, g := start(t, group.Conditions{})
	r := startRelay(t, tasks, g.HostListEntries()[0].Address)
	ctx := context.Background()
	answerBytes := 0
	for budget := 0; answerBytes == 0; budget++ {
		c, err := endpoint.Connect(ctx, r.listener.Addr().String(), database, endpoint.Credentials{User: "test"}, 1)
		assert.NilError(t, err)
		r.budget <- budget
		result, sent, err := c.Exchange(ctx, query(t, "SELECT 7"), true)
		if err == nil {
			answerBytes = budget
			assert.Equal(t, result.Status, request.Idle)
			kinds := ""
			for kind := range wire.Messages(result.Payload) {
				kinds += string(kind)
			}
			assert.Equal(t, kinds, "TDCZ")
			assert.Equal(t, result.Position.Term, uint64(1))
		} else {
			assert.Assert(t, sent, "a request whose answer ended after %d bytes was reported as not sent", budget)
			assert.Assert(t, c.Broken())
			assert.Equal(t, len(result.Payload), 0)
		}
		c.Close()
	}
	assert.Assert(t, answerBytes > 100) // fewer bytes would mean that the budget had no effect
}

// TestAPooledConnectionKeepsNothingOfItsLastCaller leaves a session value, a temporary
// table, an open and a failed transaction behind, and looks for them with the next
// connection from the pool.
func TestAPooledConnectionKeepsNothingOfItsLastCaller(t *testing.T) {
	tasks, g := start(t, group.Conditions{})
	// The pool is for term 1 and opens no spare connections.
	pool := endpoint.NewPool(tasks, g.HostListEntries()[0], database, endpoint.Credentials{User: "test"}, 1, 0)
	ctx := context.Background()
	for _, leftBehind := range []string{"SET lab.marker = 'mine'", "CREATE TEMP TABLE mine (id bigint)", "BEGIN", "BEGIN; SELECT broken"} {
		c, err := pool.Acquire(ctx)
		assert.NilError(t, err)
		_, _, err = c.Exchange(ctx, query(t, leftBehind), false)
		assert.NilError(t, err)
		pool.Release(c)
		next, err := pool.Acquire(ctx)
		assert.NilError(t, err)
		result, _, err := next.Exchange(ctx, query(t, "SHOW lab.marker"), true)
		assert.NilError(t, err)
		assert.Equal(t, result.Code, "", leftBehind)
		assert.Equal(t, result.Status, request.Idle, leftBehind)
		assert.Equal(t, firstValue(t, result.Payload), "", leftBehind)
		result, _, err = next.Exchange(ctx, query(t, "SELECT id FROM mine"), false)
		assert.NilError(t, err)
		assert.Equal(t, result.Code, "42P01", leftBehind)
		pool.Release(next)
	}
}

// firstValue returns the first value of the first row of an answer.
func firstValue(t *testing.T, payload []byte) string {
	t.Helper()
	for kind, message := range wire.Messages(payload) {
		if kind == 'D' {
			var row pgproto3.DataRow
			assert.NilError(t, row.Decode(wire.Body(message)))
			return string(row.Values[0])
		}
	}
	return "no row"
}

// TestACancelledRequestLeavesNoAnswerBehind guards against a caller that gets the answer
// to a request which another caller has cancelled on the same connection.
func TestACancelledRequestLeavesNoAnswerBehind(t *testing.T) {
	tasks, g := start(t, group.Conditions{})
	// The pool is for term 1 and opens no spare connections.
	pool := endpoint.NewPool(tasks, g.HostListEntries()[0], database, endpoint.Credentials{User: "test"}, 1, 0)
	for range 5 {
		c, err := pool.Acquire(context.Background())
		assert.NilError(t, err)
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		began := time.Now()
		result, _, err := c.Exchange(ctx, query(t, "SELECT pg_sleep(20)"), true)
		cancel()
		assert.Assert(t, time.Since(began) < 5*time.Second, "a cancelled statement continued to run")
		assert.Assert(t, err != nil || result.Code == "57014", "a cancelled statement ended with SQLSTATE %q", result.Code)
		pool.Release(c)
		next, err := pool.Acquire(context.Background())
		assert.NilError(t, err)
		result, _, err = next.Exchange(context.Background(), query(t, "SELECT 7"), true)
		assert.NilError(t, err)
		assert.Equal(t, firstValue(t, result.Payload), "7")
		pool.Release(next)
	}
}

func TestAPoolStaysWithinItsConnectionLimit(t *testing.T) {
	tasks, g := start(t, group.Conditions{ConnectTime: time.Millisecond})
	// The pool is for term 1 and asks for 9 spare connections, more than its limit of 4.
	pool := endpoint.NewPool(tasks, g.HostListEntries()[0], database, endpoint.Credentials{User: "test"}, 1, 9)
	users := task.New(context.Background())
	for range 20 {
		users.Go("user", func(ctx context.Context) error {
			for range 5 {
				c, err := pool.Acquire(ctx)
				if err != nil {
					return err
				}
				if open := pool.OpenCount(); open > 4 {
					t.Errorf("%d connections are open; of 6, 2 are for control and 4 are allowed here", open)
				}
				_, _, err = c.Exchange(ctx, query(t, "SELECT 7"), true)
				pool.Release(c)
				if err != nil {
					return err
				}
			}
			return nil
		})
	}
	assert.NilError(t, users.Wait())
}

// TestWorkOfAnotherTermIsRefused fences a member for term 2. It then refuses the work of
// connections for term 1, and only the proposer to which it granted term 2 can promote it.
func TestWorkOfAnotherTermIsRefused(t *testing.T) {
	_, g := start(t, group.Conditions{})
	ctx := context.Background()
	m := g.HostListEntries()[0]
	c, err := endpoint.Connect(ctx, m.Address, database, endpoint.Credentials{User: "test"}, 1)
	assert.NilError(t, err)
	defer c.Close()
	_, _, err = c.Exchange(ctx, query(t, "CREATE TABLE orders (id bigint)"), true)
	assert.NilError(t, err)
	control := endpoint.NewControlConnection(m.Address, database, endpoint.Credentials{User: "test"})
	defer control.Close()
	p, err := control.Fence(ctx, 2, "grantee")
	assert.NilError(t, err)
	assert.Equal(t, p.Role, groupmodel.Fenced)
	result, _, err := c.Exchange(ctx, query(t, "INSERT INTO orders (id) VALUES (1)"), true)
	assert.NilError(t, err)
	assert.Equal(t, result.Code, endpoint.CodeSuperseded)
	_, err = control.Promote(ctx, 2, "another")
	assert.Assert(t, err != nil, "the member accepted a promotion by a proposer to which it had not granted term 2")
	p, err = control.Promote(ctx, 2, "grantee")
	assert.NilError(t, err)
	assert.Equal(t, p.Role, groupmodel.Primary)
}
