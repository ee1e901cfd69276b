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

// readTime bounds one reading of the store's list; the store answers in 4 ms.
const readTime = 400 * time.Millisecond

// floor returns what the next primary must hold.
func (c *change) floor() (leader.Acknowledged, error) {
	k := c.keeper
	record := k.beliefs.Record(c.group)
	left := append(policy.Compare(record.Members, k.beliefs.Endpoints().Group(c.group)).Left, k.unrecorded(c.group, record.Acknowledged)...)
	// What the old primary acknowledged, another member received.
	left = slices.DeleteFunc(left, func(id string) bool { return id == c.old.ID })
	slices.Sort(left)
	left = slices.Compact(left)
	group, configured := k.beliefs.Routes().Group(c.group)
	floor, known := policy.AcknowledgedCommits{
		Replicated: !configured || group.Synchronous > 0,
		Recorded:   record.Acknowledged, Reported: k.table.Leader(c.group).Acknowledged, PrimaryEnd: c.primary, MembersRecorded: len(record.Members) > 0,
		Left: left, MissingFor: k.lacked(c.group), SilentFor: c.evidence.SilentFor + k.clock.SinceBoot() - c.judgedAt,
	}.Floor()
	if !known {
		return leader.Acknowledged{}, errors.Errorf("it is not known yet what members that have left had received: %v", left)
	}
	return floor, nil
}

// tells notes the log of the old primary, whichever ID it answers under. One
// that started anew may have lost its log.
func (c *change) tells(old answer) {
	recorded := c.keeper.beliefs.Record(c.group).Acknowledged
	if old.err == nil && old.status.Received.UpToDateWith(recorded) {
		c.primary = leader.Acknowledged{Position: old.status.Received, Source: old.endpoint.ID, At: c.keeper.clock.SinceBoot()}
	}
}

// members returns the members of the group besides the old primary: those that
// the store lists once the record is closed, and those that were listed a
// moment ago. A member that has joined since this proxy's list may have
// acknowledged commits.
func (c *change) members(ctx context.Context) ([]topology.Endpoint, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, readTime)
	defer cancel()
	listed, revision, err := c.keeper.beliefs.Members(ctx, c.group)
	if err != nil {
		return nil, 0, errors.WithMessage(err, "members cannot be read")
	}
	c.listed = addresses(listed)
	c.keeper.sight(c.group, listed)
	return c.keeper.replicas(c.group, c.old.ID), revision, nil
}

// stoppable reports whether the old primary is likely to answer orders.
func (c *change) stoppable() bool {
	switch c.reason {
	case policy.Leaving, policy.Stalled, policy.Outpaced, policy.Abandoned:
		return c.old.Address != ""
	default:
		return false
	}
}

// candidates are the endpoints that have answered and could lead next.
func candidates(answers []answer) []policy.Candidate {
	all := make([]policy.Candidate, 0, len(answers))
	for _, a := range answers {
		if a.err == nil {
			all = append(all, policy.Candidate{ID: a.endpoint.ID, Received: a.status.Received, Leaving: a.endpoint.Leaving})
		}
	}
	return all
}

// elect returns the endpoint that leads next: a replica, or the old primary
// where no replica holds what is kept.
func (c *change) elect(replicas []answer, old answer, revision uint64) (topology.Endpoint, error) {
	kept, err := c.floor()
	if err != nil {
		return topology.Endpoint{}, err
	}
	next, ok := policy.Elect(candidates(replicas), kept.Position)
	if !ok {
		next, ok = policy.Elect(candidates([]answer{old}), kept.Position)
	}
	if !ok {
		return topology.Endpoint{}, c.lacking(replicas, kept)
	}
	all := append(replicas[:len(replicas):len(replicas)], old)
	klog.InfoS("Replica chosen", "Group", c.group, "Endpoint", next.ID, "Received", next.Received.String(),
		"Kept", kept.Position.String(), "KeptFrom", kept.Source, "KeptAgeMs", c.keeper.age(kept).Milliseconds(),
		"KeptTold", kept.Observed, "Told", c.keeper.table.Leader(c.group).Acknowledged.Position.String(), "Members", logs(all), "Listed", revision, "Token", c.record.Revision)
	for _, a := range all {
		if a.endpoint.ID == next.ID {
			return a.endpoint, nil
		}
	}
	return topology.Endpoint{}, errors.Errorf("endpoint %s is no member", next.ID)
}

// age returns how long ago a position was told; zero for one that the record
// tells.
func (k *Controller) age(kept leader.Acknowledged) time.Duration {
	if kept.At == 0 {
		return 0
	}
	return k.clock.SinceBoot() - kept.At
}

// lacking notes that no member holds what is kept.
func (c *change) lacking(members []answer, kept leader.Acknowledged) error {
	c.keeper.lack(c.group)
	return errors.Errorf("no member holds %v, which is kept: %v", kept.Position, logs(members))
}

// logs returns where the logs of members end, for a line of the log.
func logs(members []answer) []string {
	all := make([]string, 0, len(members))
	for _, a := range members {
		if a.err == nil {
			all = append(all, a.endpoint.ID+"="+a.status.Received.String())
		}
	}
	slices.Sort(all)
	return all
}

// newest returns the newest term that the members know, and the status of one
// that has replaced the old primary already. A member
// that leads the old primary's own term is that primary under another ID: it
// has replaced nobody, and the replicas may be suspended under it.
func (c *change) newest(ctx context.Context, others []topology.Endpoint) (uint64, *answer, error) {
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

// awaitLead asks a member until it leads a term above the old one.
func (c *change) awaitLead(ctx context.Context, next topology.Endpoint) (answer, error) {
	k := c.keeper
	end := k.clock.SinceBoot() + promoteTime
	for k.clock.SinceBoot() < end && ctx.Err() == nil {
		timer.Pause(ctx, k.timer, pollTime)
		a := c.statuses(ctx, []topology.Endpoint{next})[0]
		if a.err == nil && a.status.Primary && a.status.Term > c.record.Term {
			return a, nil
		}
		if _, ok := k.beliefs.Endpoints().Endpoint(next.ID); !ok && a.err != nil {
			return answer{}, errors.Errorf("endpoint %s is gone", next.ID)
		}
	}
	return answer{}, errors.Errorf("endpoint %s does not lead after term %d", next.ID, c.record.Term)
}
