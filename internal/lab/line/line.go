// Package line reads the messages of the platform's line protocol byte for byte. It shares
// no code with the proxy, so that a fault of the proxy's reader shows.
package line

import "bufio"

// End is what ends a message. CR or LF alone is text.
const End = "\r\n"

// Read returns the next message without its End. With an error it returns what has arrived
// of the message.
func Read(r *bufio.Reader) (string, error) {
	var message []byte
	for {
		part, err := r.ReadBytes('\n')
		if err != nil {
			return string(append(message, part...)), err
		}
		message = append(message, part...)
		if n := len(message) - len(End); n >= 0 && string(message[n:]) == End {
			return string(message[:n]), nil
		}
	}
}
