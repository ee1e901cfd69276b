package caller

import (
	"crypto/rand"
	"crypto/subtle"
)

// secretBytes is the length of the secret in a cancel request.
const secretBytes = 4

// newSecret returns a random secret for cancel requests.
func newSecret() []byte {
	secret := make([]byte, secretBytes)
	_, _ = rand.Read(secret)
	return secret
}

// hasSecret reports whether the secret is that of the connection. It takes the same
// time for every secret of the right length.
func (c *connection) hasSecret(secret []byte) bool {
	return subtle.ConstantTimeCompare(c.secret, secret) == 1
}

// cancelRequest cancels the running request, if there is one.
func (c *connection) cancelRequest() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.stop != nil {
		c.stop()
	}
}
