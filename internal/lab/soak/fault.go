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

// fault is one entry of the schedule of faults.
type fault struct {
	// at is the time from the start of the run to the start of the fault. drawSchedule draws
	// a duration if the fault has none.
	at, duration time.Duration
	// name describes the fault in the printed schedule, which has the begin and the
	// end of each fault, also of one that is skipped or needs no removal. begin injects
	// the fault, and end removes it.
	name       string
	begin, end func()
}

// drawSchedule draws the faults of a run. The first begins after a second, the last
// before length.
func (r *runner) drawSchedule(random *rand.Rand, length time.Duration) []fault {
	var faults []fault
	for at := time.Second; at < length; at += r.plan.FaultPause/5 + time.Duration(random.IntN(int(r.plan.FaultPause.Milliseconds())))*time.Millisecond {
		f := drawings[r.plan.Faults[random.IntN(len(r.plan.Faults))]](r, random)
		f.at, f.duration = at, cmp.Or(f.duration, time.Duration(200+random.IntN(3000))*time.Millisecond)
		faults = append(faults, f)
	}
	return faults
}

// memberFaults holds the faults of one member, with their names in the schedule.
var memberFaults = []struct {
	name  string
	fault member.Fault
}{
	{"is down", member.Fault{Down: true}},
	{"is unresponsive", member.Fault{Unresponsive: true}},
	{"receives no log", member.Fault{NotReplicating: true}},
	{"is isolated", member.Fault{Isolated: true}},
	{"lags", member.Fault{Lag: 800 * time.Millisecond}},
	{"loses answers", member.Fault{LoseAnswers: true}},
}

// memberFault draws a fault of one member: in half of the draws of the primary at the
// time of the draw, otherwise of any member, the primary included. The fault is skipped
// at its start if another member of the group, or the same one, still has a fault.
func (r *runner) memberFault(random *rand.Rand) fault {
	g := r.randomGroup(random)
	members := g.Members()
	m := members[random.IntN(len(members))]
	if random.IntN(2) == 0 {
		if p := g.Primary(); p != nil {
			m = p
		}
	}
	k := memberFaults[random.IntN(len(memberFaults))]
	return r.exclusive(g, fmt.Sprintf("member %s %s", m.ID, k.name),
		func() { m.SetFault(k.fault) }, func() { m.SetFault(member.Fault{}) })
}

// storeFault draws a fault of the platform's store. When a fault that withholds events
// ends, it also compacts the history, so that watchers must read everything again.
func (r *runner) storeFault(random *rand.Rand) fault {
	kinds := []struct {
		name       string
		conditions keyvalue.Conditions
	}{
		{"is down", keyvalue.Conditions{Down: true}},
		{"is slow", keyvalue.Conditions{Delay: 200 * time.Millisecond}},
		{"loses answers", keyvalue.Conditions{LoseAnswers: true}},
		{"withholds events", keyvalue.Conditions{WithholdEvents: true}},
	}
	k := kinds[random.IntN(len(kinds))]
	return r.disruptingStore(fault{
		name:  "store " + k.name,
		begin: func() { r.testbed.Store.SetConditions(k.conditions) },
		end: func() {
			if k.conditions.WithholdEvents {
				r.testbed.Store.Compact()
			}
			r.testbed.Store.SetConditions(keyvalue.Conditions{})
		},
	})
}

// processFault draws a signal to one proxy's process.
func (r *runner) processFault(random *rand.Rand) fault {
	p := r.processes[random.IntN(len(r.processes))]
	name := p.settings.Name
	switch random.IntN(4) {
	case 0:
		return fault{name: name + " gets SIGKILL", begin: func() { p.signal(syscall.SIGKILL) }, end: func() {}}
	case 1:
		return fault{name: name + " gets SIGTERM", begin: func() { p.signal(syscall.SIGTERM) }, end: func() {}}
	case 2:
		return fault{name: name + " gets SIGHUP", begin: func() { p.signal(syscall.SIGHUP) }, end: func() {}}
	default:
		return fault{
			name: name + " is paused", begin: func() { p.signal(syscall.SIGSTOP) }, end: func() { p.signal(syscall.SIGCONT) },
		}
	}
}

// runSchedule injects and removes the faults at their times and returns when all are
// over. Once ctx has ended, it injects and removes the remaining ones without waiting for
// their times.
func (r *runner) runSchedule(ctx context.Context, faults []fault) {
	type event struct {
		at   time.Duration
		run  func()
		name string
	}
	var events []event
	for _, f := range faults {
		events = append(events, event{f.at, f.begin, f.name}, event{f.at + f.duration, f.end, "over: " + f.name})
	}
	slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	for _, e := range events {
		timer := time.NewTimer(time.Until(r.began.Add(e.at)))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
		r.printf("%7.3f s  %s\n", e.at.Seconds(), e.name)
		e.run()
	}
}
