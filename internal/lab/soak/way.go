package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/lab/link"
)

// way is a link of the run with its name in the schedule.
type way struct {
	name string
	link *link.Link
}

// link puts a link before an address and returns where it listens.
func (r *Run) link(g *task.Group, name, address string) (string, error) {
	l, err := link.New(g, address)
	if err != nil {
		return "", err
	}
	r.links = append(r.links, way{name: name, link: l})
	return l.Address(), nil
}

// linkFault draws a fault of one link.
func (r *Run) linkFault(random *rand.Rand) fault {
	w := r.links[random.IntN(len(r.links))]
	delay := time.Duration(20+random.IntN(400)) * time.Millisecond
	kinds := []struct {
		name  string
		begin func()
	}{
		{fmt.Sprintf("delayed by %v", delay), func() { w.link.Set(link.Conditions{Delay: delay}) }},
		{"cut there", func() { w.link.Set(link.Conditions{CutThere: true}) }},
		{"cut back", func() { w.link.Set(link.Conditions{CutBack: true}) }},
		{"cut", func() { w.link.Set(link.Conditions{CutThere: true, CutBack: true}) }},
		{"reset", w.link.Reset},
		{"silenced", w.link.Silence},
	}
	k := kinds[random.IntN(len(kinds))]
	return fault{name: w.name + " " + k.name, begin: k.begin, end: func() { w.link.Set(link.Conditions{}) }}
}
