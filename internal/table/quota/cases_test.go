package quota

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/model/team"
	policy "eelgrassladder.example/eelgrassladder/internal/policy/quota"
	"eelgrassladder.example/eelgrassladder/internal/policy/sharing"
)

const bakery = "bakery"

// overload sends 15 times the rate of the team to the running proxies for a time. The first
// operations run as late as their tokens allow, together with those after them.
func (w *world) overload(d time.Duration) {
	w.held = true
	w.load(eelgrassladder.QuotaValidity, map[string]float64{bakery: 15})
	w.held = false
	w.load(d, map[string]float64{bakery: 15})
}

// TestProxiesCutOffFromTheStoreStillCount guards against proxies that take over the shares of
// others whose registrations have ended, but which still serve clients.
func TestProxiesCutOffFromTheStoreStillCount(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(seed, 6, team.Team{Name: bakery}.WithLimit(60, 60))
		for _, p := range w.proxies[:3] {
			p.cutStore(40*time.Second, seed%2 == 0)
		}
		w.load(15*time.Second, nil)
		w.overload(10 * time.Second)
		excess, limit := w.excess()
		assert.Assert(t, excess <= 0, "seed %d: %v operations over %v", seed, excess, limit)
	}
}

// TestARaisedLimitIsNotExceededWhileSomeDoNotKnowIt guards against a proxy that becomes a holder
// through a raised limit, and produces its share while the others still produce all that they
// did.
func TestARaisedLimitIsNotExceededWhileSomeDoNotKnowIt(t *testing.T) {
	for seed := range uint64(50) {
		// The capacities are 27.92 and 28.14, for which there are 6 and 7 holders.
		w := newWorld(seed, 8, team.Team{Name: bakery}.WithLimit(100, 7.2))
		w.load(3*time.Second, nil)
		w.configure(team.Team{Name: bakery}.WithLimit(100, 7.4))
		w.overload(6 * time.Second)
		excess, limit := w.excess()
		assert.Assert(t, excess <= 0, "seed %d: %v operations over %v", seed, excess, limit)
	}
}

// displacing returns the name of a machine that, when it joins the proxies of a world, takes the
// place of a holder of the team, and that holder.
func (w *world) displacing() (name string, displaced *modelProxy) {
	l := w.bounds.Limit(w.teams[bakery])
	names := make([]string, len(w.proxies))
	for i, p := range w.proxies {
		names[i] = p.name
	}
	for i := 0; ; i++ {
		name := fmt.Sprintf("joined-%d", i)
		for _, p := range w.proxies {
			before := policy.NewPlan(l, bakery, p.name, sharing.NewFleet(p.name, names...)).Share.Capacity
			after := policy.NewPlan(l, bakery, p.name, sharing.NewFleet(p.name, append(names, name)...)).Share.Capacity
			if before > 0 && after == 0 {
				return name, p
			}
		}
	}
}

// TestCasesThatExceedTheLimit names the cases in which the design exceeds the limit, and shows by
// how much. In each a process produces the share of another one that still runs and cannot know
// of it; the excess is at most what the first holds and produces in that time.
func TestCasesThatExceedTheLimit(t *testing.T) {
	small, middle := team.Team{Name: bakery}.WithLimit(5, 5), team.Team{Name: bakery}.WithLimit(40, 20)
	window := (policy.DefaultBounds().Window + eelgrassladder.QuotaValidity).Seconds()
	for _, c := range []struct {
		name    string
		team    team.Team
		proxies int
		// holders is how many shares are produced twice, and times for how long.
		holders int
		play    func(w *world)
	}{
		{"a machine joins and displaces a holder that is cut off from all others", small, 8, 1, func(w *world) {
			name, holder := w.displacing()
			w.load(6*time.Second, nil)
			holder.cutStore(9*time.Second, true)
			j := &modelProxy{world: w, name: name}
			w.proxies = append(w.proxies, j)
			j.start()
			w.load(7*time.Second, nil)
			w.overload(6 * time.Second)
		}},
		{"processes start while the registrations of three others have ended, which are cut off from the store and serve clients", small, 8, 3, func(w *world) {
			for _, p := range w.proxies[:3] {
				p.cutStore(40*time.Second, true)
			}
			w.load(12*time.Second, nil)
			for _, p := range w.proxies[3:] {
				p.kill()
				p.start()
			}
			w.load(6*time.Second, nil)
			w.overload(6 * time.Second)
		}},
		{"a process is killed and starts again before the others know that its machine has joined", middle, 1, 1, func(w *world) {
			w.load(6*time.Second, nil)
			j := &modelProxy{world: w, name: "joined"}
			w.proxies = append(w.proxies, j)
			j.start()
			j.kill()
			j.start()
			w.overload(6 * time.Second)
		}},
	} {
		highest := 0.0
		for seed := range uint64(100) {
			w := newWorld(seed, c.proxies, c.team)
			c.play(w)
			excess, _ := w.excess()
			highest = max(highest, excess)
		}
		l := policy.DefaultBounds().Limit(c.team)
		bound := float64(c.holders) * (l.Capacity + l.Rate*window) / float64(l.Holders(c.proxies))
		t.Logf("%s: %v operations over the limit of %v, at most %.1f", c.name, highest, l.Operations, bound)
		assert.Assert(t, highest <= bound, "%s: %v operations, above %v", c.name, highest, bound)
	}
}
