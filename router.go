package eelgrassladder

import (
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/position"
)

// ReadRequest describes a request to be routed; only reads may go to replicas.
type ReadRequest struct {
	// ReplicaAllowed is true if a replica may serve the request.
	ReplicaAllowed bool
	// Paying is true for paying work.
	Paying bool
	// Required is the position that the read must cover.
	Required position.Position
	// Staleness is the greatest age that the data read may have.
	Staleness time.Duration
	// TimeLeft is the time left to the target.
	TimeLeft time.Duration
}

// Candidate describes a member at which a request may run, as routing sees it.
type Candidate struct {
	// Primary is true for the primary of the current term.
	Primary bool
	// Usable is false for a member that is unreachable, leaving, or in another term.
	Usable bool
	// Applied is the end of the member's log that reads there can see.
	Applied uint64
	// Age is the greatest possible age of the newest data that reads there can see.
	Age time.Duration
	// Delay is the forecast time until a request could start there.
	Delay time.Duration
	// Lag is the forecast time until the member has applied a commit that is made now.
	Lag time.Duration
}

// Router decides at which members a request may run. It does no I/O and keeps no
// state.
type Router interface {
	// Eligible reports whether the request may run at candidates[index] now.
	Eligible(r ReadRequest, candidates []Candidate, index int) bool
}
