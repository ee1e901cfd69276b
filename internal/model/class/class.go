// Package class holds classes of work and their targets.
package class

import (
	"time"

	"github.com/pkg/errors"
)

// Duration is a duration that is written like "250ms" or "5s" in files.
type Duration time.Duration

// UnmarshalText parses a duration that is not negative.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil || parsed < 0 {
		return errors.Errorf("%q must be a duration such as \"250ms\" or \"5s\"", string(text))
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText returns a text that UnmarshalText parses.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Target is the latency target of a class: the share of requests that must be
// answered within a time.
type Target struct {
	// Share is the part of the requests that must meet the target; above 0 and below 1.
	Share float64
	// Within is the time in which they must be answered; above zero.
	Within Duration
}

// Class is one class of work. It is immutable.
type Class struct {
	// Name is unique in a configuration; never empty.
	Name string
	// Paying classes go before free ones.
	Paying bool
	Target Target
	// Staleness is the greatest age of the data that reads may return; zero requires
	// the newest data.
	Staleness Duration
	// Idempotent is true if a request may safely run twice.
	Idempotent bool
}

// TargetLatency returns Target.Within as a time.Duration.
func (c Class) TargetLatency() time.Duration { return time.Duration(c.Target.Within) }

// MaxStaleness returns Staleness as a time.Duration.
func (c Class) MaxStaleness() time.Duration { return time.Duration(c.Staleness) }

// WithTarget returns the class with another target.
func (c Class) WithTarget(t Target) Class {
	c.Target = t
	return c
}
