package owner

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/policy/ownership"
	"eelgrassladder.example/eelgrassladder/internal/table/rank"
	"eelgrassladder.example/eelgrassladder/internal/trade/group"
	"eelgrassladder.example/eelgrassladder/internal/trade/hostlist"
	"eelgrassladder.example/eelgrassladder/internal/trade/membership"
	"eelgrassladder.example/eelgrassladder/internal/trade/request"
)

// handoverTimeout is how long a new owner waits for the owner before it, if that
// one is alive, until it raises the term itself.
const handoverTimeout = 1200 * time.Millisecond

// handoverRetryPause is the wait before a handover is offered again.
const handoverRetryPause = 20 * time.Millisecond

// maxHandoverTries is how often a handover is offered.
const maxHandoverTries = 40

// Registry is the table of the groups that this proxy owns. Its rank is
// Owners.
type Registry struct {
	self  string
	timer eelgrassladder.Timer
	tasks *task.Group
	// newOwner returns an owner that has not started.
	newOwner func(g group.Group) *Owner
	// sendHandover offers a group to another proxy.
	sendHandover func(ctx context.Context, p membership.Proxy, group string, h Handover) bool

	mutex *rank.Mutex
	// owners is keyed by the name of the group.
	owners map[string]*Owner
	// handingOver holds the groups that are being handed over.
	handingOver map[string]*Owner
	// previousOwners is the owner of each group in the view before.
	previousOwners map[string]membership.Proxy
	// waitingSince is since when this proxy waits for a handover.
	waitingSince map[string]time.Time
	// groups is the host list's groups as last reconciled.
	groups map[string]group.Group
	// finder remembers owners while the view stays the same.
	finder ownership.Finder
	// leaving is true once this proxy takes no more groups.
	leaving bool
}

// NewRegistry returns a registry without groups.
func NewRegistry(
	self string, t eelgrassladder.Timer, g *task.Group, create func(group.Group) *Owner,
	hand func(context.Context, membership.Proxy, string, Handover) bool,
) *Registry {
	return &Registry{
		self: self, timer: t, tasks: g, newOwner: create, sendHandover: hand, mutex: rank.New(rank.Owners),
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
	all := make([]*Owner, 0, len(r.owners))
	for _, o := range r.owners {
		all = append(all, o)
	}
	return all
}

// Len returns how many groups this proxy owns or is handing over.
func (r *Registry) Len() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.owners) + len(r.handingOver)
}

// Run runs a request if this proxy owns its group.
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

// Release gives up a pinned transaction.
func (r *Registry) Release(group string, pin uint64) {
	if o := r.Find(group); o != nil {
		o.Release(pin)
	}
	if o := r.findHandingOver(group); o != nil {
		o.Release(pin)
	}
}

// findHandingOver returns the owner that still serves open transactions of a group
// that was handed over.
func (r *Registry) findHandingOver(group string) *Owner {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.handingOver[group]
}

// Take takes over a group from the owner before and reports whether it did.
func (r *Registry) Take(name string, h Handover) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	g, ok := r.groups[name]
	if !ok || r.leaving || r.owners[name] != nil {
		return false
	}
	r.start(g, &h)
	return true
}

// Learn takes the groups of the host list, so that they can be taken over.
func (r *Registry) Learn(list hostlist.HostList) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.groups = list.Groups
}

// Reconcile starts, describes and hands over groups so that this proxy holds
// those that it owns in the view.
func (r *Registry) Reconcile(v membership.View, list hostlist.HostList) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	self, _ := v.Proxy(r.self)
	r.leaving = self.State != membership.Live
	for name, g := range list.Groups {
		next, ok := r.finder.Owner(v, name)
		held := r.owners[name]
		switch {
		case !ok && held == nil:
		case !ok || next.Name != r.self:
			delete(r.waitingSince, name)
			if held != nil && ok {
				r.handOver(name, held, next)
			}
		case held != nil:
			if !held.Group().Equal(g) {
				held.UpdateGroup(g)
			}
		case r.mayStart(v, name):
			r.start(g, nil)
		}
		if ok {
			r.previousOwners[name] = next
		}
	}
}

// mayStart reports whether this proxy need not wait for a handover. The
// caller holds the mutex.
func (r *Registry) mayStart(v membership.View, name string) bool {
	previous, ok := r.previousOwners[name]
	if !ok || previous.Name == r.self {
		previous, ok = ownership.Before(v, name, r.self)
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

// start starts an owner. The caller holds the mutex.
func (r *Registry) start(g group.Group, h *Handover) {
	delete(r.waitingSince, g.Name)
	o := r.newOwner(g)
	r.owners[g.Name] = o
	klog.InfoS("Group taken", "Group", g.Name, "Handover", h != nil)
	o.Start(r.tasks.Context(), h)
}

// handOver hands a group over in the background. The caller holds the mutex.
func (r *Registry) handOver(name string, o *Owner, next membership.Proxy) {
	if r.handingOver[name] != nil {
		return
	}
	delete(r.owners, name)
	r.handingOver[name] = o
	r.tasks.Detach("hand over "+name, func(ctx context.Context) {
		h := o.Drain(ctx)
		taken := r.offerHandover(ctx, next, name, h)
		klog.InfoS("Group handed over", "Group", name, "To", next.Name, "Taken", taken)
		o.DrainTransactions(ctx)
		r.mutex.Lock()
		delete(r.handingOver, name)
		r.mutex.Unlock()
	})
}

// offerHandover offers a group to its next owner until it takes it or tries run out;
// then the next owner raises the term by itself.
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
