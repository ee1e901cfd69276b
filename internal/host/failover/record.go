package failover

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/model/leader"
	"eelgrassladder.example/eelgrassladder/internal/model/leadership"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/revision"
	"eelgrassladder.example/eelgrassladder/internal/model/statement"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
	policy "eelgrassladder.example/eelgrassladder/internal/policy/failover"
)

// recordRetryDelay is the wait after a failure to record members. The platform
// charges for each attempt.
const recordRetryDelay = 2 * time.Second

// updateDiff compares the listed members of a group with the recorded ones, keeps the
// difference in the group's state, and returns it. It also drops departed members
// that no change of primary needs any more. The time of the difference restarts when
// the difference changes, and while the primary is unknown or being replaced, because
// the record is not written then and each proxy has to wait for its turn afterwards.
// The caller holds the mutex.
func (ct *Controller) updateDiff(group string, state *groupState, now time.Time) policy.ObservedDiff {
	record := ct.state.Record(group)
	state.forgetDeparted(record, now)
	diff := policy.Compare(record, ct.state.Endpoints().Group(group))
	if !diff.Equal(state.diff) || !ct.table.Leader(group).Open() {
		state.diff, state.differsSince = diff, now
	}
	observed := policy.ObservedDiff{MemberDiff: diff, Lasted: now.Sub(state.differsSince), ListAge: ct.listAge(now)}
	if observed.ShouldRecord() {
		// Without an index, ShouldRecord tells whether any proxy may write by now.
		// The index is computed only then because that visits all proxies, and few
		// groups differ at a time.
		observed.WriterIndex = policy.WriterIndex(ct.name, ct.state.Proxies(), group)
	}
	return observed
}

// recordMembers writes the members of a group to its record, for proxies that start
// when no running proxy knows the members any more. Once one replica's log holds the
// primary's whole log, it drops departed members and records the new starts of those that
// have started again: that log includes every commit that the logs which are gone can have
// helped to acknowledge.
func (ct *Controller) recordMembers(ctx context.Context, group string, observed policy.ObservedDiff) {
	before, known := ct.state.Record(group), ct.table.Leader(group)
	if before.Closed {
		return // the change of primary that closed it records the members
	}
	listed := ct.state.Endpoints().Group(group)
	term, logEnd, err := ct.primaryLogEnd(ctx, known)
	after := before
	confirmed := err == nil && ct.anyReplicaHolds(ctx, listed, known.Endpoint, logEnd)
	if confirmed {
		after = after.WithAcknowledged(logEnd)
	}
	after = after.WithMembers(membersToRecord(before, listed, observed, confirmed))
	if before.Revision == 0 {
		after = after.WithPrimary(known.Endpoint, term)
		after.Group, after.Holder = group, ct.name
	}
	// A term of zero means that the primary did not answer; err is then set.
	switch {
	case after.SameMembers(before):
		err = errors.Errorf("departed members %v stay recorded: primary %s did not confirm the end of its log, or no replica is known to hold that log", observed.Incomparable(), known.Endpoint)
	case after.Term > 0:
		_, err = ct.write(ctx, &after, nil)
	}
	if err != nil {
		klog.InfoS("Could not record the members of the group; the next attempt follows after a pause", "Group", group, "Error", err.Error())
		timer.Pause(ctx, ct.timer, recordRetryDelay)
		return
	}
	klog.InfoS("Members recorded", "Group", group, "Joined", strings.Join(observed.Joined, " "), "Left", strings.Join(observed.Left, " "),
		"Restarted", strings.Join(observed.Restarted, " "), "Members", len(after.Members), "Log", logEnd.String(), "Kept", after.Acknowledged.String())
}

// membersToRecord returns the listed members, and the recorded ones whose logs a change of
// primary must still miss: those that have left, and the former starts of those that have
// started again. If covered is true, the record covers all that these logs held.
func membersToRecord(before leadership.Record, listed []topology.Endpoint, observed policy.ObservedDiff, covered bool) []topology.Endpoint {
	diff := policy.Compare(before, listed)
	members := make([]topology.Endpoint, 0, len(listed)+len(diff.Left))
	for _, e := range listed {
		if !covered && slices.Contains(diff.Restarted, e.ID) {
			e = before.Member(e.ID)
		}
		members = append(members, e)
	}
	for _, id := range diff.Left {
		if !covered || !observed.LeaveConfirmed() || !slices.Contains(observed.Left, id) {
			members = append(members, before.Member(id))
		}
	}
	return members
}

// primaryLogEnd asks the primary for its term and the end of its log. An error means
// that the primary did not confirm that it leads; the term is then the one that this
// proxy knows, zero if none.
func (ct *Controller) primaryLogEnd(ctx context.Context, known leader.State) (uint64, position.Position, error) {
	e, ok := ct.state.Endpoints().Endpoint(known.Endpoint)
	if !ok {
		return known.Term, position.Position{}, errors.Errorf("primary %q is not listed", known.Endpoint)
	}
	s, reply, err := ct.dialer.Status(ctx, e, probeTimeout)
	if err != nil {
		return known.Term, position.Position{}, err
	}
	if reply.Code != statement.OK || !s.Primary || (known.Term > 0 && s.Term != known.Term) {
		return known.Term, position.Position{}, errors.Errorf("endpoint %s does not confirm that it leads term %d", e.ID, known.Term)
	}
	return s.Term, s.Received, nil
}

// anyReplicaHolds reports whether the log of at least one replica holds the position.
func (ct *Controller) anyReplicaHolds(ctx context.Context, listed []topology.Endpoint, primary string, p position.Position) bool {
	for _, e := range listed {
		if e.ID == primary {
			continue
		}
		if s, reply, err := ct.dialer.Status(ctx, e, probeTimeout); err == nil && reply.Code == statement.OK && s.Received.UpToDateWith(p) {
			return true
		}
	}
	return false
}

// write writes a group's record and the promotion lock to the store, in one transaction,
// unless the store has another revision of one of them by now. It returns the revision of
// what it has written, which this process then knows. A nil record or lock is left out. The record
// says in which era of the store it was decided, and is confirmed in no later one.
func (ct *Controller) write(ctx context.Context, r *leadership.Record, l *leadership.PromotionLock) (revision.Revision, error) {
	var expected []eelgrassladder.Expectation
	var puts []eelgrassladder.Put
	if r != nil {
		expected = append(expected, eelgrassladder.Expectation{Key: leadership.Key(r.Group), Revision: r.Revision})
		puts = append(puts, eelgrassladder.Put{Key: leadership.Key(r.Group), Value: r.Bytes()})
	}
	if l != nil {
		expected = append(expected, eelgrassladder.Expectation{Key: leadership.PromotionLockKey, Revision: l.Expected()})
		puts = append(puts, eelgrassladder.Put{Key: leadership.PromotionLockKey, Value: l.Bytes()})
	}
	asked := ct.clock.SinceBoot()
	written, err := ct.store.Apply(ctx, expected, puts, nil)
	if err != nil {
		return 0, err
	}
	if r != nil {
		if written.Era() != r.Era {
			return 0, errors.Errorf("the record was written in era %d of the store, and says %d", written.Era(), r.Era)
		}
		ct.state.LearnRecord(r.WithRevision(written))
	}
	if l != nil {
		ct.state.LearnPromotionLock(l.WithRevision(written, asked))
	}
	return written, nil
}
