// Package class holds classes of work and the targets that operators state
// for them.
package class

import (
	"time"

	"github.com/pkg/errors"
)

// Duration is a length of time, written like "250ms" or "5s" in files.
type Duration time.Duration

// UnmarshalText reads a duration that is not negative.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil || parsed < 0 {
		return errors.Errorf("%q must be a duration such as \"250ms\" or \"5s\"", string(text))
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText writes the duration as UnmarshalText reads it.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Target is how quickly a class must be served.
type Target struct {
	// Share of the requests must be served in time; above 0 and below 1.
	Share float64
	// Within is the time that counts as in time; above zero.
	Within Duration
}

// Class is one class of work. It is immutable.
type Class struct {
	// Name is unique in a configuration; never empty.
	Name string
	// Paying work goes before work that is not paying.
	Paying bool
	// Target is what the class is promised.
	Target Target
	// Staleness is the age that its reads may have; zero asks for the newest.
	Staleness Duration
	// Idempotent is true when running a request twice does no harm.
	Idempotent bool
}

// TargetLatency returns the time of the target.
func (c Class) TargetLatency() time.Duration { return time.Duration(c.Target.Within) }

// MaxStaleness returns the age that reads of the class may have.
func (c Class) MaxStaleness() time.Duration { return time.Duration(c.Staleness) }

// WithTarget returns the class with another target.
func (c Class) WithTarget(t Target) Class {
	c.Target = t
	return c
}
