package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/lab/relay"
)

// namedRelay is a relay with its name in the printed schedule.
type namedRelay struct {
	name  string
	relay *relay.Relay
}

// addRelay starts a relay to an address and returns the address that the relay
// listens on.
func (r *runner) addRelay(g *task.Group, name, address string) (string, error) {
	added, err := relay.New(g, address)
	if err != nil {
		return "", err
	}
	r.relays = append(r.relays, namedRelay{name: name, relay: added})
	return added.Address(), nil
}

// relayFault draws a fault of one relay. Resetting or blocking the open connections
// happens once, at the start of the fault.
func (r *runner) relayFault(random *rand.Rand) fault {
	named := r.relays[random.IntN(len(r.relays))]
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
	return fault{name: named.name + " " + k.name, begin: k.begin, end: func() { named.relay.SetConditions(relay.Conditions{}) }}
}
