// Package routing decides at which members of a group a request may run.
package routing

import (
	"time"

	"eelgrassladder.example/eelgrassladder"
)

// waitShare is the part of the time left to a target that a read may spend
// waiting for a replica.
const waitShare = 0.5

// never is a wait that no target allows.
const never = time.Duration(1<<63 - 1)

// Replicas sends reads to replicas that cover them and are fresh enough, lets
// them wait for one while the target's time allows, and sends them to the
// primary otherwise. Work that is not paying goes to the primary only when
// replicas lag, not when they are busy: the primary's slots are what paying
// writes need. Use it in production.
type Replicas struct{}

// Eligible reports whether the request may run at places[at] now.
func (Replicas) Eligible(r eelgrassladder.ReadRequest, places []eelgrassladder.Candidate, at int) bool {
	p := places[at]
	if !p.Usable {
		return false
	}
	if !r.ReplicaAllowed {
		return p.Primary
	}
	if !p.Primary {
		return covers(r, p)
	}
	return soonest(r, places) > time.Duration(float64(r.TimeLeft)*waitShare)
}

// PrimaryOnly sends everything to the primary. Use it as the baseline that
// Replicas is compared with.
type PrimaryOnly struct{}

// Eligible reports whether the place is the primary.
func (PrimaryOnly) Eligible(_ eelgrassladder.ReadRequest, places []eelgrassladder.Candidate, at int) bool {
	return places[at].Usable && places[at].Primary
}

// covers reports whether a replica may serve the read now.
func covers(r eelgrassladder.ReadRequest, p eelgrassladder.Candidate) bool {
	return p.Applied >= r.Required.Log && p.Age <= r.Staleness
}

// soonest returns the forecast wait until a replica may serve the read.
func soonest(r eelgrassladder.ReadRequest, places []eelgrassladder.Candidate) time.Duration {
	best := never
	for _, p := range places {
		if p.Primary || !p.Usable || p.Age > r.Staleness {
			continue
		}
		wait := time.Duration(0)
		if r.Paying {
			wait = p.Delay
		}
		if p.Applied < r.Required.Log {
			wait += p.Lag
		}
		best = min(best, wait)
	}
	return best
}
