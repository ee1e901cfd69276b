package quota

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"eelgrassladder.example/eelgrassladder/internal/model/team"
)

// load lets each team send operations for a time: factors holds by what its rate is multiplied.
func (w *world) load(d time.Duration, factors map[string]float64) {
	const tick = 10 * time.Millisecond
	for range int(d / tick) {
		for _, name := range slices.Sorted(maps.Keys(w.teams)) {
			n := factors[name] * w.teams[name].Rate * tick.Seconds()
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

// schedule draws what happens in a world, and plays it.
type schedule struct {
	*rapid.T
	world *world
	// joined counts the machines that were added, and lost those that were removed. settled is when all proxies know the latest
	// process that started without a registration.
	joined, lost int
	settled      time.Duration
}

// play plays a few rounds: in each, teams that send little let the buckets fill, and then teams
// over their limits use them up.
func (s *schedule) play() {
	w := s.world
	for range rapid.IntRange(1, 3).Draw(s.T, "rounds") {
		s.period(rapid.IntRange(0, 7000).Draw(s.T, "calm ms"), map[string]float64{
			"small": rapid.SampledFrom([]float64{0, 0.8}).Draw(s.T, "small"), "middle": rapid.SampledFrom([]float64{0, 0.8}).Draw(s.T, "middle"),
		})
		hot := map[string]float64{
			"small": rapid.SampledFrom([]float64{7.5, 40}).Draw(s.T, "small"), "middle": rapid.SampledFrom([]float64{2, 7.5}).Draw(s.T, "middle"),
		}
		w.abandoned = rapid.SampledFrom([]float64{0, 0.1, 0.9}).Draw(s.T, "abandoned")
		w.held = true
		s.period(500, hot)
		w.held, w.abandoned = false, rapid.SampledFrom([]float64{0, 0.1}).Draw(s.T, "abandoned")
		s.period(rapid.IntRange(1000, 7000).Draw(s.T, "hot ms"), hot)
	}
}

// period plays a load with a few events.
func (s *schedule) period(ms int, factors map[string]float64) {
	for left := ms; left > 0; {
		next := left
		if rapid.Bool().Draw(s.T, "eventful") {
			next = rapid.IntRange(1, left).Draw(s.T, "next ms")
		}
		s.world.load(time.Duration(next)*time.Millisecond, factors)
		if left -= next; left > 0 {
			s.event()
		}
	}
}

// event draws one event.
func (s *schedule) event() {
	w := s.world
	p := w.proxies[rapid.IntRange(0, len(w.proxies)-1).Draw(s.T, "proxy")]
	quiet := w.now >= s.settled
	switch rapid.IntRange(0, 9).Draw(s.T, "event") {
	case 0, 1:
		s.restart(p)
	case 2:
		for _, p := range w.proxies {
			if rapid.Bool().Draw(s.T, "restarted") {
				s.restart(p)
			}
		}
	case 3:
		if p.alive && !p.cutFromStore && quiet {
			d := time.Duration(rapid.IntRange(100, 9000).Draw(s.T, "cut ms")) * time.Millisecond
			p.cutStore(d, rapid.Bool().Draw(s.T, "from all"))
		}
	case 4:
		if p.alive && quiet {
			p.frozenUntil = max(p.frozenUntil, w.now+time.Duration(rapid.IntRange(10, 5000).Draw(s.T, "frozen ms"))*time.Millisecond)
		}
	case 5, 6:
		if s.joined < 6 && w.mayStart() {
			s.joined++
			j := &modelProxy{world: w, name: fmt.Sprintf("joined-%d", s.joined)}
			w.proxies = append(w.proxies, j)
			s.start(j)
		}
	case 7:
		if p.alive && s.lost < 2 {
			s.lost++
			p.kill()
			p.gone = true
		}
	default:
		rate := rapid.SampledFrom([]float64{1, 5, 20}).Draw(s.T, "rate")
		w.configure(team.Team{Name: "small"}.WithLimit(rate, rate))
	}
}

// start starts a process.
func (s *schedule) start(p *modelProxy) {
	if !s.world.registered[p.name] {
		s.settled = s.world.now + announceTime
	}
	p.start()
}

// restart ends the process of a proxy, and starts another one up to 2 s later, unless it may not
// start then. A process is not started again while others may not know of its registration.
func (s *schedule) restart(p *modelProxy) {
	w := s.world
	if !p.alive {
		return
	}
	p.kill()
	w.after(time.Duration(rapid.IntRange(0, 2000).Draw(s.T, "down ms"))*time.Millisecond, func() {
		if !p.alive && !p.gone && w.mayStart() && w.now >= s.settled {
			p.cutFromStore, p.cutFromOthers = false, false
			s.start(p)
		}
	})
}

// TestNoWindowHasMoreOperationsThanTheLimit guards against tokens that are created: by lost, late
// or repeated messages, cuts, restarts, machines that join or leave, old views of the system,
// lower limits, frozen processes, and tokens that are given back.
func TestNoWindowHasMoreOperationsThanTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 12).Draw(t, "proxies"),
			team.Team{Name: "small"}.WithLimit(5, 5), team.Team{Name: "middle"}.WithLimit(40, 20))
		w.lost = rapid.SampledFrom([]float64{0, 0.02, 0.3}).Draw(t, "lost")
		w.slow = rapid.SampledFrom([]float64{0, 0.02, 0.3}).Draw(t, "slow")
		w.duplicated = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "duplicated")
		w.load(6*time.Second, nil) // buckets are full
		(&schedule{T: t, world: w}).play()
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
