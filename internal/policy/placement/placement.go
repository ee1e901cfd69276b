// Package placement decides at which endpoint of a group a statement runs.
package placement

import (
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/leader"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/route"
)

const (
	// remotePenalty is the service time that an endpoint in another data
	// centre must save to be preferred; bytes between data centres are dear.
	remotePenalty = 30 * time.Millisecond
	// primaryPenalty keeps reads that a replica can serve away from the
	// primary, whose slots writes need.
	primaryPenalty = 45 * time.Millisecond
	// openPenalty is the time that the opening of a connection takes. It also
	// keeps a proxy's reads at the replicas that it is connected to: an endpoint
	// takes too few connections for all proxies, and after a power loss those of
	// the dead ones stay for seconds.
	openPenalty = 12 * time.Millisecond
	// boundMargin is taken off a staleness bound. It covers the way from the
	// choice of an endpoint to the first byte that the endpoint reads.
	boundMargin = 120 * time.Millisecond
	// MaxSendDelay is how long after the choice of an endpoint a read may be
	// sent; what reads must see is counted from when the endpoint reads them.
	MaxSendDelay = boundMargin / 2
)

// Need is what a statement or transaction asks of its endpoint. It is
// immutable.
type Need struct {
	// Group is the name of the group.
	Group string
	// Write is true for what only the primary can run.
	Write bool
	// Reads is true if what is written is read as well, as in a transaction.
	Reads bool
	// Consistency is what reads must see.
	Consistency route.Consistency
	// Staleness bounds the age of reads that are not Primary.
	Staleness time.Duration
	// Required is a position that reads must cover besides; may be zero.
	Required position.Position
	// Avoid is an endpoint that has just failed to serve the statement; it is
	// taken only if no other can serve. May be empty.
	Avoid string
}

// EndpointSnapshot is what is known of an endpoint at one moment. It is immutable.
type EndpointSnapshot struct {
	// ID is the endpoint's ID.
	ID string
	// Usable is false for an endpoint that is leaving or has failed.
	Usable bool
	// Local is true in the proxy's own data centre.
	Local bool
	// Free is true if a connection is idle or may be opened.
	Free bool
	// Connected is true if a connection is idle.
	Connected bool
	// Slots is how many statements run there at one time; at least one.
	Slots int
	// Running is how many statements this proxy has there.
	Running int
	// Service is the forecast time of a statement there.
	Service time.Duration
	// Behind is a position that it was lately seen to lack; zero for none.
	Behind position.Position
	// Stalled is true at a primary that acknowledges no writes and has one of
	// this proxy; more would only fill its slots.
	Stalled bool
}

// Choice is the outcome of Choose.
type Choice struct {
	// Index is the index of the chosen place; below zero if there is none.
	Index int
	// After is the position that the endpoint's log must hold; zero where
	// that is certain.
	After position.Position
	// AwaitsProof is true if the statement waits only for a proof of the lead
	// or a position of the primary.
	AwaitsProof bool
}

// none is the choice when the statement must wait.
var none = Choice{Index: -1}

// Choose decides where the statement runs now.
func Choose(n Need, l leader.State, places []EndpointSnapshot, now time.Duration) Choice {
	if n.Write || n.Consistency == route.Primary {
		return primary(n, l, places, now)
	}
	return cheapest(n, l, places, now)
}

// since is the time whose acknowledged commits a read must see.
func since(n Need, now time.Duration) time.Duration {
	if n.Consistency == route.Primary {
		return now
	}
	return now - n.Staleness + boundMargin
}

// NeedsProof reports whether the primary must be proven to be the only one. A
// write alone needs no proof: an endpoint that no longer leads cannot
// acknowledge it.
func (n Need) NeedsProof() bool { return !n.Write || n.Reads }

// primary chooses the primary, if it may be used.
func primary(n Need, l leader.State, places []EndpointSnapshot, now time.Duration) Choice {
	if !l.Open() {
		return none
	}
	if n.NeedsProof() && !l.ProvenAt(since(n, now)) {
		return Choice{Index: -1, AwaitsProof: true}
	}
	for i, p := range places {
		if p.ID == l.Endpoint && p.Usable && p.Free && !(n.Write && p.Stalled) {
			return Choice{Index: i}
		}
	}
	return none
}

// cheapest chooses the endpoint that is likely to answer first.
func cheapest(n Need, l leader.State, places []EndpointSnapshot, now time.Duration) Choice {
	bound, known := l.PositionCovering(since(n, now))
	after := bound.Later(n.Required)
	current := l.Open() && l.ProvenAt(since(n, now))
	best, lowest := none, time.Duration(0)
	best.AwaitsProof = !known && !current
	for i, p := range places {
		leads := current && p.ID == l.Endpoint
		if !p.Usable || !p.Free || (!leads && (!known || lacks(p, after))) {
			continue
		}
		c := cost(n, p, leads)
		if best.Index >= 0 && c >= lowest {
			continue
		}
		best, lowest = Choice{Index: i, After: after}, c
		if leads {
			best.After = position.Position{}
		}
	}
	return best
}

// lacks reports whether the place was lately seen to lack the position.
func lacks(p EndpointSnapshot, after position.Position) bool {
	return !p.Behind.IsZero() && after.Covers(p.Behind)
}

// cost forecasts the time at an endpoint, with penalties for what else it
// costs.
func cost(n Need, p EndpointSnapshot, leads bool) time.Duration {
	c := p.Service * time.Duration(p.Running+p.Slots) / time.Duration(p.Slots)
	if !p.Local {
		c += remotePenalty
	}
	if leads {
		c += primaryPenalty
	}
	if !p.Connected {
		c += openPenalty
	}
	if p.ID == n.Avoid {
		c += time.Second
	}
	return c
}

// WantsProof reports whether the lead should be proven again soon, so that
// reads like this one need not wait for it later.
func (n Need) WantsProof(l leader.State, now time.Duration) bool {
	switch {
	case !n.NeedsProof():
		return false
	case n.Write || n.Consistency == route.Primary:
		return l.ProofExpiring(now)
	default:
		return now-l.LastSampleTime() > n.Staleness/2
	}
}
