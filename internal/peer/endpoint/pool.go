package endpoint

import (
	"context"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/model/group"
	"eelgrassladder.example/eelgrassladder/internal/table/lockrank"
)

// controlConnections is how many of a member's connections are reserved for
// control: one that waits for progress and one for commands.
const controlConnections = 2

// ErrClosed is returned by Acquire after Close.
var ErrClosed = errors.New("the connection pool is closed")

// Pool holds the connections to one member that are bound to one term. It never
// holds more than the platform allows for the member.
type Pool struct {
	member      group.Member
	database    string
	credentials Credentials
	term        uint64
	tasks       *task.Group
	// limit is the highest number of open connections; at least one.
	limit int

	// mutex guards the fields below. Its rank in the lock order is Connections.
	mutex *lockrank.Mutex
	// idle holds connections that are new or reset and run no request.
	idle []*Connection
	// open counts all connections, including those being opened or reset.
	open int
	// opening counts the connections that openSpare is opening.
	opening int
	// closed is true after Close.
	closed bool
	// freed is closed and replaced when a connection becomes idle or another may be
	// opened.
	freed chan struct{}
}

// NewPool returns a Pool and starts to open the given number of spare connections, or
// fewer if the limit does not allow that many.
func NewPool(tasks *task.Group, m group.Member, database string, c Credentials, term uint64, spare int) *Pool {
	p := &Pool{
		member: m, database: database, credentials: c, term: term, tasks: tasks,
		limit: max(m.Connections-controlConnections, 1),
		mutex: lockrank.New(lockrank.Connections), freed: make(chan struct{}),
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for range spare {
		p.openSpare()
	}
	return p
}

// Acquire returns an idle connection, opens one if the limit allows it, or waits for
// one. The caller returns it with Release.
func (p *Pool) Acquire(ctx context.Context) (*Connection, error) {
	for {
		c, mayOpen, freed, err := p.tryAcquire()
		if err != nil || c != nil {
			return c, err
		}
		if mayOpen {
			return p.dial(ctx)
		}
		select {
		case <-ctx.Done():
			return nil, errors.WithStack(ctx.Err())
		case <-freed:
		}
	}
}

// tryAcquire returns an idle connection if there is one. Otherwise mayOpen is true if
// the caller may open a connection, which tryAcquire has then counted. If neither is
// the case, freed is closed when the caller should try again.
func (p *Pool) tryAcquire() (c *Connection, mayOpen bool, freed chan struct{}, err error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return nil, false, nil, ErrClosed
	}
	if c = p.takeIdle(); c != nil {
		if len(p.idle) == 0 {
			p.openSpare()
		}
		return c, false, nil, nil
	}
	if p.opening == 0 && p.open < p.limit {
		p.open++
		return nil, true, nil, nil
	}
	return nil, false, p.freed, nil
}

// takeIdle removes an idle connection and returns it; nil if there is none. It closes those on
// which something has arrived while they were idle. The caller holds the mutex.
func (p *Pool) takeIdle() *Connection {
	for n := len(p.idle); n > 0; n = len(p.idle) {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		if c.checkQuiet() == nil {
			return c
		}
		c.Close()
		p.open--
	}
	return nil
}

// dial opens a connection that is already counted.
func (p *Pool) dial(ctx context.Context) (*Connection, error) {
	c, err := Connect(ctx, p.member.Address, p.database, p.credentials, p.term)
	if err != nil {
		p.countClosed()
		return nil, err
	}
	return c, nil
}

// openSpare opens a connection in the background if the limit allows it. The caller
// holds the mutex.
func (p *Pool) openSpare() {
	if p.open >= p.limit || p.closed {
		return
	}
	p.open++
	p.opening++
	p.tasks.GoIsolated("open connection", func(ctx context.Context) {
		c, err := Connect(ctx, p.member.Address, p.database, p.credentials, p.term)
		p.mutex.Lock()
		p.opening--
		p.mutex.Unlock()
		if err != nil {
			klog.V(1).InfoS("Opening a spare connection failed", "Member", p.member.Name, "Reason", err.Error())
			p.countClosed()
			return
		}
		p.addIdle(c)
	})
}

// Release returns a connection to the pool. It is reset before the next caller gets
// it, and closed if it is broken.
func (p *Pool) Release(c *Connection) {
	if c.Broken() {
		c.Close()
		p.countClosed()
		return
	}
	p.tasks.GoIsolated("reset connection", func(ctx context.Context) {
		resetCtx, cancel := context.WithTimeout(ctx, connectTimeout)
		defer cancel()
		if c.Reset(resetCtx) != nil {
			c.Close()
			p.countClosed()
			return
		}
		p.addIdle(c)
	})
}

// addIdle adds a reset connection to the idle ones, or closes it if the pool is
// closed.
func (p *Pool) addIdle(c *Connection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		p.open--
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
	p.notifyWaiters()
}

// countClosed stops counting a connection that is closed or could not be opened.
func (p *Pool) countClosed() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.open--
	p.notifyWaiters()
}

// notifyWaiters wakes the goroutines that wait for a connection. The caller holds
// the mutex.
func (p *Pool) notifyWaiters() {
	close(p.freed)
	p.freed = make(chan struct{})
}

// OpenCount returns the number of connections, including those being opened.
func (p *Pool) OpenCount() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.open
}

// Close closes the idle connections, and those in use when they are returned. Acquire
// returns ErrClosed from then on.
func (p *Pool) Close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.Close()
		p.open--
	}
	p.idle = nil
	p.notifyWaiters()
}
