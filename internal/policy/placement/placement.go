// Package placement decides which endpoint of a group runs a statement.
package placement

import (
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/leader"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/route"
)

const (
	// remotePenalty is the service time that an endpoint in another data
	// centre must save to be preferred. Traffic between data centres is
	// expensive.
	remotePenalty = 30 * time.Millisecond
	// primaryPenalty keeps reads that a replica can serve away from the
	// primary, whose slots are needed for writes.
	primaryPenalty = 45 * time.Millisecond
	// openPenalty is the time that opening a connection takes. It also keeps a
	// proxy's reads on the replicas that it is connected to: an endpoint
	// accepts too few connections for all proxies, and after a power loss the
	// connections of the failed proxies remain open for seconds.
	openPenalty = 12 * time.Millisecond
	// stalenessMargin is subtracted from a staleness bound. It covers the time
	// between the choice of an endpoint and the first byte that the endpoint
	// reads.
	stalenessMargin = 120 * time.Millisecond
	// MaxSendDelay is how long after the choice of an endpoint a read may be
	// sent. What a read must see is determined when the endpoint receives it.
	MaxSendDelay = stalenessMargin / 2
)

// Need describes what a statement or transaction requires of its endpoint. It
// is immutable.
type Need struct {
	Group string
	// Write is true for work that only the primary can run.
	Write bool
	// Reads is true for a write that reads as well, such as a transaction.
	Reads bool
	// Consistency is the consistency level of reads.
	Consistency route.Consistency
	// Staleness is the maximum age of the data for reads whose Consistency is
	// not Primary.
	Staleness time.Duration
	// Required is a position that reads must cover in addition; may be zero.
	Required position.Position
	// Avoid is the ID of an endpoint that has just failed to serve the
	// statement. It is chosen only if no other endpoint can serve. May be
	// empty.
	Avoid string
}

// EndpointSnapshot is a snapshot of an endpoint. It is immutable.
type EndpointSnapshot struct {
	// ID is the endpoint's ID.
	ID string
	// Usable is false for an endpoint that is leaving or has failed.
	Usable bool
	// Local is true for an endpoint in the proxy's own data centre.
	Local bool
	// Free is true if a connection is idle or may be opened, and the endpoint
	// may take another statement of this proxy.
	Free bool
	// Connected is true if a connection is idle.
	Connected bool
	// Slots is how many statements the endpoint runs at a time; at least one.
	Slots int
	// Running is how many statements of this proxy the endpoint runs.
	Running int
	// Service is the forecast service time of a statement.
	ServiceTime time.Duration
	// Behind is a position that the endpoint recently lacked; zero for none.
	Lacked position.Position
	// Stalled is true for a primary that acknowledges no writes and has a
	// pending write of this proxy. More writes would only occupy its slots.
	Stalled bool
}

// Choice is the result of Choose.
type Choice struct {
	// Index is the index of the chosen endpoint, or -1 if the statement must
	// wait.
	Index int
	// After is the position that the endpoint's log must hold; zero if it
	// surely does.
	After position.Position
	// AwaitsProof is true if the statement waits only for a proof that the
	// primary is the only one, or for a position of the primary.
	AwaitsProof bool
}

// noChoice means that the statement must wait.
var noChoice = Choice{Index: -1}

// Choose decides where a statement runs now. Now and the times of l are times
// since boot.
func Choose(n Need, l leader.State, endpoints []EndpointSnapshot, now time.Duration) Choice {
	if n.Write || n.Consistency == route.Primary {
		return choosePrimary(n, l, endpoints, now)
	}
	return chooseCheapest(n, l, endpoints, now)
}

// requiredTime returns the time up to which a read must see all acknowledged
// commits.
func requiredTime(n Need, now time.Duration) time.Duration {
	if n.Consistency == route.Primary {
		return now
	}
	return now - n.Staleness + stalenessMargin
}

// NeedsProof reports whether the primary must be proven to be the only one. A
// write that reads nothing needs no proof: a former primary cannot acknowledge
// it.
func (n Need) NeedsProof() bool { return !n.Write || n.Reads }

// choosePrimary chooses the primary if it can run the statement.
func choosePrimary(n Need, l leader.State, endpoints []EndpointSnapshot, now time.Duration) Choice {
	if !l.Open() {
		return noChoice
	}
	if n.NeedsProof() && !l.ProvenAt(requiredTime(n, now)) {
		return Choice{Index: -1, AwaitsProof: true}
	}
	for i, e := range endpoints {
		if e.ID == l.Endpoint && e.Usable && e.Free && !(n.Write && e.Stalled) {
			return Choice{Index: i}
		}
	}
	return noChoice
}

// chooseCheapest chooses the endpoint with the lowest cost.
func chooseCheapest(n Need, l leader.State, endpoints []EndpointSnapshot, now time.Duration) Choice {
	bound, known := l.PositionCovering(requiredTime(n, now))
	minPosition := bound.Later(n.Required)
	current := l.Open() && l.ProvenAt(requiredTime(n, now))
	best, lowest := noChoice, time.Duration(0)
	best.AwaitsProof = !known && !current
	for i, e := range endpoints {
		isPrimary := current && e.ID == l.Endpoint
		if !e.Usable || !e.Free || (!isPrimary && (!known || lacks(e, minPosition))) {
			continue
		}
		price := cost(n, e, isPrimary)
		if best.Index >= 0 && price >= lowest {
			continue
		}
		best, lowest = Choice{Index: i, After: minPosition}, price
		if isPrimary {
			best.After = position.Position{}
		}
	}
	return best
}

// lacks reports whether the endpoint recently lacked the position.
func lacks(e EndpointSnapshot, minPosition position.Position) bool {
	return !e.Lacked.IsZero() && minPosition.Covers(e.Lacked)
}

// cost returns the forecast response time at an endpoint plus penalties.
func cost(n Need, e EndpointSnapshot, isPrimary bool) time.Duration {
	c := e.ServiceTime * time.Duration(e.Running+e.Slots) / time.Duration(e.Slots)
	if !e.Local {
		c += remotePenalty
	}
	if isPrimary {
		c += primaryPenalty
	}
	if !e.Connected {
		c += openPenalty
	}
	if e.ID == n.Avoid {
		c += time.Second
	}
	return c
}

// ShouldRenewProof reports whether the proof of the primary should be renewed soon,
// so that later reads like this one need not wait for it.
func (n Need) ShouldRenewProof(l leader.State, now time.Duration) bool {
	switch {
	case !n.NeedsProof():
		return false
	case n.Write || n.Consistency == route.Primary:
		return l.ProofExpiring(now)
	default:
		return now-l.LastSampleTime() > n.Staleness/2
	}
}
