// Package routing decides which members of a group may run a request.
package routing

import (
	"time"

	"eelgrassladder.example/eelgrassladder"
)

// waitShare is the part of the time left until a read's target that the read
// may spend waiting for a replica.
const waitShare = 0.5

// unlimited is the wait if no replica will become eligible. It is longer than
// any target.
const unlimited = time.Duration(1<<63 - 1)

// Replicas sends reads to replicas that cover the required position and are
// fresh enough. A read waits for such a replica while its target allows, and
// goes to the primary otherwise. Work that is not paying goes to the primary
// only if the replicas lag, not if they are busy, because paying writes need
// the primary's slots. Use it in production.
type Replicas struct{}

// Eligible reports whether the request may run at candidates[index] now.
func (Replicas) Eligible(r eelgrassladder.RoutingRequest, candidates []eelgrassladder.Candidate, index int) bool {
	c := candidates[index]
	if !c.Usable {
		return false
	}
	if !r.ReplicaAllowed {
		return c.Primary
	}
	if !c.Primary {
		return covers(r, c)
	}
	return shortestWait(r, candidates) > time.Duration(float64(r.TimeLeft)*waitShare)
}

// PrimaryOnly sends everything to the primary. Use it as the baseline that
// Replicas is compared with.
type PrimaryOnly struct{}

// Eligible reports whether the candidate is the primary, and usable.
func (PrimaryOnly) Eligible(_ eelgrassladder.RoutingRequest, candidates []eelgrassladder.Candidate, index int) bool {
	return candidates[index].Usable && candidates[index].Primary
}

// covers reports whether a replica holds the required position and is fresh
// enough for the read.
func covers(r eelgrassladder.RoutingRequest, c eelgrassladder.Candidate) bool {
	return c.Applied >= r.Required.Log && c.Age <= r.Staleness
}

// shortestWait returns the forecast time until some replica may serve the
// read, or unlimited if none is usable and fresh enough. A replica's queue
// counts only for paying work.
func shortestWait(r eelgrassladder.RoutingRequest, candidates []eelgrassladder.Candidate) time.Duration {
	shortest := unlimited
	for _, c := range candidates {
		if c.Primary || !c.Usable || c.Age > r.Staleness {
			continue
		}
		wait := time.Duration(0)
		if r.Paying {
			wait = c.Delay
		}
		if c.Applied < r.Required.Log {
			wait += c.Lag
		}
		shortest = min(shortest, wait)
	}
	return shortest
}
