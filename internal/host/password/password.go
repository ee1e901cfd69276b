// Package password creates and checks SCRAM-SHA-256 verifiers in the format
// that PostgreSQL stores, and authenticates clients against them.
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

// Mechanism is the SASL name of the authentication mechanism.
const Mechanism = "SCRAM-SHA-256"

// iterations is the iteration count of new verifiers, PostgreSQL's default.
const iterations = 4096

// saltBytes is the length of the salt of new verifiers, PostgreSQL's default.
const saltBytes = 16

// NewVerifier returns a verifier of the password with a random salt. Its format
// is SCRAM-SHA-256$ITERATIONS:SALT$STOREDKEY:SERVERKEY, with the last three in
// base64.
func NewVerifier(password string) (string, error) {
	salt := make([]byte, saltBytes)
	if _, err := rand.Read(salt); err != nil {
		return "", errors.WithStack(err)
	}
	client, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		return "", errors.WithStack(err)
	}
	credentials, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: iterations})
	if err != nil {
		return "", errors.WithStack(err)
	}
	encode := base64.StdEncoding.EncodeToString
	return fmt.Sprintf("%s$%d:%s$%s:%s", Mechanism, iterations,
		encode(salt), encode(credentials.StoredKey), encode(credentials.ServerKey)), nil
}

// parseVerifier decodes a verifier. The error does not contain the verifier,
// because it is a secret.
func parseVerifier(verifier string) (scram.StoredCredentials, error) {
	errMalformed := errors.New("malformed password verifier")
	parts := strings.Split(verifier, "$")
	if len(parts) != 3 || parts[0] != Mechanism {
		return scram.StoredCredentials{}, errMalformed
	}
	count, salt, hasSalt := strings.Cut(parts[1], ":")
	storedKey, serverKey, hasServerKey := strings.Cut(parts[2], ":")
	if !hasSalt || !hasServerKey {
		return scram.StoredCredentials{}, errMalformed
	}
	iterationCount, err := strconv.Atoi(count)
	if err != nil {
		return scram.StoredCredentials{}, errMalformed
	}
	var decoded [3][]byte
	for i, text := range []string{salt, storedKey, serverKey} {
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

// NewConversation returns the server's side of an authentication against the
// verifier. Call its Step method with each message of the client, and send the
// client what it returns. The error reports a malformed verifier.
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

// Matches reports whether the verifier was made from the password. It is false
// if the verifier is malformed.
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
	// challenge is the server's latest message; empty before the first one.
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
