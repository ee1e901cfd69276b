// Package routing decides which members of a group may run a request.
package routing

import (
	"time"

	"eelgrassladder.example/eelgrassladder"
)

// waitShare is the part of the time left until a read's target that the read
// may spend waiting for a replica.
const waitShare = 0.5

// unlimited is longer than any target.
const unlimited = time.Duration(1<<63 - 1)

// Replicas sends reads to replicas that cover the required position and are
// fresh enough. A read waits for such a replica while its target allows, and
// goes to the primary otherwise. Work that is not paying goes to the primary
// only if the replicas lag, not if they are busy, because paying writes need
// the primary's slots. Use it in production.
type Replicas struct{}

// Eligible reports whether the request may run at places[at] now.
func (Replicas) Eligible(r eelgrassladder.ReadRequest, candidates []eelgrassladder.Candidate, at int) bool {
	c := candidates[at]
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

// Eligible reports whether the place is the primary.
func (PrimaryOnly) Eligible(_ eelgrassladder.ReadRequest, candidates []eelgrassladder.Candidate, at int) bool {
	return candidates[at].Usable && candidates[at].Primary
}

// covers reports whether a replica may serve the read now.
func covers(r eelgrassladder.ReadRequest, c eelgrassladder.Candidate) bool {
	return c.Applied >= r.Required.Log && c.Age <= r.Staleness
}

// shortestWait returns the forecast time until some replica may serve the
// read.
func shortestWait(r eelgrassladder.ReadRequest, candidates []eelgrassladder.Candidate) time.Duration {
	best := unlimited
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
		best = min(best, wait)
	}
	return best
}
