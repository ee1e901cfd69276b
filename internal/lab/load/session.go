package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/lab/workload"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/request"
	"eelgrassladder.example/eelgrassladder/internal/model/session"
)

// tokenSetting is the setting that carries a session's token.
const tokenSetting = "eelgrassladder.session"

// user is one session: an owner or a pattern maker.
type user struct {
	// id is the number of the session's own sketch.
	id int64
	// group is the group that the session works in.
	group string
	// name is set for a session that carries no token.
	name string
	// mutex is held during a request: a session does one thing at a time.
	mutex sync.Mutex
	// token is what the session carries.
	token string
	// version is the version of its sketch that the session has last written
	// with an acknowledgement, or read.
	version int64
	// tried is the highest version that the session has tried to write.
	tried int64
}

// outcome is what became of a request.
type outcome struct {
	outcome  request.Outcome
	position position.Position
	// sent is when the request was sent.
	sent time.Time
	// code is the SQLSTATE when the outcome is not Done.
	code string
}

// notRunCodes are the SQLSTATEs that promise that nothing ran.
var notRunCodes = map[string]bool{
	"53300": true, "53400": true, "57P03": true, "57P01": true, "40001": true, "57014": true,
}

// classify turns an error into an outcome. An error of the connection says
// nothing, unless it came before anything was sent.
func classify(err error) outcome {
	if err == nil {
		return outcome{outcome: request.Done}
	}
	var refused *pgconn.PgError
	if !errors.As(err, &refused) {
		if pgconn.SafeToRetry(err) {
			return outcome{outcome: request.NotRun, code: "connection"}
		}
		return outcome{outcome: request.Unknown, code: "connection"}
	}
	if notRunCodes[refused.Code] {
		return outcome{outcome: request.NotRun, code: refused.Code}
	}
	return outcome{outcome: request.Unknown, code: refused.Code}
}

// adopt makes the connection carry the session.
func (u *user) adopt(ctx context.Context, c *lent, drop bool) error {
	text := "SET eelgrassladder.session = '" + u.token + "'"
	if drop {
		text = "SET eelgrassladder.session = ''"
	}
	if _, err := c.PgConn().Exec(ctx, text).ReadAll(); err != nil {
		return errors.WithStack(err)
	}
	_, err := c.PgConn().Exec(ctx, "SET eelgrassladder.session_name = '"+u.name+"'").ReadAll()
	return errors.WithStack(err)
}

// learn takes the token that the connection now holds.
func (u *user) learn(c *lent) position.Position {
	text := c.PgConn().ParameterStatus(tokenSetting)
	t, err := session.Parse(text)
	if err != nil {
		return position.Position{}
	}
	if u.name == "" {
		u.token = text
	}
	return t.Position(u.group)
}

// work runs one request of a stream.
func (u *user) work(ctx context.Context, l *ledger, c *lent, s workload.Stream, name string, r *rand.Rand, sessions int) outcome {
	switch s.Kind {
	case workload.Insert:
		return u.insert(ctx, l, c, name)
	case workload.Transfer:
		return u.transfer(ctx, l, c, name)
	case workload.ReadOwn:
		return u.readOwn(ctx, l, c)
	default:
		return u.browse(ctx, l, c, int64(r.IntN(sessions)))
	}
}

// insert writes a deposit, which must be there exactly once.
func (u *user) insert(ctx context.Context, l *ledger, c *lent, name string) outcome {
	_, err := c.Exec(ctx, "INSERT INTO deposits (request, amount) VALUES ($1, $2)", name, u.id)
	o := classify(err)
	if err == nil {
		o.position = u.learn(c)
	}
	l.told(name, write{group: u.group, outcome: o.outcome, position: o.position})
	return o
}

// transfer writes a deposit, two legs and the session's sketch in one
// transaction, and checks that the transaction sees its own work only.
func (u *user) transfer(ctx context.Context, l *ledger, c *lent, name string) outcome {
	u.tried++
	next := u.tried
	err := pgx.BeginFunc(ctx, c.Conn, func(tx pgx.Tx) error { return u.transferIn(ctx, l, tx, name, next) })
	o := classify(err)
	if err == nil {
		u.version = next
		o.position = u.learn(c)
	}
	l.told(name, write{group: u.group, legs: true, outcome: o.outcome, position: o.position})
	return o
}

// transferIn does the work of a transfer inside its transaction.
func (u *user) transferIn(ctx context.Context, l *ledger, tx pgx.Tx, name string, next int64) error {
	var marker string
	if err := tx.QueryRow(ctx, "SHOW lab.marker").Scan(&marker); err != nil {
		return err
	}
	if marker != "" {
		l.violate(func(v *Violations) { v.MixedTransactions++ }, "transaction "+name+" found the setting of "+marker)
	}
	if _, err := tx.Exec(ctx, "SET lab.marker = '"+name+"'"); err != nil {
		return err
	}
	if _, err := tx.Exec(ctx, "INSERT INTO deposits (request, amount) VALUES ($1, $2)", name, u.id); err != nil {
		return err
	}
	if _, err := tx.Exec(ctx, "INSERT INTO legs (request, leg) VALUES ($1, 1)", name); err != nil {
		return err
	}
	if _, err := tx.Exec(ctx, "UPDATE sketches SET version = $1 WHERE id = $2", next, u.id); err != nil {
		return err
	}
	var seen int64
	if err := tx.QueryRow(ctx, "SELECT version FROM sketches WHERE id = $1", u.id).Scan(&seen); err != nil {
		return err
	}
	if seen != next {
		l.violate(func(v *Violations) { v.MixedTransactions++ },
			fmt.Sprintf("transaction %s wrote version %d and read %d", name, next, seen))
	}
	_, err := tx.Exec(ctx, "INSERT INTO legs (request, leg) VALUES ($1, 2)", name)
	return err
}

// readOwn reads the session's sketch, which must not be older than what the
// session has seen.
func (u *user) readOwn(ctx context.Context, l *ledger, c *lent) outcome {
	var version int64
	var label string
	err := c.QueryRow(ctx, "SELECT version, label FROM sketches WHERE id = $1", u.id).Scan(&version, &label)
	o := classify(err)
	if err != nil {
		return o
	}
	if version < u.version {
		l.violate(func(v *Violations) { v.StaleReads++ },
			fmt.Sprintf("session %d read version %d after %d (token %s)", u.id, version, u.version, u.token))
	}
	if label != labelOf(u.id) || version > u.tried {
		l.violate(func(v *Violations) { v.WrongAnswers++ }, fmt.Sprintf("session %d read %q version %d", u.id, label, version))
	}
	u.version = max(u.version, version)
	o.position = u.learn(c)
	return o
}

// browse reads another session's sketch.
func (u *user) browse(ctx context.Context, l *ledger, c *lent, id int64) outcome {
	var found int64
	var label string
	err := c.QueryRow(ctx, "SELECT id, label FROM sketches WHERE id = $1", id).Scan(&found, &label)
	o := classify(err)
	if err != nil {
		return o
	}
	if found != id || label != labelOf(id) {
		l.violate(func(v *Violations) { v.WrongAnswers++ }, fmt.Sprintf("asked for %d and got %d %q", id, found, label))
	}
	o.position = u.learn(c)
	return o
}

// labelOf is the label of a sketch, which no other sketch has.
func labelOf(id int64) string { return "sketch-" + strconv.FormatInt(id, 10) }
