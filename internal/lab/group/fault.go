package group

import "time"

// Conditions are the adjustable properties and faults of one member. The
// value is immutable; set a changed copy with Member.Set.
type Conditions struct {
	// Service is how long a statement holds a slot.
	ServiceTime time.Duration
	// Connect is how long a new connection takes.
	ConnectTime time.Duration
	// Receive is how long log entries take from the primary to this member.
	ReceiveDelay time.Duration
	// Apply is how long a received entry waits until reads see it.
	ApplyDelay time.Duration
	// Crashed refuses and cuts all connections; the log survives.
	Crashed bool
	// Paused stops all processing, as of a process that was stopped.
	Paused bool
	// Isolated cuts the member off from its peers, not from the proxies.
	Isolated bool
	// LoseAnswers cuts the connection after a commit has taken effect.
	LoseAnswers bool
	// LoseCommands cuts the connection after a fence, a promotion or an order
	// to follow has taken effect.
	LoseCommands bool
	// Broken makes the member break a promise, to show that the checkers of
	// the load see it.
	Defect Defect
}

// WithCrashed returns the conditions with a crash or its end.
func (c Conditions) WithCrashed(on bool) Conditions { c.Crashed = on; return c }

// WithPaused returns the conditions with a pause or its end.
func (c Conditions) WithPaused(on bool) Conditions { c.Paused = on; return c }

// WithIsolated returns the conditions with a partition from the peers.
func (c Conditions) WithIsolated(on bool) Conditions { c.Isolated = on; return c }

// WithLoseAnswers returns the conditions with answers lost after the effect.
func (c Conditions) WithLoseAnswers(on bool) Conditions { c.LoseAnswers = on; return c }

// WithLoseCommands returns the conditions with answers to commands lost.
func (c Conditions) WithLoseCommands(on bool) Conditions { c.LoseCommands = on; return c }

// WithBroken returns the conditions with a promise that is broken.
func (c Conditions) WithDefect(d Defect) Conditions { c.Defect = d; return c }

// WithApply returns the conditions with another apply delay.
func (c Conditions) WithApplyDelay(d time.Duration) Conditions { c.ApplyDelay = d; return c }

// WithReceive returns the conditions with another receive delay.
func (c Conditions) WithReceiveDelay(d time.Duration) Conditions { c.ReceiveDelay = d; return c }

// Broken is a promise that a member breaks.
type Defect int

// The promises that a member can break.
const (
	// Sound breaks none.
	NoDefect Defect = iota
	// DropCommits confirms commits and forgets their changes.
	DropCommits
	// DenyCommits makes commits take effect and says that they were rolled
	// back.
	DenyCommits
	// KeepSettings leaves a caller's settings for the next one.
	KeepSettings
	// SwapAnswers answers a query with the rows of the one before.
	SwapAnswers
	// OverstateReceived makes a replica claim log places that it lacks.
	OverstateReceived
)

// overstatedEntries is by how much OverstateReceived exceeds the truth.
const overstatedEntries = 1 << 20
