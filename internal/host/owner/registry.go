package owner

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/model/group"
	"eelgrassladder.example/eelgrassladder/internal/model/hostlist"
	"eelgrassladder.example/eelgrassladder/internal/model/membership"
	"eelgrassladder.example/eelgrassladder/internal/model/request"
	"eelgrassladder.example/eelgrassladder/internal/policy/ownership"
	"eelgrassladder.example/eelgrassladder/internal/table/lockrank"
)

// handoverTimeout is how long this proxy waits for the handover of a group whose
// previous owner is alive. After that it raises the term instead.
const handoverTimeout = 1200 * time.Millisecond

// handoverRetryPause is the delay before a handover is offered again.
const handoverRetryPause = 20 * time.Millisecond

// maxHandoverTries is the maximum number of times that a handover is offered.
const maxHandoverTries = 40

// Registry is the table of the groups that this proxy owns. Its lock rank is
// lockrank.Owners.
type Registry struct {
	// self is the name of this proxy.
	self  string
	timer eelgrassladder.Timer
	tasks *task.Group
	// newOwner returns an owner that is not started.
	newOwner func(g group.Group) *Owner
	// sendHandover offers a group to another proxy and reports whether that
	// proxy took it over.
	sendHandover func(ctx context.Context, p membership.Proxy, group string, h Handover) bool

	mutex *lockrank.Mutex
	// owners is keyed by the name of the group.
	owners map[string]*Owner
	// handingOver holds the owners whose group is being handed over, keyed by
	// the name of the group.
	handingOver map[string]*Owner
	// previousOwners holds the owner of each group in the last view that was
	// reconciled, keyed by the name of the group.
	previousOwners map[string]membership.Proxy
	// waitingSince holds when this proxy began to wait for the handover of a
	// group, keyed by the group's name.
	waitingSince map[string]time.Time
	// groups is the latest host list's groups, keyed by name. Only these can
	// be taken over.
	groups map[string]group.Group
	// finder caches owners while the view stays the same.
	finder ownership.Finder
	// leaving is true if this proxy is not live in the last view that was
	// reconciled. It then takes over no more groups.
	leaving bool
}

// NewRegistry returns a registry without groups.
func NewRegistry(
	self string, t eelgrassladder.Timer, g *task.Group, newOwner func(group.Group) *Owner,
	sendHandover func(context.Context, membership.Proxy, string, Handover) bool,
) *Registry {
	return &Registry{
		self: self, timer: t, tasks: g, newOwner: newOwner, sendHandover: sendHandover, mutex: lockrank.New(lockrank.Owners),
		owners: map[string]*Owner{}, handingOver: map[string]*Owner{},
		previousOwners: map[string]membership.Proxy{}, waitingSince: map[string]time.Time{},
	}
}

// Find returns the owner of a group at this proxy, or nil.
func (r *Registry) Find(group string) *Owner {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.owners[group]
}

// All returns the owners at this proxy.
func (r *Registry) All() []*Owner {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	owners := make([]*Owner, 0, len(r.owners))
	for _, o := range r.owners {
		owners = append(owners, o)
	}
	return owners
}

// Len returns how many groups this proxy owns or is handing over.
func (r *Registry) Len() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.owners) + len(r.handingOver)
}

// Run runs a request if this proxy owns its group. A request of an open
// transaction also runs if this proxy is handing the group over.
func (r *Registry) Run(ctx context.Context, q request.Request) request.Answer {
	o := r.Find(q.Group)
	if q.Pin != 0 && o == nil {
		o = r.findHandingOver(q.Group)
	}
	if o == nil {
		return movedAnswer()
	}
	return o.Run(ctx, q)
}

// RollBack rolls back a pinned transaction that its caller has abandoned.
func (r *Registry) RollBack(group string, pin uint64) {
	if o := r.Find(group); o != nil {
		o.RollBack(pin)
	}
	if o := r.findHandingOver(group); o != nil {
		o.RollBack(pin)
	}
}

