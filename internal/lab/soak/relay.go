package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/lab/keyvalue"
	"eelgrassladder.example/eelgrassladder/internal/lab/relay"
)

// linkToStore ends the name of the relay from each proxy to the store.
const linkToStore = " to the store"

// endpointPrefix is the prefix of the keys of the members' entries in the store.
const endpointPrefix = "servers/"

// network is the relays between the parts of the system.
type network struct {
	// views holds the address of the store for the proxies of each data centre. In its
	// entries, each member has the address of the data centre's relay to it.
	views []string
	// repeating is true if the members' answers can be repeated, as determined by the seed.
	repeating bool
	seed      uint64

	// mutex guards the fields below. The locks of relays may be taken while it is held.
	mutex sync.Mutex
	// relays are all relays, in order of creation. Faults are injected into them.
	relays []namedRelay
	// stutterers are the relays to members behind those in relays, if repeating is true.
	stutterers []stutterer
	// byTarget holds the address of the relay from a data centre to the address of a
	// member.
	byTarget map[string]string
}

// namedRelay is a relay with its name in the printed schedule.
type namedRelay struct {
	name  string
	relay *relay.Relay
}

// add starts a relay to an address and returns the address that the relay listens on.
func (n *network) add(g *task.Group, name, address string) (string, error) {
	added, err := relay.New(g, address)
	if err != nil {
		return "", err
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.relays = append(n.relays, namedRelay{name: name, relay: added})
	return added.Address(), nil
}

// toMember returns the address of the relay from a data centre to the address of a
// member. It starts one if there is none.
func (n *network) toMember(g *task.Group, dataCentre int, id, address string) (string, error) {
	key := fmt.Sprint(dataCentre, " ", address)
	n.mutex.Lock()
	known, ok := n.byTarget[key]
	n.mutex.Unlock()
	if ok {
		return known, nil
	}
	target := address
	if n.repeating {
		var err error
		if target, err = n.addStutterer(g, id, address); err != nil {
			return "", err
		}
	}
	added, err := n.add(g, fmt.Sprintf("zone-%d to %s", dataCentre, id), target)
	if err != nil {
		return "", err
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if known, ok := n.byTarget[key]; ok {
		return known, nil // another read of the store was faster; the relay added here stays unused
	}
	if n.byTarget == nil {
		n.byTarget = map[string]string{}
	}
	n.byTarget[key] = added
	return added, nil
}

// named returns the relays whose names match.
func (n *network) named(match func(name string) bool) []namedRelay {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return slices.DeleteFunc(slices.Clone(n.relays), func(r namedRelay) bool { return !match(r.name) })
}

// repair removes the faults of all relays.
func (n *network) repair() {
	n.stopStutter()
	for _, named := range n.named(func(string) bool { return true }) {
		named.relay.SetConditions(relay.Conditions{})
	}
}

// serveViews starts a view of the store for each data centre, and the relays to the
// members, and returns the addresses of the views.
func (r *runner) serveViews(g *task.Group) ([]string, error) {
	var views []string
	for dataCentre := range r.plan.DataCentres {
		for _, group := range r.testbed.Groups {
			for _, m := range group.Members() {
				if _, err := r.network.toMember(g, dataCentre, m.ID, m.Address); err != nil {
					return nil, err
				}
			}
		}
		address, err := r.testbed.ServeView(r.rewriteFor(g, dataCentre))
		if err != nil {
			return nil, err
		}
		views = append(views, address)
	}
	return views, nil
}

// rewriteFor returns the rewriting of entries that replaces the address of each member by
// that of the data centre's relay to it.
func (r *runner) rewriteFor(g *task.Group, dataCentre int) keyvalue.Rewrite {
	return func(key string, value []byte) []byte {
		id, isMember := strings.CutPrefix(key, endpointPrefix)
		var entry struct{ Address string }
		if !isMember || json.Unmarshal(value, &entry) != nil {
			return value
		}
		address, err := r.network.toMember(g, dataCentre, id, entry.Address)
		if err != nil {
			return value
		}
		return bytes.Replace(value, []byte(`"`+entry.Address+`"`), []byte(`"`+address+`"`), 1)
	}
}

// relayFault draws a fault of one relay. Resetting or blocking the open connections
// happens once, at the start of the fault.
func (r *runner) relayFault(random *rand.Rand) fault {
	relays := r.network.named(func(string) bool { return true })
	named := relays[random.IntN(len(relays))]
	delay := time.Duration(20+random.IntN(400)) * time.Millisecond
	kinds := []struct {
		name  string
		begin func()
	}{
		{fmt.Sprintf("delayed by %v", delay), func() { named.relay.SetConditions(relay.Conditions{Delay: delay}) }},
		{"blocked forward", func() { named.relay.SetConditions(relay.Conditions{BlockForward: true}) }},
		{"blocked backward", func() { named.relay.SetConditions(relay.Conditions{BlockBackward: true}) }},
		{"blocked", func() { named.relay.SetConditions(relay.Conditions{BlockForward: true, BlockBackward: true}) }},
		{"open connections reset", named.relay.ResetOpen},
		{"open connections blocked", named.relay.BlockOpen},
	}
	k := kinds[random.IntN(len(kinds))]
	f := fault{name: named.name + " " + k.name, begin: k.begin, end: func() { named.relay.SetConditions(relay.Conditions{}) }}
	if strings.HasSuffix(named.name, linkToStore) {
		return r.disruptingStore(f, named.name)
	}
	return f
}
