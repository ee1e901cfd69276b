package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/lab/keyvalue"
	"eelgrassladder.example/eelgrassladder/internal/lab/member"
)

// fault is one entry of the schedule.
type fault struct {
	// at is when it begins, and lasts how long it holds.
	at, lasts time.Duration
	// name says what it is, and begin and end do it.
	name       string
	begin, end func()
}

// schedule draws faults for a run of the length.
func (r *runner) schedule(random *rand.Rand, length time.Duration) []fault {
	var all []fault
	for at := time.Second; at < length; at += time.Duration(300+random.IntN(1500)) * time.Millisecond {
		f := r.draw(random)
		f.at, f.lasts = at, time.Duration(200+random.IntN(3000))*time.Millisecond
		all = append(all, f)
	}
	return all
}

// draw draws one fault.
func (r *runner) draw(random *rand.Rand) fault {
	switch random.IntN(12) {
	case 0, 1, 2, 3:
		return r.memberFault(random)
	case 4, 5:
		return r.storeFault(random)
	case 6:
		return fault{name: "configuration", begin: func() { r.estate.Configure(nil) }, end: func() {}}
	case 7, 8:
		return r.linkFault(random)
	default:
		return r.processFault(random)
	}
}

// memberFault draws a fault of one member. A group has one at a time, besides
// those of its replicas' lag.
func (r *runner) memberFault(random *rand.Rand) fault {
	g := r.estate.Groups[random.IntN(len(r.estate.Groups))]
	members := g.Members()
	m := members[random.IntN(len(members))]
	if random.IntN(2) == 0 {
		if p := g.Primary(); p != nil {
			m = p
		}
	}
	kinds := []struct {
		name  string
		fault member.Fault
	}{
		{"down", member.Fault{Down: true}},
		{"silent", member.Fault{Unresponsive: true}},
		{"cut", member.Fault{NotReplicating: true}},
		{"alone", member.Fault{Isolated: true}},
		{"lag", member.Fault{Lag: 800 * time.Millisecond}},
		{"loses answers", member.Fault{LoseAnswers: true}},
	}
	k := kinds[random.IntN(len(kinds))]
	begun := false
	return fault{
		name: fmt.Sprintf("member %s %s", m.ID, k.name),
		begin: func() {
			if begun = !r.faulted[g.Name]; begun {
				r.faulted[g.Name] = true
				m.SetFault(k.fault)
			}
		},
		end: func() {
			if begun {
				m.SetFault(member.Fault{})
				delete(r.faulted, g.Name)
			}
		},
	}
}

// storeFault draws a fault of the store.
func (r *runner) storeFault(random *rand.Rand) fault {
	kinds := []struct {
		name       string
		conditions keyvalue.Conditions
	}{
		{"down", keyvalue.Conditions{Down: true}},
		{"slow", keyvalue.Conditions{Delay: 200 * time.Millisecond}},
		{"loses answers", keyvalue.Conditions{LoseAnswers: true}},
		{"mute", keyvalue.Conditions{WithholdEvents: true}},
	}
	k := kinds[random.IntN(len(kinds))]
	return fault{
		name:  "store " + k.name,
		begin: func() { r.estate.Store.SetConditions(k.conditions) },
		end: func() {
			if k.conditions.WithholdEvents {
				r.estate.Store.Compact()
			}
			r.estate.Store.SetConditions(keyvalue.Conditions{})
		},
	}
}

// processFault draws a signal to one proxy.
func (r *runner) processFault(random *rand.Rand) fault {
	p := r.processes[random.IntN(len(r.processes))]
	name := p.settings.Name
	switch random.IntN(4) {
	case 0:
		return fault{name: name + " killed", begin: func() { p.signal(syscall.SIGKILL) }, end: func() {}}
	case 1:
		return fault{name: name + " stopped", begin: func() { p.signal(syscall.SIGTERM) }, end: func() {}}
	case 2:
		return fault{name: name + " told to reload", begin: func() { p.signal(syscall.SIGHUP) }, end: func() {}}
	default:
		return fault{
			name: name + " paused", begin: func() { p.signal(syscall.SIGSTOP) }, end: func() { p.signal(syscall.SIGCONT) },
		}
	}
}

// play brings the faults into force and ends them, until all are over.
func (r *runner) play(ctx context.Context, all []fault) {
	type event struct {
		at time.Duration
		do func()
		to string
	}
	var events []event
	for _, f := range all {
		events = append(events, event{f.at, f.begin, f.name}, event{f.at + f.lasts, f.end, "end of " + f.name})
	}
	slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	for _, e := range events {
		wait := time.NewTimer(time.Until(r.began.Add(e.at)))
		select {
		case <-ctx.Done():
		case <-wait.C:
		}
		wait.Stop()
		r.printf("%7.3f s  %s\n", e.at.Seconds(), e.to)
		e.do()
	}
}
