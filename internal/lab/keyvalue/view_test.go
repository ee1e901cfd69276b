package keyvalue

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/gen/kv"
)

func TestAViewRewritesWhatIsReadAndNotWhatIsStored(t *testing.T) {
	s := New()
	s.Put("servers/a", []byte("near"))
	v := view{Store: s, rewrite: func(key string, value []byte) []byte { return []byte(key + " " + string(value) + " far") }}
	page, err := v.Range(context.Background(), &kv.RangePayload{PathPrefix: "servers/"})
	assert.NilError(t, err)
	assert.Equal(t, string(page.Items[0].Value), "servers/a near far")
	changes, err := v.Watch(context.Background(), &kv.WatchPayload{PathPrefix: "servers/", After: 1})
	assert.NilError(t, err)
	assert.Equal(t, string(changes.Events[0].Value), "servers/a near far")
	stored, _ := s.Value("servers/a")
	assert.Equal(t, string(stored), "near")
}
