package wire_test

import (
	"bytes"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/peer/wire"
)

// FuzzMessages checks that arbitrary bytes, which arrive one by one, are split into whole
// messages within the limit, and that the bytes of the messages are those that arrived.
func FuzzMessages(f *testing.F) {
	f.Add([]byte("Q\x00\x00\x00\x0dSELECT 1\x00S\x00\x00\x00\x04"))
	f.Add([]byte("Q\x00\x00\x00\x03"))
	f.Add([]byte("Q\x7f\xff\xff\xff"))
	f.Add([]byte("Q\xff\xff\xff\xff"))
	f.Add([]byte("X\x00\x00\x00\x04X"))
	f.Fuzz(func(t *testing.T, input []byte) {
		const limit = 256
		r := wire.NewReader(iotest.OneByteReader(bytes.NewReader(input)), limit)
		var whole []byte
		for {
			start := len(whole)
			kind, extended, err := r.ReadMessage(whole)
			if err != nil {
				assert.Equal(t, len(extended), start, "a message that failed was appended in part")
				break
			}
			whole = extended
			message := whole[start:]
			assert.Assert(t, len(message) >= 5 && len(message) <= limit, "a message has %d bytes", len(message))
			assert.Equal(t, kind, message[0])
		}
		assert.Assert(t, bytes.HasPrefix(input, whole), "the messages differ from the input")
		var split []byte
		for kind, message := range wire.Messages(whole) {
			assert.Equal(t, kind, message[0])
			text, rest, ok := wire.CutString(wire.Body(message))
			if ok {
				assert.Equal(t, text+"\x00"+string(rest), string(wire.Body(message)))
			}
			split = append(split, message...)
		}
		assert.DeepEqual(t, split, whole)
		for range wire.Messages(input) { // must not read beyond the input
		}
	})
}
