// Package failover watches the primaries of all database groups and replaces
// those that fail or leave.
//
// A change of primary has these steps:
//
//  1. Close the group's record in the store, and tell all proxies, so that none sends
//     new work to the old primary or reports its commits as acknowledged.
//  2. Stop the old primary and suspend all members that the store lists, so that
//     no more commits can be acknowledged. If a proxy could not be told and the old
//     primary could not be stopped, wait until that proxy's proof has expired.
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

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/control"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/model/heartbeat"
	"eelgrassladder.example/eelgrassladder/internal/model/leadership"
	"eelgrassladder.example/eelgrassladder/internal/model/revision"
	"eelgrassladder.example/eelgrassladder/internal/model/route"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
	policy "eelgrassladder.example/eelgrassladder/internal/policy/failover"
	"eelgrassladder.example/eelgrassladder/internal/table/scheduler"
)

const (
	// watchInterval is how often each primary is checked.
	watchInterval = 50 * time.Millisecond
	// probeTimeout is the timeout of one status request to a member.
	probeTimeout = 200 * time.Millisecond
	// outpacedBackoff is how long after a change for the reason Outpaced could not
	// begin that reason is ignored.
	outpacedBackoff = 2 * time.Second
	// maxJitter is the longest random delay before a change. Several proxies detect a
	// failure at the same time; with the delay, most of them learn that another proxy
	// has begun the change before they try it themselves.
	maxJitter = 25 * time.Millisecond
)

// ClusterState is the state of the system as this process knows it.
type ClusterState interface {
	// Endpoints returns the endpoints in use.
	Endpoints() topology.Snapshot
	// Groups returns the names of the groups that at least one route uses.
	Groups() map[string]bool
	// Routes returns the current routes.
	Routes() route.Table
	// Members reads the members of a group and the store's revision from the
	// store. The answer is not older than the call.
	Members(ctx context.Context, group string) ([]topology.Endpoint, revision.Revision, error)
	// Proxies returns the addresses of the other proxies by name.
	Proxies() map[string]string
	// RegisteredProxies reads the names of the other proxies, by address, that are
	// registered in the store. The answer is not older than the call.
	RegisteredProxies(ctx context.Context) (map[string]string, error)
	// DepartedProxies returns the names of the proxies, by address, that may still run
	// although their registrations have ended. It reports whether it knows all of them.
	DepartedProxies() (map[string]string, bool)
	// Era returns the newest known era of the store; zero if the store names none.
	Era() uint64
	// Message returns a message with all known records, and Receive adopts those of another
	// proxy's message.
	Message() heartbeat.Message
	Receive(m heartbeat.Message)
	// StoredRevision reads the revision of a group's record from the store, in the era of the
	// store, whenever the record was written; zero if there is none. It also returns the era.
	// The answer is not older than the call.
	StoredRevision(ctx context.Context, group string) (stored revision.Revision, era uint64, err error)
	// CurrentRecord returns the latest known record of a group, or the one of a new primary that
	// is not written to the store yet.
	CurrentRecord(group string) leadership.Record
	// Record returns the latest known record of a group.
	Record(group string) leadership.Record
	// KnownRecords returns the latest known records by group. The map must not be modified.
	KnownRecords() map[string]leadership.Record
	// PromotionLock returns the latest known state of the promotion lock. The records that
	// were written before or with that state are known.
	PromotionLock() leadership.PromotionLock
	// LearnUnwritten adopts the record of a new primary that is not written to the
	// store yet. Its revision is that of the closed record in the store.
	LearnUnwritten(r leadership.Record)
	// LearnRecord and LearnPromotionLock adopt what this process has written to the
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
	informer Informer
	state    ClusterState
	tasks    *task.Group
	reporter *Reporter

	// mutex guards the fields below. The locks of the table and of the state may be
	// taken while it is held.
	mutex sync.Mutex
	// groups is keyed by the name of the group.
	groups map[string]*groupState
	// listedSince is when a member of any group was first seen in the store's list;
	// zero for never.
	listedSince time.Time
	// lastPromotion is the boot time at which this proxy last ordered a promotion, or the
	// platform last answered such an order; zero for never.
	lastPromotion time.Duration
	// unansweredSince is the boot time of the first order since the platform last answered
	// one of this proxy, or since there was none in doubt; zero if it has answered since.
	unansweredSince time.Duration
	// renewing is true while a task renews the promotion lock.
	renewing bool
	// changesUnderWay counts this proxy's changes of primary, of all groups, whose
	// record is closed.
	changesUnderWay int
	// elections holds the elections of each group that this process saw lately, oldest
	// first, by the name of the group.
	elections map[string][]sighting
	// recall is which proxies have told their records in the present era of the store.
	recall recall
}

