package caller

import (
	"testing"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/model/configuration"
	"eelgrassladder.example/eelgrassladder/internal/peer/wire"
	"eelgrassladder.example/eelgrassladder/internal/table/configurations"
)

// fuzzedConfiguration has one caller and two classes, one of which the caller may use.
const fuzzedConfiguration = `{
  "Classes": [
    {"Name": "deposits", "Paying": true, "Target": {"Share": 0.99, "Within": "1s"}},
    {"Name": "gallery", "Target": {"Share": 0.9, "Within": "1s"}},
  ],
  "Callers": [{"Name": "owners", "Verifier": "` + unknownVerifier + `", "Databases": ["orders"], "Classes": ["deposits"]}],
}`

// FuzzSetting checks that no text sets a setting of a session to a value that is too long or
// not the caller's, and that each text can be described.
func FuzzSetting(f *testing.F) {
	for _, text := range []string{
		"SET eelgrassladder.class = 'deposits'", "set session eelgrassladder.class to gallery", "SET eelgrassladder.class TO DEFAULT;",
		"SET eelgrassladder.session = 'orders:1.2,orders:1.1'", "SET eelgrassladder.session = ':'", "SHOW eelgrassladder.session",
		"SET eelgrassladder.session_name = 'a''b'", "SET eelgrassladder.request_key=", "SHOW eelgrassladder.unknown", "SHOW eelgrassladder.class = 'x'",
		"SET eelgrassladder.session_name = '\x00'",
	} {
		f.Add(text)
	}
	c, findings := configuration.Parse("test", []byte(fuzzedConfiguration))
	assert.NilError(f, findings.Err())
	versions := configurations.New()
	versions.Adopt(c.WithVersion(1, "test"))
	f.Fuzz(func(t *testing.T, text string) {
		if !isSettingStatement(text) {
			return
		}
		session := &connection{frontend: &Frontend{versions: versions}, caller: "owners", class: "deposits"}
		assert.Assert(t, describeSetting(text) != nil)
		_, _ = session.runSetting(text)
		assert.Equal(t, session.class, "deposits")
		assert.Assert(t, len(session.sessionName) <= maxSettingBytes && len(session.requestKey) <= maxSettingBytes)
	})
}

// FuzzBatch checks that arbitrary messages of the extended protocol give a batch of whole
// messages, whatever names, texts and lengths they have: an endpoint that read another length
// would take a part of one caller's message for a message.
func FuzzBatch(f *testing.F) {
	f.Add([]byte("P\x00\x00\x00\x0es\x00SELECT\x00\x00\x00B\x00\x00\x00\x0d\x00s\x00\x00\x00\x00\x00\x00\x00"))
	f.Add([]byte("P\x00\x00\x00\x06\x00\x00D\x00\x00\x00\x06S\x00E\x00\x00\x00\x04"))
	f.Add([]byte("C\x00\x00\x00\x06S\x00C\x00\x00\x00\x05P"))
	f.Add([]byte("D\x00\x00\x00\x04B\x00\x00\x00\x04P\x00\x00\x00\x04"))
	f.Fuzz(func(t *testing.T, input []byte) {
		b, known := &batch{}, statements{}
		for kind, message := range wire.Messages(input) {
			if kind != 'P' && kind != 'B' && kind != 'D' && kind != 'C' && kind != 'E' {
				continue
			}
			if b.add(known, kind, message) != nil {
				return // the connection ends
			}
		}
		length := 0
		for _, message := range wire.Messages(b.payload) {
			length += len(message)
		}
		assert.Equal(t, length, len(b.payload), "the batch does not consist of whole messages")
	})
}
