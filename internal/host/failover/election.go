package failover

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/model/leader"
	"eelgrassladder.example/eelgrassladder/internal/model/leadership"
	"eelgrassladder.example/eelgrassladder/internal/model/revision"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
	policy "eelgrassladder.example/eelgrassladder/internal/policy/failover"
)

// listReadTimeout is the timeout of one read of the store's list of members. The
// store usually answers in 4 ms.
const listReadTimeout = 400 * time.Millisecond

// requiredPosition returns the position that the log of the next primary must hold. It
// returns an error if that is not known yet.
func (c *change) requiredPosition() (leader.Acknowledged, error) {
	ct := c.controller
	record := ct.state.Record(c.group)
	departed := c.incomparable(record)
	group, configured := ct.state.Routes().Group(c.group)
	floor, known := policy.AcknowledgedCommits{
		Replicated: !configured || group.Synchronous > 0,
		Recorded:   record.Acknowledged, Reported: ct.table.Leader(c.group).Acknowledged, PrimaryEnd: c.oldLog, MembersRecorded: len(record.Members) > 0,
		Left: departed, NoCandidateFor: ct.noCandidateFor(c.group), SilentFor: c.evidence.SilentFor + ct.clock.SinceBoot() - c.decidedAt,
	}.Floor()
	if !known {
		return leader.Acknowledged{}, errors.Errorf("it is not known yet which commits the departed members %v had received", departed)
	}
	return floor, nil
}

// incomparable returns the IDs of members whose logs are gone or can't be compared: those
// that have left, or started again, since the record was written or, if it does not cover
// what they had received, since this proxy saw them.
func (c *change) incomparable(record leadership.Record) []string {
	ct := c.controller
	ids := append(policy.Compare(record, ct.state.Endpoints().Group(c.group)).Incomparable(),
		ct.unrecordedDepartures(c.group, record)...)
	if c.listed != nil {
		ids = append(ids, policy.Compare(record, c.listed).Incomparable()...)
	}
	// The old primary does not count: another member has received each commit that it
	// acknowledged.
	ids = slices.DeleteFunc(ids, func(id string) bool { return id == c.old.ID })
	slices.Sort(ids)
	return slices.Compact(ids)
}

// noteOldLog stores the end of the old primary's log in c.oldLog, under whichever ID
// it answered. It ignores a log that lacks the record's acknowledged position: a
// restarted process may have lost its log.
func (c *change) noteOldLog(a answer) {
	recorded := c.controller.state.Record(c.group).Acknowledged
	if a.err == nil && a.status.Received.UpToDateWith(recorded) {
		c.oldLog = leader.Acknowledged{Position: a.status.Received, Source: a.endpoint.ID, At: c.controller.clock.SinceBoot()}
	}
}

// readMembers returns the members of the group other than the old primary, and the
// revision of the store's list. The members are those that the store lists now, after
// the record was closed, and those that were listed recently. It reads the list anew
// because a member that this proxy has not seen yet may have acknowledged commits.
func (c *change) readMembers(ctx context.Context) ([]topology.Endpoint, revision.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, listReadTimeout)
	defer cancel()
	asked := c.controller.clock.SinceBoot()
	listed, revision, err := c.controller.state.Members(ctx, c.group)
	if err != nil {
		return nil, 0, errors.WithMessagef(err, "reading the members of group %s", c.group)
	}
	c.listed, c.listAskedAt = listed, asked
	c.controller.noteListed(c.group, listed)
	return c.controller.replicas(c.group, c.old.ID), revision, nil
}

// oldReachable reports whether the old primary is likely to answer commands.
func (c *change) oldReachable() bool {
	switch c.reason {
	case policy.Leaving, policy.Stalled, policy.Outpaced, policy.Abandoned:
		return c.old.Address != ""
	default:
		return false
	}
}

// candidates returns the members that have answered, as candidates for an election.
func candidates(answers []answer) []policy.Candidate {
	found := make([]policy.Candidate, 0, len(answers))
	for _, a := range answers {
		if a.err == nil {
			found = append(found, policy.Candidate{ID: a.endpoint.ID, Received: a.status.Received, Leaving: a.endpoint.Leaving})
		}
	}
	return found
}

