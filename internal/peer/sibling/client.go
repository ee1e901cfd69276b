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
	l := c.link(address)
	select {
	case l.busy <- struct{}{}:
		defer func() { <-l.busy }()
	case <-ctx.Done():
		return heartbeat.Message{}, errors.WithStack(ctx.Err())
	}
	if l.connection == nil {
		connection, err := dial(ctx, address)
		if err != nil {
			return heartbeat.Message{}, err
		}
		l.connection = connection
	}
	answer, err := peer.NewDRPCPeerClient(l.connection).Exchange(ctx, encode(b))
	if err != nil {
		_ = l.connection.Close()
		l.connection = nil
		return heartbeat.Message{}, errors.WithStack(err)
	}
	return decode(answer), nil
}

// CloseRecord tells the proxy at an address that a group's record was closed. It returns
// what the proxy knows of the group once that proxy reports no more commits of the old
// primary as acknowledged. It uses a connection of its own, so that notices for several
// groups do not wait for one another. Only ctx bounds the call, apart from dialTimeout.
func (c *Client) CloseRecord(ctx context.Context, address string, r heartbeat.Record) (heartbeat.PrimaryReport, error) {
	answer, err := callOnce(ctx, address, func(p peer.DRPCPeerClient) (*peer.Sight, error) { return p.Close(ctx, encodeRecord(r)) })
	if err != nil {
		return heartbeat.PrimaryReport{}, err
	}
	return decodeReport(answer), nil
}

// ExchangeOnce sends a heartbeat to the proxy at an address and returns its answer, over a
// connection of its own. Only ctx bounds the call, apart from dialTimeout.
func (c *Client) ExchangeOnce(ctx context.Context, address string, b heartbeat.Message) (heartbeat.Message, error) {
	answer, err := callOnce(ctx, address, func(p peer.DRPCPeerClient) (*peer.Beat, error) { return p.Exchange(ctx, encode(b)) })
	if err != nil {
		return heartbeat.Message{}, err
	}
	return decode(answer), nil
}

// callOnce makes one call to the proxy at an address, over a connection of its own.
func callOnce[T any](ctx context.Context, address string, call func(peer.DRPCPeerClient) (T, error)) (T, error) {
	var none T
	connection, err := dial(ctx, address)
	if err != nil {
		return none, err
	}
	defer func() { _ = connection.Close() }()
	answer, err := call(peer.NewDRPCPeerClient(connection))
	if err != nil {
		return none, errors.WithStack(err)
	}
	return answer, nil
}

// dial opens a connection to the proxy at an address.
func dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return drpcconn.New(raw), nil
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
