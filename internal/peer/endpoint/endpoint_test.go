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
	trade "eelgrassladder.example/eelgrassladder/internal/model/group"
	"eelgrassladder.example/eelgrassladder/internal/model/request"
	"eelgrassladder.example/eelgrassladder/internal/peer/endpoint"
	"eelgrassladder.example/eelgrassladder/internal/peer/wire"
)

const database = "orders"

// start runs a group of one member and returns its description.
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

// relay passes bytes to a member and back, and cuts the answer after a number
// of bytes, counted from when cutting begins.
type relay struct {
	listener net.Listener
	target   string
	// budget is how many bytes of answers still pass; negative for all.
	budget chan int
}

func startRelay(t *testing.T, tasks *task.Group, target string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r := &relay{listener: l, target: target, budget: make(chan int, 1)}
	tasks.GoIsolated("relay", func(ctx context.Context) {
		stop := context.AfterFunc(ctx, func() { _ = l.Close() })
		defer stop()
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			tasks.GoIsolated("relayed", func(context.Context) { r.pass(tasks, c) })
		}
	})
	return r
}

func (r *relay) pass(tasks *task.Group, c net.Conn) {
	defer c.Close()
	m, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer m.Close()
	tasks.GoIsolated("to member", func(context.Context) {
		b := make([]byte, 4096)
		for {
			n, err := c.Read(b)
			if err != nil {
				_ = m.Close()
				return
			}
			_, _ = m.Write(b[:n])
		}
	})
	left := -1
	b := make([]byte, 1)
	for {
		if _, err := m.Read(b); err != nil {
			return
		}
		select {
		case left = <-r.budget:
		default:
		}
		if left == 0 {
			return
		}
		if left > 0 {
			left--
		}
		if _, err := c.Write(b); err != nil {
			return
		}
	}
}

// query returns a request with one simple query.
func query(t *testing.T, text string) request.Request {
	t.Helper()
	payload, err := (&pgproto3.Query{String: text}).Encode(nil)
	assert.NilError(t, err)
	return request.Request{Payload: payload}
}

// TestAConnectionCutAnywhereNeverGivesPartOfAnAnswer cuts the answer after
// each number of bytes in turn.
func TestAConnectionCutAnywhereNeverGivesPartOfAnAnswer(t *testing.T) {
	tasks, g := start(t, group.Conditions{})
	r := startRelay(t, tasks, g.HostListEntries()[0].Address)
	ctx := context.Background()
	whole := 0
	for cut := 0; whole == 0; cut++ {
		c, err := endpoint.Connect(ctx, r.listener.Addr().String(), database, endpoint.Credentials{User: "test"}, 1)
		assert.NilError(t, err)
		r.budget <- cut
		result, sent, err := c.Exchange(ctx, query(t, "SELECT 7"), true)
		if err == nil {
			whole = cut
			assert.Equal(t, result.Status, request.Idle)
			kinds := ""
			for kind := range wire.Messages(result.Payload) {
				kinds += string(kind)
			}
			assert.Equal(t, kinds, "TDCZ")
			assert.Equal(t, result.Position.Term, uint64(1))
		} else {
			assert.Assert(t, sent, "cut after %d bytes and told as not sent", cut)
			assert.Assert(t, c.Broken())
			assert.Equal(t, len(result.Payload), 0)
		}
		c.Close()
	}
	assert.Assert(t, whole > 100)
}

func TestNothingOfACallerIsLeftForTheNext(t *testing.T) {
	tasks, g := start(t, group.Conditions{})
	pool := endpoint.NewPool(tasks, g.HostListEntries()[0], database, endpoint.Credentials{User: "test"}, 1, 0)
	ctx := context.Background()
	for _, leave := range []string{"SET lab.marker = 'mine'", "CREATE TEMP TABLE mine (id bigint)", "BEGIN", "BEGIN; SELECT broken"} {
		c, err := pool.Acquire(ctx)
		assert.NilError(t, err)
		_, _, err = c.Exchange(ctx, query(t, leave), false)
		assert.NilError(t, err)
		pool.Release(c)
		next, err := pool.Acquire(ctx)
		assert.NilError(t, err)
		result, _, err := next.Exchange(ctx, query(t, "SHOW lab.marker"), true)
		assert.NilError(t, err)
		assert.Equal(t, result.Code, "", leave)
		assert.Equal(t, result.Status, request.Idle, leave)
		assert.Equal(t, firstValue(t, result.Payload), "", leave)
		result, _, err = next.Exchange(ctx, query(t, "SELECT id FROM mine"), false)
		assert.NilError(t, err)
		assert.Equal(t, result.Code, "42P01", leave)
		pool.Release(next)
	}
}

// firstValue returns the first value of an answer.
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

func TestARequestThatWasGivenUpOnLeavesNoAnswerBehind(t *testing.T) {
	tasks, g := start(t, group.Conditions{})
	pool := endpoint.NewPool(tasks, g.HostListEntries()[0], database, endpoint.Credentials{User: "test"}, 1, 0)
	for range 5 {
		c, err := pool.Acquire(context.Background())
		assert.NilError(t, err)
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		began := time.Now()
		result, _, err := c.Exchange(ctx, query(t, "SELECT pg_sleep(20)"), true)
		cancel()
		assert.Assert(t, time.Since(began) < 5*time.Second, "a cancelled statement ran on")
		assert.Assert(t, err != nil || result.Code == "57014", "result %q", result.Code)
		pool.Release(c)
		next, err := pool.Acquire(context.Background())
		assert.NilError(t, err)
		result, _, err = next.Exchange(context.Background(), query(t, "SELECT 7"), true)
		assert.NilError(t, err)
		assert.Equal(t, firstValue(t, result.Payload), "7")
		pool.Release(next)
	}
}

func TestAPoolStaysWithinThePlatformsFigure(t *testing.T) {
	tasks, g := start(t, group.Conditions{ConnectTime: time.Millisecond})
	pool := endpoint.NewPool(tasks, g.HostListEntries()[0], database, endpoint.Credentials{User: "test"}, 1, 9)
	users := task.New(context.Background())
	for range 20 {
		users.Go("user", func(ctx context.Context) error {
			for range 5 {
				c, err := pool.Acquire(ctx)
				if err != nil {
					return err
				}
				if open := pool.Open(); open > 4 {
					t.Errorf("%d connections are open, 4 are allowed beside control", open)
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
	p, err := control.Fence(ctx, 2, "other")
	assert.NilError(t, err)
	assert.Equal(t, p.Role, trade.Fenced)
	result, _, err := c.Exchange(ctx, query(t, "INSERT INTO orders (id) VALUES (1)"), true)
	assert.NilError(t, err)
	assert.Equal(t, result.Code, endpoint.CodeSuperseded)
	_, err = control.Promote(ctx, 2, "someone else")
	assert.Assert(t, err != nil, "a term was taken by a proposer that it was not granted to")
	p, err = control.Promote(ctx, 2, "other")
	assert.NilError(t, err)
	assert.Equal(t, p.Role, trade.Primary)
}
