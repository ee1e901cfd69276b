package failover

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/model/leader"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
	policy "eelgrassladder.example/eelgrassladder/internal/policy/failover"
)

// listReadTimeout bounds one read of the store's list of members. The store
// usually answers in 4 ms.
const listReadTimeout = 400 * time.Millisecond

// requiredPosition returns the position that the log of the next primary must
// hold.
func (c *change) requiredPosition() (leader.Acknowledged, error) {
	ct := c.controller
	record := ct.state.Record(c.group)
	left := append(policy.Compare(record.Members, ct.state.Endpoints().Group(c.group)).Left, ct.unrecordedDepartures(c.group, record.Acknowledged)...)
	// The old primary does not count as departed: another member has received
	// whatever it acknowledged.
	left = slices.DeleteFunc(left, func(id string) bool { return id == c.old.ID })
	slices.Sort(left)
	left = slices.Compact(left)
	group, configured := ct.state.Routes().Group(c.group)
	floor, known := policy.AcknowledgedCommits{
		Replicated: !configured || group.Synchronous > 0,
		Recorded:   record.Acknowledged, Reported: ct.table.Leader(c.group).Acknowledged, PrimaryEnd: c.oldLog, MembersRecorded: len(record.Members) > 0,
		Left: left, MissingFor: ct.lackingFor(c.group), SilentFor: c.evidence.SilentFor + ct.clock.SinceBoot() - c.decidedAt,
	}.Floor()
	if !known {
		return leader.Acknowledged{}, errors.Errorf("what departed members had received is not known yet: %v", left)
	}
	return floor, nil
}

// noteOldLog notes the end of the old primary's log, under whichever ID it
// answered. It ignores a log that ends before the record's acknowledged position:
// a restarted process may have lost its log.
func (c *change) noteOldLog(old answer) {
	recorded := c.controller.state.Record(c.group).Acknowledged
	if old.err == nil && old.status.Received.UpToDateWith(recorded) {
		c.oldLog = leader.Acknowledged{Position: old.status.Received, Source: old.endpoint.ID, At: c.controller.clock.SinceBoot()}
	}
}

// readMembers returns the members of the group besides the old primary, and the
// store's revision: members that the store lists after the record was closed, and
// members that were listed recently. It reads the list anew because a member that
// this proxy has not seen yet may have acknowledged commits.
func (c *change) readMembers(ctx context.Context) ([]topology.Endpoint, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, listReadTimeout)
	defer cancel()
	listed, revision, err := c.controller.state.Members(ctx, c.group)
	if err != nil {
		return nil, 0, errors.WithMessagef(err, "reading the members of group %s", c.group)
	}
	c.listedAddresses = addresses(listed)
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

// candidates returns the endpoints that have answered.
func candidates(answers []answer) []policy.Candidate {
	all := make([]policy.Candidate, 0, len(answers))
	for _, a := range answers {
		if a.err == nil {
			all = append(all, policy.Candidate{ID: a.endpoint.ID, Received: a.status.Received, Leaving: a.endpoint.Leaving})
		}
	}
	return all
}

// elect returns the endpoint to promote: a replica, or the old primary if no
// replica's log holds all acknowledged commits. The revision is that of the
// store's list, for the log.
func (c *change) elect(replicas []answer, old answer, revision uint64) (topology.Endpoint, error) {
	floor, err := c.requiredPosition()
	if err != nil {
		return topology.Endpoint{}, err
	}
	next, ok := policy.Elect(candidates(replicas), floor.Position)
	if !ok {
		next, ok = policy.Elect(candidates([]answer{old}), floor.Position)
	}
	if !ok {
		return topology.Endpoint{}, c.noCandidate(replicas, floor)
	}
	all := append(replicas[:len(replicas):len(replicas)], old)
	klog.InfoS("Replica chosen", "Group", c.group, "Endpoint", next.ID, "Received", next.Received.String(),
		"Kept", floor.Position.String(), "KeptFrom", floor.Source, "KeptAgeMs", c.controller.age(floor).Milliseconds(),
		"KeptTold", floor.Observed, "Told", c.controller.table.Leader(c.group).Acknowledged.Position.String(), "Members", logEnds(all), "Listed", revision, "Token", c.record.Revision)
	for _, a := range all {
		if a.endpoint.ID == next.ID {
			return a.endpoint, nil
		}
	}
	return topology.Endpoint{}, errors.Errorf("elected endpoint %s is not a member", next.ID)
}

// age returns how long ago the source learned of an acknowledged position; zero
// for a position from the record.
func (ct *Controller) age(acknowledged leader.Acknowledged) time.Duration {
	if acknowledged.At == 0 {
		return 0
	}
	return ct.clock.SinceBoot() - acknowledged.At
}

// noCandidate notes that no member's log holds the required position, and returns
// the error that says so.
func (c *change) noCandidate(members []answer, floor leader.Acknowledged) error {
	c.controller.noteLacking(c.group)
	return errors.Errorf("no member's log holds the acknowledged position %v: %v", floor.Position, logEnds(members))
}

// logEnds returns the ID and the end of the log of each member that has answered,
// for log messages and errors.
func logEnds(members []answer) []string {
	all := make([]string, 0, len(members))
	for _, a := range members {
		if a.err == nil {
			all = append(all, a.endpoint.ID+"="+a.status.Received.String())
		}
	}
	slices.Sort(all)
	return all
}

// newestTerm returns the newest term that the members know, and the answer of a
// member that leads a later term than the old primary, or nil. A member that leads
// the old primary's own term is that primary under another ID: it has replaced
// nobody, and its replicas may be suspended.
func (c *change) newestTerm(ctx context.Context, others []topology.Endpoint) (uint64, *answer, error) {
	term := c.record.Term
	var leading *answer
	answers := c.statuses(ctx, others)
	for i, a := range answers {
		if a.err != nil {
			continue
		}
		if a.status.Primary && a.status.Term > c.record.Term {
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
// primary.
func (c *change) awaitPrimary(ctx context.Context, next topology.Endpoint) (answer, error) {
	ct := c.controller
	deadline := ct.clock.SinceBoot() + promotionTimeout
	for ct.clock.SinceBoot() < deadline && ctx.Err() == nil {
		timer.Pause(ctx, ct.timer, pollInterval)
		a := c.statuses(ctx, []topology.Endpoint{next})[0]
		if a.err == nil && a.status.Primary && a.status.Term > c.record.Term {
			return a, nil
		}
		if _, ok := ct.state.Endpoints().Endpoint(next.ID); !ok && a.err != nil {
			return answer{}, errors.Errorf("promoted endpoint %s is no longer listed", next.ID)
		}
	}
	return answer{}, errors.Errorf("promoted endpoint %s does not lead a term after %d", next.ID, c.record.Term)
}
