package membership_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"eelgrassladder.example/eelgrassladder/internal/model/membership"
)

func TestViewsAgreeInWhateverOrderReportsCome(t *testing.T) {
	report := rapid.Custom(func(t *rapid.T) membership.Proxy {
		return membership.Proxy{
			Name:        fmt.Sprintf("p%d", rapid.IntRange(0, 4).Draw(t, "name")),
			Incarnation: uint64(rapid.IntRange(1, 3).Draw(t, "incarnation")),
			State:       membership.State(rapid.IntRange(0, 2).Draw(t, "state")),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		reports := rapid.SliceOfN(report, 1, 30).Draw(t, "reports")
		shuffled := rapid.Permutation(reports).Draw(t, "shuffled")
		var a, b membership.View
		for i := range reports {
			a, _ = a.WithProxy(reports[i])
			b, _ = b.WithProxy(shuffled[i])
		}
		assert.Equal(t, a.Digest(), b.Digest())
		assert.DeepEqual(t, a.All(), b.All())
	})
}
