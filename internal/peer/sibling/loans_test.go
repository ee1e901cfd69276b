package sibling

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
)

// blockingLender lends what it is asked for. It holds calls for the team "slow" until released.
type blockingLender struct {
	panicking
	began, released chan struct{}
}

func (l blockingLender) Lend(team string, tokens int) int {
	if team == "slow" {
		l.began <- struct{}{}
		<-l.released
	}
	return tokens
}

// countingListener counts the accepted connections.
type countingListener struct {
	net.Listener
	mutex    sync.Mutex
	accepted int
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.accepted++
	return c, err
}

func (l *countingListener) count() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.accepted
}

// startLender serves a lender until the end of the test.
func startLender(t *testing.T, l Lender) *countingListener {
	t.Helper()
	opened, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	listener := &countingListener{Listener: opened}
	g := task.New(context.Background())
	g.Go("server", func(ctx context.Context) error { return NewServer(panicking{}, l).Serve(ctx, listener) })
	t.Cleanup(func() {
		g.Stop()
		_ = g.Wait()
	})
	return listener
}

// TestARequestDoesNotWaitForThatOfAnotherTeam guards against a team's operations that are held up
// because one connection carries one call at a time.
func TestARequestDoesNotWaitForThatOfAnotherTeam(t *testing.T) {
	lender := blockingLender{began: make(chan struct{}), released: make(chan struct{})}
	listener := startLender(t, lender)
	address := listener.Addr().String()
	loans := NewLoans(timer.New())
	defer loans.Close()
	g := task.New(context.Background())
	g.Go("slow call", func(ctx context.Context) error {
		_, err := loans.Borrow(ctx, address, "slow", 1)
		return err
	})
	<-lender.began
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for range 20 {
		n, err := loans.Borrow(ctx, address, "bakery", 7)
		assert.NilError(t, err)
		assert.Equal(t, n, 7)
	}
	assert.Equal(t, listener.count(), 2, "the connections are not used again")
	close(lender.released)
	assert.NilError(t, g.Wait())
}

// TestUnusedConnectionsForLoansAreClosed guards against descriptors that each pair of proxies
// keeps for good, and against a connection that the other side has closed.
func TestUnusedConnectionsForLoansAreClosed(t *testing.T) {
	manual := timer.NewManual(time.Unix(1000, 0))
	listener := startLender(t, blockingLender{})
	address := listener.Addr().String()
	loans := NewLoans(manual)
	borrow := func() {
		_, err := loans.Borrow(context.Background(), address, "bakery", 1)
		assert.NilError(t, err)
	}
	borrow()
	manual.Advance(loanIdleTime - 1)
	loans.CloseIdle()
	borrow()
	assert.Equal(t, listener.count(), 1)
	manual.Advance(loanIdleTime)
	loans.CloseIdle()
	assert.Equal(t, len(loans.idle), 0)
	borrow()
	assert.Equal(t, listener.count(), 2)
	_ = loans.idle[address][0].connection.Close()
	borrow()
	assert.Equal(t, listener.count(), 3)
	loans.Close()
	assert.Equal(t, len(loans.idle), 0)
}

// TestALoanIsNoMoreThanWasAskedFor guards against an answer that creates tokens.
func TestALoanIsNoMoreThanWasAskedFor(t *testing.T) {
	listener := startLender(t, generousLender{})
	loans := NewLoans(timer.New())
	defer loans.Close()
	n, err := loans.Borrow(context.Background(), listener.Addr().String(), "bakery", 3)
	assert.NilError(t, err)
	assert.Equal(t, n, 3)
}

// generousLender lends more than it is asked for.
type generousLender struct{ panicking }

func (generousLender) Lend(string, int) int { return 1 << 31 }

// BenchmarkBorrow measures a request over loopback, both sides together.
func BenchmarkBorrow(b *testing.B) {
	opened, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(b, err)
	g := task.New(context.Background())
	g.Go("server", func(ctx context.Context) error { return NewServer(panicking{}, blockingLender{}).Serve(ctx, opened) })
	loans := NewLoans(timer.New())
	for b.Loop() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_, err := loans.Borrow(ctx, opened.Addr().String(), "bakery", 1)
		cancel()
		assert.NilError(b, err)
	}
	loans.Close()
	g.Stop()
	_ = g.Wait()
}
