// Package line reads the messages of the platform's line protocol byte for byte. It shares
// no code with the proxy, so that a fault of the proxy's reader shows.
package line

import (
	"bufio"
	"errors"
)

// End is what ends a message. CR or LF alone is text.
const End = "\r\n"

// MaxLength is the platform's limit for the length of a message in bytes, with its End.
const MaxLength = 1 << 20

// ErrTooLong is returned for a message that is longer than MaxLength.
var ErrTooLong = errors.New("the message is too long")

// Read returns the next message without its End. It fails with ErrTooLong before it holds
// much more than MaxLength. With an error it returns what has arrived of the message.
func Read(r *bufio.Reader) (string, error) {
	var message []byte
	for {
		part, err := r.ReadSlice('\n')
		message = append(message, part...)
		if len(message) > MaxLength {
			return string(message), ErrTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return string(message), err
		}
		if n := len(message) - len(End); n >= 0 && string(message[n:]) == End {
			return string(message[:n]), nil
		}
	}
}
