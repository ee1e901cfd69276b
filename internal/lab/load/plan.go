// Package load generates an open-loop load of many callers on a cluster, checks every
// answer for violated guarantees, and reports latencies, outcomes and violations.
package load

import (
	"time"

	"eelgrassladder.example/eelgrassladder/internal/lab/workload"
)

// Plan describes a load. It is immutable.
type Plan struct {
	// Workload gives the mix of requests and the credentials of callers.
	Workload workload.Workload
	// Seconds is the time during which requests start.
	Seconds float64
	// Seed determines the arrivals and the requests.
	Seed uint64
	// PayingRate and FreeRate are requests a second over all groups.
	PayingRate float64
	FreeRate   float64
	// Sessions is the number of sessions in each group.
	Sessions int
	// NamedShare is the share of sessions, from 0 to 1, that have a name and carry no
	// token.
	NamedShare float64
	// ProbeGroup names a group that gets an additional write every probePeriod, to
	// measure failover gaps; empty for none.
	ProbeGroup string
	// DropTokens leaves out the sessions' tokens, to test that stale reads are detected.
	DropTokens bool
}

// The period of probes, and the limits of requests.
const (
	// probePeriod is the time between the probe's writes.
	probePeriod = 40 * time.Millisecond
	// requestTimeout bounds one request.
	requestTimeout = 15 * time.Second
	// maxOutstanding bounds the requests in progress.
	maxOutstanding = 1200
)

// tableStatements create the tables of the load. A transfer writes two legs besides its
// deposit; each session has a row of its own in sketches, called its sketch.
var tableStatements = []string{
	"CREATE TABLE IF NOT EXISTS deposits (id bigserial, request text, amount bigint)",
	"CREATE TABLE IF NOT EXISTS legs (id bigserial, request text, leg bigint)",
	"CREATE TABLE IF NOT EXISTS sketches (id bigint, version bigint, label text)",
}
