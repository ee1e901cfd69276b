package watch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/policy/sharing"
)

// maxDetection is the time within which the platform requires proxies of large sites to
// use a new configuration, 5 s, less one second for gossip.
const maxDetection = 4 * time.Second

// TestOneOfManyWatchesReturnsSoon guards against a change that all waiting calls miss and
// that no proxy learns of in time. The calls of all proxies begin at once, because a change
// ends all earlier ones. In almost all rounds, one of the calls must end within
// maxDetection.
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

// TestWatchCallsAreShortOnlyWithFewProxies guards against slow detection where too few
// proxies spread the ends of their calls. Among 30 proxies, a call may wait long.
func TestWatchCallsAreShortOnlyWithFewProxies(t *testing.T) {
	assert.Equal(t, waitFor(fewProxies, 1), minWait)
	assert.Assert(t, waitFor(30, 1) > 10*time.Second)
}

// TestFewProxiesReadEachChangeAtOnce guards against a change that wakes hundreds of proxies
// several times a second, and against a pause so long that a member that has just joined
// counts as having left.
func TestFewProxiesReadEachChangeAtOnce(t *testing.T) {
	names := make([]string, 118)
	for i := range names {
		names[i] = fmt.Sprintf("proxy-%d", i)
	}
	soon := 0
	for _, name := range names {
		pause := batchPause(sharing.NewFleet(name, names...))
		assert.Assert(t, pause < 2*time.Second, "%v", pause)
		if pause <= maxReaderPause {
			soon++
		}
	}
	assert.Equal(t, soon, 8)
	assert.Equal(t, batchPause(sharing.NewFleet("proxy-0", names[:5]...)), 5*batchPausePerProxy, "few proxies all read soon")
}
