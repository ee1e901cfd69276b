// Package failover watches the primaries of all groups and replaces those
// that fail or leave.
//
// A change of primary closes the group's record in the store, stops the old
// primary, suspends all members that the store lists, so that nothing more can
// be acknowledged, has the one with the longest log promoted if that log holds
// what is known to be kept, and opens the record for it once no proxy can still
// hold the old primary for the current one.
package failover

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/control"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/model/leadership"
	"eelgrassladder.example/eelgrassladder/internal/model/route"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
	policy "eelgrassladder.example/eelgrassladder/internal/policy/failover"
	"eelgrassladder.example/eelgrassladder/internal/table/scheduler"
)

const (
	// tick is how often the primaries are looked at.
	tick = 50 * time.Millisecond
	// probeTime bounds one question to a silent primary.
	probeTime = 200 * time.Millisecond
	// keptTime is how long a primary is kept after its replicas were found to
	// lag too little for a change.
	keptTime = 2 * time.Second
	// jitter spreads the proxies that see the same sign; the others then hear
	// of the change that the first has begun.
	jitter = 25 * time.Millisecond
)

// ClusterState are what the process takes to be in force.
type ClusterState interface {
	// Endpoints returns the endpoints in use.
	Endpoints() topology.Snapshot
	// Groups returns the names of the groups that routes lead to.
	Groups() map[string]bool
	// Routes returns the routes in force.
	Routes() route.Table
	// Members reads the members of a group from the store, none older than the
	// call, and the store's revision.
	Members(ctx context.Context, group string) ([]topology.Endpoint, uint64, error)
	// Proxies returns the addresses of the other proxies by name.
	Proxies() map[string]string
	// Record returns the record of a group, as the store last told it.
	Record(group string) leadership.Record
	// PromotionLock returns who may order promotions, as the store last told it.
	PromotionLock() leadership.PromotionLock
	// LearnUnwritten takes a primary that leads although the store has not taken
	// its record yet; the revision is that of the closed record.
	LearnUnwritten(t leadership.Record)
	// LearnRecord and LearnDuty take what the process itself has written.
	LearnRecord(t leadership.Record)
	LearnPromotionLock(d leadership.PromotionLock)
}

// Controller watches and replaces primaries. Use New, then Run.
type Controller struct {
	name     string
	timer    eelgrassladder.Timer
	clock    eelgrassladder.Clock
	table    *scheduler.Table
	dialer   *control.Dialer
	store    eelgrassladder.KeyValue
	promoter eelgrassladder.Promoter
	beliefs  ClusterState
	tasks    *task.Group
	notes    *Notes

	// mutex guards the fields below. It is a leaf.
	mutex sync.Mutex
	// watched is keyed by group.
	watched map[string]*watched
	// listed is when the keeper first saw an endpoint; zero for never.
	listed time.Time
	// ordered is the boot time at which this proxy last ordered a promotion;
	// zero for never.
	ordered time.Duration
	// changing counts the changes that this proxy has under way.
	changing int
}

// New returns a keeper for the proxy with the name.
func New(name string, t eelgrassladder.Timer, c eelgrassladder.Clock, table *scheduler.Table,
	dialer *control.Dialer, store eelgrassladder.KeyValue, p eelgrassladder.Promoter, b ClusterState, g *task.Group,
	o Observer,
) *Controller {
	return &Controller{
		name: name, timer: t, clock: c, table: table, dialer: dialer, store: store, promoter: p, beliefs: b, tasks: g,
		watched: map[string]*watched{}, notes: NewNotes(o),
	}
}

// Run watches the primaries until ctx ends.
func (k *Controller) Run(ctx context.Context) error {
	ticks := k.timer.Subscribe(tick)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks.C():
			for group := range k.beliefs.Groups() {
				k.look(group)
			}
		}
	}
}

