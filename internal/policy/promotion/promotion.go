// Package promotion decides when a group needs a new term and which of its
// members becomes the primary.
package promotion

import (
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/group"
)

// Thresholds for the failure of a primary.
const (
	// minUnreachableTime is how long probes of the primary must have failed.
	minUnreachableTime = 250 * time.Millisecond
	// minFailures is how many consecutive probes must have failed. A proxy
	// that was paused sees its first probe time out, although the primary
	// answers the second one.
	minFailures = 2
	// maxContactLoss is how long replicas must have heard nothing from the
	// primary.
	maxContactLoss = 500 * time.Millisecond
	// maxObservationAge is the age up to which an observation counts.
	maxObservationAge = 1500 * time.Millisecond
)

// Reason says why a group needs a new term. Its value is the text in logs.
type Reason string

// Reasons for a new term.
const (
	// None means that the term continues.
	None Reason = ""
	// Unreachable means that the primary does not answer probes.
	Unreachable Reason = "PrimaryUnreachable"
	// PrimaryCutOff means that a majority of the members hears nothing from
	// the primary.
	PrimaryCutOff Reason = "PrimaryCutOff"
	// Superseded means that another proposer has raised the term.
	Superseded Reason = "TermSuperseded"
	// PrimaryLeaving means that the platform is removing the primary.
	PrimaryLeaving Reason = "PrimaryLeaving"
)

// DecideNewTerm returns the reason for a new term, or None. The group is in
// the given term, with the given primary.
func DecideNewTerm(now time.Time, observations []group.Observation, term uint64, primary string) Reason {
	replicasCutOff := 0
	for _, o := range observations {
		if o.Reachable && o.Progress.Term > term {
			return Superseded
		}
		if o.Member.Name == primary {
			if failed(now, o) {
				return Unreachable
			}
			continue
		}
		if cutOff(now, o, term) {
			replicasCutOff++
		}
	}
	if replicasCutOff >= len(observations)/2+1 {
		return PrimaryCutOff
	}
	if leaving(observations, primary) {
		return PrimaryLeaving
	}
	return None
}

// failed reports whether the primary, observed as o, counts as failed.
func failed(now time.Time, o group.Observation) bool {
	return !o.Reachable && o.Failures >= minFailures && now.Sub(o.Since) >= minUnreachableTime
}

// cutOff reports whether the observed member is a reachable replica that has
// lost contact with the primary of the term.
func cutOff(now time.Time, o group.Observation, term uint64) bool {
	follows := o.Progress.Role == group.Replica || o.Progress.Role == group.Joining
	return o.Reachable && now.Sub(o.Seen) < maxObservationAge && o.Progress.Term == term &&
		follows && o.Progress.SinceContact >= maxContactLoss
}

// leaving reports whether the primary is leaving and another member can take
// its place. All members must be reachable, so that no acknowledged write is
// at risk.
func leaving(observations []group.Observation, primary string) bool {
	primaryLeaving, successor := false, false
	for _, o := range observations {
		if !o.Reachable {
			return false
		}
		if o.Member.Name == primary {
			primaryLeaving = o.Member.Leaving
		} else {
			successor = successor || !o.Member.Leaving
		}
	}
	return primaryLeaving && successor
}

// Grant is a member's answer to a fencing request.
type Grant struct {
	Member group.Member
	// Progress is the member's progress when it granted the term.
	Progress group.Progress
}

// Choose returns the member to promote among those that granted the term. It
// returns false if they are no majority. Every acknowledged write is held by a
// majority, so the most advanced grant of any majority holds it. Among equally
// advanced members the former primary is preferred. Leaving members, and the
// former primary if its replicas have lost contact with it, are chosen only if
// the others are no majority.
func Choose(g group.Group, grants []Grant, former string, cutOff bool) (Grant, bool) {
	if len(grants) < g.Majority() {
		return Grant{}, false
	}
	candidates := eligible(grants, former, cutOff)
	if len(candidates) < g.Majority() {
		candidates = grants
	}
	best := candidates[0]
	for _, c := range candidates[1:] {
		if c.Progress.MoreAdvanced(best.Progress) {
			best = c
			continue
		}
		if !best.Progress.MoreAdvanced(c.Progress) && c.Member.Name == former {
			best = c
		}
	}
	return best, true
}

// eligible returns the grants of the members that are to be promoted rather
// than the others: those that stay and, if cutOff, are not the former primary.
func eligible(grants []Grant, former string, cutOff bool) []Grant {
	var selected []Grant
	for _, c := range grants {
		if c.Member.Leaving || (cutOff && c.Member.Name == former) {
			continue
		}
		selected = append(selected, c)
	}
	return selected
}

// CommitIndex returns the last log index that a majority of the group holds in
// the term. The primary counts as a holder. In a group of one member it is the
// greatest possible index.
func CommitIndex(g group.Group, observations []group.Observation, term uint64, primary string) uint64 {
	needed := g.Majority() - 1
	if needed == 0 {
		return 1<<64 - 1
	}
	indexes := make([]uint64, 0, len(observations))
	for _, o := range observations {
		p := o.Progress
		if o.Member.Name != primary && p.Term == term && p.Role == group.Replica {
			indexes = append(indexes, p.Received)
		}
	}
	return nthLargest(indexes, needed)
}

// nthLargest returns the n-th largest value, or zero if there are fewer. It
// reorders values.
func nthLargest(values []uint64, n int) uint64 {
	for i := range values {
		for k := i + 1; k < len(values); k++ {
			if values[k] > values[i] {
				values[i], values[k] = values[k], values[i]
			}
		}
	}
	if len(values) < n {
		return 0
	}
	return values[n-1]
}