// New returns a controller for the proxy with the given name. The observer is told the
// outcome of each attempt to change a primary.
func New(name string, t eelgrassladder.Timer, c eelgrassladder.Clock, table *scheduler.Table,
	dialer *control.Dialer, store eelgrassladder.KeyValue, p eelgrassladder.Promoter, i Informer, s ClusterState, g *task.Group,
	o Observer,
) *Controller {
	return &Controller{
		name: name, timer: t, clock: c, table: table, dialer: dialer, store: store, promoter: p, informer: i, state: s, tasks: g,
		groups: map[string]*groupState{}, reporter: NewReporter(o), elections: map[string][]sighting{},
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
			ct.enterEra()
			ct.noteAllElections()
			for group := range ct.state.Groups() {
				ct.checkGroup(group)
			}
			ct.renewLock()
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
	if !ct.state.Record(group).WrittenIn(ct.state.Era()) {
		ct.checkUnconfirmed(group, state)
		return
	}
	state.unconfirmedSince = time.Time{}
	if diff := ct.updateDiff(group, state, ct.timer.Now()); diff.ShouldRecord() && !state.recording {
		ct.startRecording(state, "recording of members", func(ctx context.Context) { ct.recordMembers(ctx, group, diff) })
	}
	if r, over := ct.electionOver(group); over && !state.recording {
		ct.startRecording(state, "end of an election", func(ctx context.Context) { ct.endElection(ctx, r) })
	}
	if state.busy {
		return
	}
	e := ct.updateEvidence(group, state)
	if reason := policy.DecideReplacement(e); reason != policy.None {
		state.busy = true
		d := decision{group: group, revision: ct.state.Record(group).Revision, reason: reason, evidence: e, retry: state.refused, decidedAt: ct.clock.SinceBoot()}
		ct.tasks.GoIsolated("change of primary", func(ctx context.Context) {
			timer.Pause(ctx, ct.timer, rand.N(maxJitter))
			ct.changeReturned(state, reason, ct.replacePrimary(ctx, d))
		})
		return
	}
	state.noCandidateSince = time.Time{}
	if policy.ShouldProbe(e) {
		state.busy = true
		ct.tasks.GoIsolated("probe of a primary", func(ctx context.Context) {
			defer ct.clearBusy(state)
			ct.probe(ctx, group, state)
		})
	}
}

// checkUnconfirmed starts the confirmation of a group's record, which is not written in the present
// era of the store, if it is this proxy's turn. It keeps the evidence of the primary up to date, on
// which a change may rest once the record is confirmed. The caller holds the mutex.
func (ct *Controller) checkUnconfirmed(group string, state *groupState) {
	now := ct.timer.Now()
	if state.unconfirmedSince.IsZero() {
		state.unconfirmedSince = now
	}
	if !state.busy {
		ct.updateEvidence(group, state)
	}
	if !state.recording && ct.mayConfirm(group, now.Sub(state.unconfirmedSince)) {
		ct.startRecording(state, "confirmation of a record", func(ctx context.Context) { ct.confirmRecord(ctx, group) })
	}
}

// startRecording starts a task that writes to the open record of a group. No other one may
// run. The caller holds the mutex.
func (ct *Controller) startRecording(state *groupState, name string, f func(ctx context.Context)) {
	state.recording = true
	ct.tasks.GoIsolated(name, func(ctx context.Context) {
		f(ctx)
		ct.mutex.Lock()
		defer ct.mutex.Unlock()
		state.recording = false
	})
}

// changeReturned records whether a change of primary has begun, and lets the group be
// checked again.
func (ct *Controller) changeReturned(state *groupState, reason policy.Reason, begun bool) {
	ct.mutex.Lock()
	defer ct.mutex.Unlock()
	state.busy, state.refused = false, !begun
	if begun {
		state.noCandidateSince = time.Time{}
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

// updateEvidence updates the group's state, and returns what this proxy knows of the
// group's primary. The caller holds the mutex.
func (ct *Controller) updateEvidence(group string, state *groupState) policy.Evidence {
	now, known, endpoints := ct.timer.Now(), ct.table.Leader(group), ct.state.Endpoints()
	if state.primary != known.Endpoint {
		*state = groupState{
			primary: known.Endpoint, primarySince: now, members: state.members, departed: state.departed,
			diff: state.diff, differsSince: state.differsSince, recording: state.recording, unconfirmedSince: state.unconfirmedSince,
		}
	}
	state.update(endpoints, group, known.Acknowledged.Position, now)
	if ct.listedSince.IsZero() && len(state.members) > 0 {
		ct.listedSince = now
	}
	e := policy.Evidence{ListAge: ct.listAge(now), HasPrimary: known.Endpoint != "", Closed: known.Closed, StateAge: ct.clock.SinceBoot() - known.Since}
	e.ClosedBySelf = known.Closed && ct.state.Record(group).Holder == ct.name
	for _, member := range endpoints.Group(group) {
		if member.ID != known.Endpoint && !member.Leaving {
			e.Successors++
		}
	}
	if !e.HasPrimary {
		if state.leaderlessSince.IsZero() {
			state.leaderlessSince = now
		}
		e.StateAge = now.Sub(state.leaderlessSince)
		e.SilentFor = e.StateAge
		return e
	}
	state.leaderlessSince = time.Time{}
	primary, listed := endpoints.Endpoint(known.Endpoint)
	e.Listed, e.Leaving = listed, listed && primary.Leaving
	if listed {
		state.unlistedSince = time.Time{}
	} else if state.unlistedSince.IsZero() {
		state.unlistedSince = now
	}
	if !listed {
		e.UnlistedFor = now.Sub(state.unlistedSince)
		e.Failures = 1
	}
	health := ct.table.Health(known.Endpoint)
	e.Failures = max(e.Failures, health.Failures)
	e.Refused, e.Reset, e.Running, e.Pooled = health.Refused, health.Reset, health.Running, health.Pooled
	lastAnswer := health.LastAnswer
	if lastAnswer.Before(state.primarySince) {
		lastAnswer = state.primarySince
	}
	e.SilentFor = now.Sub(lastAnswer)
	e.ProbeFailed = !state.probeFailedAt.IsZero() && state.probeFailedAt.After(lastAnswer)
	if !health.OldestPendingWrite.IsZero() {
		e.StalledFor = now.Sub(health.OldestPendingWrite)
	}
	if state.outpacedRejectedAt.IsZero() || now.Sub(state.outpacedRejectedAt) > outpacedBackoff {
		e.OutpacedFor = ct.table.OutpacedFor(group)
	}
	return e
}

// listAge returns how long this proxy has had the store's list of endpoints; zero if
// no member was listed yet. The caller holds the mutex.
func (ct *Controller) listAge(now time.Time) time.Duration {
	if ct.listedSince.IsZero() {
		return 0
	}
	return now.Sub(ct.listedSince)
}

// probe asks the primary for its status and records the time if it does not answer.
func (ct *Controller) probe(ctx context.Context, group string, state *groupState) {
	known := ct.table.Leader(group)
	primary, ok := ct.state.Endpoints().Endpoint(known.Endpoint)
	if !ok {
		return
	}
	_, err := ct.dialer.Probe(ctx, primary, probeTimeout)
	if err != nil && !errors.Is(err, eelgrassladder.ErrUnclearAnswer) {
		klog.InfoS("Primary did not answer", "Group", group, "Endpoint", primary.ID, "Reason", err.Error())
		ct.mutex.Lock()
		defer ct.mutex.Unlock()
		state.probeFailedAt = ct.timer.Now()
	}
}
