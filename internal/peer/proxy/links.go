package proxy

import (
	"context"
	"crypto/tls"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcconn"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/gen/sibling"
	"eelgrassladder.example/eelgrassladder/internal/host/owner"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/model/membership"
	"eelgrassladder.example/eelgrassladder/internal/table/lockrank"
)

// Links holds the connections to the other proxies: to each a link for requests and a
// control connection. It implements the root package's Siblings.
type Links struct {
	// self is the name of this proxy.
	self      string
	tlsConfig *tls.Config
	timer     eelgrassladder.Timer
	tasks     *task.Group

	// mutex guards the fields below. Its rank in the lock order is Links.
	mutex *lockrank.Mutex
	// links holds the links for requests, keyed by the address of the proxy.
	links map[string]*link
	// controls holds the control connections, keyed by the address of the proxy.
	controls map[string]*controlConnection
}

// controlConnection carries heartbeats and handovers to one proxy, one call at a
// time.
type controlConnection struct {
	// busy is a semaphore of capacity one that is held during a call.
	busy chan struct{}
	// connection is nil while none is open. It is guarded by busy.
	connection *drpcconn.Conn
}

// Option configures Links.
type Option func(*Links)

// WithTLS sets the configuration for mutual TLS. Without it, connections are not
// encrypted.
func WithTLS(c *tls.Config) Option { return func(l *Links) { l.tlsConfig = c } }

// NewLinks returns Links without open connections. The name of this proxy is self.
func NewLinks(self string, t eelgrassladder.Timer, g *task.Group, options ...Option) *Links {
	l := &Links{
		self: self, timer: t, tasks: g, mutex: lockrank.New(lockrank.Links),
		links: map[string]*link{}, controls: map[string]*controlConnection{},
	}
	for _, o := range options {
		o(l)
	}
	return l
}

// Client returns the link to a proxy. A proxy with another name at the same address
// gets a new link.
func (l *Links) Client(p membership.Proxy) eelgrassladder.Sibling {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	found, ok := l.links[p.Address]
	if !ok || found.peer.Name != p.Name {
		found = newLink(p, l.tlsConfig, l.timer, l.tasks)
		l.links[p.Address] = found
	}
	return found
}

// Exchange sends a heartbeat to the proxy at an address and returns its answer. The
// limit bounds the call.
func (l *Links) Exchange(ctx context.Context, address string, b Heartbeat, limit time.Duration) (Heartbeat, error) {
	var answer Heartbeat
	err := l.call(ctx, address, limit, func(ctx context.Context, c sibling.DRPCSiblingClient) error {
		m, err := c.Exchange(ctx, EncodeHeartbeat(b))
		if err == nil {
			answer = DecodeHeartbeat(m)
		}
		return err
	})
	return answer, err
}

// HandOver offers a group to its next owner and reports whether that proxy took it
// over. The limit bounds the call; after an error the group may have been taken.
func (l *Links) HandOver(ctx context.Context, address, group string, h owner.Handover, limit time.Duration) (bool, error) {
	taken := false
	err := l.call(ctx, address, limit, func(ctx context.Context, c sibling.DRPCSiblingClient) error {
		m, err := c.Hand(ctx, encodeHandover(l.self, group, h))
		taken = m.GetTaken()
		return err
	})
	return taken, err
}

// Disconnect removes the connections to a proxy that has left or failed. It closes the
// one for requests; a call on the control connection may still be running.
func (l *Links) Disconnect(address string) {
	l.mutex.Lock()
	removed := l.links[address]
	delete(l.links, address)
	delete(l.controls, address)
	l.mutex.Unlock()
	if removed != nil {
		removed.closeStream()
	}
}

// call runs f on the control connection to an address within the limit.
func (l *Links) call(
	ctx context.Context, address string, limit time.Duration,
	f func(context.Context, sibling.DRPCSiblingClient) error,
) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	l.mutex.Lock()
	c, ok := l.controls[address]
	if !ok {
		c = &controlConnection{busy: make(chan struct{}, 1)}
		l.controls[address] = c
	}
	l.mutex.Unlock()
	select {
	case c.busy <- struct{}{}:
		defer func() { <-c.busy }()
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
	return c.run(ctx, address, l.tlsConfig, f)
}

// run runs f on the connection, which it opens if there is none and closes after a
// failure. The caller holds busy.
func (c *controlConnection) run(
	ctx context.Context, address string, config *tls.Config,
	f func(context.Context, sibling.DRPCSiblingClient) error,
) error {
	if c.connection == nil {
		opened, err := dial(ctx, address, config)
		if err != nil {
			return err
		}
		c.connection = opened
	}
	if err := f(ctx, sibling.NewDRPCSiblingClient(c.connection)); err != nil {
		_ = c.connection.Close()
		c.connection = nil
		return errors.WithStack(err)
	}
	return nil
}
