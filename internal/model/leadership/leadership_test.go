package leadership_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/model/leadership"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
)

// Proxies of two builds share the store during a rolling update. A key that follows
// the name of a Go field changes when the field is renamed, and the other build then
// reads a record without the value.

// storedRecord and storedLock are values in the store, as written by a build whose fields
// had the names of the keys.
const (
	storedRecord = `{"Endpoint":"pg-2","Term":7,"Closed":true,"Holder":"proxy-1","Kept":{"Term":6,"Log":41},` +
		`"Members":{"pg-1":"10.0.0.1:5","pg-2":"10.0.0.2:5"}}`
	storedLock = `{"Holder":"proxy-1","Busy":true}`
)

func fullRecord() leadership.Record {
	return leadership.Record{
		Group: "g", Revision: 12, Endpoint: "pg-2", Term: 7, Closed: true, Holder: "proxy-1",
		Acknowledged: position.Position{Term: 6, Log: 41},
		Members:      map[string]string{"pg-1": "10.0.0.1:5", "pg-2": "10.0.0.2:5"},
	}
}

func TestRecordsAreStoredAsOtherBuildsExpect(t *testing.T) {
	assert.Equal(t, string(fullRecord().Bytes()), storedRecord)
	empty := leadership.Record{Group: "g", Revision: 12}
	assert.Equal(t, string(empty.Bytes()), `{"Endpoint":"","Term":0,"Closed":false,"Holder":""}`)
}

func TestRecordsOfOtherBuildsKeepTheirValues(t *testing.T) {
	got, err := leadership.Parse("g", []byte(storedRecord), 12)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, fullRecord())
}

func TestThePromotionLockIsStoredAsOtherBuildsExpect(t *testing.T) {
	l := leadership.PromotionLock{Revision: 5, Seen: time.Second, Holder: "proxy-1", Busy: true}
	assert.Equal(t, string(l.Bytes()), storedLock)
	got, err := leadership.ParsePromotionLock([]byte(storedLock), 5)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, leadership.PromotionLock{Revision: 5, Holder: "proxy-1", Busy: true})
}

func TestKeysOfTheStoreAreThoseOfOtherBuilds(t *testing.T) {
	assert.Equal(t, leadership.Key("g"), "eelgrassladder/primaries/g")
	assert.Equal(t, leadership.PromotionLockKey, "eelgrassladder/duty")
}
