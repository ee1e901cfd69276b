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

// Links is the table of the ways to other proxies. Its rank is Links. It
// implements the root package's Siblings.
type Links struct {
	// self is the name of this proxy.
	self  string
	keys  *tls.Config
	timer eelgrassladder.Timer
	tasks *task.Group

	mutex *lockrank.Mutex
	// links is keyed by the address of the proxy.
	links map[string]*link
	// controls is keyed by the address of the proxy.
	controls map[string]*control
}

// control is the connection for heartbeats and handovers to one proxy.
type control struct {
	// busy has room for one; it is held during a call.
	busy chan struct{}
	// connection is nil while there is none.
	connection *drpcconn.Conn
}

// Option changes Links while NewLinks makes them.
type Option func(*Links)

// WithTLS sets the keys for mutual TLS.
func WithTLS(c *tls.Config) Option { return func(l *Links) { l.keys = c } }

// NewLinks returns a table without connections.
func NewLinks(self string, t eelgrassladder.Timer, g *task.Group, options ...Option) *Links {
	l := &Links{
		self: self, timer: t, tasks: g, mutex: lockrank.New(lockrank.Links),
		links: map[string]*link{}, controls: map[string]*control{},
	}
	for _, o := range options {
		o(l)
	}
	return l
}

// Sibling returns the way to a proxy.
func (l *Links) Sibling(p membership.Proxy) eelgrassladder.Sibling {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	found, ok := l.links[p.Address]
	if !ok || found.target.Name != p.Name {
		found = newLink(p, l.keys, l.timer, l.tasks)
		l.links[p.Address] = found
	}
	return found
}

// Exchange sends a heartbeat and returns the one that answers it.
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

// HandOver offers a group to its next owner and reports whether it took it.
func (l *Links) HandOver(ctx context.Context, address, group string, h owner.Handover, limit time.Duration) (bool, error) {
	taken := false
	err := l.call(ctx, address, limit, func(ctx context.Context, c sibling.DRPCSiblingClient) error {
		m, err := c.Hand(ctx, encodeHandover(l.self, group, h))
		taken = m.GetTaken()
		return err
	})
	return taken, err
}

// Disconnect closes the connections to a proxy that is gone.
func (l *Links) Disconnect(address string) {
	l.mutex.Lock()
	gone := l.links[address]
	delete(l.links, address)
	delete(l.controls, address)
	l.mutex.Unlock()
	if gone != nil {
		gone.close()
	}
}

// call runs one call on the control connection to an address.
func (l *Links) call(
	ctx context.Context, address string, limit time.Duration,
	f func(context.Context, sibling.DRPCSiblingClient) error,
) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	l.mutex.Lock()
	c, ok := l.controls[address]
	if !ok {
		c = &control{busy: make(chan struct{}, 1)}
		l.controls[address] = c
	}
	l.mutex.Unlock()
	select {
	case c.busy <- struct{}{}:
		defer func() { <-c.busy }()
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
	return c.run(ctx, address, l.keys, f)
}

// run runs a call, opening the connection if there is none. After a failure
// the connection is closed.
func (c *control) run(
	ctx context.Context, address string, keys *tls.Config,
	f func(context.Context, sibling.DRPCSiblingClient) error,
) error {
	if c.connection == nil {
		opened, err := dial(ctx, address, keys)
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