// checkNotShortened returns an error if the log of a member ends before where it ended when
// the change was checked. The member has then started again since, maybe after the list was
// read, and lost its log.
func (c *change) checkNotShortened(replicas []answer) error {
	for _, a := range replicas {
		if checked, ok := c.checkedEnds[a.endpoint.ID]; ok && !a.status.Received.UpToDateWith(checked) {
			return errors.Errorf("the log of endpoint %s ends at %v, but ended at %v before the change", a.endpoint.ID, a.status.Received, checked)
		}
	}
	return nil
}

// elect returns the endpoint to promote: a replica, or the old primary if no replica's
// log holds all acknowledged commits. The revision of the store's list is only logged.
func (c *change) elect(replicas []answer, old answer, listRevision revision.Revision) (topology.Endpoint, error) {
	if err := c.checkNotShortened(replicas); err != nil {
		return topology.Endpoint{}, err
	}
	floor, err := c.requiredPosition()
	if err != nil {
		return topology.Endpoint{}, err
	}
	elected, ok := policy.Elect(candidates(replicas), floor.Position)
	if !ok {
		elected, ok = policy.Elect(candidates([]answer{old}), floor.Position)
	}
	if !ok {
		return topology.Endpoint{}, c.noCandidate(replicas, floor)
	}
	asked := append(replicas[:len(replicas):len(replicas)], old)
	if elected, err = c.heedOrder(elected, asked); err != nil {
		return topology.Endpoint{}, err
	}
	c.logChosen(elected, floor, asked, listRevision)
	for _, a := range asked {
		if a.endpoint.ID == elected.ID {
			return a.endpoint, nil
		}
	}
	return topology.Endpoint{}, errors.Errorf("elected endpoint %s is not a member", elected.ID)
}

// noCandidate records in the group's state that no member's log holds the required
// position, and returns the error that says so.
func (c *change) noCandidate(members []answer, floor leader.Acknowledged) error {
	c.controller.noteNoCandidate(c.group)
	return errors.Errorf("no member's log holds the acknowledged position %v: %v", floor.Position, logEnds(members))
}

// newestTerm returns the newest term that the members or the record know, and the
// answer of a member that leads a later term than the old primary, or nil. A member
// that leads the old primary's own term does not count: it is that primary under
// another ID, and its replicas may be suspended.
func (c *change) newestTerm(answers []answer) (uint64, *answer, error) {
	term := c.record.Term
	var leading *answer
	for i, a := range answers {
		if a.err != nil {
			continue
		}
		if a.leadsAfter(c.record.Term) {
			leading = &answers[i]
		}
		term = max(term, a.status.Term)
	}
	if len(answers) == 0 {
		return 0, nil, errors.New("the group has no replica")
	}
	return term, leading, nil
}

// awaitPrimary polls a promoted member until it leads a later term than the old
// primary. It gives up after promotionTimeout, or earlier if the member does not answer
// and is no longer listed. What a member answered before it was promoted shows no later term.
func (c *change) awaitPrimary(ctx context.Context, promoted topology.Endpoint) (answer, error) {
	ct := c.controller
	deadline := ct.clock.SinceBoot() + promotionTimeout
	for ct.clock.SinceBoot() < deadline && ctx.Err() == nil {
		timer.Pause(ctx, ct.timer, pollInterval)
		a := c.controller.lastStatuses(ctx, []topology.Endpoint{promoted})[0]
		if a.leadsAfter(c.record.Term) {
			return a, nil
		}
		if _, ok := ct.state.Endpoints().Endpoint(promoted.ID); !ok && a.err != nil {
			return answer{}, errors.Errorf("promoted endpoint %s is no longer listed", promoted.ID)
		}
	}
	return answer{}, errors.Errorf("promoted endpoint %s does not lead a term after %d", promoted.ID, c.record.Term)
}
