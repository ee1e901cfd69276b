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

// The pace of probes.
const (
	// primaryWait is how long a primary holds a probe when nothing changes.
	primaryWait = 500 * time.Millisecond
	// replicaWait is how long a replica does.
	replicaWait = time.Second
	// awaitedWait is how long any member does while answers wait for probes.
	awaitedWait = 100 * time.Millisecond
	// awaitedPace is the time between probes while answers wait for them.
	awaitedPace = time.Millisecond
	// idlePace is the time between probes otherwise.
	idlePace = 5 * time.Millisecond
	// failedPace is the time between probes of a member that does not answer.
	failedPace = 50 * time.Millisecond
	// unknownAge is the age of data whose age is not known.
	unknownAge = time.Duration(1<<62 - 1)
)

// watch follows the progress of a member until ctx ends.
func (o *Owner) watch(ctx context.Context, m group.Member) {
	control := endpoint.NewControlConnection(m.Address, o.Group().Name, o.credentials)
	defer control.Close()
	var known group.Progress
	var err error
	for ctx.Err() == nil {
		sent := o.timer.Now()
		wait := o.probeWait(m.Name)
		if err != nil {
			// A member that has just failed to answer is asked for an answer
			// at once.
			wait = 0
		}
		var p group.Progress
		p, err = control.Progress(ctx, known, wait)
		if ctx.Err() != nil {
			return
		}
		pace := failedPace
		if err != nil {
			o.members.Failed(m.Name, o.timer.Now())
		} else {
			known = p
			pace = o.answered(m, p, sent)
		}
		o.refresh(o.timer.Now())
		timer.Pause(ctx, o.timer, pace)
	}
}

// probeWait returns how long a member may hold a probe.
func (o *Owner) probeWait(member string) time.Duration {
	g := o.current()
	switch {
	case g == nil || o.acks.Waiting() > 0:
		return awaitedWait
	case g.primary == member:
		return primaryWait
	default:
		return replicaWait
	}
}

// answered records a member's answer and returns the pace of its probes.
func (o *Owner) answered(m group.Member, p group.Progress, sent time.Time) time.Duration {
	o.members.Answered(m.Name, p, o.timer.Now())
	o.noteTerm(p.Term)
	g := o.current()
	if g != nil && g.primary == m.Name {
		if p.Term == g.term && p.Role == group.Primary {
			o.members.RecordPrimaryLog(p.Received, sent)
		}
		return idlePace
	}
	if o.acks.Waiting() > 0 {
		return awaitedPace
	}
	return idlePace
}

// noteTerm remembers the highest term seen.
func (o *Owner) noteTerm(term uint64) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.highest = max(o.highest, term)
}

// refresh brings what was observed to the queue, to the answers that wait for
// a majority, and to the decision whether the term stands.
func (o *Owner) refresh(now time.Time) {
	g := o.current()
	if g == nil {
		return
	}
	all := o.members.All()
	o.acks.Advance(g.term, promotion.CommitIndex(o.Group(), all, g.term, g.primary))
	places := make([]queue.Member, 0, len(all))
	for _, m := range all {
		places = append(places, o.place(m, g, now))
	}
	if o.current() == g {
		o.queue.SetMembers(places)
	}
	if reason := promotion.DecideNewTerm(now, all, g.term, g.primary); reason != promotion.None {
		o.askRaise(string(reason), g.term)
	}
}

// place returns a member as the queue sees it.
func (o *Owner) place(m group.Observation, g *generation, now time.Time) queue.Member {
	primary := m.Member.Name == g.primary
	role := group.Replica
	if primary {
		role = group.Primary
	}
	usable := m.Reachable && m.Progress.Term == g.term && m.Progress.Role == role && g.pool(m.Member.Name) != nil
	if !primary {
		usable = usable && !m.Member.Leaving
	}
	age, ok := o.members.Staleness(m.Progress.Applied, now)
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
