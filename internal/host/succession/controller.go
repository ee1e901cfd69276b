// Package succession watches the primaries of all groups and replaces those
// that fail or leave.
//
// A change of primary closes the group's record in the store, stops the old
// primary, suspends all members that the store lists, so that nothing more can
// be acknowledged, has the one with the longest log promoted if that log holds
// what is known to be kept, and opens the record for it once no proxy can still
// hold the old primary for the current one.
package succession

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
	policy "eelgrassladder.example/eelgrassladder/internal/policy/succession"
	"eelgrassladder.example/eelgrassladder/internal/table/work"
	"eelgrassladder.example/eelgrassladder/internal/trade/roster"
	"eelgrassladder.example/eelgrassladder/internal/trade/route"
	"eelgrassladder.example/eelgrassladder/internal/trade/tenure"
)

const (
	// tick is how often the primaries are looked at.
	watchInterval = 50 * time.Millisecond
	// probeTime bounds one question to a silent primary.
	probeTimeout = 200 * time.Millisecond
	// keptTime is how long a primary is kept after its replicas were found to
	// lag too little for a change.
	outpacedBackoff = 2 * time.Second
	// jitter spreads the proxies that see the same sign; the others then hear
	// of the change that the first has begun.
	maxJitter = 25 * time.Millisecond
)

// Beliefs are what the process takes to be in force.
type Beliefs interface {
	// Roster returns the endpoints in use.
	Roster() roster.Roster
	// Groups returns the names of the groups that routes lead to.
	Groups() map[string]bool
	// Routes returns the routes in force.
	Routes() route.Table
	// Members reads the members of a group from the store, none older than the
	// call, and the store's revision.
	Members(ctx context.Context, group string) ([]roster.Endpoint, uint64, error)
	// Proxies returns the addresses of the other proxies by name.
	Proxies() map[string]string
	// Tenure returns the record of a group, as the store last told it.
	Tenure(group string) tenure.Tenure
	// Duty returns who may order promotions, as the store last told it.
	Duty() tenure.Duty
	// LearnOpened takes a primary that leads although the store has not taken
	// its record yet; the revision is that of the closed record.
	LearnOpened(t tenure.Tenure)
	// LearnTenure and LearnDuty take what the process itself has written.
	LearnTenure(t tenure.Tenure)
	LearnDuty(d tenure.Duty)
}

// Keeper watches and replaces primaries. Use New, then Run.
type Keeper struct {
	name     string
	timer    eelgrassladder.Timer
	clock    eelgrassladder.Clock
	table    *work.Table
	dialer   *control.Dialer
	store    eelgrassladder.KeyValue
	promoter eelgrassladder.Promoter
	beliefs  Beliefs
	tasks    *task.Group
	reporter *Reporter

	// mutex guards the fields below. It is a leaf.
	mutex sync.Mutex
	// watched is keyed by group.
	groups map[string]*groupState
	// listed is when the keeper first saw an endpoint; zero for never.
	listedSince time.Time
	// ordered is the boot time at which this proxy last ordered a promotion;
	// zero for never.
	lastPromotion time.Duration
	// changing counts the changes that this proxy has under way.
	changes int
}

// New returns a keeper for the proxy with the name.
func New(name string, t eelgrassladder.Timer, c eelgrassladder.Clock, table *work.Table,
	dialer *control.Dialer, store eelgrassladder.KeyValue, p eelgrassladder.Promoter, b Beliefs, g *task.Group,
	o Observer,
) *Keeper {
	return &Keeper{
		name: name, timer: t, clock: c, table: table, dialer: dialer, store: store, promoter: p, beliefs: b, tasks: g,
		groups: map[string]*groupState{}, reporter: NewReporter(o),
	}
}

// Run watches the primaries until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	ticks := k.timer.Subscribe(watchInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks.C():
			for group := range k.beliefs.Groups() {
				k.checkGroup(group)
			}
		}
	}
}

