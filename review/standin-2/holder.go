package main

import (
	"syscall"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/lab/member"
)

const (
	// darkTime is how long the primary is dark, and downTime how long the store is down.
	darkTime = 7 * time.Second
	downTime = 4500 * time.Millisecond
	// storeDelay is how long after the order to promote a member the store goes down: half of
	// the time that a promotion takes. killDelay is how long after that the process is killed
	// which sent the order.
	storeDelay = 300 * time.Millisecond
	killDelay  = 2100 * time.Millisecond
)

// playHolder has the primary go dark, and takes the store away while the primary is being replaced.
// Meanwhile it kills the process that ordered the promotion. The rule is broken if less than a
// quarter of the requests is served that are sent later than recovery after that.
func playHolder(d *deployment) (bool, error) {
	e, err := newEstate(d, 1, 3)
	if err != nil {
		return false, err
	}
	d.pause(8 * time.Second)
	before := e.servedShare(time.Now().Add(-countTime), time.Now())
	old := e.group.Primary()
	d.note("served in the %v before the disruptions: %.2f; primary: %s", countTime, before, old.ID)
	if d.trouble {
		e.disrupt(old)
	}
	for _, p := range e.proxies {
		if err := p.awaitReady(d); err != nil {
			return false, err
		}
	}
	d.note("all proxies and the store are back; members: %v", e.group)
	d.pause(recovery)
	for range 4 {
		counted := time.Now()
		d.pause(countTime)
		after := e.servedShare(counted, time.Now().Add(-deadline))
		d.note("served of the requests of the last %v, later than %v after that: %.2f; primary: %v", countTime, recovery, after, e.primaryID())
		if after >= minServed {
			return false, nil
		}
	}
	d.note("members: %v", e.group)
	value, revision := e.store.value("eelgrassladder/primaries/" + estateGroup)
	d.note("the record of the group, at revision %d: %s", revision, value)
	return before >= minServed, nil
}

// disrupt brings the disruptions about, and returns when the last one has ended.
func (e *estate) disrupt(old *member.Member) {
	old.SetFault(member.Fault{Unresponsive: true, Isolated: true})
	dark := time.Now()
	e.note("%s has gone dark", old.ID)
	for e.lastHolder() == "" && time.Since(dark) < darkTime {
		e.pause(5 * time.Millisecond)
	}
	e.pause(storeDelay)
	e.store.leave()
	e.note("the store is down")
	e.pause(killDelay)
	holder := e.lastHolder()
	for _, p := range e.proxies {
		if p.settings.Name == holder {
			p.signal(syscall.SIGKILL)
			e.note("%s, which ordered the promotion, is killed", holder)
		}
	}
	e.pause(downTime - killDelay)
	e.store.resume()
	e.note("the store is back, with all that it had")
	e.pause(darkTime - time.Since(dark))
	old.SetFault(member.Fault{})
	e.note("%s is back, with its log", old.ID)
}

// lastHolder returns the name of the proxy that sent the last order; empty for none.
func (e *estate) lastHolder() string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if len(e.orders) == 0 {
		return ""
	}
	return e.orders[len(e.orders)-1].Holder
}
