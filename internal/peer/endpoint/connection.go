// Package endpoint is the system's side of the members of database groups:
// connections that carry callers' work, pools of them, and the control
// connection through which terms and positions are told.
package endpoint

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/request"
	"eelgrassladder.example/eelgrassladder/internal/peer/wire"
)

// CodeSuperseded is how a member refuses work of another term, which proves
// that the work was not run.
const CodeSuperseded = "GT001"

// termParameter is the start-up parameter that binds a connection to a term.
const termParameter = "group.term"

// MaxAnswerBytes bounds one answer of an endpoint.
const MaxAnswerBytes = 16 << 20

// cancelGrace is how long a cancelled statement may take to end.
const cancelGrace = time.Second

// connectTimeout bounds the opening of a connection.
const connectTimeout = 2 * time.Second

// Credentials are what the system shows to endpoints. They are never logged.
type Credentials struct {
	// User is the name that endpoints know the system by.
	User string
	// Password is the user's password; may be empty.
	Password string
}

// Result is the answer of an endpoint to one request.
type Result struct {
	// Payload is the whole answer up to its ReadyForQuery, encoded.
	Payload []byte
	// Status is the state of the transaction after the answer.
	Status request.Status
	// Code is the SQLSTATE of the first error, or empty.
	Code string
	// Committed is true when a COMMIT in the request has run, whatever failed
	// after it.
	Committed bool
	// Position is the member's term and the last place that the request can
	// have written or read; zero if the member did not say.
	Position position.Position
}

// Connection is one connection to a member. One request runs on it at a time.
type Connection struct {
	// stream is the network connection.
	stream net.Conn
	// reader reads the member's messages.
	reader *wire.Reader
	// process and secret identify the connection for a cancel.
	process uint32
	secret  []byte
	// prepared holds the names of the statements that are prepared on it.
	prepared map[string]bool
	// broken is true once the connection can't be used again.
	broken bool
	// status is the state of the transaction after the last answer.
	status request.Status
}

// Connect opens a connection that belongs to a term.
func Connect(ctx context.Context, address, database string, c Credentials, term uint64) (*Connection, error) {
	config, err := settings(address, database, c)
	if err != nil {
		return nil, err
	}
	config.RuntimeParams[termParameter] = strconv.FormatUint(term, 10)
	opened, err := pgconn.ConnectConfig(ctx, config)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	taken, err := opened.Hijack()
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return &Connection{
		stream:   taken.Conn,
		reader:   wire.NewReader(taken.Conn, MaxAnswerBytes),
		process:  taken.PID,
		secret:   taken.SecretKey,
		prepared: map[string]bool{},
		status:   request.Idle,
	}, nil
}

// settings returns the library's settings for a member.
func settings(address, database string, c Credentials) (*pgconn.Config, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	config, err := pgconn.ParseConfig("sslmode=disable")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	number, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	config.Host = host
	config.Port = uint16(number)
	config.User = c.User
	config.Password = c.Password
	config.Database = database
	config.Fallbacks = nil
	config.ConnectTimeout = connectTimeout
	return config, nil
}

// Exchange sends a request and reads its whole answer. With place, it also
// asks for the position, in the same write. After an error the connection is
// broken; sent tells whether the member may have received the request.
func (c *Connection) Exchange(ctx context.Context, r request.Request, place bool) (result Result, sent bool, err error) {
	stop := c.cutOnCancel(ctx)
	defer stop()
	outgoing, expected := c.compose(r)
	if place {
		outgoing = appendQuery(outgoing, positionQuery)
	}
	n, err := c.stream.Write(outgoing)
	if err != nil {
		c.broken = true
		return Result{}, n > 0, errors.WithStack(err)
	}
	result, err = c.collect(expected)
	if err == nil && place {
		result.Position, err = c.collectPosition()
	}
	if err != nil {
		c.broken = true
		return Result{}, true, err
	}
	c.status = result.Status
	return result, true, nil
}

// Position asks for the position after a transaction has ended.
func (c *Connection) Position(ctx context.Context) (position.Position, error) {
	stop := c.cutOnCancel(ctx)
	defer stop()
	if _, err := c.stream.Write(appendQuery(nil, positionQuery)); err != nil {
		c.broken = true
		return position.Position{}, errors.WithStack(err)
	}
	p, err := c.collectPosition()
	if err != nil {
		c.broken = true
	}
	return p, err
}

// Reset clears everything that a caller may have left on the connection, so
// that the next caller finds none of it.
func (c *Connection) Reset(ctx context.Context) error {
	stop := c.cutOnCancel(ctx)
	defer stop()
	var outgoing []byte
	answers := 1
	if c.status != request.Idle {
		outgoing = appendQuery(outgoing, "ROLLBACK")
		answers++
	}
	outgoing = appendQuery(outgoing, "DISCARD ALL")
	if _, err := c.stream.Write(outgoing); err != nil {
		c.broken = true
		return errors.WithStack(err)
	}
	for range answers {
		result, err := c.collect(nil)
		if err != nil || result.Code != "" || result.Status != request.Idle {
			c.broken = true
			return errors.Errorf("reset failed: %v %s", err, result.Code)
		}
	}
	c.status = request.Idle
	clear(c.prepared)
	return nil
}

// Broken reports whether the connection can't be used again.
func (c *Connection) Broken() bool { return c.broken }

// Status returns the state of the transaction after the last answer.
func (c *Connection) Status() request.Status { return c.status }

// Close ends the connection; an open transaction is rolled back.
func (c *Connection) Close() {
	c.broken = true
	_ = c.stream.Close()
}

// cutOnCancel asks the member to cancel the statement when ctx ends, and cuts
// the connection if that takes too long. The returned function undoes it.
func (c *Connection) cutOnCancel(ctx context.Context) func() {
	if ctx.Done() == nil {
		return func() {}
	}
	var gate sync.Mutex
	over := false
	stop := context.AfterFunc(ctx, func() {
		gate.Lock()
		defer gate.Unlock()
		if over {
			return
		}
		_ = c.stream.SetDeadline(time.Now().Add(cancelGrace))
		c.cancel()
	})
	return func() {
		if stop() {
			return
		}
		gate.Lock()
		over = true
		gate.Unlock()
		_ = c.stream.SetDeadline(time.Time{})
	}
}

// cancel sends a cancel for this connection on one of its own.
func (c *Connection) cancel() {
	stream, err := net.DialTimeout("tcp", c.stream.RemoteAddr().String(), cancelGrace)
	if err != nil {
		return
	}
	defer stream.Close()
	_ = stream.SetDeadline(time.Now().Add(cancelGrace))
	message, err := (&pgproto3.CancelRequest{ProcessID: c.process, SecretKey: c.secret}).Encode(nil)
	if err == nil {
		_, _ = stream.Write(message)
	}
}
