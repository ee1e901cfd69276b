package caller

import (
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"
	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder/internal/trade/request"
	"eelgrassladder.example/eelgrassladder/internal/trade/session"
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

// addError appends an error.
func (e *encoder) addError(r request.Refusal) {
	e.add(errorMessage("ERROR", r))
}

// addSettingResult appends the answer to a statement about an own setting.
func (e *encoder) addSettingResult(r settingResult, described bool) {
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

// finish appends the end of an answer and returns all messages.
func (e *encoder) finish(status request.Status) []byte {
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

// addRollback appends the answer to the end of a transaction that was lost.
func (e *encoder) addRollback() {
	e.add(&pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")})
}

// encodeRefusal returns an error and the end of the answer.
func encodeRefusal(r request.Refusal, status request.Status) []byte {
	var out encoder
	out.addError(r)
	return out.finish(status)
}

// encodeSessionStatus returns the message that tells the caller its session token.
func encodeSessionStatus(t session.Token) []byte {
	var out encoder
	out.add(&pgproto3.ParameterStatus{Name: settingSession, Value: t.String()})
	return out.bytes
}
