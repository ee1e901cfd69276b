package fleetrecord_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/model/fleetrecord"
	"eelgrassladder.example/eelgrassladder/internal/model/revision"
)

func TestARecordIsDecodedAsItWasEncoded(t *testing.T) {
	r := fleetrecord.Record{}.With(map[string]string{"proxy-1": "10.1.0.8:7440", "proxy-2": "10.1.0.9:7440"})
	read, err := fleetrecord.Parse(r.Bytes(), 7)
	assert.NilError(t, err)
	assert.Equal(t, read.Revision, revision.Revision(7))
	assert.Assert(t, read.SameProxies(r) && read.Holds("proxy-2") && !read.Holds("proxy-3"))
	changed := read.With(map[string]string{"proxy-3": "10.1.0.7:7440"}).WithOnly(map[string]string{"proxy-3": "10.1.0.7:7440"})
	assert.Equal(t, len(changed.Addresses()), 1)
	assert.Equal(t, len(read.Addresses()), 2, "a record was changed")
	empty, err := fleetrecord.Parse(nil, 3)
	assert.NilError(t, err)
	assert.Equal(t, len(empty.Addresses()), 0)
}

// TestAMalformedRecordNamesNoProxy guards against shares of limits that are computed from a part
// of the proxies.
func TestAMalformedRecordNamesNoProxy(t *testing.T) {
	for _, value := range []string{"proxy-1", "proxy-1 \n", " 10.1.0.8:7440\n", "proxy-1 10.1.0.8:7440\n\n", "\x00"} {
		r, err := fleetrecord.Parse([]byte(value), 9)
		assert.Assert(t, err != nil, "%q", value)
		assert.Equal(t, len(r.Addresses()), 0)
	}
}
