// Package failover watches the primaries of all database groups and replaces
// those that fail or leave.
//
// A change of primary has these steps:
//
//  1. Close the group's record in the store, so that no proxy sends new work to
//     the old primary.
//  2. Stop the old primary and suspend all members that the store lists, so that
//     no more commits can be acknowledged.
//  3. Promote the member with the longest log, if that log holds all commits that
//     are known to be acknowledged.
//  4. Wait until no proxy can still take the old primary for the current one.
//  5. Open the record for the new primary.
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
	// watchInterval is how often each primary is checked.
	watchInterval = 50 * time.Millisecond
	// probeTimeout bounds one status request to a member.
	probeTimeout = 200 * time.Millisecond
	// outpacedBackoff is how long an outpaced primary stays after its replicas were
	// found to lag too little for a change.
	outpacedBackoff = 2 * time.Second
	// maxJitter bounds the random delay before a change. Several proxies detect a
	// failure at the same time; with the delay, most of them learn that another
	// proxy has begun the change before they try it themselves.
	maxJitter = 25 * time.Millisecond
)

// ClusterState is the state of the system as this process knows it.
type ClusterState interface {
	// Endpoints returns the endpoints in use.
	Endpoints() topology.Snapshot
	// Groups returns the names of the groups that at least one route uses.
	Groups() map[string]bool
	// Routes returns the routes in force.
	Routes() route.Table
	// Members reads the members of a group and the store's revision from the
	// store. The answer is not older than the call.
	Members(ctx context.Context, group string) ([]topology.Endpoint, uint64, error)
	// Proxies returns the addresses of the other proxies by name.
	Proxies() map[string]string
	// Record returns the latest known record of a group.
	Record(group string) leadership.Record
	// PromotionLock returns the latest known state of the promotion lock.
	PromotionLock() leadership.PromotionLock
	// LearnUnwritten takes the record of a new primary that is not written to the
	// store yet. Its revision is that of the closed record in the store.
	LearnUnwritten(r leadership.Record)
	// LearnRecord and LearnPromotionLock take what this process has written to the
	// store.
	LearnRecord(r leadership.Record)
	LearnPromotionLock(l leadership.PromotionLock)
}

// Controller watches the primaries of all groups and replaces them. Use New, then
// Run.
type Controller struct {
	name     string
	timer    eelgrassladder.Timer
	clock    eelgrassladder.Clock
	table    *scheduler.Table
	dialer   *control.Dialer
	store    eelgrassladder.KeyValue
	promoter eelgrassladder.Promoter
	state    ClusterState
	tasks    *task.Group
	reporter *Reporter

	// mutex guards the fields below. It is a leaf.
	mutex sync.Mutex
	// groups is keyed by the name of the group.
	groups map[string]*groupState
	// listedSince is when an endpoint was first seen in the store's list; zero for
	// never.
	listedSince time.Time
	// lastPromotion is the boot time at which this proxy last ordered a promotion;
	// zero for never.
	lastPromotion time.Duration
	// changes counts the changes of primary that this proxy has under way.
	changes int
}

// New returns a controller for the proxy with the name. The observer is told of each
// change of primary.
func New(name string, t eelgrassladder.Timer, c eelgrassladder.Clock, table *scheduler.Table,
	dialer *control.Dialer, store eelgrassladder.KeyValue, p eelgrassladder.Promoter, s ClusterState, g *task.Group,
	o Observer,
) *Controller {
	return &Controller{
		name: name, timer: t, clock: c, table: table, dialer: dialer, store: store, promoter: p, state: s, tasks: g,
		groups: map[string]*groupState{}, reporter: NewReporter(o),
	}
}

// Run watches the primaries until ctx ends.
func (ct *Controller) Run(ctx context.Context) error {
	ticks := ct.timer.Subscribe(watchInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks.C():
			for group := range ct.state.Groups() {
				ct.checkGroup(group)
			}
		}
	}
}

// checkGroup decides whether the primary of a group must be replaced or probed,
// and whether the group's members must be recorded, and starts the task for it.
func (ct *Controller) checkGroup(group string) {
	ct.mutex.Lock()
	defer ct.mutex.Unlock()
	state, ok := ct.groups[group]
	if !ok {
		state = &groupState{}
		ct.groups[group] = state
	}
	if d := ct.difference(group, state, ct.timer.Now()); d.ShouldRecord() && !state.recording {
		state.recording = true
		ct.tasks.GoIsolated("recording of members", func(ctx context.Context) {
			ct.recordMembers(ctx, group, d)
			ct.mutex.Lock()
			defer ct.mutex.Unlock()
			state.recording = false
		})
	}
	if state.busy {
		return
	}
	e := ct.evidence(group, state)
	if reason := policy.DecideReplacement(e); reason != policy.None {
		state.busy = true
		d := decision{group: group, revision: ct.state.Record(group).Revision, reason: reason, evidence: e, retry: state.refused, decidedAt: ct.clock.SinceBoot()}
		ct.tasks.GoIsolated("change of primary", func(ctx context.Context) {
			timer.Pause(ctx, ct.timer, rand.N(maxJitter))
			ct.changeReturned(state, reason, ct.change(ctx, d))
		})
		return
	}
	state.lackingSince = time.Time{}
	if policy.ShouldProbe(e) {
		state.busy = true
		ct.tasks.GoIsolated("probe of a primary", func(ctx context.Context) {
			defer ct.clearBusy(state)
			ct.probe(ctx, group, state)
		})
	}
}

