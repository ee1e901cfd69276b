// Package proxies is the table of the system's proxies as this proxy knows
// them.
package proxies

import (
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/membership"
	"eelgrassladder.example/eelgrassladder/internal/table/lockrank"
)

// spreadTime is how long after this proxy has learned a change it sends the
// change with each heartbeat.
const spreadTime = 5 * time.Second

// maxRecentChanges is the maximum number of changes sent with a heartbeat.
const maxRecentChanges = 24

// change is a change of a proxy that this proxy has recently learned.
type change struct {
	proxy membership.Proxy
	at    time.Time
}

// Table holds this proxy's view of all proxies. The rank of its mutex is
// lockrank.Proxies.
type Table struct {
	mutex *lockrank.Mutex
	// self is this proxy. Its state and incarnation are set only here, not by
	// reports of other proxies.
	self membership.Proxy
	view membership.View
	// recentChanges holds the latest changes, also some that are older than
	// spreadTime, the newest last.
	recentChanges []change
	// changed is closed and replaced when a newer state of a proxy is learned,
	// but not when ApplyHostList adds or removes dead proxies.
	changed chan struct{}
}

// New returns a table that knows only this proxy.
func New(self membership.Proxy) *Table {
	t := &Table{mutex: lockrank.New(lockrank.Proxies), self: self, changed: make(chan struct{})}
	t.view, _ = t.view.WithProxy(self)
	return t
}

// Self returns this proxy.
func (t *Table) Self() membership.Proxy {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.self
}

// View returns the view, and a channel that is closed when a newer state of a
// proxy is learned. Changes by ApplyHostList alone do not close it.
func (t *Table) View() (membership.View, <-chan struct{}) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.view, t.changed
}

// Merge merges what another proxy knows into the view, and reports whether the
// view has changed. A wrong report that this proxy is dead or leaving is refuted
// by raising its incarnation. Unknown proxies that are dead are not added.
func (t *Table) Merge(proxies []membership.Proxy, now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	changed := false
	for _, p := range proxies {
		if p.Name == t.self.Name {
			changed = t.refute(p, now) || changed
			continue
		}
		if _, known := t.view.Proxy(p.Name); !known && p.State == membership.Dead {
			continue
		}
		changed = t.applyIfNewer(p, now) || changed
	}
	return changed
}

// ApplyHostList applies the proxies of the platform's host list. A proxy that
// is not known yet is added as dead in incarnation zero: it is sent heartbeats,
// and owns no groups until it answers. Dead proxies that are not listed any more
// are removed once their latest change is no longer sent.
func (t *Table) ApplyHostList(proxies []membership.Proxy, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	listed := map[string]bool{}
	for _, p := range proxies {
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

// isRecent reports whether a change of the proxy was learned within spreadTime.
// The caller holds the mutex.
func (t *Table) isRecent(name string, now time.Time) bool {
	for _, c := range t.recentChanges {
		if c.proxy.Name == name && now.Sub(c.at) <= spreadTime {
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
	t.applyIfNewer(t.self, now)
}

// MarkDead marks the proxy p as dead, unless the table knows another incarnation
// of it or p is this proxy, and reports whether it did.
func (t *Table) MarkDead(p membership.Proxy, now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known, ok := t.view.Proxy(p.Name)
	if !ok || known.Incarnation != p.Incarnation || p.Name == t.self.Name {
		return false
	}
	return t.applyIfNewer(known.WithState(membership.Dead), now)
}

// Recent returns the changes to send with a heartbeat, the newest first.
func (t *Table) Recent(now time.Time) []membership.Proxy {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var proxies []membership.Proxy
	for i := len(t.recentChanges) - 1; i >= 0 && len(proxies) < maxRecentChanges; i-- {
		if now.Sub(t.recentChanges[i].at) > spreadTime {
			break
		}
		proxies = append(proxies, t.recentChanges[i].proxy)
	}
	return proxies
}

// applyIfNewer stores p in the view if it supersedes what the view holds, and
// reports whether it did. The caller holds the mutex.
func (t *Table) applyIfNewer(p membership.Proxy, now time.Time) bool {
	view, newer := t.view.WithProxy(p)
	if !newer {
		return false
	}
	t.view = view
	t.recentChanges = append(t.recentChanges, change{proxy: p, at: now})
	if len(t.recentChanges) > 2*maxRecentChanges {
		t.recentChanges = append([]change(nil), t.recentChanges[len(t.recentChanges)-maxRecentChanges:]...)
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return true
}

// refute raises the incarnation of this proxy if p, a report about it by another
// proxy, supersedes its own state, and reports whether it did. The caller holds
// the mutex.
func (t *Table) refute(p membership.Proxy, now time.Time) bool {
	if !p.Supersedes(t.self) {
		return false
	}
	t.self = t.self.WithIncarnation(p.Incarnation + 1)
	return t.applyIfNewer(t.self, now)
}
