package soak_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/lab/soak"
)

func TestTheSoakFindsNoBrokenPromise(t *testing.T) {
	binary, err := soak.Build(t.TempDir())
	assert.NilError(t, err)
	for _, seed := range []uint64{1, 2} {
		result, err := soak.Run(context.Background(), soak.Plan{
			Seed: seed, Length: 8 * time.Second, Proxies: 3, Groups: 2, Binary: binary, Folder: t.TempDir(),
		})
		assert.NilError(t, err)
		assert.Equal(t, len(result.Violations), 0, "seed %d: %v", seed, result.Violations)
		assert.Assert(t, result.Served > 500, "seed %d: %+v", seed, result)
	}
}
