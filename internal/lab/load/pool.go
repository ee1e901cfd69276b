package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/lab/workload"
)

// connectTries is how often acquire tries to connect, each time to a proxy chosen at
// random, as the platform's load balancer does; and on how many connections tryRequest
// tries a request.
const connectTries = 4

// connectionPools holds the idle connections to all proxies.
type connectionPools struct {
	// addresses returns the PostgreSQL addresses of the running proxies.
	addresses func() []string
	// mutex guards idle. No other lock is taken while it is held.
	mutex sync.Mutex
	// idle is keyed by address of the proxy, caller, class and group.
	idle map[string][]*pgx.Conn
}

// pooledConn is a connection in use, with the key of its pool.
type pooledConn struct {
	*pgx.Conn
	key string
}

func newConnectionPools(addresses func() []string) *connectionPools {
	return &connectionPools{addresses: addresses, idle: map[string][]*pgx.Conn{}}
}

// acquire returns an idle or a new connection to a proxy chosen at random. It fails
// if no proxy runs, or connectTries attempts to connect have failed.
func (p *connectionPools) acquire(ctx context.Context, random *rand.Rand, s workload.Stream, group string) (*pooledConn, error) {
	var lastErr error
	for range connectTries {
		addresses := p.addresses()
		if len(addresses) == 0 {
			return nil, errors.Errorf("connect to group %s: no proxy runs", group)
		}
		address := addresses[random.IntN(len(addresses))]
		key := address + "/" + s.Caller + "/" + s.Class + "/" + group
		if c := p.popIdle(key); c != nil {
			return &pooledConn{Conn: c, key: key}, nil
		}
		c, err := connect(ctx, address, s, group)
		if err == nil {
			return &pooledConn{Conn: c, key: key}, nil
		}
		lastErr = err
	}
	return nil, lastErr
}

// connect opens a connection to a proxy, with the caller and the class of a stream.
func connect(ctx context.Context, address string, s workload.Stream, group string) (*pgx.Conn, error) {
	config, err := pgx.ParseConfig(fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable&eelgrassladder.class=%s",
		s.Caller, s.Password, address, group, s.Class))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	config.ConnectTimeout = 5 * time.Second
	c, err := pgx.ConnectConfig(ctx, config)
	return c, errors.WithStack(err)
}

// popIdle takes an open connection out of a pool; nil if there is none.
func (p *connectionPools) popIdle(key string) *pgx.Conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for n := len(p.idle[key]); n > 0; n = len(p.idle[key]) {
		c := p.idle[key][n-1]
		p.idle[key] = p.idle[key][:n-1]
		if !c.IsClosed() {
			return c
		}
	}
	return nil
}

// release puts a connection back into its pool unless it is closed.
func (p *connectionPools) release(c *pooledConn) {
	if c.IsClosed() {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.idle[c.key] = append(p.idle[c.key], c.Conn)
}

// close closes all idle connections.
func (p *connectionPools) close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, connections := range p.idle {
		for _, conn := range connections {
			_ = conn.Close(ctx)
		}
	}
	p.idle = map[string][]*pgx.Conn{}
}
