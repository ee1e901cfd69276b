package main

import (
	"slices"
	"time"
)

// awayTime is how long the store is away.
const awayTime = time.Second

// playRestore replaces the members of a group one after the other. Between two of them the store
// comes back from an older copy. The rule is broken if less than a quarter of the requests is
// served that are sent later than recovery after the last replacement.
func playRestore(d *deployment) (bool, error) {
	e, err := newEstate(d)
	if err != nil {
		return false, err
	}
	d.pause(5 * time.Second)
	older := e.store.copyContents()
	if err := e.replace("i-2", "i-4"); err != nil {
		return false, err
	}
	drill := time.Now()
	before := e.servedShare(drill.Add(-countTime), drill)
	d.note("served in the %v before the drill: %.2f", countTime, before)
	if d.trouble {
		e.drill(older)
	}
	d.pause(drainBound)
	if err := e.replace("i-1", "i-5"); err != nil {
		return false, err
	}
	d.pause(drainBound + time.Second)
	d.note("the replacement of the primary has ended; primary: %v", e.primaryID())
	d.pause(recovery)
	counted := time.Now()
	d.pause(countTime)
	after := e.servedShare(counted, time.Now().Add(-deadline))
	d.note("served of the requests that were sent later than %v after that: %.2f; primary: %v", recovery, after, e.primaryID())
	d.note("members: %v", e.group)
	return before >= minServed && after < minServed, nil
}

// drill has the store be away and come back from an older copy. Then the operator and the members
// write again.
func (e *estate) drill(older contents) {
	now := e.store.copyContents()
	e.note("the store goes away at revision %d", now.revision)
	for _, key := range changedKeys(older, now) {
		e.note("the copy lacks the last change of %s", key)
	}
	e.store.leave()
	e.pause(awayTime)
	e.store.comeBack(older)
	e.note("the store is back at revision %d, from a copy", older.revision)
	e.writeConfiguration()
	e.reportAll()
}

// changedKeys returns the keys of the system that were written after a copy was made.
func changedKeys(older, now contents) []string {
	var keys []string
	for key, i := range now.items {
		if before, ok := older.items[key]; !ok || before.Revision != i.Revision {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}
