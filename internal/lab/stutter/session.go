package stutter

import (
	"bufio"
	"context"
	"maps"
	"net"
	"strings"
	"sync"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/lab/line"
)

// answer is one whole answer of the member. It is immutable.
type answer struct {
	kind Kind
	// text is the answer with all line ends, and ready its last message.
	text, ready string
	// code, state and position are from its ERROR and READY; rows are its rows.
	code, state, position string
	rows                  []string
}

// request is a message to the member that is not answered yet. It is immutable.
type request struct {
	id, text string
	// values and shape are those of Run.
	values map[string]string
	shape  string
}

// session is one connection to the member, and what the member knows of it.
type session struct {
	relay  *Relay
	number int

	// mutex guards the fields below. The relay's mutex may be taken while it is held.
	mutex sync.Mutex
	// waiting are the requests without an answer, in their order. The first is CONNECT.
	waiting []request
	// state and position are those of the last READY.
	state, position string
	// values holds the session values, and prepared the mode and shape of each prepared name,
	// once all requests so far are processed.
	values, prepared map[string]string
}

// readAnswers reads the member's answers and hands them on until the member closes the
// connection.
func (s *session) readAnswers(ctx context.Context, member net.Conn, answers chan<- answer) {
	reader := bufio.NewReader(member)
	for {
		var a answer
		for a.state == "" {
			message, err := line.Read(reader)
			a.text += message
			if err != nil {
				s.hand(ctx, answers, answer{text: a.text}) // of a refused CONNECT, or cut off
				return
			}
			a.text += line.End
			a = a.with(message)
		}
		s.noteAnswer(a)
		if !s.hand(ctx, answers, a) {
			return
		}
	}
}

// with returns the answer with what one message says.
func (a answer) with(message string) answer {
	word, rest, _ := strings.Cut(message, " ")
	switch word {
	case "ROW":
		a.rows = append(a.rows[:len(a.rows):len(a.rows)], rest)
	case "COMPLETE":
		a.kind = Signed
		if rest == "-" && len(a.rows) == 0 {
			a.kind = Unsigned
		} else if rest == "-" {
			a.kind = Status
		}
	case "ERROR":
		a.kind = Error
		a.code, _, _ = strings.Cut(rest, " ")
	case "READY":
		if a.kind == "" {
			a.kind = Greeting
		}
		a.ready = message + line.End
		a.state, a.position, _ = strings.Cut(rest, " ")
	}
	return a
}

// withReady returns the text of the answer with the READY of another one.
func (a answer) withReady(other answer) string {
	return strings.TrimSuffix(a.text, a.ready) + other.ready
}

// hand hands an answer on. It returns false if the connection ends.
func (s *session) hand(ctx context.Context, answers chan<- answer, a answer) bool {
	select {
	case answers <- a:
		return true
	case <-ctx.Done():
		return false
	}
}

// noteAnswer reports the request that an answer of the member belongs to. A member answers in
// the order of the requests.
func (s *session) noteAnswer(a answer) {
	s.mutex.Lock()
	before := s.state
	s.state, s.position = a.state, a.position
	var r request
	if len(s.waiting) > 0 {
		r, s.waiting = s.waiting[0], s.waiting[1:]
	}
	s.mutex.Unlock()
	s.report(r, Run{Before: before, After: a.state, Code: a.code, Rows: a.rows})
}

// noteUnanswered reports the request that the member was processing when the connection
// ended. Nothing else uses the session any more.
func (s *session) noteUnanswered() {
	if len(s.waiting) > 0 {
		s.report(s.waiting[0], Run{Before: s.state, After: s.state, Code: Unanswered})
	}
}

// report reports a request of a client with its outcome.
func (s *session) report(r request, outcome Run) {
	if r.id == "" || r.id == "-" {
		return
	}
	outcome.Connection, outcome.ID, outcome.Text, outcome.Values, outcome.Shape = s.number, r.id, r.text, r.values, r.shape
	s.relay.observe(outcome)
}

// forward passes requests on to the member until the proxy closes the connection.
func (s *session) forward(ctx context.Context, client, member net.Conn, answers chan<- answer) {
	reader := bufio.NewReader(client)
	for {
		message, err := line.Read(reader)
		if err != nil {
			return
		}
		if latency := s.relay.latency(); latency > 0 {
			time.Sleep(latency)
		}
		if refusal, ok := s.noteRequest(message); ok {
			if !s.hand(ctx, answers, refusal) {
				return
			}
			continue
		}
		if _, err := member.Write([]byte(message + line.End)); err != nil {
			return
		}
	}
}

// noteRequest notes a request to the member, unless it is refused: then it returns the
// refusal.
func (s *session) noteRequest(message string) (refusal answer, refused bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	word, rest, _ := strings.Cut(message, " ")
	if word != "QUERY" {
		s.waiting = append(s.waiting, request{})
		return answer{}, false
	}
	id, text, _ := strings.Cut(rest, " ")
	if positioned, ok := strings.CutPrefix(text, "AFTER "); ok {
		_, text, _ = strings.Cut(positioned, " ")
	}
	kind, arguments, _ := strings.Cut(text, " ")
	refusable := kind == "READ" || kind == "WRITE" || kind == "EXECUTE" || kind == "BEGIN"
	if refusable && s.state == "I" && len(s.waiting) == 0 && s.relay.drawRefusal() {
		lines := []string{"ERROR BUSY refused", "READY I " + s.position, ""}
		return answer{kind: Error, text: strings.Join(lines, line.End), ready: lines[1] + line.End}, true
	}
	name, argument, _ := strings.Cut(arguments, " ")
	r := request{id: id, text: text}
	switch kind {
	case "SET":
		s.values[name] = argument
	case "PREPARE":
		s.prepared[name] = argument
	case "DEALLOC":
		delete(s.prepared, name)
	case "RESET":
		s.values, s.prepared = map[string]string{}, map[string]string{}
	case "EXECUTE":
		r.shape = s.prepared[name]
	}
	r.values = maps.Clone(s.values)
	s.waiting = append(s.waiting, r)
	return answer{}, false
}
