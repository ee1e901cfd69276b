package group

import (
	"context"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/host/password"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
)

// crashCheckPeriod is the shortest time between two checks whether the member of a
// connection has crashed.
const crashCheckPeriod = 5 * time.Millisecond

// termParameter is the start-up parameter that binds a connection to a term. Control
// connections don't set it.
const termParameter = "group.term"

// server is the listener of one member.
type server struct {
	member   *Member
	group    *Group
	listener net.Listener
	tasks    *task.Group
	password string
	// lastNumber is the number of the newest connection.
	lastNumber atomic.Uint32
	// sessions has the sessions by number, for cancel requests.
	sessions sessionTable
}

// listen accepts connections until ctx ends.
func (s *server) listen(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.listener.Close() })
	defer stop()
	for {
		c, err := s.listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return errors.WithStack(err)
		}
		if s.member.Conditions().Crashed {
			_ = c.Close()
			continue
		}
		s.tasks.GoIsolated(s.member.name+" connection", func(ctx context.Context) { s.serve(ctx, c) })
	}
}

// serve answers one connection until it ends, the member crashes or ctx ends.
func (s *server) serve(ctx context.Context, c net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	defer c.Close()
	s.tasks.GoIsolated(s.member.name+" crash watch", func(context.Context) { s.watchCrash(ctx, cancel) })
	counted := &countedConn{Conn: c}
	backend := pgproto3.NewBackend(counted, counted)
	p, err := s.startup(ctx, c, backend)
	if err != nil || p == nil {
		return
	}
	defer s.releaseConnection()
	if p.term == 0 {
		counted.total = &s.member.controlBytes
	}
	p.number = s.lastNumber.Add(1)
	s.sessions.add(p)
	defer s.sessions.remove(p.number)
	backend.Send(&pgproto3.AuthenticationOk{})
	backend.Send(&pgproto3.ParameterStatus{Name: "server_version", Value: "16.0"})
	backend.Send(&pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"})
	backend.Send(&pgproto3.ParameterStatus{Name: "standard_conforming_strings", Value: "on"})
	backend.Send(&pgproto3.BackendKeyData{ProcessID: p.number, SecretKey: []byte{0, 0, 0, 1}})
	backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if backend.Flush() != nil {
		return
	}
	p.run(ctx)
}

// watchCrash calls cancel when the member crashes, which closes the connection.
func (s *server) watchCrash(ctx context.Context, cancel context.CancelFunc) {
	for ctx.Err() == nil {
		s.member.mutex.Lock()
		crashed, changed := s.member.conditions.Crashed, s.member.changed
		s.member.mutex.Unlock()
		if crashed {
			cancel()
			return
		}
		select {
		case <-ctx.Done():
		case <-changed:
			// Every commit is a change. The pause bounds the number of checks.
			wait(ctx, nil, crashCheckPeriod)
		}
	}
}

// startup answers the start-up messages of a connection. It returns nil for a
// connection that carried a cancel request.
func (s *server) startup(ctx context.Context, c net.Conn, backend *pgproto3.Backend) (*session, error) {
	for {
		first, err := backend.ReceiveStartupMessage()
		if err != nil {
			return nil, errors.WithStack(err)
		}
		switch m := first.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := c.Write([]byte("N")); err != nil {
				return nil, errors.WithStack(err)
			}
		case *pgproto3.CancelRequest:
			s.sessions.cancel(m.ProcessID)
			return nil, nil
		case *pgproto3.StartupMessage:
			return s.openSession(ctx, backend, m)
		}
	}
}

// openSession authenticates a connection and opens a session. It fails if the database
// or the password is wrong, or the member's limit of connections is reached.
func (s *server) openSession(ctx context.Context, backend *pgproto3.Backend, m *pgproto3.StartupMessage) (*session, error) {
	s.member.waitWhilePaused(ctx)
	wait(ctx, nil, s.member.Conditions().ConnectTime)
	if m.Parameters["database"] != s.group.name {
		return nil, refuse(backend, "3D000", "database does not exist")
	}
	if err := s.authenticate(backend); err != nil {
		return nil, refuse(backend, "28P01", "password authentication failed")
	}
	if !s.reserveConnection() {
		return nil, refuse(backend, "53300", "too many connections")
	}
	term, _ := strconv.ParseUint(m.Parameters[termParameter], 10, 64)
	return newSession(s, backend, term), nil
}

// authenticate asks for the password with SCRAM if the group has one.
func (s *server) authenticate(backend *pgproto3.Backend) error {
	if s.password == "" {
		return nil
	}
	verifier, err := password.NewVerifier(s.password)
	if err != nil {
		return err
	}
	return password.Authenticate(backend, verifier)
}

// reserveConnection counts a connection as open. It returns false if the limit is
// reached.
func (s *server) reserveConnection() bool {
	s.member.mutex.Lock()
	defer s.member.mutex.Unlock()
	if s.member.connections >= s.member.connectionLimit {
		return false
	}
	s.member.connections++
	return true
}

// releaseConnection counts a connection as closed.
func (s *server) releaseConnection() {
	s.member.mutex.Lock()
	defer s.member.mutex.Unlock()
	s.member.connections--
}

// refuse sends a fatal error to the client and returns an error, upon which serve closes
// the connection.
func refuse(backend *pgproto3.Backend, code, message string) error {
	backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: code, Message: message})
	_ = backend.Flush()
	return errors.New(message)
}

// waitWhilePaused blocks while the member is paused.
func (m *Member) waitWhilePaused(ctx context.Context) {
	for ctx.Err() == nil {
		m.mutex.Lock()
		paused, changed := m.conditions.Paused, m.changed
		m.mutex.Unlock()
		if !paused {
			return
		}
		wait(ctx, changed, heartbeatPeriod)
	}
}

// countedConn is a connection that counts its bytes if it is a control connection.
type countedConn struct {
	net.Conn
	// total is the sum to which the bytes are added; nil for a connection that is not
	// counted.
	total *atomic.Uint64
}

// Read reads from the connection and counts the bytes.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.count(n)
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.count(n)
	return n, err
}

// packetOverhead is the size of the TCP and IP headers of a packet, in bytes. Each read
// and write counts as one packet.
const packetOverhead = 52

func (c *countedConn) count(n int) {
	if c.total != nil && n > 0 {
		c.total.Add(uint64(n + packetOverhead))
	}
}
