package soak

import (
	"slices"
	"sync"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/lab/testbed"
)

const (
	// applyTime is how long proxies may use a version of the configuration after the store has
	// acknowledged the next one. The users' platform calls it config-apply-ms.
	applyTime = 5 * time.Second
	// readTime is the same for proxies that the store serves. They read each version within
	// 1.8 s.
	readTime = 2 * time.Second
)

// version is one version of the teams. It is immutable.
type version struct {
	teams []testbed.Team
	// holders holds the name of the team that has each key; empty for a key of several teams,
	// which is nobody's.
	holders map[string]string
	// written is when its write began, and acknowledged when the store had it; forever until
	// then.
	written, acknowledged time.Time
}

// team returns a team of the version, or the zero Team.
func (v version) team(name string) testbed.Team {
	if i := slices.IndexFunc(v.teams, func(t testbed.Team) bool { return t.Name == name }); i >= 0 {
		return v.teams[i]
	}
	return testbed.Team{}
}

// newVersion returns the version with these teams, whose write begins now.
func newVersion(teams []testbed.Team) version {
	v := version{teams: teams, holders: map[string]string{}, written: time.Now(), acknowledged: forever}
	for _, t := range teams {
		for _, key := range t.Keys {
			if holder, ok := v.holders[key]; ok && holder != t.Name {
				v.holders[key] = ""
				continue
			}
			v.holders[key] = t.Name
		}
	}
	return v
}

// versions holds all versions of the teams, in their order.
type versions struct {
	// mutex guards the field below. No other lock is taken while it is held.
	mutex sync.Mutex
	list  []version
}

// begin adds a version whose write begins.
func (v *versions) begin(added version) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.list = append(v.list[:len(v.list):len(v.list)], added)
}

// acknowledge records that the store has the newest version.
func (v *versions) acknowledge() {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.list = slices.Clone(v.list)
	v.list[len(v.list)-1].acknowledged = time.Now()
}

// all returns the versions so far.
func (v *versions) all() []version {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.list
}

// newest returns the newest version.
func (v *versions) newest() version {
	all := v.all()
	return all[len(all)-1]
}

// learner returns the time until which a proxy may use the version before one that was
// acknowledged at a time.
type learner func(acknowledged time.Time) time.Time

// mayApply reports whether a version, given by its index, may be in force between two times.
func mayApply(all []version, index int, from, to time.Time, learned learner) bool {
	if all[index].written.After(to) {
		return false
	}
	return index == len(all)-1 || !learned(all[index+1].acknowledged).Before(from)
}

// anyApplies reports whether the condition holds for a version that may be in force between
// two times.
func (v *versions) anyApplies(from, to time.Time, learned learner, condition func(version) bool) bool {
	all := v.all()
	for i := len(all) - 1; i >= 0; i-- {
		if condition(all[i]) && mayApply(all, i, from, to, learned) {
			return true
		}
	}
	return false
}

// floors holds the lowest version that each proxy may still use, by what members ran for it. The
// version in force at a proxy never decreases.
type floors struct {
	// mutex guards the field below. No other lock is taken while it is held.
	mutex   sync.Mutex
	byProxy map[string]floor
}

// floor is the lowest version of one proxy. It is immutable.
type floor struct {
	// starts is the number of the process's start, and index that of the version.
	starts, index int
	// raised is when the floor became known. It holds for operations that begin later.
	raised time.Time
}

// note notes that a proxy used one of some versions, given by their indices in their order, for
// an operation that began at a time. It reports false if all of them are lower than one that
// the proxy used for an earlier operation since its process started.
func (f *floors) note(proxy string, starts int, began, now time.Time, possible []int) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.byProxy == nil {
		f.byProxy = map[string]floor{}
	}
	known := f.byProxy[proxy]
	if known.starts != starts {
		known = floor{starts: starts}
	}
	if began.After(known.raised) {
		possible = slices.DeleteFunc(slices.Clone(possible), func(i int) bool { return i < known.index })
	}
	if len(possible) == 0 {
		return false
	}
	if possible[0] > known.index {
		known.index, known.raised = possible[0], now
	}
	f.byProxy[proxy] = known
	return true
}
