package eelgrassladder

import (
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/class"
)

// QueuedRequest describes a request that waits for a slot, as admission sees it.
type QueuedRequest struct {
	// Caller is the name of the authenticated caller.
	Caller string
	// Class is the class that was in force when the request arrived.
	Class class.Class
	// Arrived is when the first proxy had received the whole request.
	Arrived time.Time
	// Pinned is true for a request inside a transaction that has begun.
	Pinned bool
	// RecentSlots is the average number of slots that the caller held lately.
	RecentSlots float64
}

// MemberLoad describes the load of a member, as admission sees it.
type MemberLoad struct {
	// Slots is how many statements the member runs at one time.
	Slots int
	// PayingInUse is the number of slots in use by paying work.
	PayingInUse int
	// FreeInUse is the number of slots in use by work that is not paying.
	FreeInUse int
	// PayingRate is the recent rate of paying requests for the member, per second.
	PayingRate float64
	// ServiceTime is the forecast time that the member takes for one request.
	ServiceTime time.Duration
	// PayingQueued is the number of paying requests that wait for the member.
	PayingQueued int
	// Ahead is the number of waiting requests that would go before a new one.
	Ahead int
}

// Decision says what to do with a request. The zero value lets it wait.
type Decision struct {
	// Refuse is true if the request is refused without having run.
	Refuse bool
	// RetryAfter is how long the caller should wait before it tries again.
	RetryAfter time.Duration
}

// Admission decides which work goes first and which is refused. It does no I/O and
// keeps no state.
type Admission interface {
	// Before reports whether a goes before b.
	Before(now time.Time, a, b QueuedRequest) bool
	// Admits reports whether the request may take a free slot of the member now.
	Admits(r QueuedRequest, l MemberLoad) bool
	// OnArrival decides about a request when it arrives.
	OnArrival(now time.Time, r QueuedRequest, l MemberLoad) Decision
	// WhileQueued decides about a request that is still waiting.
	WhileQueued(now time.Time, r QueuedRequest, l MemberLoad) Decision
}
