package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/lab/relay"
)

// way is a link of the run with its name in the schedule.
type way struct {
	name string
	link *relay.Relay
}

// link puts a link before an address and returns where it listens.
func (r *runner) link(g *task.Group, name, address string) (string, error) {
	l, err := relay.New(g, address)
	if err != nil {
		return "", err
	}
	r.links = append(r.links, way{name: name, link: l})
	return l.Address(), nil
}

// linkFault draws a fault of one link.
func (r *runner) linkFault(random *rand.Rand) fault {
	w := r.links[random.IntN(len(r.links))]
	delay := time.Duration(20+random.IntN(400)) * time.Millisecond
	kinds := []struct {
		name  string
		begin func()
	}{
		{fmt.Sprintf("delayed by %v", delay), func() { w.link.SetConditions(relay.Conditions{Delay: delay}) }},
		{"cut there", func() { w.link.SetConditions(relay.Conditions{BlockForward: true}) }},
		{"cut back", func() { w.link.SetConditions(relay.Conditions{BlockBackward: true}) }},
		{"cut", func() { w.link.SetConditions(relay.Conditions{BlockForward: true, BlockBackward: true}) }},
		{"reset", w.link.ResetOpen},
		{"silenced", w.link.BlockOpen},
	}
	k := kinds[random.IntN(len(kinds))]
	return fault{name: w.name + " " + k.name, begin: k.begin, end: func() { w.link.SetConditions(relay.Conditions{}) }}
}
