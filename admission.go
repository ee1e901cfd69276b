package eelgrassladder

import (
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/class"
)

// QueuedRequest is what admission sees of a request that waits for a slot.
type QueuedRequest struct {
	// Caller is the authenticated caller.
	Caller string
	// Class is the class in force when the request arrived.
	Class class.Class
	// Arrived is when the first proxy had the whole request.
	Arrived time.Time
	// Pinned is true inside a transaction that has begun.
	Pinned bool
	// RecentSlots is how many slots the caller has lately held on average.
	RecentSlots float64
}

// MemberLoad is what admission sees of a member.
type MemberLoad struct {
	// Slots is how many statements the member runs at one time.
	Slots int
	// PayingInUse is how many of them paying work holds.
	PayingInUse int
	// FreeInUse is how many of them other work holds.
	FreeInUse int
	// PayingRate is paying requests a second that lately came for the member.
	PayingRate float64
	// ServiceTime is the forecast time of one request at the member.
	ServiceTime time.Duration
	// PayingQueued is how many paying requests wait for the member.
	PayingQueued int
	// Ahead is how many waiting requests would go before a new one.
	Ahead int
}

// Decision says what to do with a request.
type Decision struct {
	// Refuse is true when the request must be told that it was not run.
	Refuse bool
	// RetryAfter is when another try may succeed.
	RetryAfter time.Duration
}

// Admission decides which work goes first and which is refused. It does no
// I/O and keeps no state.
type Admission interface {
	// Before reports whether a goes before b.
	Before(now time.Time, a, b QueuedRequest) bool
	// Admits reports whether w may take a free slot of the member now.
	Admits(w QueuedRequest, l MemberLoad) bool
	// OnArrival judges a request when it arrives.
	OnArrival(now time.Time, w QueuedRequest, l MemberLoad) Decision
	// WhileQueued judges a request that still waits.
	WhileQueued(now time.Time, w QueuedRequest, l MemberLoad) Decision
}
