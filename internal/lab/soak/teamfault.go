package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/lab/relay"
	"eelgrassladder.example/eelgrassladder/internal/lab/testbed"
)

// powerLossTime is how long the closed connections of processes without power count at
// members.
const powerLossTime = 3 * time.Second

// TeamFaults returns the names of the faults of a run with teams: versions that change keys
// and limits, teams that send too much, proxies that the store refuses, and the usual ones.
func TeamFaults() []string {
	return strings.Fields("Keys Keys Keys Keys Keys Keys Keys Keys Limits Limits Hot Hot Refuse Refuse PowerLoss Process Process Stop Member Primary Store Relay Configuration")
}

// keysFault is a version in which a team gains, loses or passes on keys.
func (r *runner) keysFault(random *rand.Rand) fault {
	number, other, index := random.IntN(r.plan.Teams), random.IntN(r.plan.Teams), random.IntN(keysOfTeam)
	r.addedKeys++
	added := r.keyOf(number, keysOfTeam+r.addedKeys)
	name, receiver, key := teamName(number), teamName(other), r.keyOf(number, index)
	without := func(t testbed.Team, key string) testbed.Team {
		t.Keys = slices.DeleteFunc(t.Keys, func(k string) bool { return k == key })
		return t
	}
	with := func(key string) func(testbed.Team) testbed.Team {
		return func(t testbed.Team) testbed.Team {
			t = without(t, key)
			t.Keys = append(t.Keys, key)
			return t
		}
	}
	kinds := []struct {
		name   string
		change func(teams []testbed.Team) []testbed.Team
	}{
		{name + " gets a new key", func(teams []testbed.Team) []testbed.Team { return withTeam(teams, name, with(added)) }},
		{"a key of " + name + " is removed", func(teams []testbed.Team) []testbed.Team {
			return withTeam(teams, name, func(t testbed.Team) testbed.Team { return without(t, key) })
		}},
		{"a key of " + name + " moves to " + receiver, func(teams []testbed.Team) []testbed.Team {
			for _, t := range teams {
				teams = withTeam(teams, t.Name, func(t testbed.Team) testbed.Team { return without(t, key) })
			}
			return withTeam(teams, receiver, with(key))
		}},
		{"a key of " + name + " is given to " + receiver + " as well", func(teams []testbed.Team) []testbed.Team {
			return withTeam(withTeam(teams, name, with(key)), receiver, with(key))
		}},
		{name + " loses all keys", func(teams []testbed.Team) []testbed.Team {
			return withTeam(teams, name, func(t testbed.Team) testbed.Team {
				t.Keys = nil
				return t
			})
		}},
		{name + " is removed", func(teams []testbed.Team) []testbed.Team {
			return slices.DeleteFunc(slices.Clone(teams), func(t testbed.Team) bool { return t.Name == name })
		}},
		{"all teams get their first keys back", func([]testbed.Team) []testbed.Team { return r.firstTeams() }},
	}
	kind := kinds[random.IntN(len(kinds))]
	return fault{name: kind.name, begin: func() { r.configureTeams(kind.change(r.versions.newest().teams)) }, end: func() {}}
}

// limitsFault lowers or raises the limit of a team.
func (r *runner) limitsFault(random *rand.Rand) fault {
	number := random.IntN(r.plan.Teams)
	rate := teamRates[number%len(teamRates)] * []float64{0.1, 0.5, 2, 5}[random.IntN(4)]
	burst := rate * []float64{0, 1, 3}[random.IntN(3)]
	return fault{
		name: fmt.Sprintf("%s may run %g operations a second, with a burst of %g", teamName(number), rate, burst),
		begin: func() {
			r.configureTeams(withTeam(r.versions.newest().teams, teamName(number), func(t testbed.Team) testbed.Team {
				t.Rate, t.Burst = rate, burst
				return t
			}))
		},
		end: func() {},
	}
}

// hotFault makes a team send as fast as it can.
func (r *runner) hotFault(random *rand.Rand) fault {
	number := random.IntN(r.plan.Teams)
	return fault{
		name:  teamName(number) + " sends as fast as it can",
		begin: func() { r.pacing.heat(number, 1) },
		end:   func() { r.pacing.heat(number, -1) },
	}
}

// refuseFault makes the store answer nothing to a third of the proxies, at least one. These
// learn of versions from the others. It is skipped while another one is under way.
func (r *runner) refuseFault(random *rand.Rand) fault {
	var names []string
	for _, i := range random.Perm(len(r.processes))[:max(len(r.processes)/3, 1)] {
		names = append(names, r.processes[i].settings.Name+linkToStore)
	}
	cut := r.network.named(func(name string) bool { return slices.Contains(names, name) })
	return r.alone("refuse", r.disruptingStore(fault{
		duration: time.Duration(4000+random.IntN(5000)) * time.Millisecond,
		name:     fmt.Sprintf("%d proxies lose the store, %s first", len(names), names[0]),
		begin:    func() { setConditions(cut, relay.Conditions{BlockForward: true, BlockBackward: true}) },
		end:      func() { setConditions(cut, relay.Conditions{}) },
	}, names...))
}

// powerLossFault kills more than half of the processes at once. Their connections count at
// members for powerLossTime.
func (r *runner) powerLossFault(random *rand.Rand) fault {
	least := len(r.processes)/2 + 1
	killed := random.Perm(len(r.processes))[:least+random.IntN(len(r.processes)-least+1)]
	delay := func(d time.Duration) {
		for _, g := range r.testbed.Groups {
			g.DelayCloses(d)
		}
	}
	return fault{
		duration: 200 * time.Millisecond,
		name:     fmt.Sprintf("%d proxies lose power", len(killed)),
		begin: func() {
			delay(powerLossTime)
			for _, i := range killed {
				r.processes[i].signal(syscall.SIGKILL)
			}
		},
		end: func() { delay(0) },
	}
}
