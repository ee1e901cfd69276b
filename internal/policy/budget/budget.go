// Package budget decides who may hold memory for clients: which request for memory is
// granted, waits or is refused, and which clients are closed first. It does no I/O.
package budget

import (
	"cmp"
	"slices"
	"time"
)

const (
	// Free is how many bytes each client may hold without a charge. The connection itself is
	// counted as that much. Ordinary clients stay below: messages of 1,200 bytes and answers
	// of 3,000 are counted twice, because each is copied once.
	Free = 12 << 10
	// Small is the highest charge that may use the reserve.
	Small = 32 << 10
	// pageBytes is the unit of charges, so that small changes need no new charge.
	pageBytes = 4 << 10
	// kernelBytes is what the kernel may hold for one client that is not read from.
	kernelBytes = 64 << 10
	// minSession is the least that one session may hold: one value of the longest message,
	// counted twice.
	minSession = 2<<20 + 64<<10
	// minHoldTime is how long a client may hold memory before it can be closed for others. A
	// message of 1 MiB needs less at 10 Mbit/s.
	minHoldTime = time.Second
	// maxWait is how long a request for memory waits at most.
	maxWait = 3 * time.Second
)

// Limits are the limits that follow from the memory of a process. They are immutable.
type Limits struct {
	// Connections is the highest number of clients.
	Connections int
	// Shared is the sum of all charges that may not be exceeded, and Reserve the part of it
	// that only charges up to Small may use.
	Shared, Reserve int64
	// Session is the highest number of bytes that one session may hold.
	Session int
	// Waiting is the highest number of clients that wait for memory, because what they send
	// fills the kernel's buffers meanwhile.
	Waiting int
}

// NewLimits returns the limits for a process that may use a number of bytes. A quarter is for
// connections, a fifth for what clients hold above Free. The rest is for the process itself
// and for garbage that was not collected yet.
func NewLimits(memory int64) Limits { return newLimits(memory, memory/5) }

// WithShared returns limits under which clients may hold another number of bytes above Free.
func (l Limits) WithShared(shared int64) Limits {
	connections := l.Connections
	l = newLimits(0, shared)
	l.Connections = connections
	return l
}

// newLimits returns the limits for a process that may use a number of bytes, shared of them
// for what clients hold above Free.
func newLimits(memory, shared int64) Limits {
	return Limits{
		Connections: int(memory / 4 / Free), Shared: shared, Reserve: shared / 4,
		Session: int(max(shared/8, minSession)), Waiting: int(shared / kernelBytes),
	}
}

// NewPeerLimits returns the limits for what other proxies hold in a process that may use a
// number of bytes. They are apart from those for clients, so that clients can't stop the
// exchange between proxies.
func NewPeerLimits(memory int64) Limits { return NewLimits(memory / 4) }

// Charge returns the charge for a number of bytes that a client holds.
func (l Limits) Charge(held int64) int64 {
	if held <= Free {
		return 0
	}
	return (held + pageBytes - 1) / pageBytes * pageBytes
}

// Verdict is the decision about a request for memory.
type Verdict int

// The verdicts.
const (
	// Grant grants the request.
	Grant Verdict = iota
	// Wait lets the request wait.
	Wait
	// Refuse refuses the request.
	Refuse
)

// Request is a request for a higher charge.
type Request struct {
	// Charged is the present charge of the client, and Wanted the higher one.
	Charged, Wanted int64
	// Waited is how long the request has waited.
	Waited time.Duration
}

// Decide decides about a request while the sum of all charges is used, and a number of other
// requests wait.
func (l Limits) Decide(used int64, waiting int, r Request) Verdict {
	available := l.Shared
	if r.Wanted > Small {
		available -= l.Reserve
	}
	switch {
	case used-r.Charged+r.Wanted <= available:
		return Grant
	case r.Wanted > available || r.Waited >= maxWait || waiting >= l.Waiting:
		return Refuse
	default:
		return Wait
	}
}

// Holder is a client with a charge.
type Holder struct {
	Charged int64
	// Unchanged is how long ago the charge has changed.
	Unchanged time.Duration
	// Displaced is true if the client is being closed. Its charge will be released.
	Displaced bool
}

// Displace returns the indices of the clients that are to be closed so that a request fits:
// those first that hold most for the longest time. It returns none if the clients that have
// held theirs for long enough do not suffice, or if the request fits as soon as those that are
// being closed are gone.
func (l Limits) Displace(holders []Holder, used int64, r Request) []int {
	available := l.Shared
	if r.Wanted > Small {
		available -= l.Reserve
	}
	missing := used - r.Charged + r.Wanted - available
	var candidates []int
	for i, h := range holders {
		if h.Displaced {
			missing -= h.Charged
		} else if h.Unchanged >= minHoldTime {
			candidates = append(candidates, i)
		}
	}
	weight := func(i int) float64 { return float64(holders[i].Charged) * holders[i].Unchanged.Seconds() }
	slices.SortStableFunc(candidates, func(a, b int) int { return cmp.Compare(weight(b), weight(a)) })
	for n, i := range candidates {
		if missing <= 0 {
			return candidates[:n]
		}
		missing -= holders[i].Charged
	}
	if missing <= 0 {
		return candidates
	}
	return nil
}

// MessageBytes returns what is to be held for a message of which a buffer with a capacity is
// being filled. A large message is counted as the longest one from its start, so that
// messages that have all begun never wait for one another; each byte counts twice, because
// a message is copied once.
func MessageBytes(capacity, longest int) int {
	if capacity*2 <= Small {
		return capacity * 2
	}
	return longest * 2
}
