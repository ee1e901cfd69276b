package endpoint

import (
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/request"
	"eelgrassladder.example/eelgrassladder/internal/peer/wire"
)

// positionQuery asks a member for its term and the last place that its reads
// can see.
const positionQuery = "SELECT * FROM group_position()"

// expectation is the answer that a Parse or a Close must get.
type expectation struct {
	// name is the statement that a successful answer prepares; empty for a
	// Close or an unnamed statement.
	name string
	// hidden is true when the caller did not ask for it.
	hidden bool
}

// compose returns what to send for a request: the statements it refers to,
// where the connection has not prepared them, then the request itself. It
// also returns the answers to Parse and Close in order.
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
			if c.prepared[name] || named(expected, name) {
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

// named reports whether the statement is about to be prepared.
func named(expected []expectation, name string) bool {
	for _, e := range expected {
		if name != "" && e.name == name {
			return true
		}
	}
	return false
}

// collect reads one answer up to its ReadyForQuery and leaves out what the
// caller did not ask for.
func (c *Connection) collect(expected []expectation) (Result, error) {
	var result Result
	refused := false
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
		case 'Z':
			result.Status = request.Status(message[len(message)-1])
			return result, nil
		case 'E':
			if result.Code == "" {
				result.Code = errorCode(message)
			}
		case '1', '3':
			if len(expected) == 0 {
				return Result{}, errors.New("endpoint answered a message that was not sent")
			}
			if kind == '1' && expected[0].name != "" {
				c.prepared[expected[0].name] = true
			}
			if expected[0].hidden {
				result.Payload = grown[:start]
			}
			expected = expected[1:]
		case 'G', 'H', 'W':
			result.Payload = appendError(grown[:start], request.CodeNotSupported, "COPY is not supported")
			refused = true
			if kind != 'H' {
				if err := c.refuseCopy(); err != nil {
					return Result{}, err
				}
			}
		case 'A':
			result.Payload = grown[:start]
		case 'd', 'c', 'C':
			result.Committed = result.Committed || (kind == 'C' && commitTag(message))
			if refused {
				result.Payload = grown[:start]
			}
		}
	}
}

// commitTag reports whether a statement's end is that of a COMMIT.
func commitTag(message []byte) bool {
	tag, _, ok := wire.CutString(wire.Body(message))
	return ok && tag == "COMMIT"
}

// refuseCopy ends a COPY that the member has begun.
func (c *Connection) refuseCopy() error {
	message, err := (&pgproto3.CopyFail{Message: "COPY is not supported"}).Encode(nil)
	if err != nil {
		return errors.WithStack(err)
	}
	_, err = c.stream.Write(message)
	return errors.WithStack(err)
}

// collectPosition reads the answer to the position query. Inside a failed
// transaction, or at a member of another term, it is zero.
func (c *Connection) collectPosition() (position.Position, error) {
	result, err := c.collect(nil)
	if err != nil {
		return position.Position{}, err
	}
	for kind, message := range wire.Messages(result.Payload) {
		if kind != 'D' {
			continue
		}
		var row pgproto3.DataRow
		if err := row.Decode(wire.Body(message)); err != nil || len(row.Values) != 2 {
			return position.Position{}, errors.New("malformed position")
		}
		term, err := strconv.ParseUint(string(row.Values[0]), 10, 64)
		if err != nil {
			return position.Position{}, errors.WithStack(err)
		}
		place, err := strconv.ParseUint(string(row.Values[1]), 10, 64)
		if err != nil {
			return position.Position{}, errors.WithStack(err)
		}
		return position.Position{Term: term, Log: place}, nil
	}
	return position.Position{}, nil
}

// errorCode returns the SQLSTATE of an error message.
func errorCode(message []byte) string {
	var e pgproto3.ErrorResponse
	if err := e.Decode(wire.Body(message)); err != nil {
		return "XX000"
	}
	return e.Code
}

// appendQuery appends a simple query. Encoding fails only for a text beyond
// the protocol's length, which the constants here never have.
func appendQuery(b []byte, text string) []byte {
	grown, err := (&pgproto3.Query{String: text}).Encode(b)
	if err != nil {
		return b
	}
	return grown
}

// appendClose appends the message that closes a prepared statement.
func appendClose(b []byte, name string) []byte {
	grown, err := (&pgproto3.Close{ObjectType: 'S', Name: name}).Encode(b)
	if err != nil {
		return b
	}
	return grown
}

// appendError appends an error message.
func appendError(b []byte, code, message string) []byte {
	grown, err := (&pgproto3.ErrorResponse{
		Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: code, Message: message,
	}).Encode(b)
	if err != nil {
		return b
	}
	return grown
}
