// Package wire splits the PostgreSQL protocol, which both callers and endpoints speak,
// into messages without decoding their bodies, because most of them are only
// forwarded. pgproto3 decodes and encodes bodies where that is needed.
package wire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"iter"

	"github.com/pkg/errors"
)

// headerBytes is the length of a message's type and size fields.
const headerBytes = 5

// bufferBytes is the size of the read buffer of each connection.
const bufferBytes = 4 << 10

// ErrTooLarge is returned for a message longer than the limit of its Reader.
var ErrTooLarge = errors.New("message is longer than the limit")

// Reader reads whole messages. Use NewReader to make one.
type Reader struct {
	source *bufio.Reader
	// limit is the length of the longest message in bytes.
	limit int
	// hold is called with the length of each message before it is buffered; may be nil.
	hold func(bytes int) error
}

// NewReader returns a Reader of messages of up to limit bytes.
func NewReader(r io.Reader, limit int) *Reader {
	return &Reader{source: bufio.NewReaderSize(r, bufferBytes), limit: limit}
}

// OnMessage sets a function that is called with the length of each message before it is
// buffered. Its error is returned in place of the message.
func (r *Reader) OnMessage(hold func(bytes int) error) { r.hold = hold }

// ReadMessage reads one message and appends it to the buffer, header included. It
// returns the type of the message and the extended buffer. It returns io.EOF only
// between two messages.
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
		return 0, buffer, errors.Errorf("message of type %q has the invalid length %d", kind, size-1)
	}
	if size > r.limit {
		return 0, buffer, ErrTooLarge
	}
	if r.hold != nil {
		if err := r.hold(size); err != nil {
			return 0, buffer, err
		}
	}
	start := len(buffer)
	buffer = append(buffer, make([]byte, size)...)
	if _, err := io.ReadFull(r.source, buffer[start:]); err != nil {
		return 0, buffer[:start], errors.WithStack(err)
	}
	return kind, buffer, nil
}

// Buffered returns how many bytes have been read from the source and not returned yet.
func (r *Reader) Buffered() int { return r.source.Buffered() }

// Body returns a whole message without its header.
func Body(message []byte) []byte { return message[headerBytes:] }

// Messages yields the type and the bytes of each message in a payload, header
// included. It stops at an incomplete message.
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

// CutString splits b after its first zero byte and returns the string before it and
// the rest. It reports false if there is no zero byte.
func CutString(b []byte) (string, []byte, bool) {
	text, rest, ok := bytes.Cut(b, []byte{0})
	return string(text), rest, ok
}
