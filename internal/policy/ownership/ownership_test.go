package ownership_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"eelgrassladder.example/eelgrassladder/internal/model/membership"
	"eelgrassladder.example/eelgrassladder/internal/policy/ownership"
)

func TestOnlyTheGroupsOfAProxyMoveWithIt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all membership.View
		for i := range rapid.IntRange(2, 30).Draw(t, "proxies") {
			all, _ = all.WithProxy(membership.Proxy{Name: fmt.Sprintf("p%d", i), Incarnation: 1})
		}
		gone := rapid.SampledFrom(all.All()).Draw(t, "gone")
		state := rapid.SampledFrom([]membership.State{membership.Leaving, membership.Dead}).Draw(t, "state")
		left, changed := all.WithProxy(gone.WithState(state))
		assert.Assert(t, changed)
		for i := range 40 {
			group := fmt.Sprintf("g%d", i)
			before, _ := ownership.Owner(all, group)
			after, ok := ownership.Owner(left, group)
			assert.Assert(t, ok)
			assert.Assert(t, after.Name != gone.Name)
			if before.Name != gone.Name {
				assert.Equal(t, after.Name, before.Name)
			}
		}
	})
}
