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

// tokenSetting is the setting of a connection that carries the session's token.
const tokenSetting = "eelgrassladder.session"

// clientSession is the session of one user of a caller. It has a sketch of its own in
// its group, which only this session writes.
type clientSession struct {
	// id is the number of the session's own sketch.
	id    int64
	group string
	// name is the session's name; empty for a session that carries a token.
	name string
	// mutex guards the fields below. It is held during a request, as a session runs
	// one request at a time.
	mutex sync.Mutex
	// token is the newest token that a connection returned.
	token string
	// seenVersion is the highest version of its sketch that the session has read, or
	// written with an acknowledgement.
	seenVersion int64
	// highestTried is the highest version that the session has tried to write.
	highestTried int64
}

// result is the outcome of a request.
type result struct {
	outcome  request.Outcome
	position position.Position
	// sent is when the request was sent.
	sent time.Time
	// code is the SQLSTATE if the outcome is not Done; "connect" or "connection" for
	// errors without one.
	code string
}

// notRunCodes are the SQLSTATEs with which proxies guarantee that nothing ran.
var notRunCodes = map[string]bool{
	"53300": true, "53400": true, "57P03": true, "57P01": true, "40001": true, "57014": true,
}

// classify turns the error of a request into a result. After an error of the
// connection the outcome is unknown, unless nothing was sent before it.
func classify(err error) result {
	if err == nil {
		return result{outcome: request.Done}
	}
	var serverError *pgconn.PgError
	if !errors.As(err, &serverError) {
		if pgconn.SafeToRetry(err) {
			return result{outcome: request.NotRun, code: "connection"}
		}
		return result{outcome: request.Unknown, code: "connection"}
	}
	if notRunCodes[serverError.Code] {
		return result{outcome: request.NotRun, code: serverError.Code}
	}
	return result{outcome: request.Unknown, code: serverError.Code}
}

// bind sets the session's token and name on the connection; an empty token if
// dropToken is true.
func (cs *clientSession) bind(ctx context.Context, c *pooledConn, dropToken bool) error {
	statement := "SET eelgrassladder.session = '" + cs.token + "'"
	if dropToken {
		statement = "SET eelgrassladder.session = ''"
	}
	if _, err := c.PgConn().Exec(ctx, statement).ReadAll(); err != nil {
		return errors.WithStack(err)
	}
	_, err := c.PgConn().Exec(ctx, "SET eelgrassladder.session_name = '"+cs.name+"'").ReadAll()
	return errors.WithStack(err)
}

// updateToken stores the token that the connection now reports, unless the session
// has a name, and returns the token's position for the session's group.
func (cs *clientSession) updateToken(c *pooledConn) position.Position {
	text := c.PgConn().ParameterStatus(tokenSetting)
	t, err := session.Parse(text)
	if err != nil {
		return position.Position{}
	}
	if cs.name == "" {
		cs.token = text
	}
	return t.Position(cs.group)
}

// run runs one request of a stream. The name identifies the request in its writes;
// sessions is the number of sketches in the group.
func (cs *clientSession) run(ctx context.Context, l *ledger, c *pooledConn, s workload.Stream, name string, random *rand.Rand, sessions int) result {
	switch s.Kind {
	case workload.Insert:
		return cs.insert(ctx, l, c, name)
	case workload.Transfer:
		return cs.transfer(ctx, l, c, name)
	case workload.ReadOwn:
		return cs.readOwn(ctx, l, c)
	default:
		return cs.browse(ctx, l, c, int64(random.IntN(sessions)))
	}
}

// insert writes a deposit and records the outcome.
func (cs *clientSession) insert(ctx context.Context, l *ledger, c *pooledConn, name string) result {
	_, err := c.Exec(ctx, "INSERT INTO deposits (request, amount) VALUES ($1, $2)", name, cs.id)
	res := classify(err)
	if err == nil {
		res.position = cs.updateToken(c)
	}
	l.recordOutcome(name, write{group: cs.group, outcome: res.outcome, position: res.position})
	return res
}

