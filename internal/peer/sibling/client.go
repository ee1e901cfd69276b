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

// dialTime bounds the opening of a connection to another proxy.
const dialTime = 300 * time.Millisecond

// Client exchanges beats with other proxies. Use NewClient to make one.
type Client struct {
	// mutex guards links. It is a leaf.
	mutex sync.Mutex
	// links is keyed by address.
	links map[string]*link
}

// link is the connection to one proxy.
type link struct {
	// busy has room for one; it is held during a call.
	busy chan struct{}
	// connection is nil while there is none.
	connection *drpcconn.Conn
}

// NewClient returns a client without connections.
func NewClient() *Client { return &Client{links: map[string]*link{}} }

// Exchange sends a beat and returns the one that answers it. After a failure
// the connection is closed.
func (c *Client) Exchange(ctx context.Context, address string, b heartbeat.Message) (heartbeat.Message, error) {
	l := c.link(address)
	select {
	case l.busy <- struct{}{}:
		defer func() { <-l.busy }()
	case <-ctx.Done():
		return heartbeat.Message{}, errors.WithStack(ctx.Err())
	}
	if l.connection == nil {
		dialer := net.Dialer{Timeout: dialTime}
		stream, err := dialer.DialContext(ctx, "tcp4", address)
		if err != nil {
			return heartbeat.Message{}, errors.WithStack(err)
		}
		l.connection = drpcconn.New(stream)
	}
	answer, err := peer.NewDRPCPeerClient(l.connection).Exchange(ctx, encode(b))
	if err != nil {
		_ = l.connection.Close()
		l.connection = nil
		return heartbeat.Message{}, errors.WithStack(err)
	}
	return decode(answer), nil
}

// CloseExcept closes the connections to proxies that are not among the addresses.
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

// close closes the connection once no call uses it.
func (l *link) close() {
	l.busy <- struct{}{}
	defer func() { <-l.busy }()
	if l.connection != nil {
		_ = l.connection.Close()
		l.connection = nil
	}
}

// link returns the link to an address, which is made if it is not there.
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
