// Package wire frames the messages of the PostgreSQL protocol, which both
// callers and endpoints speak, without decoding what it only passes on. The
// contents of messages are read and written by pgproto3.
package wire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"iter"

	"github.com/pkg/errors"
)

// headerBytes is the length of a message's type and size.
const headerBytes = 5

// bufferBytes is the size of a reader's buffer.
const bufferBytes = 4 << 10

// ErrTooLarge is returned for a message longer than the reader's limit.
var ErrTooLarge = errors.New("message is longer than the limit")

// Reader reads whole messages.
type Reader struct {
	source *bufio.Reader
	// limit is the longest message in bytes.
	limit int
}

// NewReader returns a reader of messages up to limit bytes.
func NewReader(r io.Reader, limit int) *Reader {
	return &Reader{source: bufio.NewReaderSize(r, bufferBytes), limit: limit}
}

// ReadMessage reads one message and appends it, header and all, to the buffer.
// It returns the type of the message and the grown buffer.
func (r *Reader) ReadMessage(buffer []byte) (byte, []byte, error) {
	header, err := r.source.Peek(headerBytes)
	if err != nil {
		if len(header) > 0 && errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return 0, buffer, err
	}
	kind := header[0]
	size := int(binary.BigEndian.Uint32(header[1:])) + 1
	if size < headerBytes {
		return 0, buffer, errors.New("message has an impossible length")
	}
	if size > r.limit {
		return 0, buffer, ErrTooLarge
	}
	start := len(buffer)
	buffer = append(buffer, make([]byte, size)...)
	if _, err := io.ReadFull(r.source, buffer[start:]); err != nil {
		return 0, buffer[:start], errors.WithStack(err)
	}
	return kind, buffer, nil
}

// Body returns the contents of a whole message.
func Body(message []byte) []byte { return message[headerBytes:] }

// Messages yields the type and the whole of each message in a payload. It
// stops at a message that is not whole.
func Messages(payload []byte) iter.Seq2[byte, []byte] {
	return func(yield func(byte, []byte) bool) {
		for len(payload) >= headerBytes {
			size := int(binary.BigEndian.Uint32(payload[1:])) + 1
			if size < headerBytes || size > len(payload) {
				return
			}
			if !yield(payload[0], payload[:size:size]) {
				return
			}
			payload = payload[size:]
		}
	}
}

// CutString returns the text at the start of b up to its zero byte, and the rest.
func CutString(b []byte) (string, []byte, bool) {
	text, rest, ok := bytes.Cut(b, []byte{0})
	return string(text), rest, ok
}
