package sibling

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcconn"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/gen/peer"
)

const (
	// loanIdleTime is how long a connection for loans stays open without use.
	loanIdleTime = 10 * time.Second
	// maxIdleLoans is how many unused connections for loans to one proxy are kept. More are
	// only needed while that proxy does not answer.
	maxIdleLoans = 2
)

// Loans borrows tokens from other proxies; it implements eelgrassladder.Lenders. A connection
// carries one call at a time, so calls that overlap have a connection each, and no team's call
// waits for that of another team. Use NewLoans to make one.
type Loans struct {
	timer eelgrassladder.Timer
	// mutex guards idle. No other lock is taken while it is held.
	mutex sync.Mutex
	// idle holds the open connections that are not in use, by address, the most recently used
	// last.
	idle map[string][]idleLoan
}

// idleLoan is an open connection that is not in use.
type idleLoan struct {
	connection *drpcconn.Conn
	// since is when it was last used.
	since time.Time
}

// NewLoans returns a Loans without open connections.
func NewLoans(t eelgrassladder.Timer) *Loans { return &Loans{timer: t, idle: map[string][]idleLoan{}} }

// Borrow asks the proxy at an address for tokens of a team, and returns how many it gave. Only
// ctx bounds the call, apart from dialTimeout.
func (l *Loans) Borrow(ctx context.Context, address, team string, tokens int) (int, error) {
	c := l.takeIdle(address)
	if c == nil {
		opened, err := dial(ctx, address)
		if err != nil {
			return 0, err
		}
		c = opened
	}
	answer, err := peer.NewDRPCPeerClient(c).Lend(ctx, &peer.LoanRequest{Team: team, Tokens: uint32(tokens)})
	if err != nil {
		_ = c.Close()
		return 0, errors.WithStack(err)
	}
	l.putIdle(address, c)
	return min(decodeTokens(answer.GetTokens()), tokens), nil
}

// CloseIdle closes the connections that have not been used for loanIdleTime. Call it
// periodically.
func (l *Loans) CloseIdle() { l.closeUnusedSince(l.timer.Now().Add(-loanIdleTime)) }

// Close closes the connections that are not in use.
func (l *Loans) Close() { l.closeUnusedSince(l.timer.Now()) }

// closeUnusedSince closes the connections that have not been used after a time.
func (l *Loans) closeUnusedSince(end time.Time) {
	var old []*drpcconn.Conn
	l.mutex.Lock()
	for address, idle := range l.idle {
		n := 0
		for n < len(idle) && !idle[n].since.After(end) {
			old = append(old, idle[n].connection)
			n++
		}
		if l.idle[address] = idle[n:]; n == len(idle) {
			delete(l.idle, address)
		}
	}
	l.mutex.Unlock()
	for _, c := range old {
		_ = c.Close()
	}
}

// takeIdle returns an open connection to an address; nil if there is none.
func (l *Loans) takeIdle(address string) *drpcconn.Conn {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for idle := l.idle[address]; len(idle) > 0; idle = l.idle[address] {
		last := len(idle) - 1
		c := idle[last].connection
		l.idle[address] = idle[:last]
		select {
		case <-c.Closed():
		default:
			return c
		}
	}
	return nil
}

// putIdle keeps a connection for later calls, unless there are enough.
func (l *Loans) putIdle(address string, c *drpcconn.Conn) {
	l.mutex.Lock()
	keep := len(l.idle[address]) < maxIdleLoans
	if keep {
		l.idle[address] = append(l.idle[address], idleLoan{connection: c, since: l.timer.Now()})
	}
	l.mutex.Unlock()
	if !keep {
		_ = c.Close()
	}
}
