package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/model/request"
	"eelgrassladder.example/eelgrassladder/internal/peer/wire"
)

// statementPrefix starts the names under which endpoints know statements.
const statementPrefix = "el_"

// closedStatement is a name that no endpoint knows. Closing it does nothing.
const closedStatement = statementPrefix + "none"

// nameBytes is how much of a statement's hash its name holds.
const nameBytes = 16

// maxStatements bounds the named statements of one caller connection.
const maxStatements = 1024

// statement is a statement that a caller has prepared.
type statement struct {
	// prepared is how endpoints know the statement.
	prepared request.Prepared
	// text is the statement as the caller wrote it.
	text string
}

// statements holds the statements of one caller connection by the caller's
// names; the unnamed statement has the empty name.
type statements map[string]statement

// batch is the messages of the extended protocol up to a Sync.
type batch struct {
	// payload is the messages with the names that endpoints know.
	payload []byte
	// prepared lists statements that the batch uses and does not parse.
	prepared []request.Prepared
	// parsed holds the endpoint names that the batch itself parses.
	parsed map[string]bool
	// texts lists the texts of the statements that the batch binds.
	texts []string
	// own holds the messages of a batch about the system's own settings.
	own []ownMessage
	// executes is true when the batch runs something.
	executes bool
	// fault is the first fault of the batch; it is reported at its Sync.
	fault *request.Refusal
}

// add takes one message of the extended protocol.
func (b *batch) add(known statements, kind byte, message []byte) error {
	if b.fault != nil {
		return nil
	}
	switch kind {
	case 'P':
		return b.parse(known, message)
	case 'B':
		return b.bind(known, message)
	case 'D':
		return b.describe(known, message)
	case 'C':
		return b.close(known, message)
	case 'E':
		b.executes = true
		if len(b.own) > 0 {
			b.own = append(b.own, ownMessage{kind: kind, text: b.own[len(b.own)-1].text})
			return nil
		}
	}
	b.payload = append(b.payload, message...)
	return nil
}

// refuse records the fault of the batch.
func (b *batch) refuse(code, message string) {
	b.fault = &request.Refusal{Code: code, Message: message}
}

// parse takes a Parse: the statement gets a name made from its text.
func (b *batch) parse(known statements, message []byte) error {
	var m pgproto3.Parse
	if err := m.Decode(wire.Body(message)); err != nil {
		return errors.WithStack(err)
	}
	if _, ok := known[m.Name]; !ok && len(known) >= maxStatements {
		b.refuse(request.CodeConfigurationLimit, "too many prepared statements on this connection")
		return nil
	}
	name := m.Name
	m.Name = statementName(message[5+len(name):])
	encoded, err := m.Encode(nil)
	if err != nil {
		return errors.WithStack(err)
	}
	known[name] = statement{prepared: request.Prepared{Name: m.Name, Parse: encoded}, text: m.Query}
	if ownSetting(m.Query) {
		b.own = append(b.own, ownMessage{kind: 'P', text: m.Query})
		return nil
	}
	if b.parsed == nil {
		b.parsed = map[string]bool{}
	}
	b.parsed[m.Name] = true
	b.payload = append(b.payload, encoded...)
	return nil
}

// bind takes a Bind of a statement that is known.
func (b *batch) bind(known statements, message []byte) error {
	portal, rest, ok := wire.CutString(wire.Body(message))
	name, rest, ok2 := wire.CutString(rest)
	if !ok || !ok2 {
		return errors.New("malformed Bind")
	}
	used, found := b.use(known, name)
	if !found {
		return nil
	}
	if ownSetting(used.text) {
		b.own = append(b.own, ownMessage{kind: 'B', text: used.text})
		return nil
	}
	b.texts = append(b.texts, used.text)
	b.payload = appendMessage(b.payload, 'B', portal+"\x00"+used.prepared.Name+"\x00", rest)
	return nil
}

// describe takes a Describe of a statement or a portal.
func (b *batch) describe(known statements, message []byte) error {
	kind, name, err := object(message)
	if err != nil {
		return err
	}
	if kind != 'S' {
		if len(b.own) > 0 {
			b.own = append(b.own, ownMessage{kind: 'p', text: b.own[len(b.own)-1].text})
			return nil
		}
		b.payload = append(b.payload, message...)
		return nil
	}
	used, found := b.use(known, name)
	if !found {
		return nil
	}
	if ownSetting(used.text) {
		b.own = append(b.own, ownMessage{kind: 'D', text: used.text})
		return nil
	}
	b.payload = appendMessage(b.payload, 'D', "S"+used.prepared.Name+"\x00", nil)
	return nil
}

// close takes a Close. The endpoint's statement stays, because its name is
// made from its text; the caller's name is forgotten.
func (b *batch) close(known statements, message []byte) error {
	kind, name, err := object(message)
	if err != nil {
		return err
	}
	if kind != 'S' {
		b.payload = append(b.payload, message...)
		return nil
	}
	delete(known, name)
	b.payload = appendMessage(b.payload, 'C', "S"+closedStatement+"\x00", nil)
	return nil
}

// object returns what a Describe or a Close is about: the kind, 'S' for a
// statement, and the name.
func object(message []byte) (byte, string, error) {
	body := wire.Body(message)
	if len(body) < 2 {
		return 0, "", errors.New("malformed Describe or Close")
	}
	name, _, ok := wire.CutString(body[1:])
	if !ok {
		return 0, "", errors.New("malformed Describe or Close")
	}
	return body[0], name, nil
}

// use finds a statement and lists it as prepared, unless the batch parses it.
func (b *batch) use(known statements, name string) (statement, bool) {
	used, ok := known[name]
	if !ok {
		b.refuse("26000", "prepared statement \""+name+"\" does not exist")
		return statement{}, false
	}
	if !b.parsed[used.prepared.Name] && !ownSetting(used.text) {
		b.prepared = append(b.prepared, used.prepared)
	}
	return used, true
}

// fingerprint identifies the texts of the batch.
func (b *batch) fingerprint() uint64 { return fingerprint(strings.Join(b.texts, "\x00")) }

// fingerprint identifies a text; zero for an empty one.
func fingerprint(text string) uint64 {
	if text == "" {
		return 0
	}
	return xxhash.Sum64String(text)
}

// statementName makes a name from the text and the parameter types of a
// statement.
func statementName(content []byte) string {
	sum := sha256.Sum256(content)
	return statementPrefix + hex.EncodeToString(sum[:nameBytes])
}

// appendMessage appends a message made of two parts.
func appendMessage(b []byte, kind byte, first string, second []byte) []byte {
	size := 4 + len(first) + len(second)
	b = append(b, kind, byte(size>>24), byte(size>>16), byte(size>>8), byte(size))
	b = append(b, first...)
	return append(b, second...)
}
