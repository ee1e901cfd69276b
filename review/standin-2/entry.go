package main

import (
	"context"
	"syscall"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/lab/address"
)

// crashDelay is how long after the end of the proxies the primary crashes.
const crashDelay = 100 * time.Millisecond

// playEntry has another writer leave an entry without some fields among those of the members.
// Then all proxies are killed and start again, while the primary is lost for good. The rule is
// broken if less than a quarter of the requests is served that are sent later than recovery
// after that.
func playEntry(d *deployment) (bool, error) {
	e, err := newEstate(d, 1, 3)
	if err != nil {
		return false, err
	}
	// No process listens at the address.
	silent, err := address.Reserve(d.tasks.Context(), address.Free)
	if err != nil {
		return false, err
	}
	d.pause(4 * time.Second)
	if d.trouble {
		// The version, the sequence and cold-left-ms are missing.
		entry := map[string]any{
			"service": estateGroup, "address": silent, "zone": "south-a", "slots": 2, "state": "ready", "db-role": "replica",
		}
		e.putJSON("servers/x-1", entry)
		e.note("another writer has put servers/x-1: %v", entry)
	}
	d.pause(countTime + 2*time.Second)
	before := e.servedShare(time.Now().Add(-countTime), time.Now())
	d.note("served in the %v before the fault: %.2f; primary: %v", countTime, before, e.primaryID())
	for _, p := range e.proxies {
		p.signal(syscall.SIGKILL)
	}
	d.pause(crashDelay)
	e.lose(e.primaryID())
	for _, p := range e.proxies {
		if err := p.awaitReady(d); err != nil {
			return false, err
		}
	}
	d.note("all proxies are back")
	d.pause(recovery)
	counted := time.Now()
	d.pause(countTime)
	after := e.servedShare(counted, time.Now().Add(-deadline))
	d.note("served of the requests that were sent later than %v after that: %.2f; primary: %v", recovery, after, e.primaryID())
	d.note("members: %v", e.group)
	return before >= minServed && after < minServed, nil
}

// lose ends a member for good. The platform removes its entry after three heartbeats.
func (e *estate) lose(id string) {
	e.mutex.Lock()
	lost := e.listed[id]
	delete(e.listed, id)
	e.mutex.Unlock()
	lost.Terminate()
	e.note("%s has crashed for good", id)
	e.tasks.GoIsolated("removal of an entry", func(context.Context) {
		e.pause(3 * heartbeat)
		e.store.remove("servers/" + id)
		e.note("the platform has removed the entry of %s", id)
	})
}
