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
	// stalenessMargin is subtracted from the staleness that a read allows, so
	// that the read must see later commits. It covers the time between the choice
	// of an endpoint and the first byte that the endpoint reads.
	stalenessMargin = 120 * time.Millisecond
	// MaxSendDelay is how long after the choice of an endpoint a read may be
	// sent. What a read must see depends on when the endpoint receives it; the
	// rest of the margin is for the way there.
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
	// statement; may be empty. Its cost is raised by a second, so that it is
	// chosen only if every other endpoint costs that much more or cannot serve.
	// It does not matter where only the primary can serve.
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
	// Available is true if a connection is idle or may be opened, and the endpoint
	// may take another statement of this proxy.
	Available bool
	// Connected is true if a connection is idle.
	Connected bool
	// Slots is how many statements the endpoint runs at a time; at least one.
	Slots int
	// Running is how many statements of this proxy the endpoint runs.
	Running int
	// ServiceTime is the forecast service time of a statement.
	ServiceTime time.Duration
	// Lacked is a position that the endpoint recently lacked; zero for none.
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

// Choose decides at which of the endpoints a statement runs now. The parameter
// now and the times in l are times since boot.
func Choose(n Need, l leader.State, endpoints []EndpointSnapshot, now time.Duration) Choice {
	if n.Write || n.Consistency == route.Primary {
		return choosePrimary(n, l, endpoints, now)
	}
	return chooseCheapest(n, l, endpoints, now)
}

// requiredTime returns the time up to which a read must see all acknowledged
// commits. A read that allows less staleness than stalenessMargin must see those up to
// now, as one at the primary. A write needs a primary that is the only one now.
func requiredTime(n Need, now time.Duration) time.Duration {
	if n.Write || n.Consistency == route.Primary {
		return now
	}
	return now - max(n.Staleness-stalenessMargin, 0)
}

// AwaitsProof reports whether a statement can run nowhere now, because the primary is not
// proven to be the only one, or its position is not known.
func AwaitsProof(n Need, l leader.State, now time.Duration) bool {
	if l.Open() && l.ProvenAt(requiredTime(n, now)) {
		return false
	}
	if n.Write || n.Consistency == route.Primary {
		return true
	}
	_, known := l.PositionCovering(requiredTime(n, now))
	return !known
}

// ReadsData reports whether the statement or transaction reads. What a read must see
// depends on when the endpoint receives it.
func (n Need) ReadsData() bool { return !n.Write || n.Reads }

// Shorten returns the need under which a statement can run that was too long to be sent with
// the position after. Only the primary runs it without one. It returns false if the
// statement was sent without one, and is too long for every endpoint.
func Shorten(n Need, after position.Position) (Need, bool) {
	n.Consistency = route.Primary
	return n, !after.IsZero()
}

// choosePrimary chooses the primary if it can run the statement now. A write needs a proof
// as well: a former primary acknowledges commits as long as any replica receives them.
func choosePrimary(n Need, l leader.State, endpoints []EndpointSnapshot, now time.Duration) Choice {
	if !l.Open() {
		return noChoice
	}
	if !l.ProvenAt(requiredTime(n, now)) {
		return Choice{Index: -1, AwaitsProof: true}
	}
	for i, e := range endpoints {
		if e.ID == l.Endpoint && e.Usable && e.Available && !(n.Write && e.Stalled) {
			return Choice{Index: i}
		}
	}
	return noChoice
}

// chooseCheapest chooses, of the endpoints that can run a read now, the one
// with the lowest cost.
func chooseCheapest(n Need, l leader.State, endpoints []EndpointSnapshot, now time.Duration) Choice {
	acknowledged, known := l.PositionCovering(requiredTime(n, now))
	minPosition := acknowledged.Covering(n.Required)
	primaryMayServe := l.Open() && l.ProvenAt(requiredTime(n, now))
	best, lowestCost := noChoice, time.Duration(0)
	best.AwaitsProof = !known && !primaryMayServe
	for i, e := range endpoints {
		isPrimary := primaryMayServe && e.ID == l.Endpoint
		if !e.Usable || !e.Available || (!isPrimary && (!known || lacks(e, minPosition))) {
			continue
		}
		cost := forecastCost(n, e, isPrimary)
		if best.Index >= 0 && cost >= lowestCost {
			continue
		}
		best, lowestCost = Choice{Index: i, After: minPosition}, cost
		if isPrimary {
			// A proven primary holds every acknowledged commit.
			best.After = position.Position{}
		}
	}
	return best
}

// lacks reports whether the endpoint recently lacked minPosition, or an earlier
// position that minPosition covers.
func lacks(e EndpointSnapshot, minPosition position.Position) bool {
	return !e.Lacked.IsZero() && minPosition.Covers(e.Lacked)
}

// forecastCost returns the forecast response time at an endpoint plus
// penalties. The forecast is one service time, and that of the running
// statements divided by the slots.
func forecastCost(n Need, e EndpointSnapshot, isPrimary bool) time.Duration {
	total := e.ServiceTime * time.Duration(e.Running+e.Slots) / time.Duration(e.Slots)
	if !e.Local {
		total += remotePenalty
	}
	if isPrimary {
		total += primaryPenalty
	}
	if !e.Connected {
		total += openPenalty
	}
	if e.ID == n.Avoid {
		total += time.Second // outweighs the other penalties together
	}
	return total
}

// ShouldRenewProof reports whether the proof of the primary should be renewed
// soon, so that later statements like this one need not wait for it.
func (n Need) ShouldRenewProof(l leader.State, now time.Duration) bool {
	if n.Write || n.Consistency == route.Primary {
		return l.ProofExpiring(now)
	}
	return now-l.LastSampleTime() > n.Staleness/2
}
