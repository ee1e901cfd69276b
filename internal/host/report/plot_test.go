package report

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestARowOfAnUnknownWindowIsLeftOut guards against a report of a newer proxy that ends the
// command.
func TestARowOfAnUnknownWindowIsLeftOut(t *testing.T) {
	classes, rates := Burn{Rows: []Row{
		{Class: "deposits", Window: "1h", BurnRate: 2}, {Class: "deposits", Window: "30d", BurnRate: 9},
	}}.burnRates()
	assert.DeepEqual(t, classes, []string{"deposits"})
	assert.Equal(t, rates["1h"][0], 2.0)
	assert.Equal(t, len(rates), 4)
}
