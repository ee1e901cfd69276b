package soak

import (
	"math/rand/v2"
	"strings"

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
}

// dial opens a session for a database.
func (r *runner) dial(address, database string) (*session, error) {
	c, err := testbed.Dial(address, database)
	if err != nil {
		return nil, err
	}
	return &session{Client: c, run: r}, nil
}

// Do notes a statement and runs it.
func (s *session) Do(text string) (testbed.Answer, error) {
	run := member.Run{ID: testbed.NextID(), Text: text, Values: s.values}
	if arguments, ok := strings.CutPrefix(text, "EXECUTE s "); ok {
		run.Text, run.Prepared, run.Arguments = "", "WRITE "+s.shape, arguments
	}
	s.run.statements.note(run)
	return s.DoAs(run.ID, text)
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
