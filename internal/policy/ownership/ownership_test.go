package ownership_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"eelgrassladder.example/eelgrassladder/internal/model/membership"
	"eelgrassladder.example/eelgrassladder/internal/policy/ownership"
)

func TestOnlyTheGroupsOfALostProxyMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var view membership.View
		for i := range rapid.IntRange(2, 30).Draw(t, "proxies") {
			view, _ = view.WithProxy(membership.Proxy{Name: fmt.Sprintf("p%d", i), Incarnation: 1})
		}
		lost := rapid.SampledFrom(view.All()).Draw(t, "lost")
		state := rapid.SampledFrom([]membership.State{membership.Leaving, membership.Dead}).Draw(t, "state")
		remaining, changed := view.WithProxy(lost.WithState(state))
		assert.Assert(t, changed)
		for i := range 40 {
			group := fmt.Sprintf("g%d", i)
			before, _ := ownership.Owner(view, group)
			after, ok := ownership.Owner(remaining, group)
			assert.Assert(t, ok)
			assert.Assert(t, after.Name != lost.Name)
			if before.Name != lost.Name {
				assert.Equal(t, after.Name, before.Name)
			}
		}
	})
}
