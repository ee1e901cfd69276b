package caller

import (
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"
	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder/internal/model/request"
	"eelgrassladder.example/eelgrassladder/internal/model/session"
)

// encoder collects encoded messages for a caller.
type encoder struct {
	bytes []byte
}

// add appends a message. A message that can't be encoded is logged and left out.
func (e *encoder) add(m pgproto3.BackendMessage) {
	grown, err := m.Encode(e.bytes)
	if err != nil {
		klog.ErrorS(err, "Encoding a message for a caller failed")
		return
	}
	e.bytes = grown
}

// addError appends an ErrorResponse.
func (e *encoder) addError(r request.Refusal) {
	e.add(errorMessage("ERROR", r))
}

// addSettingResult appends the answer to a SET or SHOW of one of the proxy's
// settings. withDescription says whether a row description comes before the row.
func (e *encoder) addSettingResult(r settingResult, withDescription bool) {
	if r.column == "" {
		// Drivers keep the last value that was reported. So after a SET, the session
		// token must be reported too, as after an answer that changed it.
		if r.session {
			e.add(&pgproto3.ParameterStatus{Name: settingSession, Value: r.value})
		}
		e.add(&pgproto3.CommandComplete{CommandTag: []byte("SET")})
		return
	}
	if withDescription {
		e.add(textColumn(r.column))
	}
	e.add(&pgproto3.DataRow{Values: [][]byte{[]byte(r.value)}})
	e.add(&pgproto3.CommandComplete{CommandTag: []byte("SHOW")})
}

// finish appends a ReadyForQuery and returns all messages.
func (e *encoder) finish(status request.Status) []byte {
	e.add(&pgproto3.ReadyForQuery{TxStatus: byte(status)})
	return e.bytes
}

// errorMessage returns the ErrorResponse for a refusal.
func errorMessage(severity string, r request.Refusal) *pgproto3.ErrorResponse {
	m := &pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity, Code: r.Code, Message: r.Message, Hint: r.Hint,
	}
	if r.RetryAfter > 0 {
		m.Detail = "RetryAfterMs: " + strconv.FormatInt(r.RetryAfter.Milliseconds(), 10)
	}
	return m
}

// addRollback appends the answer to a statement by which the caller ends a
// transaction that was already rolled back and lost.
func (e *encoder) addRollback() {
	e.add(&pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")})
}

// encodeRefusal returns an ErrorResponse and the ReadyForQuery after it.
func encodeRefusal(r request.Refusal, status request.Status) []byte {
	var out encoder
	out.addError(r)
	return out.finish(status)
}

// encodeSessionStatus returns the message that reports the session token to the
// caller's driver.
func encodeSessionToken(t session.Token) []byte {
	var out encoder
	out.add(&pgproto3.ParameterStatus{Name: settingSession, Value: t.String()})
	return out.bytes
}
