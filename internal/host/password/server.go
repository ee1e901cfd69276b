package password

import (
	"slices"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
)

// Authenticate runs the server's side of SCRAM-SHA-256 on a connection whose
// start-up message has been read. On success, the calling function must send
// AuthenticationOk; on failure, it must report that to the client.
func Authenticate(backend *pgproto3.Backend, verifier string) error {
	conversation, err := NewConversation(verifier)
	if err != nil {
		return err
	}
	backend.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{Mechanism}})
	first, err := receive[*pgproto3.SASLInitialResponse](backend, pgproto3.AuthTypeSASL)
	if err != nil {
		return err
	}
	if first.AuthMechanism != Mechanism {
		return errors.Errorf("authentication mechanism %q is not %s", first.AuthMechanism, Mechanism)
	}
	challenge, err := conversation.Step(string(slices.Clone(first.Data)))
	if err != nil {
		return errors.WithStack(err)
	}
	backend.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)})
	second, err := receive[*pgproto3.SASLResponse](backend, pgproto3.AuthTypeSASLContinue)
	if err != nil {
		return err
	}
	final, err := conversation.Step(string(second.Data))
	if err != nil {
		return errors.WithStack(err)
	}
	if !conversation.Valid() {
		return errors.New("the password does not match the verifier")
	}
	backend.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(final)})
	return errors.WithStack(backend.Flush())
}

// receive flushes the messages sent so far and reads the client's response,
// which must have type M. authType tells the backend how to decode it.
func receive[M pgproto3.FrontendMessage](backend *pgproto3.Backend, authType uint32) (M, error) {
	var zero M
	if err := backend.Flush(); err != nil {
		return zero, errors.WithStack(err)
	}
	if err := backend.SetAuthType(authType); err != nil {
		return zero, errors.WithStack(err)
	}
	received, err := backend.Receive()
	if err != nil {
		return zero, errors.WithStack(err)
	}
	message, ok := received.(M)
	if !ok {
		return zero, errors.Errorf("unexpected message %T during authentication", received)
	}
	return message, nil
}
