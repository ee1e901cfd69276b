package succession

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	policy "eelgrassladder.example/eelgrassladder/internal/policy/succession"
	"eelgrassladder.example/eelgrassladder/internal/trade/lead"
	"eelgrassladder.example/eelgrassladder/internal/trade/roster"
	"eelgrassladder.example/eelgrassladder/internal/trade/statement"
	"eelgrassladder.example/eelgrassladder/internal/trade/tenure"
)

// recordPause is the wait before members that could not be recorded are
// recorded again. Each try is a priced call.
const recordPause = 2 * time.Second

// difference returns how the listed members of a group differ from the recorded
// ones. It lasts from when the record may be written, so that the proxies' turns
// come one after the other. The caller holds the mutex.
func (k *Keeper) difference(group string, w *watched, now time.Time) policy.Difference {
	m := policy.Compare(k.beliefs.Tenure(group).Members, k.beliefs.Roster().Group(group))
	if l := k.table.Lead(group); !m.Equal(w.membership) || !l.Open() || l.Term == 0 {
		w.membership, w.differs = m, now
	}
	others := slices.Collect(maps.Keys(k.beliefs.Proxies()))
	return policy.Difference{
		Membership: m, Lasted: now.Sub(w.differs), HasList: k.hasList(now), Turn: policy.Turn(k.name, others, group),
	}
}

// record writes the members of a group to its record, and what is known to be
// kept, for proxies that start when nobody is left that remembers. A member
// that has left is dropped once that position covers all that it received.
func (k *Keeper) record(ctx context.Context, group string, d policy.Difference) {
	before, l := k.beliefs.Tenure(group), k.table.Lead(group)
	members := addresses(k.beliefs.Roster().Group(group))
	kept, err := k.remembered(ctx, l)
	if err != nil || !d.Settled() {
		for _, id := range d.Left {
			members[id] = before.Members[id]
		}
	}
	after := before.WithMembers(members).WithKept(kept.Position)
	if before.Revision == 0 {
		after = after.WithPrimary(l.Endpoint, l.Term)
		after.Group, after.Holder = group, k.name
	}
	if err = k.write(ctx, after); err != nil {
		klog.InfoS("Members not recorded", "Group", group, "Error", err.Error())
		timer.Pause(ctx, k.timer, recordPause)
		return
	}
	klog.InfoS("Members recorded", "Group", group, "Joined", strings.Join(d.Joined, " "), "Left", strings.Join(d.Left, " "),
		"Members", len(members), "Kept", after.Kept.String(), "KeptFrom", kept.Source)
}

// remembered returns what is known to be kept. Where no answer to a commit is
// remembered, it is all that the primary has.
func (k *Keeper) remembered(ctx context.Context, l lead.Lead) (lead.Kept, error) {
	if l.Kept.Told {
		return l.Kept, nil
	}
	e, ok := k.beliefs.Roster().Endpoint(l.Endpoint)
	if !ok {
		return lead.Kept{}, errors.Errorf("endpoint %s is not listed", l.Endpoint)
	}
	s, reply, err := k.status(ctx, e)
	if err != nil {
		return lead.Kept{}, err
	}
	if reply.Code != statement.OK || !s.Primary || s.Term != l.Term {
		return lead.Kept{}, errors.Errorf("endpoint %s does not say that it leads term %d", e.ID, l.Term)
	}
	return lead.Kept{Position: s.Received, Source: e.ID, At: k.clock.Boot()}, nil
}

// write replaces the record of a group if nobody has since it was read.
func (k *Keeper) write(ctx context.Context, t tenure.Tenure) error {
	key := tenure.Key(t.Group)
	revision, err := k.store.Apply(ctx, []eelgrassladder.Expectation{{Key: key, Revision: t.Revision}},
		[]eelgrassladder.Put{{Key: key, Value: t.Bytes()}}, nil)
	if err != nil {
		return err
	}
	k.beliefs.LearnTenure(t.WithRevision(revision))
	return nil
}

// addresses returns the addresses of members by ID.
func addresses(members []roster.Endpoint) map[string]string {
	all := make(map[string]string, len(members))
	for _, e := range members {
		all[e.ID] = e.Address
	}
	return all
}

// status asks an endpoint for its status on a connection of its own.
func (k *Keeper) status(ctx context.Context, e roster.Endpoint) (roster.Status, statement.Reply, error) {
	c, err := k.dialer.Order(ctx, e)
	if err != nil {
		return roster.Status{}, statement.Reply{}, err
	}
	s, reply, err := c.Status(k.timer.Now().Add(probeTime))
	c.Release(err, reply.Position)
	return s, reply, err
}
