package node

import (
	"maps"
	"sync"
	"sync/atomic"

	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/trade/roster"
	"eelgrassladder.example/eelgrassladder/internal/trade/route"
	"eelgrassladder.example/eelgrassladder/internal/trade/tenure"
)

// Registry decodes what the platform keeps in its store.
type Registry interface {
	// Keys returns the key of the configuration and the prefix of the keys
	// of endpoints.
	Keys() (configuration, endpoints string)
	// Endpoint decodes an entry of an endpoint.
	Endpoint(i eelgrassladder.Item) (roster.Endpoint, error)
	// Routes decodes the configuration.
	Routes(i eelgrassladder.Item) (route.Table, error)
}

// beliefs is what the process takes to be in force. Its values are replaced
// whole, never changed.
type beliefs struct {
	routes atomic.Pointer[route.Table]
	roster atomic.Pointer[roster.Roster]

	// mutex guards the fields below. It is a leaf.
	mutex sync.Mutex
	// tenures is keyed by group. It is replaced, never changed.
	tenures map[string]tenure.Tenure
	// duty is the newest that is known.
	duty tenure.Duty
	// changed is told of each group whose record has changed.
	changed func(group string)
}

// newBeliefs returns beliefs without routes and endpoints.
func newBeliefs() *beliefs {
	b := &beliefs{changed: func(string) {}}
	b.routes.Store(&route.Table{})
	b.roster.Store(&roster.Roster{})
	return b
}

// Routes returns the routes in force.
func (b *beliefs) Routes() route.Table { return *b.routes.Load() }

// Roster returns the endpoints in use.
func (b *beliefs) Roster() roster.Roster { return *b.roster.Load() }

// setRoutes brings routes into force unless they are older than those that
// are, and reports whether it did.
func (b *beliefs) setRoutes(t route.Table) bool {
	for {
		old := b.routes.Load()
		if t.Version <= old.Version {
			return false
		}
		if b.routes.CompareAndSwap(old, &t) {
			klog.InfoS("Routes in force", "Version", t.Version, "Before", old.Version)
			return true
		}
	}
}

// Groups returns the names of the groups that routes lead to.
func (b *beliefs) Groups() map[string]bool { return b.Routes().Groups() }

// Tenure returns the record of a group.
func (b *beliefs) Tenure(group string) tenure.Tenure {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.tenures[group]
}

// Duty returns who may order promotions, as far as is known.
func (b *beliefs) Duty() tenure.Duty {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.duty
}

// LearnDuty takes a duty unless it is older than what is known.
func (b *beliefs) LearnDuty(d tenure.Duty) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if d.Revision > b.duty.Revision {
		b.duty = d
	}
}

// LearnTenure takes a record unless it is older than what is known.
func (b *beliefs) LearnTenure(t tenure.Tenure) {
	if b.keep(t) {
		b.changed(t.Group)
	}
}

// keep stores a record and reports whether it is new.
func (b *beliefs) keep(t tenure.Tenure) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if t.Revision <= b.tenures[t.Group].Revision {
		return false
	}
	tenures := maps.Clone(b.tenures)
	if tenures == nil {
		tenures = map[string]tenure.Tenure{}
	}
	tenures[t.Group] = t
	b.tenures = tenures
	return true
}
