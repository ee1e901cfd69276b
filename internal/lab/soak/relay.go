package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/lab/link"
)

// namedRelay is a link of the run with its name in the schedule.
type namedRelay struct {
	name  string
	relay *link.Link
}

// addRelay puts a link before an address and returns where it listens.
func (r *Run) addRelay(g *task.Group, name, address string) (string, error) {
	l, err := link.New(g, address)
	if err != nil {
		return "", err
	}
	r.relays = append(r.relays, namedRelay{name: name, relay: l})
	return l.Address(), nil
}

// relayFault draws a fault of one link.
func (r *Run) relayFault(random *rand.Rand) fault {
	named := r.relays[random.IntN(len(r.relays))]
	delay := time.Duration(20+random.IntN(400)) * time.Millisecond
	kinds := []struct {
		name  string
		begin func()
	}{
		{fmt.Sprintf("delayed by %v", delay), func() { named.relay.Set(link.Conditions{Delay: delay}) }},
		{"cut there", func() { named.relay.Set(link.Conditions{CutThere: true}) }},
		{"cut back", func() { named.relay.Set(link.Conditions{CutBack: true}) }},
		{"cut", func() { named.relay.Set(link.Conditions{CutThere: true, CutBack: true}) }},
		{"reset", named.relay.Reset},
		{"silenced", named.relay.Silence},
	}
	k := kinds[random.IntN(len(kinds))]
	return fault{name: named.name + " " + k.name, begin: k.begin, end: func() { named.relay.Set(link.Conditions{}) }}
}
