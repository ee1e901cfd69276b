package member

import (
	"bufio"
	"context"
	"fmt"
	"maps"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/lab/line"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
)

// acceptLoop returns a task that accepts connections until its context ends or the
// member is down or terminated.
func (m *Member) acceptLoop(listener net.Listener) func(context.Context) error {
	return func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
		defer stop()
		for {
			c, err := listener.Accept()
			if ctx.Err() != nil {
				return ctx.Err()
			}
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			if err != nil {
				return errors.WithStack(err)
			}
			m.tasks.GoIsolated("member session", func(ctx context.Context) {
				end := context.AfterFunc(ctx, func() { _ = c.Close() })
				defer end()
				m.serve(c)
			})
		}
	}
}

// session is one connection to a member. One goroutine uses it.
type session struct {
	member *Member
	conn   net.Conn
	reader *bufio.Reader
	// caller is the name that CONNECT gave.
	caller string
	// values holds the values that SET has set, and prepared the mode ("READ" or
	// "WRITE") and the shape of each prepared statement, as its PREPARE gave them.
	values   map[string]string
	prepared map[string]string
	// inTransaction is true inside a transaction, and failed once one of its
	// statements has failed. readOnly is true if the transaction was begun as read-only,
	// term is the member's term at its beginning, and writes are the values by item that
	// it will commit.
	inTransaction, failed, readOnly bool
	term                            uint64
	writes                          map[string]string
}

// serve answers one connection until it ends. It resets the connection if the member is
// down, and refuses it over the limit of all callers, or unless it is opened with the group,
// a caller's name and the ID of the member.
func (m *Member) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	g := m.group
	g.mutex.Lock()
	full := m.countConnections() >= m.Connections
	down := m.fault.Down || m.fault.ResetNew
	if full && !down {
		m.rejectedConnections++
	}
	if !full && !down {
		m.openConnections[c] = true
	}
	g.mutex.Unlock()
	if down {
		resetConnection(c)
		return
	}
	if !full {
		defer m.closeConnection(c)
	}
	s := &session{member: m, conn: c, reader: bufio.NewReader(c), values: map[string]string{}, prepared: map[string]string{}}
	greeting, err := s.readMessage()
	if err != nil {
		return
	}
	fields := strings.Split(greeting, " ")
	switch {
	case full:
		s.send("ERROR OVERLOAD too many connections")
		return
	case len(fields) != 4 || fields[0] != "CONNECT" || fields[1] != g.Name || fields[2] == "" || fields[3] != m.ID:
		s.send("ERROR MISROUTED another member")
		return
	}
	s.caller = fields[2]
	if g.ConnectTime > 0 && !m.holdSlot(g.ConnectTime, func() {}) {
		s.send("ERROR BUSY too many wait for a slot")
		return
	}
	s.send("READY I " + s.visiblePosition())
	for {
		message, err := s.readMessage()
		if err != nil || !s.handle(message) {
			return
		}
	}
}

