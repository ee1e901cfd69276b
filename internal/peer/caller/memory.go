package caller

import (
	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/model/request"
)

const (
	// messageCopies is how often each byte of a message is counted: it is copied into a batch
	// or a text, and towards an endpoint.
	messageCopies = 3
	// pendingMessageBytes is what a message of a batch takes beside its bytes.
	pendingMessageBytes = 64
	// statementBytes is what a prepared statement takes beside its texts.
	statementBytes = 256
)

// hold sets what the caller holds for a use, and records what is refused.
func (c *connection) hold(u eelgrassladder.MemoryUse, bytes int) error {
	err := c.account.Hold(u, bytes)
	address := c.stream.RemoteAddr().String()
	switch {
	case errors.Is(err, eelgrassladder.ErrSessionTooLarge):
		c.frontend.refusals.Refused(eelgrassladder.SessionTooLarge, address)
	case errors.Is(err, eelgrassladder.ErrMemoryShort):
		c.frontend.refusals.Refused(eelgrassladder.MemoryShort, address)
	}
	return err
}

// holdMessage charges the caller for a message that is about to be read.
func (c *connection) holdMessage(bytes int) error {
	return c.hold(eelgrassladder.MessageMemory, (c.pendingBytes+bytes)*messageCopies)
}

// holdAfter charges the caller for what is kept after a message of a length was handled: the
// batch that is not run yet, and the prepared statements. done is true if the batch has ended.
func (c *connection) holdAfter(pending *batch, length int, done bool) error {
	c.pendingBytes += length + pendingMessageBytes
	if done {
		c.pendingBytes = 0
	}
	c.keptBytes += pending.kept
	pending.kept = 0
	if err := c.hold(eelgrassladder.MessageMemory, c.pendingBytes*messageCopies); err != nil {
		return err
	}
	return c.hold(eelgrassladder.SessionMemory, c.keptBytes)
}

// memoryRefusal returns the refusal for an error of the caller's account.
func memoryRefusal(err error) request.Refusal {
	return request.Refusal{Code: request.CodeOverloaded, Message: err.Error(), Hint: "Hold less, or try again later."}
}
