package quota

import (
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"eelgrassladder.example/eelgrassladder/internal/model/team"
	"eelgrassladder.example/eelgrassladder/internal/table/lockrank"
)

func TestMain(m *testing.M) {
	lockrank.EnableChecks(true)
	os.Exit(m.Run())
}

// step is the time between two events of a random schedule.
const step = 250 * time.Millisecond

// load lets each team send operations for a time: factors holds by what its rate is multiplied.
func (w *world) load(d time.Duration, factors map[string]float64) {
	const tick = 10 * time.Millisecond
	for range int(d / tick) {
		for name, tm := range w.teams {
			n := factors[name] * tm.Rate * tick.Seconds()
			whole := int(n)
			if w.random.Float64() < n-float64(whole) {
				whole++
			}
			for range whole {
				w.proxies[w.random.IntN(len(w.proxies))].operation(name)
			}
		}
		w.advance(tick)
	}
}

// mayStart reports whether a process may start. It may not while a proxy that runs is cut off
// from the store, frozen, or not registered: the tests of the named cases have those.
func (w *world) mayStart() bool {
	for _, p := range w.proxies {
		if p.alive && (p.cutFromStore || w.now < p.frozenUntil || !w.registered[p.name]) {
			return false
		}
	}
	return true
}

// TestNoWindowHasMoreOperationsThanTheLimit guards against tokens that are created: by lost, late
// or repeated messages, cuts, restarts, machines that join or leave, old views of the system,
// lower limits, frozen processes, and tokens that are given back.
func TestNoWindowHasMoreOperationsThanTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 14).Draw(t, "proxies")
		w := newWorld(rapid.Uint64().Draw(t, "seed"), n,
			team.Team{Name: "small"}.WithLimit(5, 5), team.Team{Name: "middle"}.WithLimit(40, 20))
		w.lost = rapid.SampledFrom([]float64{0, 0.02, 0.3}).Draw(t, "lost")
		w.slow = rapid.SampledFrom([]float64{0, 0.02, 0.3}).Draw(t, "slow")
		w.duplicated = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "duplicated")
		joined, busy := 0, time.Duration(0)
		for range rapid.IntRange(20, 100).Draw(t, "steps") {
			factors := map[string]float64{
				"small":  rapid.SampledFrom([]float64{0, 0.8, 7.5, 40}).Draw(t, "small"),
				"middle": rapid.SampledFrom([]float64{0, 0.8, 7.5}).Draw(t, "middle"),
			}
			p := w.proxies[rapid.IntRange(0, len(w.proxies)-1).Draw(t, "proxy")]
			quiet := w.now >= busy
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				if p.alive {
					p.kill()
				}
			case 1:
				if !p.alive && !p.gone && w.mayStart() {
					p.cutFromStore, p.cutFromOthers = false, false
					p.start()
					busy = w.now + announceTime
				}
			case 2:
				for _, p := range w.proxies {
					if p.alive && rapid.Bool().Draw(t, "killed") {
						p.kill()
					}
				}
			case 3:
				if p.alive && !p.cutFromStore && quiet {
					d := time.Duration(rapid.IntRange(100, 9000).Draw(t, "cut")) * time.Millisecond
					p.cutStore(d, rapid.Bool().Draw(t, "from all"))
				}
			case 4:
				if p.alive && quiet {
					p.frozenUntil = max(p.frozenUntil, w.now+time.Duration(rapid.IntRange(10, 5000).Draw(t, "frozen"))*time.Millisecond)
				}
			case 5:
				if joined < 6 && w.mayStart() {
					joined++
					j := &modelProxy{world: w, name: fmt.Sprintf("joined-%d", joined)}
					w.proxies = append(w.proxies, j)
					j.start()
					busy = w.now + announceTime
				}
			case 6:
				rate := rapid.SampledFrom([]float64{1, 5, 20}).Draw(t, "rate")
				w.configure(team.Team{Name: "small"}.WithLimit(rate, rate))
			case 7:
				if p.alive {
					p.kill()
					p.gone = true
				}
			}
			w.load(step, factors)
		}
		if excess, limit := w.excess(); excess > 0 {
			t.Fatalf("a window has %v operations more than the limit of %v", excess, limit)
		}
	})
}

// TestOperationsWithinTheLimitAreServed guards against limits that refuse teams which keep to
// them, with the day's figures: 35 proxies, a large team of which the busiest proxy has 6 % of
// the operations, and a team of 5 per second, both at 85 % of their rates. A few refusals after
// four empty holders are accepted; the bound is 1 %.
func TestOperationsWithinTheLimitAreServed(t *testing.T) {
	for _, rate := range []float64{483, 40, 5} {
		w := newWorld(7, 35, team.Team{Name: "bakery"}.WithLimit(rate, rate))
		w.load(10*time.Second, nil)
		const tick = 10 * time.Millisecond
		for range 6000 {
			n := 0.85 * rate * tick.Seconds()
			for n > 0 {
				if n >= 1 || w.random.Float64() < n {
					p := w.proxies[w.random.IntN(35)]
					if w.random.Float64() < 0.032 {
						p = w.proxies[0]
					}
					p.operation("bakery")
				}
				n--
			}
			w.advance(tick)
		}
		t.Logf("rate %v: %d operations, %d refused, %d borrowed, %d calls", rate, w.asked, w.refused, w.borrowed, w.calls)
		assert.Assert(t, float64(w.refused) <= 0.01*float64(w.asked), "rate %v: %d of %d refused", rate, w.refused, w.asked)
	}
}
