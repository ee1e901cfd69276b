package topology

import (
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/position"
)

// Status is the status that an endpoint reports of itself.
type Status struct {
	// Primary is true if the endpoint leads its group.
	Primary bool
	// Term is the newest term that the endpoint knows.
	Term uint64
	// Received is the end of the log that the endpoint has received; it need not have
	// applied all of it.
	Received position.Position
	// SuspendedTerm is the term for which the endpoint is suspended: it receives no log of a
	// primary of a lower term. Zero if it is not suspended. The platform's protocol calls
	// it the held term.
	SuspendedTerm uint64
	// Lag is how long after its primary the endpoint applies the log.
	Lag time.Duration
	// Busy is the number of the endpoint's slots in use.
	Busy int
	// Connections is the number of open connections.
	Connections int
}

// SuspendedFor reports whether the endpoint is a replica that receives no log of a
// primary whose term is lower than the given one.
func (s Status) SuspendedFor(term uint64) bool { return !s.Primary && s.SuspendedTerm >= term }
