package failover

import (
	"context"
	"maps"
	"strings"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/model/leader"
	"eelgrassladder.example/eelgrassladder/internal/model/leadership"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/statement"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
	policy "eelgrassladder.example/eelgrassladder/internal/policy/failover"
)

// recordRetryDelay is the wait after a failure to record members. Each attempt
// costs a call that the platform charges for.
const recordRetryDelay = 2 * time.Second

// difference returns how the listed members of a group differ from the recorded
// ones, and for how long. The time counts only while the record may be written,
// so that the proxies take their turns one after the other. The caller holds the
// mutex.
func (ct *Controller) difference(group string, state *groupState, now time.Time) policy.ObservedDiff {
	record := ct.state.Record(group)
	state.forgetDeparted(record.Acknowledged, now)
	m := policy.Compare(record.Members, ct.state.Endpoints().Group(group))
	if !m.Equal(state.membership) || !ct.table.Leader(group).Open() {
		state.membership, state.differsSince = m, now
	}
	d := policy.ObservedDiff{MemberDiff: m, Lasted: now.Sub(state.differsSince), ListAge: ct.listAge(now)}
	if d.ShouldRecord() {
		// The turn is computed only here because it visits all proxies, and few
		// groups differ at a time.
		d.WriterIndex = policy.WriterIndex(ct.name, ct.state.Proxies(), group)
	}
	return d
}

// recordMembers writes the members of a group to its record, for proxies that
// start when no running proxy knows the members any more. It drops a departed
// member once a replica holds everything in the primary's log, which includes all
// that the member can have acknowledged.
func (ct *Controller) recordMembers(ctx context.Context, group string, d policy.ObservedDiff) {
	before, l := ct.state.Record(group), ct.table.Leader(group)
	if before.Closed {
		return // the change of primary that closed it records the members
	}
	listed := ct.state.Endpoints().Group(group)
	members := addresses(listed)
	term, log, err := ct.primaryLog(ctx, l)
	after := before
	if err == nil && d.LeaveConfirmed() && ct.replicated(ctx, listed, l.Endpoint, log) {
		after = after.WithAcknowledged(log)
	} else {
		for _, id := range d.Left {
			members[id] = before.Members[id]
		}
	}
	if before.Revision == 0 {
		after = after.WithPrimary(l.Endpoint, term)
		after.Group, after.Holder = group, ct.name
	}
	switch {
	case maps.Equal(members, before.Members):
		err = errors.Errorf("no replica is known to hold what departed members may have received: %v", d.Left)
	case after.Term > 0:
		err = ct.writeRecord(ctx, after.WithMembers(members))
	}
	if err != nil {
		klog.InfoS("Could not record the members of the group", "Group", group, "Error", err.Error())
		timer.Pause(ctx, ct.timer, recordRetryDelay)
		return
	}
	klog.InfoS("Members recorded", "Group", group, "Joined", strings.Join(d.Joined, " "), "Left", strings.Join(d.Left, " "),
		"Members", len(members), "Log", log.String(), "Kept", after.Acknowledged.String())
}

// primaryLog asks the primary for its term and the end of its log. An error means
// that the primary did not confirm that it leads; the term is then the known one.
func (ct *Controller) primaryLog(ctx context.Context, l leader.State) (uint64, position.Position, error) {
	e, ok := ct.state.Endpoints().Endpoint(l.Endpoint)
	if !ok {
		return l.Term, position.Position{}, errors.Errorf("endpoint %s is not listed", l.Endpoint)
	}
	s, reply, err := ct.dialer.Status(ctx, e, probeTimeout)
	if err != nil {
		return l.Term, position.Position{}, err
	}
	if reply.Code != statement.OK || !s.Primary || (l.Term > 0 && s.Term != l.Term) {
		return l.Term, position.Position{}, errors.Errorf("endpoint %s does not confirm that it leads term %d", e.ID, l.Term)
	}
	return s.Term, s.Received, nil
}

// replicated reports whether at least one replica's log holds the position.
func (ct *Controller) replicated(ctx context.Context, listed []topology.Endpoint, primary string, p position.Position) bool {
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

// writeRecord replaces the record of a group, unless it has changed in the store
// since it was read.
func (ct *Controller) writeRecord(ctx context.Context, t leadership.Record) error {
	key := leadership.Key(t.Group)
	revision, err := ct.store.Apply(ctx, []eelgrassladder.Expectation{{Key: key, Revision: t.Revision}},
		[]eelgrassladder.Put{{Key: key, Value: t.Bytes()}}, nil)
	if err != nil {
		return err
	}
	ct.state.LearnRecord(t.WithRevision(revision))
	return nil
}

// addresses returns the addresses of the members, keyed by ID.
func addresses(members []topology.Endpoint) map[string]string {
	all := make(map[string]string, len(members))
	for _, e := range members {
		all[e.ID] = e.Address
	}
	return all
}
