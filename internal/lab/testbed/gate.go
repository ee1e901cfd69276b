package testbed

import (
	"net"
	"sync"
)

// gate is a listener that can stop accepting connections while its port stays open: the
// kernel still completes connections, and receives what clients send.
type gate struct {
	net.Listener
	// mutex guards the field below. No other lock is taken while it is held.
	mutex sync.Mutex
	// opened is closed while the gate is open.
	opened chan struct{}
}

// newGate returns an open gate.
func newGate(l net.Listener) *gate {
	g := &gate{Listener: l, opened: make(chan struct{})}
	close(g.opened)
	return g
}

// Accept returns the next connection once the gate is open.
func (g *gate) Accept() (net.Conn, error) {
	conn, err := g.Listener.Accept()
	g.mutex.Lock()
	opened := g.opened
	g.mutex.Unlock()
	<-opened
	return conn, err
}

// Close opens the gate and closes the listener.
func (g *gate) Close() error {
	g.open()
	return g.Listener.Close()
}

// open lets connections pass.
func (g *gate) open() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	select {
	case <-g.opened:
	default:
		close(g.opened)
	}
}

// shut makes connections wait.
func (g *gate) shut() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	select {
	case <-g.opened:
		g.opened = make(chan struct{})
	default:
	}
}
