package testbed

import (
	"time"

	"eelgrassladder.example/eelgrassladder/internal/lab/keyvalue"
)

// rewriteInterval is the pause between two entries that the operator and the members write again
// after a drill.
const rewriteInterval = 20 * time.Millisecond

// Drill makes the platform's store go away for a time, and come back from an older copy in a new
// era. Then the operator and the members write their entries again, one by one.
func (t *Testbed) Drill(older keyvalue.Copy, away time.Duration) {
	t.Store.SetConditions(keyvalue.Conditions{Down: true})
	time.Sleep(away)
	written := t.Store.Entries(configurationKey, endpointPrefix)
	t.Store.Restore(older)
	t.Store.SetConditions(keyvalue.Conditions{})
	kept := map[string]bool{}
	for _, e := range written {
		kept[e.Key] = true
		time.Sleep(rewriteInterval)
		t.Store.Put(e.Key, e.Value)
	}
	for _, e := range t.Store.Entries(endpointPrefix) {
		if !kept[e.Key] {
			t.Store.Delete(e.Key) // the entry of a member that has left since the copy was made
		}
	}
}
