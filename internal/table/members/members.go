// Package members is the table of the proxies of the system as this proxy
// knows them.
package members

import (
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/membership"
	"eelgrassladder.example/eelgrassladder/internal/table/lockrank"
)

// recentTime is how long a change is sent along with each heartbeat.
const recentTime = 5 * time.Second

// recentLimit is the most changes sent along with a heartbeat.
const recentLimit = 24

// change is something that this proxy has lately learned.
type change struct {
	proxy membership.Proxy
	at    time.Time
}

// Table holds the view of this proxy. Its rank is Members.
type Table struct {
	mutex *lockrank.Mutex
	// self is this proxy; its state and incarnation are its own to set.
	self membership.Proxy
	view membership.View
	// recent holds lately learned changes, the newest last.
	recent []change
	// changed is closed and replaced when the view changes.
	changed chan struct{}
}

// New returns a table that knows only this proxy.
func New(self membership.Proxy) *Table {
	t := &Table{mutex: lockrank.New(lockrank.Members), self: self, changed: make(chan struct{})}
	t.view, _ = t.view.WithProxy(self)
	return t
}

// Self returns this proxy.
func (t *Table) Self() membership.Proxy {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.self
}

// View returns the view and a channel that is closed when it changes.
func (t *Table) View() (membership.View, <-chan struct{}) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.view, t.changed
}

// Merge takes what another proxy knows and reports whether any of it is new.
// A report that this proxy is dead or leaving, when it is not, is answered by
// a higher incarnation.
func (t *Table) Merge(all []membership.Proxy, now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	learned := false
	for _, p := range all {
		if p.Name == t.self.Name {
			learned = t.refute(p, now) || learned
			continue
		}
		if _, known := t.view.Proxy(p.Name); !known && p.State == membership.Dead {
			continue
		}
		learned = t.take(p, now) || learned
	}
	return learned
}

// ApplyHostList takes the proxies of the platform's host list. One that is not known
// is added as dead in incarnation zero: it is tried, and owns nothing until
// it answers. Dead proxies that are no longer listed are forgotten.
func (t *Table) ApplyHostList(all []membership.Proxy, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	listed := map[string]bool{}
	for _, p := range all {
		listed[p.Name] = true
		if _, known := t.view.Proxy(p.Name); !known {
			t.view, _ = t.view.WithProxy(p.WithState(membership.Dead).WithIncarnation(0))
		}
	}
	for _, p := range t.view.All() {
		if p.State == membership.Dead && !listed[p.Name] && !t.isRecent(p.Name, now) {
			t.view = t.view.WithoutProxy(p.Name)
		}
	}
}

// isRecent reports whether a change of the proxy is still being spread. The
// caller holds the mutex.
func (t *Table) isRecent(name string, now time.Time) bool {
	for _, c := range t.recent {
		if c.proxy.Name == name && now.Sub(c.at) <= recentTime {
			return true
		}
	}
	return false
}

// Leave marks this proxy as leaving.
func (t *Table) Leave(now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.self = t.self.WithState(membership.Leaving)
	t.take(t.self, now)
}

// MarkDead marks a proxy as dead, if it is still in the incarnation that failed.
func (t *Table) MarkDead(p membership.Proxy, now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known, ok := t.view.Proxy(p.Name)
	if !ok || known.Incarnation != p.Incarnation || p.Name == t.self.Name {
		return false
	}
	return t.take(known.WithState(membership.Dead), now)
}

// Recent returns the changes to send along with a heartbeat, the newest
// first.
func (t *Table) Recent(now time.Time) []membership.Proxy {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var all []membership.Proxy
	for i := len(t.recent) - 1; i >= 0 && len(all) < recentLimit; i-- {
		if now.Sub(t.recent[i].at) > recentTime {
			break
		}
		all = append(all, t.recent[i].proxy)
	}
	return all
}

// take puts what is newer into the view. The caller holds the mutex.
func (t *Table) take(p membership.Proxy, now time.Time) bool {
	view, learned := t.view.WithProxy(p)
	if !learned {
		return false
	}
	t.view = view
	t.recent = append(t.recent, change{proxy: p, at: now})
	if len(t.recent) > 2*recentLimit {
		t.recent = append([]change(nil), t.recent[len(t.recent)-recentLimit:]...)
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return true
}

// refute answers a wrong report about this proxy. The caller holds the
// mutex.
func (t *Table) refute(p membership.Proxy, now time.Time) bool {
	if !p.Supersedes(t.self) {
		return false
	}
	t.self = t.self.WithIncarnation(p.Incarnation + 1)
	return t.take(t.self, now)
}