// findHandingOver returns the owner of a group that is being handed over, or
// nil. It still serves the group's open transactions.
func (r *Registry) findHandingOver(group string) *Owner {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.handingOver[group]
}

// TakeOver takes over a group with the state of its previous owner. It reports
// false if the group is unknown or owned here already, or if this proxy is
// leaving.
func (r *Registry) TakeOver(name string, h Handover) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	g, ok := r.groups[name]
	if !ok || r.leaving || r.owners[name] != nil {
		return false
	}
	r.start(g, &h)
	return true
}

// SetGroups sets the groups that can be taken over to those of the host list.
func (r *Registry) SetGroups(list hostlist.HostList) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.groups = list.Groups
}

// Reconcile starts, updates and hands over owners so that this proxy runs those
// groups of the host list that it owns in the view. It does not change owners of
// groups that are not in the list, or while no proxy is live.
func (r *Registry) Reconcile(v membership.View, list hostlist.HostList) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	self, _ := v.Proxy(r.self)
	r.leaving = self.State != membership.Live
	for name, g := range list.Groups {
		next, ok := r.finder.Owner(v, name)
		running := r.owners[name]
		switch {
		case !ok && running == nil:
		case !ok || next.Name != r.self:
			delete(r.waitingSince, name)
			if running != nil && ok {
				r.handOver(name, running, next)
			}
		case running != nil:
			if !running.Group().Equal(g) {
				running.UpdateGroup(g)
			}
		case r.mayStart(v, name):
			r.start(g, nil)
		}
		if ok {
			r.previousOwners[name] = next
		}
	}
}

// mayStart reports whether this proxy may start a group without a handover:
// there is no previous owner in the view, it is dead or has restarted, or the
// wait for its handover has timed out. The first call for a group starts that
// wait. The caller holds the mutex.
func (r *Registry) mayStart(v membership.View, name string) bool {
	previous, ok := r.previousOwners[name]
	if !ok || previous.Name == r.self {
		previous, ok = ownership.LikelyPreviousOwner(v, name, r.self)
	}
	current, listed := v.Proxy(previous.Name)
	if !ok || !listed || current.State == membership.Dead || current.Incarnation > previous.Incarnation && previous.Incarnation != 0 {
		return true
	}
	now := r.timer.Now()
	since, waiting := r.waitingSince[name]
	if !waiting {
		r.waitingSince[name] = now
		return false
	}
	return now.Sub(since) >= handoverTimeout
}

// start starts an owner of the group, with a handover unless h is nil. The
// caller holds the mutex.
func (r *Registry) start(g group.Group, h *Handover) {
	delete(r.waitingSince, g.Name)
	o := r.newOwner(g)
	r.owners[g.Name] = o
	klog.InfoS("Owner started", "Group", g.Name, "Handover", h != nil)
	o.Start(r.tasks.Context(), h)
}

// handOver hands over a group in the background, unless an earlier handover of
// it has not ended. The caller holds the mutex.
func (r *Registry) handOver(name string, o *Owner, next membership.Proxy) {
	if r.handingOver[name] != nil {
		return
	}
	delete(r.owners, name)
	r.handingOver[name] = o
	r.tasks.GoIsolated("hand over "+name, func(ctx context.Context) {
		h := o.Drain(ctx)
		taken := r.offerHandover(ctx, next, name, h)
		klog.InfoS("Handover finished", "Group", name, "To", next.Name, "Taken", taken)
		o.DrainTransactions(ctx)
		r.mutex.Lock()
		delete(r.handingOver, name)
		r.mutex.Unlock()
	})
}

// offerHandover offers a group to its next owner and reports whether it was
// accepted. If all tries fail, the next owner raises the term by itself.
func (r *Registry) offerHandover(ctx context.Context, next membership.Proxy, name string, h Handover) bool {
	for range maxHandoverTries {
		if ctx.Err() != nil {
			return false
		}
		if r.sendHandover(ctx, next, name, h) {
			return true
		}
		timer.Pause(ctx, r.timer, handoverRetryPause)
	}
	return false
}
