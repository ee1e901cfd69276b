package experiment_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/lab/experiment"
	"eelgrassladder.example/eelgrassladder/internal/lab/workload"
)

// The limits of the cost of membership, gossip and ownership for each proxy.
const (
	maxBytesPerSecond = 4 * 1024
	maxCorePercent    = 2.3
	maxStateBytes     = 32 << 20
	maxSpreadMs       = 5000
)

func TestMembershipAndGossipStayWithinTheirLimitsOfCost(t *testing.T) {
	c, err := experiment.MeasureControl(context.Background(), 40, 57, 3*time.Second, workload.Magnolia().Configuration)
	assert.NilError(t, err)
	assert.Assert(t, c.BytesPerSecond < maxBytesPerSecond, "%.0f bytes a second", c.BytesPerSecond)
	assert.Assert(t, c.CorePercent < maxCorePercent, "%.2f %% of a core", c.CorePercent)
	assert.Assert(t, c.StateBytes < maxStateBytes, "%.0f bytes", c.StateBytes)
	assert.Assert(t, c.ConfigurationMs < maxSpreadMs, "%.0f ms", c.ConfigurationMs)
	assert.Assert(t, c.LossMs < maxSpreadMs, "%.0f ms", c.LossMs)
}