// look judges one group.
func (k *Keeper) checkGroup(group string) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	state, ok := k.groups[group]
	if !ok {
		state = &groupState{}
		k.groups[group] = state
	}
	if d := k.difference(group, state, k.timer.Now()); d.Records() && !state.recording {
		state.recording = true
		k.tasks.Detach("members", func(ctx context.Context) {
			k.recordMembers(ctx, group, d)
			k.mutex.Lock()
			defer k.mutex.Unlock()
			state.recording = false
		})
	}
	if state.busy {
		return
	}
	e := k.evidence(group, state)
	if reason := policy.Judge(e); reason != policy.None {
		state.busy = true
		d := decision{group: group, revision: k.beliefs.Tenure(group).Revision, reason: reason, evidence: e, retry: state.refused, decidedAt: k.clock.Boot()}
		k.tasks.Detach("change of primary", func(ctx context.Context) {
			timer.Pause(ctx, k.timer, rand.N(maxJitter))
			k.changeReturned(state, reason, k.change(ctx, d))
		})
		return
	}
	state.lackingSince = time.Time{}
	if policy.Asks(e) {
		state.busy = true
		k.tasks.Detach("question to a primary", func(ctx context.Context) {
			defer k.clearBusy(state)
			k.probe(ctx, group, state)
		})
	}
}

// judged notes whether a change of primary has begun, and lets the group be
// looked at again.
func (k *Keeper) changeReturned(state *groupState, reason policy.Reason, begun bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	state.busy, state.refused = false, !begun
	if begun {
		state.lackingSince = time.Time{}
	}
	if !begun && reason == policy.Outpaced {
		state.outpacedRejectedAt = k.timer.Now()
	}
}

// rest lets the group be looked at again.
func (k *Keeper) clearBusy(state *groupState) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	state.busy = false
}

// evidence collects what is known of a group's primary. The caller holds the
// mutex.
func (k *Keeper) evidence(group string, state *groupState) policy.Evidence {
	now, l, endpoints := k.timer.Now(), k.table.Lead(group), k.beliefs.Roster()
	if state.primary != l.Endpoint {
		*state = groupState{
			primary: l.Endpoint, primarySince: now, members: state.members, departed: state.departed,
			membership: state.membership, differsSince: state.differsSince, recording: state.recording,
		}
	}
	state.update(endpoints, group, l.Kept.Position, now)
	if k.listedSince.IsZero() && len(state.members) > 0 {
		k.listedSince = now
	}
	e := policy.Evidence{HasList: k.listAge(now), Known: l.Endpoint != "", Closed: l.Closed, Since: k.clock.Boot() - l.Since}
	e.Own = l.Closed && k.beliefs.Tenure(group).Holder == k.name
	for _, member := range endpoints.Group(group) {
		if member.ID != l.Endpoint && !member.Leaving {
			e.Successors++
		}
	}
	if !e.Known {
		if state.orphanedSince.IsZero() {
			state.orphanedSince = now
		}
		e.Since = now.Sub(state.orphanedSince)
		e.Silent = e.Since
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
	health := k.table.Health(l.Endpoint)
	e.Failures = max(e.Failures, health.Failures)
	e.Refused, e.Running = health.Refused, health.Running
	heard := health.Heard
	if heard.Before(state.primarySince) {
		heard = state.primarySince
	}
	e.Silent = now.Sub(heard)
	e.Probed = !state.probeFailedAt.IsZero() && state.probeFailedAt.After(heard)
	if !health.Waiting.IsZero() {
		e.Stalled = now.Sub(health.Waiting)
	}
	if state.outpacedRejectedAt.IsZero() || now.Sub(state.outpacedRejectedAt) > outpacedBackoff {
		e.Outpaced = k.table.Outpaced(group)
	}
	return e
}

// hasList returns how long this proxy has had the store's list. The caller
// holds the mutex.
func (k *Keeper) listAge(now time.Time) time.Duration {
	if k.listedSince.IsZero() {
		return 0
	}
	return now.Sub(k.listedSince)
}

// probe asks a silent primary for its status on a connection of its own.
func (k *Keeper) probe(ctx context.Context, group string, state *groupState) {
	l := k.table.Lead(group)
	primary, ok := k.beliefs.Roster().Endpoint(l.Endpoint)
	if !ok {
		return
	}
	_, _, err := k.dialer.Status(ctx, primary, probeTimeout)
	if err != nil {
		klog.InfoS("Primary did not answer", "Group", group, "Endpoint", primary.ID, "Reason", err.Error())
		k.mutex.Lock()
		defer k.mutex.Unlock()
		state.probeFailedAt = k.timer.Now()
	}
}
