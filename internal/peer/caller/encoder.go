package caller

import (
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"
	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder/internal/model/request"
	"eelgrassladder.example/eelgrassladder/internal/model/session"
)

// encoder collects messages to a caller.
type encoder struct {
	bytes []byte
}

// add appends a message.
func (e *encoder) add(m pgproto3.BackendMessage) {
	grown, err := m.Encode(e.bytes)
	if err != nil {
		klog.ErrorS(err, "Message not encoded")
		return
	}
	e.bytes = grown
}

// refuse appends an error.
func (e *encoder) refuse(r request.Refusal) {
	e.add(errorMessage("ERROR", r))
}

// result appends the answer to a statement about an own setting.
func (e *encoder) result(r ownResult, described bool) {
	if r.column == "" {
		// Drivers keep the value they were last told, so a session that was
		// set must be told like one that has grown.
		if r.session {
			e.add(&pgproto3.ParameterStatus{Name: settingSession, Value: r.value})
		}
		e.add(&pgproto3.CommandComplete{CommandTag: []byte("SET")})
		return
	}
	if described {
		e.add(textColumn(r.column))
	}
	e.add(&pgproto3.DataRow{Values: [][]byte{[]byte(r.value)}})
	e.add(&pgproto3.CommandComplete{CommandTag: []byte("SHOW")})
}

// ready appends the end of an answer and returns all messages.
func (e *encoder) ready(status request.Status) []byte {
	e.add(&pgproto3.ReadyForQuery{TxStatus: byte(status)})
	return e.bytes
}

// errorMessage turns a refusal into an error of the protocol.
func errorMessage(severity string, r request.Refusal) *pgproto3.ErrorResponse {
	m := &pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity, Code: r.Code, Message: r.Message, Hint: r.Hint,
	}
	if r.RetryAfter > 0 {
		m.Detail = "RetryAfterMs: " + strconv.FormatInt(r.RetryAfter.Milliseconds(), 10)
	}
	return m
}

// rolledBack appends the answer to the end of a transaction that was lost.
func (e *encoder) rolledBack() {
	e.add(&pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")})
}

// refusal returns an error and the end of the answer.
func refusal(r request.Refusal, status request.Status) []byte {
	var out encoder
	out.refuse(r)
	return out.ready(status)
}

// sessionStatus returns the message that tells the caller its session token.
func sessionStatus(t session.Token) []byte {
	var out encoder
	out.add(&pgproto3.ParameterStatus{Name: settingSession, Value: t.String()})
	return out.bytes
}
