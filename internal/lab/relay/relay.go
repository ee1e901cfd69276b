// Package relay is a TCP relay on loopback that delays, resets, cuts and
// silences the connections through it, for tests of processes from outside.
package relay

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/host/task"
)

const (
	// dialTime bounds the opening of the second half of a connection.
	dialTime = time.Second
	// bufferSize is how many bytes are passed on at a time.
	bufferSize = 16 << 10
)

// Conditions are the faults of a link. The value is immutable.
type Conditions struct {
	// Delay holds up what is sent, in each direction.
	Delay time.Duration
	// BlockForward and BlockBackward hold up all bytes to the target and from it. They
	// arrive once the cut has healed.
	BlockForward, BlockBackward bool
}

// Relay passes connections on to a target. Use New to make one.
type Relay struct {
	target string
	tasks  *task.Group
	// address is where it listens.
	address string

	// mutex guards the fields below.
	mutex sync.Mutex
	// changed tells waiting bytes of new conditions.
	changed    *sync.Cond
	conditions Conditions
	open       map[*pair]struct{}
	closed     bool
}

// pair is one connection through the link.
type pair struct {
	near, far net.Conn
	// silent holds up all bytes for good. The link's mutex guards it.
	silent bool
}

// New listens on a free port of loopback and passes connections on to the
// target until the context of the group ends.
func New(g *task.Group, target string) (*Relay, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	l := &Relay{target: target, tasks: g, address: listener.Addr().String(), open: map[*pair]struct{}{}}
	l.changed = sync.NewCond(&l.mutex)
	context.AfterFunc(g.Context(), func() {
		_ = listener.Close()
		l.close()
	})
	g.GoIsolated("link", func(context.Context) {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			g.GoIsolated("connection through a link", func(ctx context.Context) { l.serve(ctx, near) })
		}
	})
	return l, nil
}

// Address returns where the link listens.
func (l *Relay) Address() string { return l.address }

// SetConditions brings conditions into force for all connections, open and new.
func (l *Relay) SetConditions(c Conditions) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.conditions = c
	l.changed.Broadcast()
}

// ResetOpen ends all open connections with a reset.
func (l *Relay) ResetOpen() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for p := range l.open {
		for _, c := range []net.Conn{p.near, p.far} {
			if stream, ok := c.(*net.TCPConn); ok {
				_ = stream.SetLinger(0) // a close without linger resets
			}
		}
		p.end()
	}
}

// BlockOpen holds up all bytes of the open connections for good; new ones work.
func (l *Relay) BlockOpen() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for p := range l.open {
		p.silent = true
	}
}

// close ends the link.
func (l *Relay) close() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.closed = true
	for p := range l.open {
		p.end()
	}
	l.changed.Broadcast()
}

// serve passes one connection on until it ends.
func (l *Relay) serve(ctx context.Context, near net.Conn) {
	dialer := net.Dialer{Timeout: dialTime}
	far, err := dialer.DialContext(ctx, "tcp4", l.target)
	if err != nil {
		_ = near.Close() // the target does not listen; its caller sees an end
		return
	}
	p := &pair{near: near, far: far}
	l.mutex.Lock()
	l.open[p] = struct{}{}
	l.mutex.Unlock()
	back := task.New(ctx)
	back.GoIsolated("back", func(context.Context) { l.pass(p, far, near, false) })
	l.pass(p, near, far, true)
	_ = back.Wait() // pass returns nothing
	l.mutex.Lock()
	delete(l.open, p)
	l.mutex.Unlock()
}

// pass copies bytes in one direction until either side ends.
func (l *Relay) pass(p *pair, from, to net.Conn, there bool) {
	defer p.end()
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !l.await(p, there) {
				return
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// await holds bytes up as long as the conditions say, and reports whether
// they may go on.
func (l *Relay) await(p *pair, there bool) bool {
	l.mutex.Lock()
	delay := l.conditions.Delay
	l.mutex.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for !l.closed && (p.silent || (there && l.conditions.BlockForward) || (!there && l.conditions.BlockBackward)) {
		l.changed.Wait()
	}
	return !l.closed
}

// end closes both halves.
func (p *pair) end() {
	_ = p.near.Close()
	_ = p.far.Close()
}
