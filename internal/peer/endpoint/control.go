package endpoint

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/host/socket"
	"eelgrassladder.example/eelgrassladder/internal/model/group"
)

// progressMargin is added to the wait of Progress to give the timeout of the call.
const progressMargin = 250 * time.Millisecond

// ControlConnection is the control connection of one member; it implements the root
// package's Member. Calls open the connection as needed. Only one call may run at
// a time, so calls that must not wait for each other need a connection each.
type ControlConnection struct {
	// address is the member's IP address and port.
	address string
	// database is the name of the group.
	database    string
	credentials Credentials
	// connection is nil before the first call and after Close.
	connection *pgconn.PgConn
}

// NewControlConnection returns the control connection of a member. The first call
// opens it.
func NewControlConnection(address, database string, c Credentials) *ControlConnection {
	return &ControlConnection{address: address, database: database, credentials: c}
}

// Progress returns the member's progress as soon as it differs from known, or when
// the wait has ended. It returns an error if the member answers too late.
func (c *ControlConnection) Progress(ctx context.Context, known group.Progress, wait time.Duration) (group.Progress, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+progressMargin)
	defer cancel()
	if err := c.open(ctx); err != nil {
		return group.Progress{}, err
	}
	result := c.connection.ExecPrepared(ctx, progressName, [][]byte{
		encodeNumber(known.Term), []byte(known.Role), encodeNumber(known.Received), encodeNumber(known.Applied), encodeNumber(uint64(wait.Milliseconds())),
	}, nil, nil).Read()
	if result.Err != nil {
		return group.Progress{}, errors.WithStack(result.Err)
	}
	return readProgress(result)
}

// encodeNumber returns a number in PostgreSQL's text format for parameters.
func encodeNumber(n uint64) []byte { return strconv.AppendUint(nil, n, 10) }

// The query for the progress. It is prepared once for each connection, because it
// runs continuously.
const (
	progressName  = "progress"
	progressQuery = "SELECT * FROM group_progress($1, $2, $3, $4, $5)"
)

// Fence asks the member to refuse work of terms below term. A member grants a term
// to one proposer only.
func (c *ControlConnection) Fence(ctx context.Context, term uint64, proposer string) (group.Progress, error) {
	return c.command(ctx, fmt.Sprintf("SELECT * FROM group_fence(%d, %s)", term, quote(proposer)))
}

// Promote makes the member the primary of a term that it has granted to the
// proposer.
func (c *ControlConnection) Promote(ctx context.Context, term uint64, proposer string) (group.Progress, error) {
	return c.command(ctx, fmt.Sprintf("SELECT * FROM group_promote(%d, %s)", term, quote(proposer)))
}

// Follow makes the member a replica of the named primary of a term.
func (c *ControlConnection) Follow(ctx context.Context, term uint64, primary string) (group.Progress, error) {
	return c.command(ctx, fmt.Sprintf("SELECT * FROM group_follow(%d, %s)", term, quote(primary)))
}

// IsClosed reports whether there is no open connection: the last call lost it, no call has
// opened one yet, or Close was called.
func (c *ControlConnection) IsClosed() bool { return c.connection == nil || c.connection.IsClosed() }

// Close closes the connection if there is one; the next call opens another. Close takes
// at most cancelGrace.
func (c *ControlConnection) Close() {
	if c.connection == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelGrace)
	defer cancel()
	_ = c.connection.Close(ctx)
	c.connection = nil
}

// command runs a query that returns the member's progress. If the connection fails,
// the next call opens another.
func (c *ControlConnection) command(ctx context.Context, query string) (group.Progress, error) {
	if err := c.open(ctx); err != nil {
		return group.Progress{}, err
	}
	results, err := c.connection.Exec(ctx, query).ReadAll()
	if err != nil {
		return group.Progress{}, errors.WithStack(err)
	}
	if len(results) != 1 {
		return group.Progress{}, errors.Errorf("malformed progress: %d results, want 1", len(results))
	}
	return readProgress(results[0])
}

// open opens the connection unless there is one that works, and prepares the query
// for the progress. A connection on which something has arrived since the last answer is
// closed: a second one would be taken for that of the next call.
func (c *ControlConnection) open(ctx context.Context) error {
	if c.connection != nil && !c.connection.IsClosed() {
		raw, err := rawSocket(c.connection.Conn())
		if err == nil && c.connection.Frontend().ReadBufferLen() == 0 && !socket.Readable(raw) {
			return nil
		}
		c.Close()
	}
	config, err := connectionConfig(c.address, c.database, c.credentials)
	if err != nil {
		return err
	}
	opened, err := pgconn.ConnectConfig(ctx, config)
	if err != nil {
		return errors.WithStack(err)
	}
	c.connection = opened
	_, err = opened.Prepare(ctx, progressName, progressQuery, nil)
	return errors.WithStack(err)
}

// readProgress parses the single value of a result.
func readProgress(r *pgconn.Result) (group.Progress, error) {
	if len(r.Rows) != 1 || len(r.Rows[0]) != 1 {
		return group.Progress{}, errors.Errorf("malformed progress: want one row of one value, have %q", r.Rows)
	}
	return parseProgress(string(r.Rows[0][0]))
}

// parseProgress parses a progress: term, role, term of the last log entry, last
// log index received, last log index applied, and milliseconds since the last
// contact with the primary.
func parseProgress(text string) (group.Progress, error) {
	fields := strings.Fields(text)
	if len(fields) != progressFields {
		return group.Progress{}, errors.Errorf("malformed progress %q: want %d fields", text, progressFields)
	}
	var numbers [progressFields]uint64
	for i, f := range fields {
		if i == roleField {
			continue
		}
		n, err := strconv.ParseUint(f, 10, 64)
		if err != nil {
			return group.Progress{}, errors.WithStack(err)
		}
		numbers[i] = n
	}
	return group.Progress{
		Term:         numbers[0],
		Role:         group.Role(fields[roleField]),
		LogTerm:      numbers[2],
		Received:     numbers[3],
		Applied:      numbers[4],
		SinceContact: time.Duration(numbers[5]) * time.Millisecond,
	}, nil
}

// The number of fields of a progress, and the index of the only one that is not a
// number.
const (
	progressFields = 6
	roleField      = 1
)

// quote returns the text as an SQL string literal.
func quote(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }
