package eelgrassladder

import (
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/position"
)

// ReadRequest is what routing sees of a request.
type ReadRequest struct {
	// ReplicaAllowed is true when a replica may be tried.
	ReplicaAllowed bool
	// Paying is true for paying work.
	Paying bool
	// Required is the position that the read must cover.
	Required position.Position
	// Staleness is the age that the read may have.
	Staleness time.Duration
	// TimeLeft is the time left to the target.
	TimeLeft time.Duration
}

// Candidate is what routing sees of a member.
type Candidate struct {
	// Primary is true for the primary of the term in force.
	Primary bool
	// Usable is false for a member that is unreachable, leaving, or in
	// another term.
	Usable bool
	// Applied is the last log place visible to reads.
	Applied uint64
	// Age is how old its newest visible data may be.
	Age time.Duration
	// Delay is the forecast time until a request could start there.
	Delay time.Duration
	// Lag is the forecast time until it has applied what is written now.
	Lag time.Duration
}

// Router decides at which members a request may run. It does no I/O and
// keeps no state.
type Router interface {
	// Eligible reports whether the request may run at places[at] now.
	Eligible(r ReadRequest, places []Candidate, at int) bool
}
