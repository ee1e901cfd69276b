package node

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestARegistrationIsReadAsItWasWritten(t *testing.T) {
	r, err := parseRegistration([]byte(registration{address: "10.1.0.8:7440", lease: 17}.String()))
	assert.NilError(t, err)
	assert.Equal(t, r, registration{address: "10.1.0.8:7440", lease: 17})
}

// TestAnOddRegistrationNamesNoProxy guards against entries of another writer that would
// take a share of the endpoints' connections, and that other proxies would dial.
func TestAnOddRegistrationNamesNoProxy(t *testing.T) {
	for _, odd := range []string{"", "{}", "proxy 17", "10.1.0.8", "10.1.0.8:0 17", "10.1.0.8:70000 17", "0.0.0.0:7440 17", "[[[[[["} {
		_, err := parseRegistration([]byte(odd))
		assert.Assert(t, err != nil, "%q", odd)
	}
	r, err := parseRegistration([]byte("10.1.0.8:7440 99999999999999999999"))
	assert.NilError(t, err)
	assert.Equal(t, r.lease, uint64(0))
}
