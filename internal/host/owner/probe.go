package owner

import (
	"context"
	"time"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/model/group"
	"eelgrassladder.example/eelgrassladder/internal/peer/endpoint"
	"eelgrassladder.example/eelgrassladder/internal/policy/promotion"
	"eelgrassladder.example/eelgrassladder/internal/table/queue"
)

// The timing of probes, and unknownAge, which is no time of a probe. A probe is a long
// poll for a member's progress.
const (
	// primaryPollTimeout is how long the primary may delay its answer to a probe
	// while its progress does not change.
	primaryPollTimeout = 500 * time.Millisecond
	// replicaPollTimeout is the same limit for a replica.
	replicaPollTimeout = time.Second
	// ackPendingPollTimeout is the same limit for any member while answers to
	// commits wait until a majority of the members holds the commits, or while no
	// term is active.
	ackPendingPollTimeout = 100 * time.Millisecond
	// ackPendingProbePause is the pause between probes of a member other than the
	// primary while answers to commits wait until a majority of the members holds
	// the commits.
	ackPendingProbePause = time.Millisecond
	// idleProbePause is the pause between probes in all other cases.
	idleProbePause = 5 * time.Millisecond
	// failedProbePause is the pause after a failed probe.
	failedProbePause = 50 * time.Millisecond
	// unknownAge is the age of data whose age is not known. It exceeds every
	// staleness limit.
	unknownAge = time.Duration(1<<62 - 1)
)

// probeMember polls the progress of a member until ctx ends.
func (o *Owner) probeMember(ctx context.Context, m group.Member) {
	control := endpoint.NewControlConnection(m.Address, o.Group().Name, o.credentials)
	defer control.Close()
	var last group.Progress
	var err error
	for ctx.Err() == nil {
		sent := o.timer.Now()
		timeout := o.pollTimeout(m.Name)
		if err != nil {
			// After a failure, ask for an immediate answer instead of a long
			// poll.
			timeout = 0
		}
		var p group.Progress
		p, err = control.Progress(ctx, last, timeout)
		if ctx.Err() != nil {
			return
		}
		pause := failedProbePause
		if err != nil {
			o.observations.Failed(m.Name, o.timer.Now())
		} else {
			last = p
			pause = o.recordProgress(m, p, sent)
		}
		o.applyObservations(o.timer.Now())
		timer.Pause(ctx, o.timer, pause)
	}
}

// pollTimeout returns how long a member may delay its answer to a probe.
func (o *Owner) pollTimeout(member string) time.Duration {
	active := o.current()
	switch {
	case active == nil || o.acks.Waiting() > 0:
		return ackPendingPollTimeout
	case active.primary == member:
		return primaryPollTimeout
	default:
		return replicaPollTimeout
	}
}

// recordProgress records the progress that a member reported to a probe sent at
// the given time, and returns the pause before its next probe.
func (o *Owner) recordProgress(m group.Member, p group.Progress, sent time.Time) time.Duration {
	o.observations.Answered(m.Name, p, o.timer.Now())
	o.observeTerm(p.Term)
	active := o.current()
	if active != nil && active.primary == m.Name {
		if p.Term == active.term && p.Role == group.Primary {
			o.observations.RecordPrimaryLog(p.Received, sent)
		}
		return idleProbePause
	}
	if o.acks.Waiting() > 0 {
		return ackPendingProbePause
	}
	return idleProbePause
}

// observeTerm raises highestTerm to the term if that is higher.
func (o *Owner) observeTerm(term uint64) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.highestTerm = max(o.highestTerm, term)
}

// applyObservations applies the latest observations: it advances the position that a
// majority holds, updates the members in the queue, and requests a new term if
// the active one must be replaced.
func (o *Owner) applyObservations(now time.Time) {
	active := o.current()
	if active == nil {
		return
	}
	observations := o.observations.All()
	o.acks.Advance(active.term, promotion.CommitIndex(o.Group(), observations, active.term, active.primary))
	members := make([]queue.Member, 0, len(observations))
	for _, m := range observations {
		members = append(members, o.queueMember(m, active, now))
	}
	if o.current() == active {
		o.queue.SetMembers(members)
	}
	if reason := promotion.DecideNewTerm(now, observations, active.term, active.primary); reason != promotion.None {
		o.requestTerm(string(reason), active.term)
	}
}

// queueMember returns the queue's description of a member. A member is usable if
// it is reachable, in the active term and in the role that the term gives it, and
// has a pool; a replica that is leaving is not. The age of the member's data also
// serves as the forecast of its lag.
func (o *Owner) queueMember(m group.Observation, active *activeTerm, now time.Time) queue.Member {
	primary := m.Member.Name == active.primary
	role := group.Replica
	if primary {
		role = group.Primary
	}
	usable := m.Reachable && m.Progress.Term == active.term && m.Progress.Role == role && active.pool(m.Member.Name) != nil
	if !primary {
		usable = usable && !m.Member.Leaving
	}
	age, ok := o.observations.Staleness(m.Progress.Applied, now)
	if !ok {
		age = unknownAge
	}
	return queue.Member{
		Name:  m.Member.Name,
		Slots: m.Member.Slots,
		Snapshot: eelgrassladder.Candidate{
			Primary: primary, Usable: usable, Applied: m.Progress.Applied, Age: age, Lag: age,
		},
	}
}