// readMessage reads one message and returns it without its end. It fails once the member
// is down.
func (s *session) readMessage() (string, error) {
	message, err := line.Read(s.reader)
	if err != nil {
		return "", err
	}
	g := s.member.group
	if g.OnMessage != nil {
		g.OnMessage(s.member.ID, message)
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if s.member.fault.Down {
		return "", net.ErrClosed
	}
	return message, nil
}

// send writes lines unless the member is unresponsive.
func (s *session) send(lines ...string) {
	s.member.group.mutex.Lock()
	unresponsive := s.member.fault.Unresponsive
	s.member.group.mutex.Unlock()
	if unresponsive {
		return
	}
	_, _ = s.conn.Write([]byte(strings.Join(lines, line.End) + line.End))
}

// visiblePosition returns the position of the last entry that reads can see, or
// "-" if there is none.
func (s *session) visiblePosition() string {
	s.member.group.mutex.Lock()
	defer s.member.group.mutex.Unlock()
	_, visible := s.member.read("")
	if visible.IsZero() {
		return "-"
	}
	return visible.String()
}

// readyMessage returns the line that ends an answer: the transaction state (I for idle,
// T in a transaction, E in a failed one) and the visible position.
func (s *session) readyMessage() string {
	state := "I"
	if s.failed {
		state = "E"
	} else if s.inTransaction {
		state = "T"
	}
	return "READY " + state + " " + s.visiblePosition()
}

// succeed answers with rows and a signature, and returns true so that the session
// goes on.
func (s *session) succeed(signature string, rows ...string) bool {
	lines := make([]string, 0, len(rows)+2)
	for _, r := range rows {
		lines = append(lines, "ROW "+r)
	}
	s.send(append(lines, "COMPLETE "+signature, s.readyMessage())...)
	return true
}

// fail answers with an error, marks an open transaction as failed, and returns
// true so that the session goes on.
func (s *session) fail(code, text string) bool {
	if s.inTransaction {
		s.failed = true
	}
	s.send("ERROR "+code+" "+text, s.readyMessage())
	return true
}

// handle runs one message from the client and reports whether the session goes on.
func (s *session) handle(message string) bool {
	kind, rest, _ := strings.Cut(message, " ")
	id, text, _ := strings.Cut(rest, " ")
	if kind != "QUERY" {
		return false
	}
	if s.failed && text != "ROLLBACK" && text != "COMMIT" {
		return s.fail("MALFORMED", "failed transaction")
	}
	if id == "" {
		return s.fail("MALFORMED", "no identifier")
	}
	if positionAndStatement, ok := strings.CutPrefix(text, "AFTER "); ok {
		required, statement, _ := strings.Cut(positionAndStatement, " ")
		p, err := position.Parse(required)
		if err != nil {
			return s.fail("MALFORMED", "position")
		}
		if !s.hasApplied(p) {
			return s.fail("LAGGING", "behind")
		}
		text = statement
	}
	word, arguments, _ := strings.Cut(text, " ")
	if isMalformed(text, word, arguments) {
		return s.fail("MALFORMED", "arguments")
	}
	return s.run(id, text, word, arguments)
}

// isMalformed reports whether a statement, whose text consists of the word and arguments, lacks
// an argument or has one too many.
func isMalformed(text, word, arguments string) bool {
	first, rest, _ := strings.Cut(arguments, " ")
	switch word {
	case "STATUS", "RESUME", "RESET", "COMMIT", "ROLLBACK":
		return text != word
	case "READ", "WRITE", "SET":
		return arguments == "" || (word == "SET" && first == "")
	case "PREPARE":
		mode, _, hasShape := strings.Cut(rest, " ")
		return first == "" || !hasShape || (mode != "READ" && mode != "WRITE")
	default:
		return false
	}
}

// run runs one statement, whose text consists of the word and arguments, and reports
// whether the session goes on.
func (s *session) run(id, text, word, arguments string) bool {
	switch word {
	case "STATUS":
		return s.succeed("-", s.statusRow())
	case "SUSPEND", "DEMOTE":
		return s.suspendOrDemote(word, arguments)
	case "RESUME":
		return s.resume()
	case "RESET":
		s.values, s.prepared = map[string]string{}, map[string]string{}
		return s.succeed("-")
	case "SET":
		name, value, _ := strings.Cut(arguments, " ")
		s.values[name] = value
		return s.succeed("-")
	case "PREPARE":
		name, modeAndShape, _ := strings.Cut(arguments, " ")
		s.prepared[name] = modeAndShape
		return s.succeed("-")
	case "BEGIN":
		return s.begin(id, text)
	case "ROLLBACK":
		s.inTransaction, s.failed, s.writes = false, false, nil
		return s.succeed("-")
	case "COMMIT":
		return s.commit(id, text)
	case "READ", "WRITE":
		return s.readOrWrite(Run{ID: id, Text: text}, word == "WRITE", arguments)
	case "EXECUTE":
		return s.execute(id, text, arguments)
	default:
		return s.fail("MALFORMED", "unknown")
	}
}

// execute runs EXECUTE. Its name and item must be there; the item may be empty.
func (s *session) execute(id, text, arguments string) bool {
	name, itemAndData, ok := strings.Cut(arguments, " ")
	if !ok {
		return s.fail("MALFORMED", "no item")
	}
	prepared, ok := s.prepared[name]
	if !ok {
		return s.fail("NOSTMT", name)
	}
	mode, _, _ := strings.Cut(prepared, " ")
	return s.readOrWrite(Run{ID: id, Text: text, Prepared: prepared, Arguments: itemAndData}, mode == "WRITE", itemAndData)
}

// hasApplied reports whether reads at this member see the commit at a position. They
// also count as seeing it if the last visible entry has a newer term and a log index at
// least as high.
func (s *session) hasApplied(p position.Position) bool {
	m := s.member
	m.group.mutex.Lock()
	defer m.group.mutex.Unlock()
	visible := m.updateVisible()
	for i := visible - 1; i >= 0; i-- {
		if m.log[i].position == p {
			return true
		}
	}
	return visible > 0 && m.log[visible-1].position.Term > p.Term && m.log[visible-1].position.Log >= p.Log
}

// begin opens a transaction. It fails at a replica unless the transaction is read-only.
func (s *session) begin(id, text string) bool {
	readOnly := text == "BEGIN READ"
	if !readOnly && text != "BEGIN" {
		return s.fail("MALFORMED", "mode")
	}
	if s.inTransaction {
		return s.fail("MALFORMED", "a transaction is open")
	}
	primary, term := s.member.State()
	if !readOnly && !primary {
		return s.fail("READONLY", s.member.ID)
	}
	s.inTransaction, s.readOnly, s.term, s.writes = true, readOnly, term, map[string]string{}
	s.noteRun(Run{ID: id, Text: text})
	return s.succeed("-")
}

// readOrWrite runs READ, WRITE or EXECUTE on one item. The arguments are the item and, for
// a write, the data.
func (s *session) readOrWrite(r Run, isWrite bool, arguments string) bool {
	item, value := arguments, ""
	if isWrite || r.Prepared != "" {
		item, value, _ = strings.Cut(arguments, " ")
	}
	primary, term := s.member.State()
	if (isWrite && (!primary || (s.inTransaction && s.readOnly))) || (s.inTransaction && !s.readOnly && (!primary || term != s.term)) {
		return s.fail("READONLY", s.member.ID)
	}
	if !s.occupySlot(r) {
		return s.fail("BUSY", "too many wait for a slot")
	}
	if !isWrite {
		g := s.member.group
		g.mutex.Lock()
		row, _ := s.member.read(item)
		g.mutex.Unlock()
		if v, ok := s.writes[item]; s.inTransaction && ok {
			row = v
		}
		return s.answer(r.ID, r.Text, row)
	}
	if s.inTransaction {
		s.writes[item] = value
		return s.answer(r.ID, r.Text)
	}
	if _, err := s.member.commit(map[string]string{item: value}); err != nil {
		return s.fail(commitErrorCode(err), err.Error())
	}
	return s.answer(r.ID, r.Text)
}

// commitErrorCode returns the code for a commit that was not acknowledged. It is
// READONLY, which promises that the commit did not run, only for errReadOnly. After any
// other error the entry is in the log, where reads can see it and it may survive.
func commitErrorCode(err error) string {
	if errors.Is(err, errReadOnly) {
		return "READONLY"
	}
	return "TIMEOUT"
}

// commit runs COMMIT.
func (s *session) commit(id, text string) bool {
	if !s.inTransaction {
		return s.fail("MALFORMED", "no transaction")
	}
	writes, failed := s.writes, s.failed
	s.inTransaction, s.failed, s.writes = false, false, nil
	if failed {
		s.send("ERROR ABORTED failed", s.readyMessage())
		return true
	}
	if !s.occupySlot(Run{ID: id, Text: text}) {
		s.send("ERROR ABORTED too many wait for a slot", s.readyMessage())
		return true
	}
	if len(writes) > 0 {
		if _, err := s.member.commit(maps.Clone(writes)); err != nil {
			s.send("ERROR "+commitErrorCode(err)+" "+err.Error(), s.readyMessage())
			return true
		}
	}
	return s.answer(id, text)
}

// occupySlot waits for a slot, holds it for StatementTime, and counts the statement. It returns
// false if the member's queue is full.
func (s *session) occupySlot(r Run) bool {
	if !s.member.holdSlot(s.member.StatementTime, func() { s.noteRun(r) }) {
		return false
	}
	s.member.group.mutex.Lock()
	s.member.statementsRun++
	s.member.group.mutex.Unlock()
	return true
}

// holdSlot waits for a slot, calls begun, and holds the slot for a time. It returns false if the
// member's queue is full.
func (m *Member) holdSlot(d time.Duration, begun func()) bool {
	waiting := m.waiting.Add(1)
	if m.group.Queue > 0 && int(waiting) > m.group.Queue+m.Slots {
		m.waiting.Add(-1)
		return false
	}
	defer m.waiting.Add(-1)
	m.slots <- struct{}{}
	begun()
	time.Sleep(d)
	<-m.slots
	return true
}

// noteRun records the statement if its caller is not known, and calls OnRun with the
// statement and the values that are in force.
func (s *session) noteRun(r Run) {
	g := s.member.group
	if g.KnownCaller != nil && !g.KnownCaller(s.caller) {
		g.mutex.Lock()
		g.unknownCallers = append(g.unknownCallers, fmt.Sprintf("%s ran %s %q for %q", s.member.ID, r.ID, r.Text, s.caller))
		g.mutex.Unlock()
	}
	if onRun := g.OnRun; onRun != nil {
		r.Member, r.Caller, r.Values = s.member.ID, s.caller, maps.Clone(s.values)
		onRun(r)
	}
}

// answer answers a read, write or commit that ran, unless the member loses its answers.
// The signature names the member, the statement's ID and the length of its text.
func (s *session) answer(id, text string, rows ...string) bool {
	s.member.group.mutex.Lock()
	loseAnswers := s.member.fault.LoseAnswers
	s.member.group.mutex.Unlock()
	if loseAnswers {
		return true
	}
	return s.succeed("sig-"+s.member.ID+"-"+id+"-"+strconv.Itoa(len(text)), rows...)
}
