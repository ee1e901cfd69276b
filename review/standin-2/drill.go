package main

import (
	"slices"
	"time"
)

// awayTime is how long the store is away.
const awayTime = time.Second

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
