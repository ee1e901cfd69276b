package watch

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// maxDetection is the platform's limit for a configuration to be in force on large
// sites, less one second for gossip.
const maxDetection = 4 * time.Second

// TestOneOfManyWatchesReturnsSoon begins the calls of all proxies at once, as a
// change does. In almost all rounds, one of the calls must end within maxDetection.
func TestOneOfManyWatchesReturnsSoon(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, proxies := range []int{1, 2, 5, 9, 30, 430} {
		late := 0
		const rounds = 1000
		for range rounds {
			first := maxWait
			for range proxies {
				w := waitFor(proxies, random.Float64())
				assert.Assert(t, w >= minWait && w <= maxWait, "%v", w)
				first = min(first, w)
			}
			if first > maxDetection {
				late++
			}
		}
		assert.Assert(t, late <= rounds/100, "%d proxies: the first call ended too late %d times", proxies, late)
	}
}

func TestFewProxiesWaitShortly(t *testing.T) {
	assert.Equal(t, waitFor(fewProxies, 1), minWait)
	assert.Assert(t, waitFor(30, 1) > 10*time.Second)
}
