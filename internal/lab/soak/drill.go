package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/lab/keyvalue"
)

// drillName is the name of the fault in which the store comes back from an older copy.
const drillName = "Drill"

// DrillFaults returns the names of the faults of a run in which the platform's store comes back from
// older copies, with changes of primary, kills, standstills and cuts around it.
func DrillFaults() []string {
	return strings.Fields("Drill Drill Drill Primary Primary Crash Answer Process Process Restart Cut StoreCut Stop RollingRestart")
}

// drillFault makes a copy of the store, and has the store come back from it when the fault ends.
func (r *runner) drillFault(random *rand.Rand) fault {
	age := time.Duration(500+random.IntN(5500)) * time.Millisecond
	away := time.Duration(100+random.IntN(1400)) * time.Millisecond
	var older keyvalue.Copy
	drill := r.disruptingStore(fault{begin: func() { r.testbed.Drill(older, away) }, end: func() {}})
	return fault{
		name: fmt.Sprintf("store comes back from a copy that is %v old, after %v", age, away), duration: age,
		begin: func() { older = r.testbed.Store.Copy() },
		end: func() {
			drill.begin()
			drill.end()
		},
	}
}