// changeReturned notes whether a change of primary had begun, and lets the group
// be checked again.
func (ct *Controller) changeReturned(state *groupState, reason policy.Reason, begun bool) {
	ct.mutex.Lock()
	defer ct.mutex.Unlock()
	state.busy, state.refused = false, !begun
	if begun {
		state.lackingSince = time.Time{}
	}
	if !begun && reason == policy.Outpaced {
		state.outpacedRejectedAt = ct.timer.Now()
	}
}

// clearBusy lets the group be checked again.
func (ct *Controller) clearBusy(state *groupState) {
	ct.mutex.Lock()
	defer ct.mutex.Unlock()
	state.busy = false
}

// evidence collects what this proxy knows of a group's primary, and updates the
// group's state. The caller holds the mutex.
func (ct *Controller) evidence(group string, state *groupState) policy.Evidence {
	now, l, endpoints := ct.timer.Now(), ct.table.Leader(group), ct.state.Endpoints()
	if state.primary != l.Endpoint {
		*state = groupState{
			primary: l.Endpoint, primarySince: now, members: state.members, departed: state.departed,
			membership: state.membership, differsSince: state.differsSince, recording: state.recording,
		}
	}
	state.update(endpoints, group, l.Acknowledged.Position, now)
	if ct.listedSince.IsZero() && len(state.members) > 0 {
		ct.listedSince = now
	}
	e := policy.Evidence{ListAge: ct.listAge(now), HasPrimary: l.Endpoint != "", Closed: l.Closed, StateAge: ct.clock.SinceBoot() - l.Since}
	e.ClosedBySelf = l.Closed && ct.state.Record(group).Holder == ct.name
	for _, member := range endpoints.Group(group) {
		if member.ID != l.Endpoint && !member.Leaving {
			e.Successors++
		}
	}
	if !e.HasPrimary {
		if state.orphanedSince.IsZero() {
			state.orphanedSince = now
		}
		e.StateAge = now.Sub(state.orphanedSince)
		e.SilentFor = e.StateAge
		return e
	}
	state.orphanedSince = time.Time{}
	primary, listed := endpoints.Endpoint(l.Endpoint)
	e.Listed, e.Leaving = listed, listed && primary.Leaving
	if listed {
		state.unlistedSince = time.Time{}
	} else if state.unlistedSince.IsZero() {
		state.unlistedSince = now
	}
	if !listed {
		e.Unlisted = now.Sub(state.unlistedSince)
		e.Failures = 1
	}
	health := ct.table.Health(l.Endpoint)
	e.Failures = max(e.Failures, health.Failures)
	e.Refused, e.Running = health.Refused, health.Running
	heard := health.LastAnswer
	if heard.Before(state.primarySince) {
		heard = state.primarySince
	}
	e.SilentFor = now.Sub(heard)
	e.ProbeFailed = !state.probeFailedAt.IsZero() && state.probeFailedAt.After(heard)
	if !health.OldestPendingWrite.IsZero() {
		e.StalledFor = now.Sub(health.OldestPendingWrite)
	}
	if state.outpacedRejectedAt.IsZero() || now.Sub(state.outpacedRejectedAt) > outpacedBackoff {
		e.OutpacedFor = ct.table.OutpacedFor(group)
	}
	return e
}

// listAge returns how long this proxy has had the store's list of endpoints. The
// caller holds the mutex.
func (ct *Controller) listAge(now time.Time) time.Duration {
	if ct.listedSince.IsZero() {
		return 0
	}
	return now.Sub(ct.listedSince)
}

// probe asks a silent primary for its status and notes the time of a failure.
func (ct *Controller) probe(ctx context.Context, group string, state *groupState) {
	l := ct.table.Leader(group)
	primary, ok := ct.state.Endpoints().Endpoint(l.Endpoint)
	if !ok {
		return
	}
	_, _, err := ct.dialer.Status(ctx, primary, probeTimeout)
	if err != nil {
		klog.InfoS("Primary did not answer", "Group", group, "Endpoint", primary.ID, "Reason", err.Error())
		ct.mutex.Lock()
		defer ct.mutex.Unlock()
		state.probeFailedAt = ct.timer.Now()
	}
}
