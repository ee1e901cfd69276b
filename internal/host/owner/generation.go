package owner

import (
	"eelgrassladder.example/eelgrassladder/internal/model/group"
	"eelgrassladder.example/eelgrassladder/internal/peer/endpoint"
)

// spareConnections is how many connections to a member are opened before the
// first request, beside one a slot.
const spareConnections = 1

// generation is one term of the group with its connections. It is immutable.
type generation struct {
	// term is never zero.
	term uint64
	// primary is the name of the primary of the term.
	primary string
	// pools is keyed by the name of the member and never written to.
	pools map[string]*endpoint.Pool
}

// pool returns the pool of a member, or nil if g is nil or has none.
func (g *generation) pool(member string) *endpoint.Pool {
	if g == nil {
		return nil
	}
	return g.pools[member]
}

// current returns the generation in force, or nil.
func (o *Owner) current() *generation {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.generation
}

// install puts a term into force.
func (o *Owner) install(term uint64, primary string) {
	g := &generation{term: term, primary: primary, pools: map[string]*endpoint.Pool{}}
	described := o.Group()
	for _, m := range described.Members {
		g.pools[m.Name] = endpoint.NewPool(o.tasks, m, described.Name, o.credentials, term, m.Slots+spareConnections)
	}
	o.members.ResetHistory()
	o.mutex.Lock()
	o.generation = g
	o.highest = max(o.highest, term)
	o.mutex.Unlock()
	o.refresh(o.timer.Now())
}

// retire takes the term out of force and closes its connections.
func (o *Owner) retire() *generation {
	o.mutex.Lock()
	g := o.generation
	o.generation = nil
	o.mutex.Unlock()
	o.queue.SetMembers(nil)
	if g != nil {
		for _, p := range g.pools {
			p.Close()
		}
	}
	return g
}

// superseded asks for a new term if the generation is still in force.
func (o *Owner) superseded(g *generation) {
	if o.current() == g {
		o.askRaise("TermSuperseded", g.term)
	}
}

// grow gives members that joined the group a pool in the term in force.
func (o *Owner) grow(described group.Group) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.generation == nil {
		return
	}
	pools := map[string]*endpoint.Pool{}
	for _, m := range described.Members {
		if p, ok := o.generation.pools[m.Name]; ok {
			pools[m.Name] = p
			continue
		}
		pools[m.Name] = endpoint.NewPool(o.tasks, m, described.Name, o.credentials, o.generation.term, m.Slots)
	}
	o.generation = &generation{term: o.generation.term, primary: o.generation.primary, pools: pools}
}
