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

// statementPrefix is the prefix of the names of prepared statements at endpoints.
const statementPrefix = "el_"

// missingStatement is a name under which nothing is ever prepared, so closing it has
// no effect.
const missingStatement = statementPrefix + "none"

// hashBytes is how many bytes of a statement's hash are in its name.
const hashBytes = 16

// maxStatements is the limit for the prepared statements of one caller connection.
const maxStatements = 1024

// statement is a prepared statement of a caller.
type statement struct {
	// prepared holds the statement's name at endpoints and its Parse message.
	prepared request.Prepared
	// text is the statement as the caller wrote it.
	text string
}

// statements holds the prepared statements of one caller connection, keyed by the
// caller's names; the unnamed statement has the empty name.
type statements map[string]statement

// size returns what the statement with a name takes in memory; zero if there is none.
func (s statements) size(name string) int {
	known, ok := s[name]
	if !ok {
		return 0
	}
	return statementBytes + len(name) + len(known.text) + len(known.prepared.Parse)
}

// batch holds the messages of the extended protocol up to a Sync.
type batch struct {
	// payload holds the messages with the statements' names at endpoints.
	payload []byte
	// prepared lists the statements that the batch uses but does not parse itself.
	prepared []request.Prepared
	// parsed holds the names at endpoints of the statements that the batch parses.
	parsed map[string]bool
	// texts lists the texts of the statements that the batch binds.
	texts []string
	// settings holds the messages about the proxy's own settings. The endpoint does not
	// get them.
	settings []settingMessage
	// executes is true when the batch has an Execute.
	executes bool
	// kept is by how many bytes the prepared statements of the connection have grown.
	kept int
	// refusal is the first error of the batch; it is sent at the Sync, and the
	// messages after it are ignored.
	refusal *request.Refusal
}

// add adds one message of the extended protocol; known holds the caller's prepared
// statements. It returns an error if the message violates the protocol.
func (b *batch) add(known statements, kind byte, message []byte) error {
	if b.refusal != nil {
		return nil
	}
	switch kind {
	case 'P': // Parse
		return b.parse(known, message)
	case 'B': // Bind
		return b.bind(known, message)
	case 'D': // Describe
		return b.describe(known, message)
	case 'C': // Close
		return b.close(known, message)
	case 'E': // Execute
		b.executes = true
		if len(b.settings) > 0 {
			b.settings = append(b.settings, settingMessage{kind: kind, text: b.settings[len(b.settings)-1].text})
			return nil
		}
	}
	b.payload = append(b.payload, message...)
	return nil
}

// refuse records an error that is sent at the Sync.
func (b *batch) refuse(code, message string) {
	b.refusal = &request.Refusal{Code: code, Message: message}
}

// parse adds a Parse with a name made from the statement in place of the caller's, so
// that callers share equal statements on an endpoint's connection.
func (b *batch) parse(known statements, message []byte) error {
	var m pgproto3.Parse
	if err := m.Decode(wire.Body(message)); err != nil {
		return errors.WithStack(err)
	}
	if _, ok := known[m.Name]; !ok && len(known) >= maxStatements {
		b.refuse(request.CodeLimitExceeded, "too many prepared statements on this connection")
		return nil
	}
	name := m.Name
	m.Name = statementName(message[5+len(name):]) // 5 bytes of header come before the name
	encoded, err := m.Encode(nil)
	if err != nil {
		return errors.WithStack(err)
	}
	b.kept -= known.size(name)
	known[name] = statement{prepared: request.Prepared{Name: m.Name, Parse: encoded}, text: m.Query}
	b.kept += known.size(name)
	if isSettingStatement(m.Query) {
		b.settings = append(b.settings, settingMessage{kind: 'P', text: m.Query})
		return nil
	}
	if b.parsed == nil {
		b.parsed = map[string]bool{}
	}
	b.parsed[m.Name] = true
	b.payload = append(b.payload, encoded...)
	return nil
}

// bind adds a Bind of a prepared statement.
func (b *batch) bind(known statements, message []byte) error {
	portal, rest, portalOK := wire.CutString(wire.Body(message))
	name, rest, nameOK := wire.CutString(rest)
	if !portalOK || !nameOK {
		return errors.New("malformed Bind")
	}
	used, found := b.useStatement(known, name)
	if !found {
		return nil
	}
	if isSettingStatement(used.text) {
		b.settings = append(b.settings, settingMessage{kind: 'B', text: used.text})
		return nil
	}
	b.texts = append(b.texts, used.text)
	b.payload = appendMessage(b.payload, 'B', portal+"\x00"+used.prepared.Name+"\x00", rest)
	return nil
}

// describe adds a Describe of a statement or a portal.
func (b *batch) describe(known statements, message []byte) error {
	kind, name, err := parseObject(message)
	if err != nil {
		return err
	}
	if kind != 'S' {
		if len(b.settings) > 0 {
			b.settings = append(b.settings, settingMessage{kind: 'p', text: b.settings[len(b.settings)-1].text})
			return nil
		}
		b.payload = append(b.payload, message...)
		return nil
	}
	used, found := b.useStatement(known, name)
	if !found {
		return nil
	}
	if isSettingStatement(used.text) {
		b.settings = append(b.settings, settingMessage{kind: 'D', text: used.text})
		return nil
	}
	b.payload = appendMessage(b.payload, 'D', "S"+used.prepared.Name+"\x00", nil)
	return nil
}

// close adds a Close. It removes the caller's name, but not the statement at the
// endpoint, which other callers may use; the endpoint gets a Close without effect,
// so that it sends the answer.
func (b *batch) close(known statements, message []byte) error {
	kind, name, err := parseObject(message)
	if err != nil {
		return err
	}
	if kind != 'S' {
		b.payload = append(b.payload, message...)
		return nil
	}
	b.kept -= known.size(name)
	delete(known, name)
	b.payload = appendMessage(b.payload, 'C', "S"+missingStatement+"\x00", nil)
	return nil
}

// parseObject returns the kind and the name of the object of a Describe or a Close.
// The kind is 'S' for a statement and 'P' for a portal.
func parseObject(message []byte) (byte, string, error) {
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

// useStatement returns the statement that the caller has given the name, and adds it to
// prepared unless the batch parses it or the proxy answers it. It refuses the batch and
// returns false if there is no such statement.
func (b *batch) useStatement(known statements, name string) (statement, bool) {
	used, ok := known[name]
	if !ok {
		b.refuse("26000", "prepared statement \""+name+"\" does not exist")
		return statement{}, false
	}
	if !b.parsed[used.prepared.Name] && !isSettingStatement(used.text) {
		b.prepared = append(b.prepared, used.prepared)
	}
	return used, true
}

// fingerprint returns a hash of the texts of the batch.
func (b *batch) fingerprint() uint64 { return fingerprint(strings.Join(b.texts, "\x00")) }

// fingerprint returns a hash of a text, or zero for an empty text.
func fingerprint(text string) uint64 {
	if text == "" {
		return 0
	}
	return xxhash.Sum64String(text)
}

// statementName returns a name made from the content of a Parse: the text and the
// parameter types of a statement.
func statementName(content []byte) string {
	sum := sha256.Sum256(content)
	return statementPrefix + hex.EncodeToString(sum[:hashBytes])
}

// appendMessage appends a message whose body has two parts.
func appendMessage(b []byte, kind byte, first string, second []byte) []byte {
	size := 4 + len(first) + len(second)
	b = append(b, kind, byte(size>>24), byte(size>>16), byte(size>>8), byte(size))
	b = append(b, first...)
	return append(b, second...)
}
