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

// handoverWait is how long a new owner waits for the owner before it, if that
// one is alive, until it raises the term itself.
const handoverWait = 1200 * time.Millisecond

// handPause is the wait before a handover is offered again.
const handPause = 20 * time.Millisecond

// handTries is how often a handover is offered.
const handTries = 40

// Registry is the table of the groups that this proxy owns. Its rank is
// Owners.
type Registry struct {
	self  string
	timer eelgrassladder.Timer
	tasks *task.Group
	// make returns an owner that has not started.
	make func(g group.Group) *Owner
	// hand offers a group to another proxy.
	hand func(ctx context.Context, p membership.Proxy, group string, h Handover) bool

	mutex *lockrank.Mutex
	// owners is keyed by the name of the group.
	owners map[string]*Owner
	// handing holds the groups that are being handed over.
	handing map[string]*Owner
	// last is the owner of each group in the view before.
	last map[string]membership.Proxy
	// waiting is since when this proxy waits for a handover.
	waiting map[string]time.Time
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
		self: self, timer: t, tasks: g, make: create, hand: hand, mutex: lockrank.New(lockrank.Owners),
		owners: map[string]*Owner{}, handing: map[string]*Owner{},
		last: map[string]membership.Proxy{}, waiting: map[string]time.Time{},
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
	return len(r.owners) + len(r.handing)
}

// Run runs a request if this proxy owns its group.
func (r *Registry) Run(ctx context.Context, q request.Request) request.Answer {
	o := r.Find(q.Group)
	if q.Pin != 0 && o == nil {
		o = r.lingering(q.Group)
	}
	if o == nil {
		return moved()
	}
	return o.Run(ctx, q)
}

// Release gives up a pinned transaction.
func (r *Registry) Release(group string, pin uint64) {
	if o := r.Find(group); o != nil {
		o.Release(pin)
	}
	if o := r.lingering(group); o != nil {
		o.Release(pin)
	}
}

// lingering returns the owner that still serves open transactions of a group
// that was handed over.
func (r *Registry) lingering(group string) *Owner {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.handing[group]
}

// TakeOver takes over a group from the owner before and reports whether it did.
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

// SetGroups takes the groups of the host list, so that they can be taken over.
func (r *Registry) SetGroups(list hostlist.HostList) {
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
			delete(r.waiting, name)
			if held != nil && ok {
				r.pass(name, held, next)
			}
		case held != nil:
			if !held.Group().Equal(g) {
				held.Describe(g)
			}
		case r.mayStart(v, name):
			r.start(g, nil)
		}
		if ok {
			r.last[name] = next
		}
	}
}

// mayStart reports whether this proxy need not wait for a handover. The
// caller holds the mutex.
func (r *Registry) mayStart(v membership.View, name string) bool {
	before, ok := r.last[name]
	if !ok || before.Name == r.self {
		before, ok = ownership.PreviousOwner(v, name, r.self)
	}
	known, listed := v.Proxy(before.Name)
	if !ok || !listed || known.State == membership.Dead || known.Incarnation > before.Incarnation && before.Incarnation != 0 {
		return true
	}
	now := r.timer.Now()
	since, waiting := r.waiting[name]
	if !waiting {
		r.waiting[name] = now
		return false
	}
	return now.Sub(since) >= handoverWait
}

// start starts an owner. The caller holds the mutex.
func (r *Registry) start(g group.Group, h *Handover) {
	delete(r.waiting, g.Name)
	o := r.make(g)
	r.owners[g.Name] = o
	klog.InfoS("Group taken", "Group", g.Name, "Handover", h != nil)
	o.Start(r.tasks.Context(), h)
}

// pass hands a group over in the background. The caller holds the mutex.
func (r *Registry) pass(name string, o *Owner, next membership.Proxy) {
	if r.handing[name] != nil {
		return
	}
	delete(r.owners, name)
	r.handing[name] = o
	r.tasks.GoIsolated("hand over "+name, func(ctx context.Context) {
		h := o.Drain(ctx)
		taken := r.offer(ctx, next, name, h)
		klog.InfoS("Group handed over", "Group", name, "To", next.Name, "Taken", taken)
		o.Linger(ctx)
		r.mutex.Lock()
		delete(r.handing, name)
		r.mutex.Unlock()
	})
}

// offer offers a group to its next owner until it takes it or tries run out;
// then the next owner raises the term by itself.
func (r *Registry) offer(ctx context.Context, next membership.Proxy, name string, h Handover) bool {
	for range handTries {
		if ctx.Err() != nil {
			return false
		}
		if r.hand(ctx, next, name, h) {
			return true
		}
		timer.Pause(ctx, r.timer, handPause)
	}
	return false
}
