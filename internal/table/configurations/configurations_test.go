package configurations_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"eelgrassladder.example/eelgrassladder/internal/model/configuration"
	"eelgrassladder.example/eelgrassladder/internal/table/configurations"
)

func TestOnlyAHigherVersionIsAdopted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := configurations.New()
		highest := uint64(0)
		for _, v := range rapid.SliceOf(rapid.Uint64Range(1, 50)).Draw(t, "versions") {
			adopted := table.Adopt(configuration.Configuration{Version: v})
			assert.Equal(t, adopted, v > highest)
			highest = max(highest, v)
			assert.Equal(t, table.Current().Version, highest)
		}
	})
}
