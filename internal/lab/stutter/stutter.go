// Package stutter provides a TCP relay before a database member that sends some of the
// member's answers a second time, late. Whole answers are repeated, never inside another
// one. The relay can also refuse statements in the member's place, and reports what the
// member runs under which session values.
package stutter

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/lab/relay"
)

// dialTimeout bounds the opening of a connection to the member.
const dialTimeout = time.Second

// Kind is a kind of answer.
type Kind string

// The kinds of answers.
const (
	// Greeting is the answer to CONNECT.
	Greeting Kind = "Greeting"
	// Signed is the answer to a read, a write or a commit that ran.
	Signed Kind = "Signed"
	// Unsigned is the answer to a statement that accesses no data, such as a SET.
	Unsigned Kind = "Unsigned"
	// Status is the answer to a status request or command.
	Status Kind = "Status"
	// Error is an error.
	Error Kind = "Error"
)

// AllKinds returns the kinds of answers.
func AllKinds() []Kind { return []Kind{Greeting, Signed, Unsigned, Status, Error} }

// Conditions say which answers are repeated, and which statements are refused. The value
// is immutable.
type Conditions struct {
	// Share is the share of answers of the kinds that are repeated, from 0 to 1.
	Share float64
	Kinds []Kind
	// Shortest and Longest bound the time from an answer to its copy. A copy without a
	// delay is sent in the same write.
	Shortest, Longest time.Duration
	// CurrentReady ends a copy with the READY of the last answer before it instead of its own.
	CurrentReady bool
	// Refused is the share of reads, writes and begins outside of transactions that are refused
	// with BUSY in the member's place, from 0 to 1.
	Refused float64
	// Latency is how long each request takes to the member. Copies arrive meanwhile.
	Latency time.Duration
}

// Unanswered is the code of a statement whose connection ended before the member's answer.
const Unanswered = "UNANSWERED"

// Run is a client's statement that was sent to a member. It is immutable.
type Run struct {
	// Connection numbers the connections of the relay.
	Connection int
	// ID and Text are those that the member received, the text without a required position.
	ID, Text string
	// Values are the session values of the connection, by name.
	Values map[string]string
	// Shape is the statement that the name in an EXECUTE stands for, after READ or WRITE;
	// empty if the name is unknown.
	Shape string
	// Before and After are the states of the session: I, T or E.
	Before, After string
	// Code is the code of an error or Unanswered; empty for success.
	Code string
	// Rows are the rows of the answer.
	Rows []string
}

// Relay relays connections to a member. Create it with New.
type Relay struct {
	target  string
	address string
	observe func(Run)

	// mutex guards the fields below. No other lock is taken while it is held.
	mutex      sync.Mutex
	random     *rand.Rand
	conditions Conditions
	// connections, repeated and refused count connections, repeated answers and refused
	// statements.
	connections, repeated, refused int
}

// Option configures a relay that New creates.
type Option func(*Relay)

// WithObserver makes the relay call a function for each statement of a client that the
// member has answered, before the answer is passed on, or that the end of the connection
// leaves unanswered. It may be called by several goroutines at once.
func WithObserver(observe func(Run)) Option { return func(r *Relay) { r.observe = observe } }

// New starts a relay that listens on a free port of loopback. It relays connections to the
// target's address until the context of the group ends. The seed determines which answers
// are repeated and when, in the order in which they arrive.
func New(g *task.Group, target string, seed uint64, options ...Option) (*Relay, error) {
	r := &Relay{target: target, observe: func(Run) {}, random: rand.New(rand.NewPCG(seed, 0))}
	for _, o := range options {
		o(r)
	}
	var err error
	r.address, err = relay.Listen(g, r.serve)
	return r, err
}

// Address returns the address that the relay listens on.
func (r *Relay) Address() string { return r.address }

// SetConditions replaces the conditions. Copies that are due later are still sent.
func (r *Relay) SetConditions(c Conditions) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.conditions = c
}

// Repeated returns how many answers were repeated, or will be.
func (r *Relay) Repeated() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.repeated
}

// Refused returns how many statements were refused.
func (r *Relay) Refused() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.refused
}

// drawCopy draws whether an answer of a kind is repeated, and the delay of its copy.
func (r *Relay) drawCopy(k Kind) (delay time.Duration, repeat bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	c := r.conditions
	if !slices.Contains(c.Kinds, k) || r.random.Float64() >= c.Share {
		return 0, false
	}
	r.repeated++
	return c.Shortest + time.Duration(r.random.Int64N(int64(c.Longest-c.Shortest)+1)), true
}

// currentReady reports whether copies end with the READY of the last answer.
func (r *Relay) currentReady() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.conditions.CurrentReady
}

// latency returns how long a request takes to the member.
func (r *Relay) latency() time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.conditions.Latency
}

// drawRefusal draws whether a statement is refused.
func (r *Relay) drawRefusal() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	refuse := r.random.Float64() < r.conditions.Refused
	if refuse {
		r.refused++
	}
	return refuse
}

// serve relays one connection until a side closes it.
func (r *Relay) serve(ctx context.Context, client net.Conn) {
	defer func() { _ = client.Close() }()
	dialer := net.Dialer{Timeout: dialTimeout}
	target, err := dialer.DialContext(ctx, "tcp4", r.target)
	if err != nil {
		return // the member does not listen; the client sees a close
	}
	defer func() { _ = target.Close() }()
	closeBoth := func() {
		_ = client.Close()
		_ = target.Close()
	}
	stop := context.AfterFunc(ctx, closeBoth)
	defer stop()
	r.mutex.Lock()
	r.connections++
	s := &session{relay: r, number: r.connections, state: "I", position: "-", values: map[string]string{}, prepared: map[string]string{}}
	r.mutex.Unlock()
	answers := make(chan answer)
	backward := task.New(ctx)
	backward.GoIsolated("answers of a member", func(ctx context.Context) {
		defer closeBoth()
		s.readAnswers(ctx, target, answers)
	})
	backward.GoIsolated("answers to a proxy", func(ctx context.Context) {
		defer closeBoth()
		r.writeAnswers(ctx, client, answers)
	})
	s.forward(backward.Context(), client, target, answers)
	closeBoth()
	backward.Stop()
	_ = backward.Wait() // the functions return no error
	s.noteUnanswered()
}

// copyOf is an answer that is sent a second time. It is immutable.
type copyOf struct {
	due    time.Time
	answer answer
}

// writeAnswers writes answers, and copies of some of them when they are due.
func (r *Relay) writeAnswers(ctx context.Context, client net.Conn, answers <-chan answer) {
	var copies []copyOf // in the order in which they are due
	var last answer
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		var due <-chan time.Time
		if len(copies) > 0 {
			timer.Reset(time.Until(copies[0].due))
			due = timer.C
		}
		text := ""
		select {
		case <-ctx.Done():
			return
		case <-due:
			text = copies[0].answer.text
			if r.currentReady() {
				text = copies[0].answer.withReady(last)
			}
			copies = copies[1:]
		case a := <-answers:
			last, text = a, a.text
			if delay, repeat := r.drawCopy(a.kind); repeat && delay == 0 {
				text += a.text
			} else if repeat {
				c := copyOf{due: time.Now().Add(delay), answer: a}
				i, _ := slices.BinarySearchFunc(copies, c, func(a, b copyOf) int { return a.due.Compare(b.due) })
				copies = slices.Insert(copies, i, c)
			}
		}
		if _, err := client.Write([]byte(text)); err != nil {
			return
		}
	}
}
