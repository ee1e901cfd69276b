package endpoint

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/model/group"
)

// probeSlack is added to the wait of a probe before it counts as failed.
const probeSlack = 250 * time.Millisecond

// ControlConnection is the control connection of one member; it implements the root
// package's Member. Calls open the connection as needed. One call runs on it
// at a time; use two controls for calls that must not wait for each other.
type ControlConnection struct {
	// address is the member's IP number and port.
	address string
	// database is the name of the group.
	database string
	// credentials are shown to the member.
	credentials Credentials
	// opened is nil while there is no connection.
	opened *pgconn.PgConn
}

// NewControlConnection returns a control of a member that has no connection yet.
func NewControlConnection(address, database string, c Credentials) *ControlConnection {
	return &ControlConnection{address: address, database: database, credentials: c}
}

// Progress returns when the member differs from what is known, or when the
// wait has ended. A member that answers late is an error.
func (c *ControlConnection) Progress(ctx context.Context, known group.Progress, wait time.Duration) (group.Progress, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+probeSlack)
	defer cancel()
	if err := c.open(ctx); err != nil {
		return group.Progress{}, err
	}
	result := c.opened.ExecPrepared(ctx, progressName, [][]byte{
		number(known.Term), []byte(known.Role), number(known.Received), number(known.Applied), number(uint64(wait.Milliseconds())),
	}, nil, nil).Read()
	if result.Err != nil {
		return group.Progress{}, errors.WithStack(result.Err)
	}
	return onlyRow(result)
}

// number writes a parameter.
func number(n uint64) []byte { return strconv.AppendUint(nil, n, 10) }

// The statement that asks for progress. It is prepared once a connection,
// because it is asked for all the time.
const (
	progressName  = "progress"
	progressQuery = "SELECT * FROM group_progress($1, $2, $3, $4, $5)"
)

// Fence asks the member to refuse work of terms below term.
func (c *ControlConnection) Fence(ctx context.Context, term uint64, proposer string) (group.Progress, error) {
	return c.ask(ctx, fmt.Sprintf("SELECT * FROM group_fence(%d, %s)", term, quote(proposer)))
}

// Promote makes the member the primary of a term granted to the proposer.
func (c *ControlConnection) Promote(ctx context.Context, term uint64, proposer string) (group.Progress, error) {
	return c.ask(ctx, fmt.Sprintf("SELECT * FROM group_promote(%d, %s)", term, quote(proposer)))
}

// Follow makes the member a replica of the primary of a term.
func (c *ControlConnection) Follow(ctx context.Context, term uint64, primary string) (group.Progress, error) {
	return c.ask(ctx, fmt.Sprintf("SELECT * FROM group_follow(%d, %s)", term, quote(primary)))
}

// Lost reports whether the connection was lost during the last call.
func (c *ControlConnection) Lost() bool { return c.opened == nil || c.opened.IsClosed() }

// Close gives the connection up.
func (c *ControlConnection) Close() {
	if c.opened == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelGrace)
	defer cancel()
	_ = c.opened.Close(ctx)
	c.opened = nil
}

// ask runs one function and reads the progress that it answers. After an
// error of the connection, the next call opens a new one.
func (c *ControlConnection) ask(ctx context.Context, query string) (group.Progress, error) {
	if err := c.open(ctx); err != nil {
		return group.Progress{}, err
	}
	results, err := c.opened.Exec(ctx, query).ReadAll()
	if err != nil {
		return group.Progress{}, errors.WithStack(err)
	}
	if len(results) != 1 {
		return group.Progress{}, errors.New("malformed progress")
	}
	return onlyRow(results[0])
}

// open opens the connection if there is none that works.
func (c *ControlConnection) open(ctx context.Context) error {
	if c.opened != nil && !c.opened.IsClosed() {
		return nil
	}
	config, err := settings(c.address, c.database, c.credentials)
	if err != nil {
		return err
	}
	opened, err := pgconn.ConnectConfig(ctx, config)
	if err != nil {
		return errors.WithStack(err)
	}
	c.opened = opened
	_, err = opened.Prepare(ctx, progressName, progressQuery, nil)
	return errors.WithStack(err)
}

// onlyRow reads the single value of a progress.
func onlyRow(r *pgconn.Result) (group.Progress, error) {
	if len(r.Rows) != 1 || len(r.Rows[0]) != 1 {
		return group.Progress{}, errors.New("malformed progress")
	}
	return parseProgress(string(r.Rows[0][0]))
}

// parseProgress reads a progress: term, role, last term of the log, places
// received and applied, and milliseconds since the last contact.
func parseProgress(text string) (group.Progress, error) {
	fields := strings.Fields(text)
	if len(fields) != progressFields {
		return group.Progress{}, errors.New("malformed progress")
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

// The fields of a progress.
const (
	progressFields = 6
	roleField      = 1
)

// quote returns the text as an SQL constant.
func quote(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }
