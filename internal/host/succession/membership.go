package succession

import (
	"context"
	"maps"
	"strings"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	policy "eelgrassladder.example/eelgrassladder/internal/policy/succession"
	"eelgrassladder.example/eelgrassladder/internal/trade/lead"
	"eelgrassladder.example/eelgrassladder/internal/trade/position"
	"eelgrassladder.example/eelgrassladder/internal/trade/roster"
	"eelgrassladder.example/eelgrassladder/internal/trade/statement"
	"eelgrassladder.example/eelgrassladder/internal/trade/tenure"
)

// recordRetryDelay is the wait after a failure to record members. Each attempt
// costs a call that the platform charges for.
const recordRetryDelay = 2 * time.Second

// difference returns how the listed members of a group differ from the recorded
// ones, and for how long. The time counts only while the record may be written,
// so that the proxies take their turns one after the other. The caller holds the
// mutex.
func (k *Keeper) difference(group string, state *groupState, now time.Time) policy.Difference {
	record := k.beliefs.Tenure(group)
	state.forgetDeparted(record.Kept, now)
	m := policy.Compare(record.Members, k.beliefs.Roster().Group(group))
	if !m.Equal(state.membership) || !k.table.Lead(group).Open() {
		state.membership, state.differsSince = m, now
	}
	d := policy.Difference{Membership: m, Lasted: now.Sub(state.differsSince), HasList: k.listAge(now)}
	if d.Records() {
		// The turn is computed only here because it visits all proxies, and few
		// groups differ at a time.
		d.Turn = policy.Turn(k.name, k.beliefs.Proxies(), group)
	}
	return d
}

// recordMembers writes the members of a group to its record, for proxies that
// start when no running proxy knows the members any more. It drops a departed
// member once a replica holds everything in the primary's log, which includes all
// that the member can have acknowledged.
func (k *Keeper) recordMembers(ctx context.Context, group string, d policy.Difference) {
	before, l := k.beliefs.Tenure(group), k.table.Lead(group)
	if before.Closed {
		return // the change of primary that closed it records the members
	}
	listed := k.beliefs.Roster().Group(group)
	members := addresses(listed)
	term, log, err := k.primaryLog(ctx, l)
	after := before
	if err == nil && d.Settled() && k.replicated(ctx, listed, l.Endpoint, log) {
		after = after.WithKept(log)
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
		err = errors.Errorf("no replica is known to hold what departed members may have received: %v", d.Left)
	case after.Term > 0:
		err = k.writeRecord(ctx, after.WithMembers(members))
	}
	if err != nil {
		klog.InfoS("Could not record the members of the group", "Group", group, "Error", err.Error())
		timer.Pause(ctx, k.timer, recordRetryDelay)
		return
	}
	klog.InfoS("Members recorded", "Group", group, "Joined", strings.Join(d.Joined, " "), "Left", strings.Join(d.Left, " "),
		"Members", len(members), "Log", log.String(), "Kept", after.Kept.String())
}

// primaryLog asks the primary for its term and the end of its log. An error means
// that the primary did not confirm that it leads; the term is then the known one.
func (k *Keeper) primaryLog(ctx context.Context, l lead.Lead) (uint64, position.Position, error) {
	e, ok := k.beliefs.Roster().Endpoint(l.Endpoint)
	if !ok {
		return l.Term, position.Position{}, errors.Errorf("endpoint %s is not listed", l.Endpoint)
	}
	s, reply, err := k.dialer.Status(ctx, e, probeTimeout)
	if err != nil {
		return l.Term, position.Position{}, err
	}
	if reply.Code != statement.OK || !s.Primary || (l.Term > 0 && s.Term != l.Term) {
		return l.Term, position.Position{}, errors.Errorf("endpoint %s does not confirm that it leads term %d", e.ID, l.Term)
	}
	return s.Term, s.Received, nil
}

// replicated reports whether at least one replica's log holds the position.
func (k *Keeper) replicated(ctx context.Context, listed []roster.Endpoint, primary string, p position.Position) bool {
	for _, e := range listed {
		if e.ID == primary {
			continue
		}
		if s, reply, err := k.dialer.Status(ctx, e, probeTimeout); err == nil && reply.Code == statement.OK && s.Received.Holds(p) {
			return true
		}
	}
	return false
}

// writeRecord replaces the record of a group, unless it has changed in the store
// since it was read.
func (k *Keeper) writeRecord(ctx context.Context, t tenure.Tenure) error {
	key := tenure.Key(t.Group)
	revision, err := k.store.Apply(ctx, []eelgrassladder.Expectation{{Key: key, Revision: t.Revision}},
		[]eelgrassladder.Put{{Key: key, Value: t.Bytes()}}, nil)
	if err != nil {
		return err
	}
	k.beliefs.LearnTenure(t.WithRevision(revision))
	return nil
}

// addresses returns the addresses of the members, keyed by ID.
func addresses(members []roster.Endpoint) map[string]string {
	all := make(map[string]string, len(members))
	for _, e := range members {
		all[e.ID] = e.Address
	}
	return all
}
