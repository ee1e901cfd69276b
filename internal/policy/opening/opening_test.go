package opening_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"eelgrassladder.example/eelgrassladder/internal/policy/opening"
)

const openingTime = 12 * time.Millisecond

// TestOpeningsOfAllProxiesTakeASmallPartOfTheSlots guards against openings that take the slots of
// an endpoint from statements: all proxies want connections all the time, and whatever an
// attempt leads to, they begin no more openings than a quarter of the slot time allows, and those
// of the first moment.
func TestOpeningsOfAllProxiesTakeASmallPartOfTheSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots, proxies := rapid.IntRange(1, 4).Draw(t, "slots"), rapid.IntRange(1, 120).Draw(t, "proxies")
		result, random := rapid.IntRange(0, 2).Draw(t, "result"), rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		limit := opening.NewLimit(slots, float64(proxies), openingTime)
		begin, length := time.Unix(1000, 0), 10*time.Second
		begun := 0
		for range proxies {
			p := opening.Pace{}.WithLimit(limit)
			for now := begin; now.Before(begin.Add(length)); now = now.Add(5 * time.Millisecond) {
				for !now.Before(p.Next()) {
					begun++
					p = p.WithAttempt(now, random.Float64())
					switch result {
					case 0:
						p = p.WithOpened()
					case 1:
						p = p.WithFailed()
					default:
						p = p.WithRefused(now, 0.5)
					}
				}
			}
		}
		held, slotTime := time.Duration(begun)*openingTime, time.Duration(slots)*length
		// The first opening of each proxy, or burst of all.
		first := max(time.Duration(proxies)*openingTime, time.Duration(slots)*100*time.Millisecond)
		if held > slotTime*3/10+first {
			t.Fatalf("%d openings hold %v of %v", begun, held, slotTime)
		}
	})
}

// TestFewProxiesOpenSeveralConnectionsAtOnce guards against a fleet of few proxies that has to
// wait for each of the connections that it needs after a change of primary.
func TestFewProxiesOpenSeveralConnectionsAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	for proxies, want := range map[float64]int{1: 16, 5: 3, 12: 1, 118: 1} {
		p, begun := opening.Pace{}.WithLimit(opening.NewLimit(2, proxies, openingTime)), 0
		for ; !now.Before(p.Next()); begun++ {
			p = p.WithAttempt(now, 0.5)
		}
		assert.Equal(t, begun, want, "%v proxies", proxies)
	}
}

// TestRefusalsSlowOpeningsDown guards against attempts at a full endpoint that go on as fast as
// before, and against a proxy that stays slow once the endpoint has room again.
func TestRefusalsSlowOpeningsDown(t *testing.T) {
	now, limit := time.Unix(1000, 0), opening.NewLimit(2, 50, openingTime)
	wait := func(p opening.Pace) time.Duration { return p.WithAttempt(now, 0.5).Next().Sub(now) }
	p := opening.Pace{}.WithLimit(limit)
	full := wait(p)
	assert.Equal(t, full, 1200*time.Millisecond)
	assert.Equal(t, wait(p.WithFailed()), 2*full)
	assert.Equal(t, p.WithFailed().Next(), time.Time{}, "an endpoint that may be down is not tried again")
	refused := p.WithRefused(now, 0)
	assert.Equal(t, refused.PausedUntil().Sub(now), 100*time.Millisecond)
	assert.Equal(t, refused.Next(), refused.PausedUntil())
	for range 20 {
		refused = refused.WithRefused(now, 0)
	}
	assert.Equal(t, wait(refused), 8*full)
	for range 7 {
		refused = refused.WithOpened()
	}
	assert.Equal(t, wait(refused), full)
}
