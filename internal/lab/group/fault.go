package group

import "time"

// Conditions are the latencies and injected faults of one member. The value is
// immutable; set a changed copy with Member.SetConditions.
type Conditions struct {
	// ServiceTime is how long a statement holds a slot.
	ServiceTime time.Duration
	// ConnectTime is how long it takes to open a connection.
	ConnectTime time.Duration
	// ReceiveDelay is how long log entries take from the primary to this member.
	ReceiveDelay time.Duration
	// ApplyDelay is the time from receiving an entry until reads see it.
	ApplyDelay time.Duration
	// Crashed closes all connections and refuses new ones; the log survives.
	Crashed bool
	// Paused stops all processing without closing connections, as SIGSTOP does.
	Paused bool
	// Isolated disconnects the member from the other members, not from proxies.
	Isolated bool
	// LoseAnswers makes the member run a statement of a caller and close the connection
	// instead of answering. Control connections are not affected.
	LoseAnswers bool
	// LoseControlAnswers makes the member run a Fence, Promote or Follow command and close
	// the connection instead of answering.
	LoseControlAnswers bool
	// Defect makes the member violate a guarantee, to test that the load detects it.
	Defect Defect
}

// WithCrashed returns the conditions with Crashed set to on.
func (c Conditions) WithCrashed(on bool) Conditions { c.Crashed = on; return c }

// WithPaused returns the conditions with Paused set to on.
func (c Conditions) WithPaused(on bool) Conditions { c.Paused = on; return c }

// WithIsolated returns the conditions with Isolated set to on.
func (c Conditions) WithIsolated(on bool) Conditions { c.Isolated = on; return c }

// WithLoseAnswers returns the conditions with LoseAnswers set to on.
func (c Conditions) WithLoseAnswers(on bool) Conditions { c.LoseAnswers = on; return c }

// WithLoseControlAnswers returns the conditions with LoseControlAnswers set to on.
func (c Conditions) WithLoseControlAnswers(on bool) Conditions { c.LoseControlAnswers = on; return c }

// WithDefect returns the conditions with another defect.
func (c Conditions) WithDefect(d Defect) Conditions { c.Defect = d; return c }

// WithApplyDelay returns the conditions with another apply delay.
func (c Conditions) WithApplyDelay(d time.Duration) Conditions { c.ApplyDelay = d; return c }

// WithReceiveDelay returns the conditions with another receive delay.
func (c Conditions) WithReceiveDelay(d time.Duration) Conditions { c.ReceiveDelay = d; return c }

// Defect is a guarantee that a member violates.
type Defect int

// The defects of a member.
const (
	// NoDefect violates no guarantee.
	NoDefect Defect = iota
	// DropCommits acknowledges commits and discards their changes.
	DropCommits
	// DenyCommits makes commits take effect and answers that they were rolled back.
	DenyCommits
	// KeepSettings keeps a caller's settings on a connection after a reset, so that
	// the next caller finds them.
	KeepSettings
	// SwapAnswers answers a query with the result of the query before it.
	SwapAnswers
	// OverstateReceived makes a replica report that it has received entries that it
	// lacks.
	OverstateReceived
)

// overstatedEntries is the number of entries that OverstateReceived adds.
const overstatedEntries = 1 << 20
