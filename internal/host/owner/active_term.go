package owner

import (
	"eelgrassladder.example/eelgrassladder/internal/peer/endpoint"
	"eelgrassladder.example/eelgrassladder/internal/trade/group"
)

// spareConnections is how many connections to a member are opened before the
// first request, beside one a slot.
const spareConnections = 1

// activeTerm is one term of the group with its connections. It is immutable.
type activeTerm struct {
	// term is never zero.
	term uint64
	// primary is the name of the primary of the term.
	primary string
	// pools is keyed by the name of the member and never written to.
	pools map[string]*endpoint.Pool
}

// pool returns the pool of a member, or nil if a is nil or has none.
func (a *activeTerm) pool(member string) *endpoint.Pool {
	if a == nil {
		return nil
	}
	return a.pools[member]
}

// current returns the term in force, or nil.
func (o *Owner) current() *activeTerm {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.active
}

// activate puts a term into force.
func (o *Owner) activate(term uint64, primary string) {
	active := &activeTerm{term: term, primary: primary, pools: map[string]*endpoint.Pool{}}
	g := o.Group()
	for _, m := range g.Members {
		active.pools[m.Name] = endpoint.NewPool(o.tasks, m, g.Name, o.credentials, term, m.Slots+spareConnections)
	}
	o.members.Forget()
	o.mutex.Lock()
	o.active = active
	o.highestTerm = max(o.highestTerm, term)
	o.mutex.Unlock()
	o.refresh(o.timer.Now())
}

// deactivate takes the term out of force and closes its connections.
func (o *Owner) deactivate() *activeTerm {
	o.mutex.Lock()
	active := o.active
	o.active = nil
	o.mutex.Unlock()
	o.queue.SetPlaces(nil)
	if active != nil {
		for _, p := range active.pools {
			p.Close()
		}
	}
	return active
}

// reportSuperseded asks for a new term if the term is still in force.
func (o *Owner) reportSuperseded(active *activeTerm) {
	if o.current() == active {
		o.requestTerm("TermSuperseded", active.term)
	}
}

// addPools gives members that joined the group a pool in the term in force.
func (o *Owner) addPools(g group.Group) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.active == nil {
		return
	}
	pools := map[string]*endpoint.Pool{}
	for _, m := range g.Members {
		if p, ok := o.active.pools[m.Name]; ok {
			pools[m.Name] = p
			continue
		}
		pools[m.Name] = endpoint.NewPool(o.tasks, m, g.Name, o.credentials, o.active.term, m.Slots)
	}
	o.active = &activeTerm{term: o.active.term, primary: o.active.primary, pools: pools}
}
