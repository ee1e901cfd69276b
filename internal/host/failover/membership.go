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

// recordPause is the wait before members that could not be recorded are
// recorded again. Each try is a priced call.
const recordPause = 2 * time.Second

// difference returns how the listed members of a group differ from the recorded
// ones. It lasts from when the record may be written, so that the proxies' turns
// come one after the other. The caller holds the mutex.
func (k *Controller) difference(group string, w *watched, now time.Time) policy.Difference {
	record := k.beliefs.Record(group)
	w.forget(record.Acknowledged, now)
	m := policy.Compare(record.Members, k.beliefs.Endpoints().Group(group))
	if !m.Equal(w.membership) || !k.table.Leader(group).Open() {
		w.membership, w.differs = m, now
	}
	d := policy.Difference{Membership: m, Lasted: now.Sub(w.differs), ListAge: k.hasList(now)}
	if d.ShouldRecord() {
		// Few groups differ at a time; the turn takes a look at all proxies.
		d.WriterIndex = policy.WriterIndex(k.name, k.beliefs.Proxies(), group)
	}
	return d
}

// record writes the members of a group to its record, for proxies that start
// when nobody is left that remembers. A member that has left is dropped once a
// replica holds all that the primary has had since: that is all that the member
// can have acknowledged.
func (k *Controller) record(ctx context.Context, group string, d policy.Difference) {
	before, l := k.beliefs.Record(group), k.table.Leader(group)
	if before.Closed {
		return // the change that closed it records the members
	}
	listed := k.beliefs.Endpoints().Group(group)
	members := addresses(listed)
	term, log, err := k.primary(ctx, l)
	after := before
	if err == nil && d.Settled() && k.held(ctx, listed, l.Endpoint, log) {
		after = after.WithAcknowledged(log)
	} else {
		for _, id := range d.Left {
			members[id] = before.Members[id]
		}
	}
	if before.Revision == 0 {
		after = after.WithPrimary(l.Endpoint, term)
		after.Group, after.Holder = group, k.name
	}
	switch {
	case maps.Equal(members, before.Members):
		err = errors.New("no replica holds what members that have left may have received")
	case after.Term > 0:
		err = k.write(ctx, after.WithMembers(members))
	}
	if err != nil {
		klog.InfoS("Members not recorded", "Group", group, "Error", err.Error())
		timer.Pause(ctx, k.timer, recordPause)
		return
	}
	klog.InfoS("Members recorded", "Group", group, "Joined", strings.Join(d.Joined, " "), "Left", strings.Join(d.Left, " "),
		"Members", len(members), "Log", log.String(), "Kept", after.Acknowledged.String())
}

// primary asks the primary for its term and the end of its log.
func (k *Controller) primary(ctx context.Context, l leader.State) (uint64, position.Position, error) {
	e, ok := k.beliefs.Endpoints().Endpoint(l.Endpoint)
	if !ok {
		return l.Term, position.Position{}, errors.Errorf("endpoint %s is not listed", l.Endpoint)
	}
	s, reply, err := k.dialer.Status(ctx, e, probeTime)
	if err != nil {
		return l.Term, position.Position{}, err
	}
	if reply.Code != statement.OK || !s.Primary || (l.Term > 0 && s.Term != l.Term) {
		return l.Term, position.Position{}, errors.Errorf("endpoint %s does not say that it leads term %d", e.ID, l.Term)
	}
	return s.Term, s.Received, nil
}

// held reports whether a replica holds a position of the primary's log.
func (k *Controller) held(ctx context.Context, listed []topology.Endpoint, primary string, p position.Position) bool {
	for _, e := range listed {
		if e.ID == primary {
			continue
		}
		if s, reply, err := k.dialer.Status(ctx, e, probeTime); err == nil && reply.Code == statement.OK && s.Received.UpToDateWith(p) {
			return true
		}
	}
	return false
}

// write replaces the record of a group if nobody has since it was read.
func (k *Controller) write(ctx context.Context, t leadership.Record) error {
	key := leadership.Key(t.Group)
	revision, err := k.store.Apply(ctx, []eelgrassladder.Expectation{{Key: key, Revision: t.Revision}},
		[]eelgrassladder.Put{{Key: key, Value: t.Bytes()}}, nil)
	if err != nil {
		return err
	}
	k.beliefs.LearnRecord(t.WithRevision(revision))
	return nil
}

// addresses returns the addresses of members by ID.
func addresses(members []topology.Endpoint) map[string]string {
	all := make(map[string]string, len(members))
	for _, e := range members {
		all[e.ID] = e.Address
	}
	return all
}
