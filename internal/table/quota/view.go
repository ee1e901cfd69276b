package quota

import (
	"maps"
	"slices"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/team"
	policy "eelgrassladder.example/eelgrassladder/internal/policy/quota"
	"eelgrassladder.example/eelgrassladder/internal/policy/sharing"
)

// View is what a proxy knows of the system, as far as quotas depend on it. It is immutable.
type View struct {
	// Version is the version of the configuration, and Teams are its teams.
	Version uint64
	Teams   []team.Team
	// Lenders holds the addresses, by name, of the other proxies that are registered or
	// were so lately.
	Lenders map[string]string
	// ProducesFrom is the boot time from which this proxy produces tokens; zero if that is
	// not known yet.
	ProducesFrom time.Duration
}

// equal reports whether the view leads to the same plans as another one.
func (v View) equal(o View) bool {
	return v.Version == o.Version && v.ProducesFrom == o.ProducesFrom && maps.Equal(v.Lenders, o.Lenders)
}

// fleet returns the proxies of the view and self.
func (v View) fleet(self string) sharing.Fleet {
	return sharing.NewFleet(self, slices.Sorted(maps.Keys(v.Lenders))...)
}

// learnTime is how long another proxy may take to learn that this one has become a holder of a
// team because the team's limit was raised. It is the time in which a version of the
// configuration has to be in force at all proxies.
const learnTime = 5 * time.Second

// Refresh applies the current view, if it has changed. The function current is called while the
// table is locked, so that the table never goes back to an older view. It may take locks of
// higher ranks.
func (t *Table) Refresh(now time.Duration, current func() View) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	v := current()
	if t.refreshed && v.equal(t.view) {
		return
	}
	t.refreshed, t.view = true, v
	fleet := v.fleet(t.self)
	limited := make(map[string]bool, len(v.Teams))
	for _, tm := range v.Teams {
		if tm.Limited {
			limited[tm.Name] = true
			t.plan(tm, fleet, now)
			maps.DeleteFunc(t.accounts[tm.Name].emptyUntil, func(lender string, _ time.Duration) bool { return v.Lenders[lender] == "" })
		}
	}
	for name, a := range t.accounts {
		if !limited[name] {
			delete(t.accounts, name)
			a.release()
		}
	}
	maps.DeleteFunc(t.skipped, func(lender string, _ time.Duration) bool { return v.Lenders[lender] == "" })
}

// plan applies the plan for a team.
func (t *Table) plan(tm team.Team, fleet sharing.Fleet, now time.Duration) {
	p := policy.NewPlan(t.bounds.Limit(tm), tm.Name, t.self, fleet)
	share, start := p.Share, t.view.ProducesFrom
	if start == 0 {
		share = policy.Share{}
	}
	a, ok := t.accounts[tm.Name]
	switch {
	case !ok:
		a = &account{bucket: policy.NewBucket(now), emptyUntil: map[string]time.Duration{}}
		t.accounts[tm.Name] = a
	case a.plan.Share == (policy.Share{}) && p.Share.Capacity > 0 && p.Limit.Capacity > a.plan.Limit.Capacity:
		// Until the other holders learn of the version they produce all that they did.
		start = max(start, now+learnTime)
	}
	a.team, a.plan = tm, p
	a.bucket = a.bucket.WithShare(share, now).WithStart(start)
}
