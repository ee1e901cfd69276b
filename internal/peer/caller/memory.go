package caller

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/model/request"
)

const (
	// messageCopies is how often each byte of a message is counted: it is copied into a batch
	// or a text, and towards an endpoint.
	messageCopies = 3
	// answerCopies is how often each byte of an answer is counted: its buffer grows by doubling.
	answerCopies = 2
	// httpAnswerCopies is the same for an answer over HTTP, which is decoded into values and
	// encoded in JSON, in a buffer that grows by doubling.
	httpAnswerCopies = 6
	// pendingMessageBytes is what a message of a batch takes beside its bytes.
	pendingMessageBytes = 64
	// statementBytes is what a prepared statement takes beside its texts.
	statementBytes = 256
)

// sharedAccount is an account that several goroutines may use: that of the connection, and the
// worker that reads an answer, also after the request was cancelled.
type sharedAccount struct {
	// answerCopies is how often each byte of an answer is counted.
	answerCopies int

	// mutex guards account. The lock of the table of accounts is taken while it is held.
	mutex   sync.Mutex
	account eelgrassladder.Account
}

// Hold sets how many bytes the caller holds for a use.
func (s *sharedAccount) Hold(u eelgrassladder.MemoryUse, bytes int) error {
	if u == eelgrassladder.AnswerMemory {
		bytes *= s.answerCopies
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.account.Hold(u, bytes)
}

// Close releases all that the caller holds.
func (s *sharedAccount) Close() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.account.Close()
}

// ChargeRequests returns a handler that opens an account for each HTTP request, which is charged
// for the request's answer until that is written.
func (f *Frontend) ChargeRequests(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		opened, ok := f.budget.Open(func() {
			f.refusals.Refused(eelgrassladder.Displaced, r.RemoteAddr)
			cancel()
			_ = http.NewResponseController(w).SetWriteDeadline(time.Unix(1, 0))
		})
		if !ok {
			f.refusals.Refused(eelgrassladder.TooManyClients, r.RemoteAddr)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		account := &sharedAccount{answerCopies: httpAnswerCopies, account: opened}
		defer account.Close()
		h.ServeHTTP(w, r.WithContext(eelgrassladder.ContextWithAccount(ctx, account)))
	})
}

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
