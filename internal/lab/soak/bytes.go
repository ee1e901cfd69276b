package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/lab/line"
	"eelgrassladder.example/eelgrassladder/internal/lab/member"
)

// pieces are what random texts consist of.
var pieces = strings.Split("\r|\r|\r\r|\n|\n|\n\r| |  |\t|\u00a0|\u2028|\x00|\v|\f|\xff|\xfe|a|bc|d e|QUERY - RESET|QUERY x WRITE y z|RELEASE|COMPLETE -|READY I -", "|")

// randomText returns up to 11 random pieces that hold no end of a message.
func randomText(random *rand.Rand) string {
	text := ""
	for range random.IntN(12) {
		if next := text + pieces[random.IntN(len(pieces))]; !strings.Contains(next, line.End) {
			text = next
		}
	}
	return text
}

// data returns what a client writes for a value: the value and a text that the seed, the item
// and the value determine.
func (c *client) data(value int) string {
	return fmt.Sprintf("%d %s", value, randomText(rand.New(rand.NewPCG(c.run.plan.Seed^c.index<<32, uint64(value)))))
}

// valueOf returns the value of what a client has written.
func valueOf(data string) (int, error) {
	value, _, _ := strings.Cut(data, " ")
	return strconv.Atoi(value)
}

// sentStatement is a statement that a client has sent. It is immutable.
type sentStatement struct {
	// Run is what a member may run. An EXECUTE has no Text, because proxies rename prepared
	// statements.
	member.Run
	// key is what the client has identified itself with, and proxy the name of its proxy.
	key, proxy string
	// operation is the number of the single statement or transaction, and began when the client
	// sent its first statement.
	operation uint64
	began     time.Time
}

// statements holds the statements of all clients.
type statements struct {
	// mutex guards the fields below. No other lock is taken while it is held.
	mutex sync.Mutex
	// sent holds the statements by their IDs.
	sent map[string]sentStatement
	// ran counts the statements that members ran.
	ran int
}

// note records a statement before it is sent.
func (s *statements) note(sent sentStatement) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sent[sent.ID] = sent
}

// take counts a statement that a member ran, and returns what was noted under its ID.
func (s *statements) take(id string) (sentStatement, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ran++
	sent, ok := s.sent[id]
	return sent, ok
}

// compared returns how many statements members ran.
func (s *statements) compared() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.ran
}

// checkRun compares what a member ran with what a client sent, byte for byte, and checks for
// whom it ran.
func (r *runner) checkRun(run member.Run) {
	sent, ok := r.statements.take(run.ID)
	if ok && r.plan.Teams > 0 {
		r.checkCaller(run, sent)
	}
	if run.Prepared != "" {
		run.Text = ""
	}
	switch {
	case !ok:
		r.recordViolation("%s ran %q under the ID %q, which no client sent", run.Member, run.Text, run.ID)
	case run.Text != sent.Text || run.Prepared != sent.Prepared || run.Arguments != sent.Arguments:
		r.recordViolation("%s ran %q %q %q, sent was %q %q %q", run.Member, run.Text, run.Prepared, run.Arguments, sent.Text, sent.Prepared, sent.Arguments)
	case !maps.Equal(run.Values, sent.Values):
		r.recordViolation("%s ran %s under the values %q, set were %q", run.Member, run.ID, run.Values, sent.Values)
	}
}
