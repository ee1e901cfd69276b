package eelgrassladder

import (
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/class"
)

// QueuedRequest describes a request that waits for a slot, as admission sees it.
type QueuedRequest struct {
	// Caller is the name of the authenticated caller.
	Caller string
	// Class is the class of the request as it was configured when the request arrived.
	Class class.Class
	// Arrived is when the proxy to which the caller is connected had received the whole
	// request.
	Arrived time.Time
	// Pinned is true for a request inside a transaction that has begun.
	Pinned bool
	// RecentSlots is the recent average number of slots that the caller's requests used.
	RecentSlots float64
}

// MemberLoad describes the load of a member, as admission sees it.
type MemberLoad struct {
	// Slots is how many statements the member runs at one time.
	Slots int
	// PayingInUse is the number of slots that paying work uses.
	PayingInUse int
	// FreeInUse is the number of slots that free work, which is not paying, uses.
	FreeInUse int
	// PayingRate is the recent number of paying requests for the member per second.
	PayingRate float64
	// ServiceTime is the forecast time that the member takes for one request.
	ServiceTime time.Duration
	// PayingQueued is the number of paying requests that wait for the member.
	PayingQueued int
	// Ahead is the number of waiting requests that go before the request.
	Ahead int
}

// Decision says whether to refuse a request. The zero value lets it wait.
type Decision struct {
	// Refuse is true if the request is to be refused; it has not run.
	Refuse bool
	// RetryAfter is how long the caller should wait before it tries again.
	RetryAfter time.Duration
}

// Admission decides which work goes first and which is refused. It does no I/O and
// keeps no state.
type Admission interface {
	// Before reports whether a goes before b.
	Before(now time.Time, a, b QueuedRequest) bool
	// Admits reports whether the request may take an unused slot of the member now.
	Admits(r QueuedRequest, l MemberLoad) bool
	// OnArrival decides about a request when it arrives.
	OnArrival(now time.Time, r QueuedRequest, l MemberLoad) Decision
	// WhileQueued decides about a request that is still waiting.
	WhileQueued(now time.Time, r QueuedRequest, l MemberLoad) Decision
}
