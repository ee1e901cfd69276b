package eelgrassladder

import (
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/position"
)

// RoutingRequest describes a request, a read or a write, for routing. Only reads may go
// to replicas.
type RoutingRequest struct {
	// ReplicaAllowed is true if a replica may serve the request.
	ReplicaAllowed bool
	// Paying is true if the request's class is a paying one.
	Paying bool
	// Required is the position that the read must cover.
	Required position.Position
	// Staleness is the greatest age that the data read may have.
	Staleness time.Duration
	// TimeLeft is how long the request may still take to meet its class's target.
	TimeLeft time.Duration
}

// Candidate describes a member at which a request may run, as routing sees it.
type Candidate struct {
	// Primary is true for the primary of the current term.
	Primary bool
	// Usable is false for a member that is unreachable, leaving, or in another term.
	Usable bool
	// Applied is the index of the last log entry that reads at the member can see.
	Applied uint64
	// Age is an upper bound on how old the newest data is that reads at the member can
	// see.
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
	Eligible(r RoutingRequest, candidates []Candidate, index int) bool
}
