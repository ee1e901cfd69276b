package topology

import (
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/position"
)

// Status is what an endpoint says of itself.
type Status struct {
	// Primary is true for an endpoint that leads.
	Primary bool
	// Term is the newest term that it knows.
	Term uint64
	// Received is the end of the log that it has received, applied or not.
	Received position.Position
	// Suspended is the term that it was suspended for; zero for none. The
	// protocol calls it the term held.
	Suspended uint64
	// Lag is how late it applies the log.
	Lag time.Duration
	// Busy is how many slots are taken.
	Busy int
	// Connections is how many connections are open.
	Connections int
}

// SuspendedFor reports whether the endpoint is a replica that receives nothing more
// before the term.
func (s Status) SuspendedFor(term uint64) bool { return !s.Primary && s.Suspended >= term }
