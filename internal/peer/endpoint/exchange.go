package endpoint

import (
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/request"
	"eelgrassladder.example/eelgrassladder/internal/peer/wire"
)

// positionQuery asks a member for its term and the last log index that reads there
// can see.
const positionQuery = "SELECT * FROM group_position()"

// expectation is the expected answer to a Parse or a Close.
type expectation struct {
	// name is the statement that is prepared once the answer has arrived; empty for
	// a Close or the unnamed statement.
	name string
	// hidden is true when the message was added here, so that the answer is not
	// passed on to the caller.
	hidden bool
}

// compose returns the messages to send for a request: a Parse for each statement
// that it uses and that is not prepared on the connection, then the request itself.
// It also returns the expected answers to Parse and Close, in order.
func (c *Connection) compose(r request.Request) ([]byte, []expectation) {
	if len(r.Payload) > 0 && r.Payload[0] == 'Q' {
		return r.Payload, nil
	}
	outgoing := make([]byte, 0, len(r.Payload))
	var expected []expectation
	for _, p := range r.Prepared {
		if c.prepared[p.Name] {
			continue
		}
		outgoing = append(outgoing, p.Parse...)
		expected = append(expected, expectation{name: p.Name, hidden: true})
	}
	for kind, message := range wire.Messages(r.Payload) {
		switch kind {
		case 'P':
			name, _, _ := wire.CutString(wire.Body(message))
			if c.prepared[name] || willPrepare(expected, name) {
				outgoing = appendClose(outgoing, name)
				expected = append(expected, expectation{hidden: true})
			}
			expected = append(expected, expectation{name: name})
		case 'C':
			expected = append(expected, expectation{})
		}
		outgoing = append(outgoing, message...)
	}
	return outgoing, expected
}

// willPrepare reports whether one of the expected answers prepares the statement.
func willPrepare(expected []expectation, name string) bool {
	for _, e := range expected {
		if name != "" && e.name == name {
			return true
		}
	}
	return false
}

// readAnswer reads one answer up to its ReadyForQuery, without the messages that
// the caller did not ask for. It refuses a COPY.
func (c *Connection) readAnswer(expected []expectation) (Result, error) {
	var result Result
	copyRefused := false
	for {
		start := len(result.Payload)
		kind, grown, err := c.reader.ReadMessage(result.Payload)
		if err != nil {
			return Result{}, errors.WithStack(err)
		}
		if len(grown) > MaxAnswerBytes {
			return Result{}, wire.ErrTooLarge
		}
		result.Payload = grown
		message := grown[start:]
		switch kind {
		case 'Z': // ReadyForQuery
			result.Status = request.Status(message[len(message)-1])
			return result, nil
		case 'E': // ErrorResponse
			if result.Code == "" {
				result.Code = errorCode(message)
			}
		case '1', '3': // ParseComplete, CloseComplete
			if len(expected) == 0 {
				return Result{}, errors.Errorf("endpoint sent an unexpected message of type %q", kind)
			}
			if kind == '1' && expected[0].name != "" {
				c.prepared[expected[0].name] = true
			}
			if expected[0].hidden {
				result.Payload = grown[:start]
			}
			expected = expected[1:]
		case 'G', 'H', 'W': // CopyInResponse, CopyOutResponse, CopyBothResponse
			result.Payload = appendError(grown[:start], request.CodeNotSupported, "COPY is not supported")
			copyRefused = true
			if kind != 'H' {
				if err := c.refuseCopy(); err != nil {
					return Result{}, err
				}
			}
		case 'A': // NotificationResponse
			result.Payload = grown[:start]
		case 'd', 'c', 'C': // CopyData, CopyDone, CommandComplete
			result.Committed = result.Committed || (kind == 'C' && isCommit(message))
			if copyRefused {
				result.Payload = grown[:start]
			}
		}
	}
}

// completes reports whether an answer without rows ends with the completion of a command.
func completes(payload []byte, command string) bool {
	completed := ""
	for kind, message := range wire.Messages(payload) {
		switch kind {
		case 'D': // DataRow
			return false
		case 'C': // CommandComplete
			completed, _, _ = wire.CutString(wire.Body(message))
		}
	}
	return completed == command
}

// isCommit reports whether a CommandComplete message ends a COMMIT.
func isCommit(message []byte) bool {
	tag, _, ok := wire.CutString(wire.Body(message))
	return ok && tag == "COMMIT"
}

// refuseCopy aborts a COPY for which the member expects data.
func (c *Connection) refuseCopy() error {
	message, err := (&pgproto3.CopyFail{Message: "COPY is not supported"}).Encode(nil)
	if err != nil {
		return errors.WithStack(err)
	}
	_, err = c.stream.Write(message)
	return errors.WithStack(err)
}

// readPosition reads the answer to the position query. It returns the zero position
// if the member refused the query, as it does inside a failed transaction and in
// another term. An answer that is neither is that of another request.
func (c *Connection) readPosition() (position.Position, error) {
	result, err := c.readAnswer(nil)
	if err != nil {
		return position.Position{}, err
	}
	for kind, message := range wire.Messages(result.Payload) {
		if kind != 'D' {
			continue
		}
		var row pgproto3.DataRow
		if err := row.Decode(wire.Body(message)); err != nil || len(row.Values) != 2 {
			return position.Position{}, errors.Errorf("malformed position: want 2 values, have %q", row.Values)
		}
		term, err := strconv.ParseUint(string(row.Values[0]), 10, 64)
		if err != nil {
			return position.Position{}, errors.WithStack(err)
		}
		logIndex, err := strconv.ParseUint(string(row.Values[1]), 10, 64)
		if err != nil {
			return position.Position{}, errors.WithStack(err)
		}
		return position.Position{Term: term, Log: logIndex}, nil
	}
	if result.Code == "" {
		return position.Position{}, errors.New("the answer to the position query has no position")
	}
	return position.Position{}, nil
}

// errorCode returns the SQLSTATE of an ErrorResponse message, or that of an internal
// error if the message is malformed.
func errorCode(message []byte) string {
	var e pgproto3.ErrorResponse
	if err := e.Decode(wire.Body(message)); err != nil {
		return "XX000"
	}
	return e.Code
}

// appendQuery appends a simple query. Encoding fails only for a text longer than
// the protocol allows, which the queries of this package never are.
func appendQuery(b []byte, text string) []byte {
	grown, err := (&pgproto3.Query{String: text}).Encode(b)
	if err != nil {
		return b
	}
	return grown
}

// appendClose appends the Close of a prepared statement.
func appendClose(b []byte, name string) []byte {
	grown, err := (&pgproto3.Close{ObjectType: 'S', Name: name}).Encode(b)
	if err != nil {
		return b
	}
	return grown
}

// appendError appends an ErrorResponse.
func appendError(b []byte, code, message string) []byte {
	grown, err := (&pgproto3.ErrorResponse{
		Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: code, Message: message,
	}).Encode(b)
	if err != nil {
		return b
	}
	return grown
}
