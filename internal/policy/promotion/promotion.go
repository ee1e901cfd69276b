// Package promotion decides when a group needs a new term and which of its
// members becomes the primary.
package promotion

import (
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/group"
)

// The signs that a primary has failed.
const (
	// unreachableFor is how long probes of the primary must have failed.
	unreachableFor = 250 * time.Millisecond
	// minFailures is how many probes in a row must have failed. A proxy that
	// was paused finds its first probe late, and the second one answered.
	minFailures = 2
	// silentFor is how long replicas must have heard nothing of the primary.
	silentFor = 500 * time.Millisecond
	// freshFor is how old an observation may be to count as a sign.
	freshFor = 1500 * time.Millisecond
)

// Reason says why a group needs a new term.
type Reason string

// The reasons for a new term.
const (
	// None means that the term stands.
	None Reason = ""
	// Unreachable means that the primary does not answer probes.
	Unreachable Reason = "PrimaryUnreachable"
	// PrimaryCutOff means that a majority hears nothing of the primary.
	PrimaryCutOff Reason = "PrimaryCutOff"
	// Superseded means that another proposer raised the term.
	Superseded Reason = "TermSuperseded"
	// LeavingPrimary means that the primary must get no new work.
	LeavingPrimary Reason = "PrimaryLeaving"
)

// DecideNewTerm returns the reason for a new term of a group in the given term with
// the given primary, or None.
func DecideNewTerm(now time.Time, all []group.Observation, term uint64, primary string) Reason {
	silent := 0
	for _, o := range all {
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
			silent++
		}
	}
	if silent >= len(all)/2+1 {
		return PrimaryCutOff
	}
	if leaving(all, primary) {
		return LeavingPrimary
	}
	return None
}

// failed reports whether the primary must be taken for dead.
func failed(now time.Time, o group.Observation) bool {
	return !o.Reachable && o.Failures >= minFailures && now.Sub(o.Since) >= unreachableFor
}

// cutOff reports whether a replica that answers says that it has lost its
// primary.
func cutOff(now time.Time, o group.Observation, term uint64) bool {
	follows := o.Progress.Role == group.Replica || o.Progress.Role == group.Joining
	return o.Reachable && now.Sub(o.Seen) < freshFor && o.Progress.Term == term &&
		follows && o.Progress.SinceContact >= silentFor
}

// leaving reports whether the primary is leaving while all members answer and
// another could take its place, so that nothing acknowledged is at risk.
func leaving(all []group.Observation, primary string) bool {
	marked, others := false, false
	for _, o := range all {
		if !o.Reachable {
			return false
		}
		if o.Member.Name == primary {
			marked = o.Member.Leaving
		} else {
			others = others || !o.Member.Leaving
		}
	}
	return marked && others
}

// Grant is a member's answer to a fence.
type Grant struct {
	// Member is the member that granted the term.
	Member group.Member
	// Progress is the end of its log at that moment.
	Progress group.Progress
}

// Choose returns the member to promote among those that granted the term. It
// reports false without a majority. Every acknowledged write is held by a
// majority, so the most advanced grant of any majority holds it. Among equals
// the primary of before stays. Members that are leaving, and the primary of
// before when its peers have lost it, are passed over if the others are a
// majority without them.
func Choose(g group.Group, grants []Grant, before string, cutOff bool) (Grant, bool) {
	if len(grants) < g.Majority() {
		return Grant{}, false
	}
	candidates := preferred(grants, before, cutOff)
	if len(candidates) < g.Majority() {
		candidates = grants
	}
	best := candidates[0]
	for _, c := range candidates[1:] {
		if c.Progress.MoreAdvanced(best.Progress) {
			best = c
			continue
		}
		if !best.Progress.MoreAdvanced(c.Progress) && c.Member.Name == before {
			best = c
		}
	}
	return best, true
}

// preferred returns the grants of members that are fit to be the primary.
func preferred(grants []Grant, before string, cutOff bool) []Grant {
	var fit []Grant
	for _, c := range grants {
		if c.Member.Leaving || (cutOff && c.Member.Name == before) {
			continue
		}
		fit = append(fit, c)
	}
	return fit
}

// CommitIndex returns the last log place that a majority holds in the term.
func CommitIndex(g group.Group, all []group.Observation, term uint64, primary string) uint64 {
	needed := g.Majority() - 1
	if needed == 0 {
		return 1<<64 - 1
	}
	places := make([]uint64, 0, len(all))
	for _, o := range all {
		p := o.Progress
		if o.Member.Name != primary && p.Term == term && p.Role == group.Replica {
			places = append(places, p.Received)
		}
	}
	return nth(places, needed)
}

// nth returns the n-th largest value, or zero if there are fewer.
func nth(values []uint64, n int) uint64 {
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
