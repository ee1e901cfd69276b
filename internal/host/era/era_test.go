package era_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/era"
)

var _ eelgrassladder.Eras = (*era.Tracker)(nil)

// TestAnEraIsToldOnce guards against parts that act again, or not at all, on an era that several
// answers name.
func TestAnEraIsToldOnce(t *testing.T) {
	tracker := era.New()
	var told []uint64
	tracker.OnRise(func(e uint64) { told = append(told, e) })
	first := tracker.Context()
	for _, e := range []uint64{1, 1, 3, 2, 3} {
		tracker.Learn(e, "store")
	}
	assert.DeepEqual(t, told, []uint64{1, 3})
	assert.Equal(t, tracker.Current(), uint64(3))
	assert.Assert(t, first.Err() != nil, "the context of a former era has not ended")
	assert.NilError(t, tracker.Context().Err())
}
