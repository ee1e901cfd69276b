// Package load offers the work of many callers to a site, open loop, checks
// every answer, and reports what the callers were given.
package load

import (
	"time"

	"eelgrassladder.example/eelgrassladder/internal/lab/workload"
)

// Plan says what to offer. It is immutable.
type Plan struct {
	// Workload gives the mix of streams.
	Workload workload.Workload
	// Seconds is how long requests start.
	Seconds float64
	// Seed fixes the arrivals and what they do.
	Seed uint64
	// PayingRate and FreeRate are requests a second over all groups.
	PayingRate float64
	FreeRate   float64
	// Sessions is how many sessions work in each group.
	Sessions int
	// Named is the part of the sessions that carry a name and no token.
	Named float64
	// Probe names a group that is written to every few milliseconds, to
	// measure gaps; empty for none.
	Probe string
	// Drop leaves tokens out, to show that stale reads are seen.
	Drop bool
}

// The times of the load.
const (
	// probePeriod is the time between the probe's writes.
	probePeriod = 40 * time.Millisecond
	// requestTimeout bounds one request.
	requestTimeout = 15 * time.Second
	// maxOutstanding bounds the requests that run at one time.
	maxOutstanding = 1200
)

// The tables that the load works on, made in every group.
var tables = []string{
	"CREATE TABLE IF NOT EXISTS deposits (id bigserial, request text, amount bigint)",
	"CREATE TABLE IF NOT EXISTS legs (id bigserial, request text, leg bigint)",
	"CREATE TABLE IF NOT EXISTS sketches (id bigint, version bigint, label text)",
}
