package report_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	generated "eelgrassladder.example/eelgrassladder/gen/operator"
	"eelgrassladder.example/eelgrassladder/internal/host/report"
)

// burnCount returns the counts of one proxy for the class deposits, whose target
// is a share of 0.99.
func burnCount(centre, window string, coveredSeconds float64, good, bad uint64) *generated.BurnCount {
	return &generated.BurnCount{
		Class: "deposits", DataCentre: centre, Window: window, CoveredSeconds: coveredSeconds, Good: good, Bad: bad, Share: 0.99,
	}
}

func TestBurnAddsUpTheCountsOfAllProxies(t *testing.T) {
	b := report.MergeBurn([]*generated.BurnCount{
		burnCount("south-a", "1h", 3600, 990, 10), burnCount("south-a", "1h", 60, 495, 5), burnCount("south-b", "1h", 3600, 300, 200),
		burnCount("south-a", "5m", 300, 100, 0),
	}, 4, 1)
	assert.Equal(t, b.Silent, 1)
	allCentres := b.Rows[1]
	assert.Equal(t, allCentres.DataCentre, "")
	assert.Equal(t, allCentres.Window, "1h")
	assert.Equal(t, allCentres.Good, uint64(1785))
	assert.Equal(t, allCentres.Bad, uint64(215))
	assert.Equal(t, allCentres.CoveredSeconds, 60.0, "the window is not limited to the minute that a restarted proxy has counted")
	assert.Assert(t, allCentres.BurnRate > 10.74 && allCentres.BurnRate < 10.76, "%v", allCentres.BurnRate)
	var text strings.Builder
	assert.NilError(t, b.Write(&text))
	assert.Assert(t, strings.Contains(text.String(), "Proxies asked: 4, silent: 1"))
	file := filepath.Join(t.TempDir(), "burn.png")
	assert.NilError(t, b.Draw(file))
	raw, err := os.ReadFile(file)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(string(raw), "\x89PNG"))
}
