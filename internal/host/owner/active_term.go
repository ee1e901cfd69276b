package owner

import (
	"eelgrassladder.example/eelgrassladder/internal/model/group"
	"eelgrassladder.example/eelgrassladder/internal/peer/endpoint"
)

// spareConnections is how many connections beyond one per slot activate opens to
// each member before the first request.
const spareConnections = 1

// activeTerm is the term that the group serves in, with the connections that
// belong to it. Its fields do not change; the pools have locks of their own.
type activeTerm struct {
	// term is never zero.
	term uint64
	// primary is the name of the term's primary.
	primary string
	// pools is keyed by the name of the member. The map does not change once
	// Owner.active points to the value.
	pools map[string]*endpoint.Pool
}

// pool returns the connection pool of a member, or nil if a is nil or has no
// pool for the member.
func (a *activeTerm) pool(member string) *endpoint.Pool {
	if a == nil {
		return nil
	}
	return a.pools[member]
}

// current returns the active term, or nil while the group does not serve.
func (o *Owner) current() *activeTerm {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.active
}

// activate starts to serve the group in the term: it starts to open connections
// to all members, forgets the log history of the former primary, makes the term
// active, and applies the observations to it.
func (o *Owner) activate(term uint64, primary string) {
	active := &activeTerm{term: term, primary: primary, pools: map[string]*endpoint.Pool{}}
	g := o.Group()
	for _, m := range g.Members {
		active.pools[m.Name] = endpoint.NewPool(o.tasks, m, g.Name, o.credentials, term, m.Slots+spareConnections)
	}
	o.observations.ResetHistory()
	o.mutex.Lock()
	o.active = active
	o.highestTerm = max(o.highestTerm, term)
	o.mutex.Unlock()
	o.applyObservations(o.timer.Now())
}

// deactivate stops serving: it removes all members from the queue, closes the
// connections of the active term, and returns the active term that it ended, or
// nil if there was none.
func (o *Owner) deactivate() *activeTerm {
	o.mutex.Lock()
	active := o.active
	o.active = nil
	o.mutex.Unlock()
	o.queue.SetMembers(nil)
	if active != nil {
		for _, p := range active.pools {
			p.Close()
		}
	}
	return active
}

// reportSuperseded requests a new term because a member has refused the given
// one, unless it is no longer active.
func (o *Owner) reportSuperseded(active *activeTerm) {
	if o.current() == active {
		o.requestTerm("TermSuperseded", active.term)
	}
}

// updatePools replaces the active term by a copy that has a pool for each member
// of the group. It keeps the pools of members that stay and closes those of removed
// members; statements that run there end first. To a new member it starts to open one
// connection per slot, without spareConnections.
func (o *Owner) updatePools(g group.Group) {
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
	for name, p := range o.active.pools {
		if pools[name] == nil {
			p.Close()
		}
	}
	o.active = &activeTerm{term: o.active.term, primary: o.active.primary, pools: pools}
}
