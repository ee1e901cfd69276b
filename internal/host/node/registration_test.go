package node

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestARegistrationIsReadAsItWasWritten(t *testing.T) {
	r, err := parseRegistration([]byte(registration{address: "10.1.0.8:7440", lease: 17}.String()))
	assert.NilError(t, err)
	assert.Equal(t, r, registration{address: "10.1.0.8:7440", lease: 17})
	r, err = parseRegistration([]byte(newRegistration("10.1.0.8:7440", 17, "north-1").String()))
	assert.NilError(t, err)
	assert.Equal(t, r, registration{address: "10.1.0.8:7440", lease: 17, dataCentre: "north-1"})
	r, err = parseRegistration([]byte("10.1.0.8:7440 17 north-1 more"))
	assert.NilError(t, err)
	assert.Equal(t, r, registration{address: "10.1.0.8:7440", lease: 17, dataCentre: "north-1"})
}

// TestADataCentreThatIsNoFieldIsLeftOut guards against an entry that is read as that of another
// data centre, or whose proxy never finds its own entry.
func TestADataCentreThatIsNoFieldIsLeftOut(t *testing.T) {
	for _, odd := range []string{"", "north 1", " north", "north\n"} {
		assert.Equal(t, newRegistration("10.1.0.8:7440", 17, odd).String(), "10.1.0.8:7440 17", "%q", odd)
	}
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
