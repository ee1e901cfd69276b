package soak

import (
	"math/rand/v2"
	"strings"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/lab/member"
	"eelgrassladder.example/eelgrassladder/internal/lab/testbed"
)

// session is a session of a client. One goroutine uses it.
type session struct {
	*testbed.Client
	run *runner
	// values holds what the session has set, and shape that of the write that it has prepared
	// under the name s; empty for none.
	values map[string]string
	shape  string
	// key is what the session has identified itself with, and proxy the name of its proxy.
	key, proxy string
	// team is the number of the client's team.
	team int
	// operation is the number of the newest operation, which began at a time. It goes on while
	// a transaction is open.
	operation     uint64
	began         time.Time
	inTransaction bool
}

// dial opens a session for a database at a proxy with a key.
func (r *runner) dial(p *process, key, database string) (*session, error) {
	began := time.Now()
	c, err := testbed.DialAs(p.callerAddress, database, key)
	if r.plan.Teams > 0 {
		r.checkGreeting(p.settings.Name, key, began, err)
	}
	if err != nil {
		return nil, err
	}
	return &session{Client: c, run: r, key: key, proxy: p.settings.Name}, nil
}

// Do notes a statement and runs it.
func (s *session) Do(text string) (testbed.Answer, error) {
	run := member.Run{ID: testbed.NextID(), Text: text, Values: s.values}
	if arguments, ok := strings.CutPrefix(text, "EXECUTE s "); ok {
		run.Text, run.Prepared, run.Arguments = "", "WRITE "+s.shape, arguments
	}
	if !s.inTransaction {
		s.operation, s.began = s.run.operationCount.Add(1), time.Now()
	}
	s.run.statements.note(sentStatement{Run: run, key: s.key, proxy: s.proxy, operation: s.operation, began: s.began})
	a, err := s.DoAs(run.ID, text)
	if err == nil && a.Code == unauthorized {
		s.checkUnauthorized(a)
	}
	if err == nil && !a.OK() {
		s.run.pacing.noteError(s.team, a.Code)
	}
	s.inTransaction = err == nil && a.State != "I"
	return a, err
}

// prepare sets a value in some sessions and prepares a write in some, and reports whether the
// session goes on. The texts are few, so that sessions with the same ones share connections.
func (s *session) prepare(random *rand.Rand) bool {
	few := rand.New(rand.NewPCG(s.run.plan.Seed, random.Uint64N(3)))
	value, shape := randomText(few), "shape "+randomText(few)
	if random.IntN(2) == 0 {
		if a, err := s.Do("SET colour " + value); err != nil || !a.OK() {
			return false
		}
		s.values = map[string]string{"colour": value}
	}
	if random.IntN(2) == 0 {
		if a, err := s.Do("PREPARE s WRITE " + shape); err != nil || !a.OK() {
			return false
		}
		s.shape = shape
	}
	return true
}

// writeText returns a write of data to an item, as an EXECUTE if one is prepared.
func (s *session) writeText(item, data string) string {
	if s.shape != "" {
		return "EXECUTE s " + item + " " + data
	}
	return "WRITE " + item + " " + data
}
