package experiment_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/lab/experiment"
	"eelgrassladder.example/eelgrassladder/internal/lab/workload"
)

// The stated targets of control, for each proxy.
const (
	controlBytes   = 4 * 1024
	controlCore    = 2.3
	controlMemory  = 32 << 20
	everywhereInMs = 5000
)

func TestControlStaysWithinItsBudget(t *testing.T) {
	c, err := experiment.MeasureControl(context.Background(), 40, 57, 3*time.Second, workload.Magnolia().Configuration)
	assert.NilError(t, err)
	assert.Assert(t, c.BytesPerSecond < controlBytes, "%.0f bytes a second", c.BytesPerSecond)
	assert.Assert(t, c.CorePercent < controlCore, "%.2f %% of a core", c.CorePercent)
	assert.Assert(t, c.StateBytes < controlMemory, "%.0f bytes", c.StateBytes)
	assert.Assert(t, c.ConfigurationMs < everywhereInMs, "%.0f ms", c.ConfigurationMs)
	assert.Assert(t, c.LossMs < everywhereInMs, "%.0f ms", c.LossMs)
}