// transfer writes a deposit, two legs and the session's sketch in one transaction,
// and records the outcome.
func (cs *clientSession) transfer(ctx context.Context, l *ledger, c *pooledConn, name string) result {
	cs.highestTried++
	version := cs.highestTried
	err := pgx.BeginFunc(ctx, c.Conn, func(tx pgx.Tx) error { return cs.transferInTransaction(ctx, l, tx, name, version) })
	res := classify(err)
	if err == nil {
		cs.seenVersion = version
		res.position = cs.updateToken(c)
	}
	l.recordOutcome(name, write{group: cs.group, transfer: true, outcome: res.outcome, position: res.position})
	return res
}

// transferInTransaction runs the statements of a transfer. It checks that the
// transaction reads its own write, and that it finds no setting that another
// transaction left on the connection.
func (cs *clientSession) transferInTransaction(ctx context.Context, l *ledger, tx pgx.Tx, name string, version int64) error {
	var marker string
	if err := tx.QueryRow(ctx, "SHOW lab.marker").Scan(&marker); err != nil {
		return err
	}
	if marker != "" {
		l.recordViolation(func(v *Violations) { v.MixedTransactions++ }, "transaction "+name+" found the setting of "+marker)
	}
	if _, err := tx.Exec(ctx, "SET lab.marker = '"+name+"'"); err != nil {
		return err
	}
	if _, err := tx.Exec(ctx, "INSERT INTO deposits (request, amount) VALUES ($1, $2)", name, cs.id); err != nil {
		return err
	}
	if _, err := tx.Exec(ctx, "INSERT INTO legs (request, leg) VALUES ($1, 1)", name); err != nil {
		return err
	}
	if _, err := tx.Exec(ctx, "UPDATE sketches SET version = $1 WHERE id = $2", version, cs.id); err != nil {
		return err
	}
	var versionRead int64
	if err := tx.QueryRow(ctx, "SELECT version FROM sketches WHERE id = $1", cs.id).Scan(&versionRead); err != nil {
		return err
	}
	if versionRead != version {
		l.recordViolation(func(v *Violations) { v.MixedTransactions++ },
			fmt.Sprintf("transaction %s wrote version %d and read %d", name, version, versionRead))
	}
	_, err := tx.Exec(ctx, "INSERT INTO legs (request, leg) VALUES ($1, 2)", name)
	return err
}

// readOwn reads the session's sketch and checks that it is not older than the
// version that the session has seen, and not newer than any it tried to write.
func (cs *clientSession) readOwn(ctx context.Context, l *ledger, c *pooledConn) result {
	var version int64
	var label string
	err := c.QueryRow(ctx, "SELECT version, label FROM sketches WHERE id = $1", cs.id).Scan(&version, &label)
	res := classify(err)
	if err != nil {
		return res
	}
	if version < cs.seenVersion {
		l.recordViolation(func(v *Violations) { v.StaleReads++ },
			fmt.Sprintf("session %d read version %d after %d (token %s)", cs.id, version, cs.seenVersion, cs.token))
	}
	if label != labelOf(cs.id) || version > cs.highestTried {
		l.recordViolation(func(v *Violations) { v.WrongAnswers++ }, fmt.Sprintf("session %d read %q version %d", cs.id, label, version))
	}
	cs.seenVersion = max(cs.seenVersion, version)
	res.position = cs.updateToken(c)
	return res
}

// browse reads the sketch of any session and checks that the answer belongs to it.
func (cs *clientSession) browse(ctx context.Context, l *ledger, c *pooledConn, id int64) result {
	var idRead int64
	var label string
	err := c.QueryRow(ctx, "SELECT id, label FROM sketches WHERE id = $1", id).Scan(&idRead, &label)
	res := classify(err)
	if err != nil {
		return res
	}
	if idRead != id || label != labelOf(id) {
		l.recordViolation(func(v *Violations) { v.WrongAnswers++ }, fmt.Sprintf("asked for %d and got %d %q", id, idRead, label))
	}
	res.position = cs.updateToken(c)
	return res
}

// labelOf returns the label of a sketch, which is unique to it.
func labelOf(id int64) string { return "sketch-" + strconv.FormatInt(id, 10) }
