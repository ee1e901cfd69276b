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

// count is what one proxy says of a class and window.
func count(centre, window string, covered float64, good, bad uint64) *generated.BurnCount {
	return &generated.BurnCount{
		Class: "deposits", DataCentre: centre, Window: window, CoveredSeconds: covered, Good: good, Bad: bad, Share: 0.99,
	}
}

func TestCountsOfAllProxiesAreMerged(t *testing.T) {
	b := report.MergeBurn([]*generated.BurnCount{
		count("south-a", "1h", 3600, 990, 10), count("south-a", "1h", 60, 495, 5), count("south-b", "1h", 3600, 300, 200),
		count("south-a", "5m", 300, 100, 0),
	}, 4, 1)
	assert.Equal(t, b.Silent, 1)
	all := b.Rows[1]
	assert.Equal(t, all.DataCentre, "")
	assert.Equal(t, all.Window, "1h")
	assert.Equal(t, all.Good, uint64(1785))
	assert.Equal(t, all.Bad, uint64(215))
	assert.Equal(t, all.CoveredSeconds, 60.0, "a restarted proxy remembers a minute")
	assert.Assert(t, all.BurnRate > 10.74 && all.BurnRate < 10.76, "%v", all.BurnRate)
	var text strings.Builder
	assert.NilError(t, b.Write(&text))
	assert.Assert(t, strings.Contains(text.String(), "Proxies asked: 4, silent: 1"))
	file := filepath.Join(t.TempDir(), "burn.png")
	assert.NilError(t, b.Draw(file))
	raw, err := os.ReadFile(file)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(string(raw), "\x89PNG"))
}
