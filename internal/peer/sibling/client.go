package sibling

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcconn"

	"eelgrassladder.example/eelgrassladder/gen/peer"
	"eelgrassladder.example/eelgrassladder/internal/model/heartbeat"
)

// dialTimeout bounds the opening of a connection to another proxy.
const dialTimeout = 300 * time.Millisecond

// Client sends heartbeats and notices to other proxies. Use NewClient to make one.
type Client struct {
	// mutex guards links. No other lock is taken while it is held.
	mutex sync.Mutex
	// links holds a link for each address of a proxy.
	links map[string]*link
}

// link is the connection to one proxy.
type link struct {
	// busy is a semaphore of capacity one that is held during a call.
	busy chan struct{}
	// connection is nil while none is open. It is guarded by busy.
	connection *drpcconn.Conn
}

// NewClient returns a Client without open connections.
func NewClient() *Client { return &Client{links: map[string]*link{}} }

// Exchange sends a heartbeat to the proxy at an address and returns its answer. It
// opens the connection if there is none, and closes it after a failure. Only ctx
// bounds the call, apart from dialTimeout.
func (c *Client) Exchange(ctx context.Context, address string, b heartbeat.Message) (heartbeat.Message, error) {
	var answer *peer.Beat
	err := c.call(ctx, address, func(p peer.DRPCPeerClient) error {
		var err error
		answer, err = p.Exchange(ctx, encode(b))
		return err
	})
	if err != nil {
		return heartbeat.Message{}, err
	}
	return decode(answer), nil
}

// CloseRecord tells the proxy at an address that a group's record was closed. It returns
// what the proxy knows of the group once that proxy reports no more commits of the old
// primary as acknowledged. The connection is closed afterwards. Only ctx bounds the call,
// apart from dialTimeout.
func (c *Client) CloseRecord(ctx context.Context, address string, r heartbeat.Record) (heartbeat.PrimaryReport, error) {
	defer c.forget(address)
	var answer *peer.Sight
	err := c.call(ctx, address, func(p peer.DRPCPeerClient) error {
		var err error
		answer, err = p.Close(ctx, encodeRecord(r))
		return err
	})
	if err != nil {
		return heartbeat.PrimaryReport{}, err
	}
	return decodeReport(answer), nil
}

// call runs f with a client for the proxy at an address. It opens the connection if there
// is none, and closes it after a failure.
func (c *Client) call(ctx context.Context, address string, f func(peer.DRPCPeerClient) error) error {
	l := c.link(address)
	select {
	case l.busy <- struct{}{}:
		defer func() { <-l.busy }()
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
	if l.connection == nil {
		dialer := net.Dialer{Timeout: dialTimeout}
		raw, err := dialer.DialContext(ctx, "tcp4", address)
		if err != nil {
			return errors.WithStack(err)
		}
		l.connection = drpcconn.New(raw)
	}
	if err := f(peer.NewDRPCPeerClient(l.connection)); err != nil {
		_ = l.connection.Close()
		l.connection = nil
		return errors.WithStack(err)
	}
	return nil
}

// forget closes the connection to the proxy at an address.
func (c *Client) forget(address string) {
	c.mutex.Lock()
	l := c.links[address]
	delete(c.links, address)
	c.mutex.Unlock()
	if l != nil {
		l.close()
	}
}

// CloseExcept closes the connections to all proxies except those whose addresses are
// true in the map.
func (c *Client) CloseExcept(addresses map[string]bool) {
	c.mutex.Lock()
	var dropped []*link
	for a, l := range c.links {
		if !addresses[a] {
			dropped = append(dropped, l)
			delete(c.links, a)
		}
	}
	c.mutex.Unlock()
	for _, l := range dropped {
		l.close()
	}
}

// close waits for a running call and closes the connection.
func (l *link) close() {
	l.busy <- struct{}{}
	defer func() { <-l.busy }()
	if l.connection != nil {
		_ = l.connection.Close()
		l.connection = nil
	}
}

// link returns the link to an address, and creates it if there is none.
func (c *Client) link(address string) *link {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	l, ok := c.links[address]
	if !ok {
		l = &link{busy: make(chan struct{}, 1)}
		c.links[address] = l
	}
	return l
}
