package watch

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// maxDetection is the time within which the platform requires proxies of large sites to
// use a new configuration, 5 s, less one second for gossip.
const maxDetection = 4 * time.Second

// TestOneOfManyWatchesReturnsSoon guards against a change that all waiting calls miss and
// that no proxy learns of in time. It begins the calls of all proxies at once, as a change
// does. In almost all rounds, one of the calls must end within maxDetection.
func TestOneOfManyWatchesReturnsSoon(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, proxies := range []int{1, 2, 5, 9, 30, 430} {
		lateRounds := 0
		const rounds = 1000
		for range rounds {
			firstEnd := maxWait
			for range proxies {
				wait := waitFor(proxies, random.Float64())
				assert.Assert(t, wait >= minWait && wait <= maxWait, "%v", wait)
				firstEnd = min(firstEnd, wait)
			}
			if firstEnd > maxDetection {
				lateRounds++
			}
		}
		assert.Assert(t, lateRounds <= rounds/100, "%d proxies: the first call ended too late %d times", proxies, lateRounds)
	}
}

func TestUpToFewProxiesWaitForTheShortestTime(t *testing.T) {
	assert.Equal(t, waitFor(fewProxies, 1), minWait)
	assert.Assert(t, waitFor(30, 1) > 10*time.Second)
}
