// Package password makes and checks SCRAM-SHA-256 verifiers, in the form
// that PostgreSQL stores.
package password

import (
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/xdg-go/scram"
)

// Mechanism is the name of the authentication method in the protocol.
const Mechanism = "SCRAM-SHA-256"

// iterations is how often a new verifier hashes the password.
const iterations = 4096

// saltBytes is the length of a new salt.
const saltBytes = 16

// NewVerifier returns a verifier of the password with a fresh salt.
func NewVerifier(password string) (string, error) {
	salt := make([]byte, saltBytes)
	if _, err := rand.Read(salt); err != nil {
		return "", errors.WithStack(err)
	}
	client, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		return "", errors.WithStack(err)
	}
	c, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: iterations})
	if err != nil {
		return "", errors.WithStack(err)
	}
	encode := base64.StdEncoding.EncodeToString
	return fmt.Sprintf("%s$%d:%s$%s:%s", Mechanism, iterations,
		encode(salt), encode(c.StoredKey), encode(c.ServerKey)), nil
}

// parseVerifier reads a verifier.
func parseVerifier(verifier string) (scram.StoredCredentials, error) {
	errMalformed := errors.New("malformed password verifier")
	parts := strings.Split(verifier, "$")
	if len(parts) != 3 || parts[0] != Mechanism {
		return scram.StoredCredentials{}, errMalformed
	}
	count, salt, ok := strings.Cut(parts[1], ":")
	stored, server, ok2 := strings.Cut(parts[2], ":")
	if !ok || !ok2 {
		return scram.StoredCredentials{}, errMalformed
	}
	iterationCount, err := strconv.Atoi(count)
	if err != nil {
		return scram.StoredCredentials{}, errMalformed
	}
	var decoded [3][]byte
	for i, text := range []string{salt, stored, server} {
		if decoded[i], err = base64.StdEncoding.DecodeString(text); err != nil {
			return scram.StoredCredentials{}, errMalformed
		}
	}
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(decoded[0]), Iters: iterationCount},
		StoredKey:  decoded[1],
		ServerKey:  decoded[2],
	}, nil
}

// NewConversation returns the server's side of an authentication against
// the verifier. Step it with each of the client's messages.
func NewConversation(verifier string) (*scram.ServerConversation, error) {
	credentials, err := parseVerifier(verifier)
	if err != nil {
		return nil, err
	}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
		return credentials, nil
	})
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return server.NewConversation(), nil
}

// Matches reports whether the password is the one of the verifier.
func Matches(verifier, password string) bool {
	serverConversation, err := NewConversation(verifier)
	if err != nil {
		return false
	}
	client, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		return false
	}
	clientConversation := client.NewConversation()
	var challenge string
	for !clientConversation.Done() {
		response, err := clientConversation.Step(challenge)
		if err != nil {
			return false
		}
		if clientConversation.Done() {
			break
		}
		if challenge, err = serverConversation.Step(response); err != nil {
			return false
		}
	}
	return serverConversation.Valid()
}
