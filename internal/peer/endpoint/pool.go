package endpoint

import (
	"context"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/model/group"
	"eelgrassladder.example/eelgrassladder/internal/table/lockrank"
)

// controlConnections is how many of a member's connections are kept for
// control: one that waits for progress and one for commands.
const controlConnections = 2

// ErrClosed is returned by a pool that was closed.
var ErrClosed = errors.New("the pool was closed")

// Pool holds the connections to one member that belong to one term. It never
// holds more than the platform's figure allows.
type Pool struct {
	member      group.Member
	database    string
	credentials Credentials
	term        uint64
	tasks       *task.Group
	// limit is the most connections open at one time; at least one.
	limit int

	// mutex guards the fields below. Its rank is Connections.
	mutex *lockrank.Mutex
	// idle holds connections that were reset and carry no request.
	idle []*Connection
	// open counts all connections, those being opened or reset too.
	open int
	// opening counts the connections being opened ahead of need.
	opening int
	// closed is true once the pool gives out no connections.
	closed bool
	// freed is closed and replaced when a connection or a place is free.
	freed chan struct{}
}

// NewPool returns a pool that starts to open spare connections.
func NewPool(tasks *task.Group, m group.Member, database string, c Credentials, term uint64, spare int) *Pool {
	p := &Pool{
		member: m, database: database, credentials: c, term: term, tasks: tasks,
		limit: max(m.Connections-controlConnections, 1),
		mutex: lockrank.New(lockrank.Connections), freed: make(chan struct{}),
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for range spare {
		p.openAhead()
	}
	return p
}

// Acquire returns a connection, opening one if there is room, and waiting
// otherwise. The caller gives it back with Give.
func (p *Pool) Acquire(ctx context.Context) (*Connection, error) {
	for {
		c, dial, freed, err := p.take()
		if err != nil || c != nil {
			return c, err
		}
		if dial {
			return p.dial(ctx)
		}
		select {
		case <-ctx.Done():
			return nil, errors.WithStack(ctx.Err())
		case <-freed:
		}
	}
}

// take returns an idle connection, or leave to open one, or a channel to
// wait on.
func (p *Pool) take() (c *Connection, dial bool, freed chan struct{}, err error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return nil, false, nil, ErrClosed
	}
	if n := len(p.idle); n > 0 {
		c = p.idle[n-1]
		p.idle = p.idle[:n-1]
		if n == 1 {
			p.openAhead()
		}
		return c, false, nil, nil
	}
	if p.opening == 0 && p.open < p.limit {
		p.open++
		return nil, true, nil, nil
	}
	return nil, false, p.freed, nil
}

// dial opens a connection whose place is already counted.
func (p *Pool) dial(ctx context.Context) (*Connection, error) {
	c, err := Connect(ctx, p.member.Address, p.database, p.credentials, p.term)
	if err != nil {
		p.lose()
		return nil, err
	}
	return c, nil
}

// openAhead opens a connection in the background, if there is room. The
// caller holds the mutex.
func (p *Pool) openAhead() {
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
			klog.V(1).InfoS("Connection not opened", "Member", p.member.Name, "Reason", err.Error())
			p.lose()
			return
		}
		p.put(c)
	})
}

// Release takes a connection back. It is reset before the next caller gets it,
// or closed if it is broken.
func (p *Pool) Release(c *Connection) {
	if c.Broken() {
		c.Close()
		p.lose()
		return
	}
	p.tasks.GoIsolated("reset connection", func(ctx context.Context) {
		limited, cancel := context.WithTimeout(ctx, connectTimeout)
		defer cancel()
		if c.Reset(limited) != nil {
			c.Close()
			p.lose()
			return
		}
		p.put(c)
	})
}

// put makes a connection idle, or closes it if the pool was closed.
func (p *Pool) put(c *Connection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		p.open--
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
	p.wake()
}

// lose gives back the place of a connection that is gone.
func (p *Pool) lose() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.open--
	p.wake()
}

// wake wakes those who wait for a connection. The caller holds the mutex.
func (p *Pool) wake() {
	close(p.freed)
	p.freed = make(chan struct{})
}

// Open returns how many connections are open.
func (p *Pool) Open() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.open
}

// Close gives out no more connections and closes the idle ones; those in use
// are closed as they come back.
func (p *Pool) Close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.Close()
		p.open--
	}
	p.idle = nil
	p.wake()
}