// look judges one group.
func (k *Controller) look(group string) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	w, ok := k.watched[group]
	if !ok {
		w = &watched{}
		k.watched[group] = w
	}
	if d := k.difference(group, w, k.timer.Now()); d.ShouldRecord() && !w.recording {
		w.recording = true
		k.tasks.GoIsolated("members", func(ctx context.Context) {
			k.record(ctx, group, d)
			k.mutex.Lock()
			defer k.mutex.Unlock()
			w.recording = false
		})
	}
	if w.busy {
		return
	}
	e := k.evidence(group, w)
	if reason := policy.DecideReplacement(e); reason != policy.None {
		w.busy = true
		j := judgement{group: group, revision: k.beliefs.Record(group).Revision, reason: reason, evidence: e, again: w.refused, judgedAt: k.clock.SinceBoot()}
		k.tasks.GoIsolated("change of primary", func(ctx context.Context) {
			timer.Pause(ctx, k.timer, rand.N(jitter))
			k.judged(w, reason, k.change(ctx, j))
		})
		return
	}
	w.lacked = time.Time{}
	if policy.ShouldProbe(e) {
		w.busy = true
		k.tasks.GoIsolated("question to a primary", func(ctx context.Context) {
			defer k.rest(w)
			k.probe(ctx, group, w)
		})
	}
}

// judged notes whether a change of primary has begun, and lets the group be
// looked at again.
func (k *Controller) judged(w *watched, reason policy.Reason, begun bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	w.busy, w.refused = false, !begun
	if begun {
		w.lacked = time.Time{}
	}
	if !begun && reason == policy.Outpaced {
		w.kept = k.timer.Now()
	}
}

// rest lets the group be looked at again.
func (k *Controller) rest(w *watched) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	w.busy = false
}

// evidence collects what is known of a group's primary. The caller holds the
// mutex.
func (k *Controller) evidence(group string, w *watched) policy.Evidence {
	now, l, r := k.timer.Now(), k.table.Leader(group), k.beliefs.Endpoints()
	if w.primary != l.Endpoint {
		*w = watched{
			primary: l.Endpoint, began: now, members: w.members, left: w.left,
			membership: w.membership, differs: w.differs, recording: w.recording,
		}
	}
	w.see(r, group, l.Acknowledged.Position, now)
	if k.listed.IsZero() && len(w.members) > 0 {
		k.listed = now
	}
	e := policy.Evidence{ListAge: k.hasList(now), HasPrimary: l.Endpoint != "", Closed: l.Closed, StateAge: k.clock.SinceBoot() - l.Since}
	e.ClosedBySelf = l.Closed && k.beliefs.Record(group).Holder == k.name
	for _, one := range r.Group(group) {
		if one.ID != l.Endpoint && !one.Leaving {
			e.Successors++
		}
	}
	if !e.HasPrimary {
		if w.orphaned.IsZero() {
			w.orphaned = now
		}
		e.StateAge = now.Sub(w.orphaned)
		e.SilentFor = e.StateAge
		return e
	}
	w.orphaned = time.Time{}
	told, listed := r.Endpoint(l.Endpoint)
	e.Listed, e.Leaving = listed, listed && told.Leaving
	if listed {
		w.unlisted = time.Time{}
	} else if w.unlisted.IsZero() {
		w.unlisted = now
	}
	if !listed {
		e.Unlisted = now.Sub(w.unlisted)
		e.Failures = 1
	}
	h := k.table.Health(l.Endpoint)
	e.Failures = max(e.Failures, h.Failures)
	e.Refused, e.Running = h.Refused, h.Running
	heard := h.Heard
	if heard.Before(w.began) {
		heard = w.began
	}
	e.SilentFor = now.Sub(heard)
	e.ProbeFailed = !w.failed.IsZero() && w.failed.After(heard)
	if !h.OldestPendingWrite.IsZero() {
		e.StalledFor = now.Sub(h.OldestPendingWrite)
	}
	if w.kept.IsZero() || now.Sub(w.kept) > keptTime {
		e.OutpacedFor = k.table.OutpacedFor(group)
	}
	return e
}

// hasList returns how long this proxy has had the store's list. The caller
// holds the mutex.
func (k *Controller) hasList(now time.Time) time.Duration {
	if k.listed.IsZero() {
		return 0
	}
	return now.Sub(k.listed)
}

// probe asks a silent primary for its status on a connection of its own.
func (k *Controller) probe(ctx context.Context, group string, w *watched) {
	l := k.table.Leader(group)
	told, ok := k.beliefs.Endpoints().Endpoint(l.Endpoint)
	if !ok {
		return
	}
	_, _, err := k.dialer.Status(ctx, told, probeTime)
	if err != nil {
		klog.InfoS("Primary did not answer", "Group", group, "Endpoint", told.ID, "Reason", err.Error())
		k.mutex.Lock()
		defer k.mutex.Unlock()
		w.failed = k.timer.Now()
	}
}
