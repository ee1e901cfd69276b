// Package experiment runs loads and faults on a site and judges the outcome.
package experiment

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder/internal/host/owner"
	"eelgrassladder.example/eelgrassladder/internal/host/service"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/lab/group"
	"eelgrassladder.example/eelgrassladder/internal/lab/load"
	"eelgrassladder.example/eelgrassladder/internal/lab/site"
	"eelgrassladder.example/eelgrassladder/internal/policy/admission"
	"eelgrassladder.example/eelgrassladder/internal/policy/routing"
)

// Trial is one load with its faults. It is immutable.
type Trial struct {
	// Plan is the load.
	Plan load.Plan
	// Proxies is how many proxies run.
	Proxies int
	// Conditions hold at every member from the start.
	Conditions group.Conditions
	// Baseline serves in order of arrival and reads from primaries only.
	Baseline bool
	// Faults happen while the load runs.
	Faults []Fault
	// InjectDefect changes the site after its start, to show that the checkers
	// see what they are for; nil for none.
	InjectDefect func(*site.Site)
}

// Fault is something that goes wrong during a trial.
type Fault struct {
	// At is when it begins, from the start of the load.
	At time.Duration
	// For is how long it lasts.
	For time.Duration
	// Kind says what goes wrong.
	Kind Kind
	// Group is the index of the group, and Proxy that of the proxy, that the
	// fault concerns.
	Group int
	Proxy int
	// Lag is the length of a lag.
	Lag time.Duration
}

// Kind is what goes wrong.
type Kind string

// The kinds of faults, from the brief's list.
const (
	// Crash ends the primary of a group; its log survives.
	Crash Kind = "crash"
	// Pause stops the primary of a group without closing connections.
	Pause Kind = "pause"
	// Isolate cuts the primary of a group off from its peers.
	Isolate Kind = "isolate"
	// LoseAnswers makes the primary's commits take effect without an answer.
	LoseAnswers Kind = "lose-answers"
	// LoseCommands makes fences and promotions of a group take effect without
	// an answer.
	LoseCommands Kind = "lose-commands"
	// Lag makes the replicas of a group apply late.
	Lag Kind = "lag"
	// SlowReceive makes one replica of a group receive late.
	SlowReceive Kind = "far"
	// StoreDown takes the platform's store down.
	StoreDown Kind = "store-down"
	// StoreSlow makes the platform's store slow.
	StoreSlow Kind = "store-slow"
	// KillProxy ends a proxy at once; it is started again at the end.
	KillProxy Kind = "kill-proxy"
	// KillOwner ends the proxy that owns a group at once.
	KillOwner Kind = "kill-owner"
	// Roll drains and restarts every proxy, one after another.
	RollingRestart Kind = "roll"
	// PauseReplica stops a replica of a group without closing connections.
	PauseReplica Kind = "pause-replica"
	// CrashReplica ends a replica of a group; its log survives.
	CrashReplica Kind = "crash-replica"
	// Leave marks the primary of a group as leaving.
	Leave Kind = "leave"
)

// Run runs a trial from the start of its site to its report.
func Run(ctx context.Context, t Trial) (load.Report, error) {
	var run *load.Run
	events := make(chan owner.Event, 64)
	options := []service.Option{service.WithTermEvents(func(e owner.Event) {
		select {
		case events <- e:
		default:
		}
	})}
	if t.Baseline {
		options = append(options, service.WithAdmission(admission.ArrivalOrder{}), service.WithRouter(routing.PrimaryOnly{}))
	}
	s, err := site.Start(ctx, site.Plan{
		Workload: t.Plan.Workload, Proxies: t.Proxies, Conditions: t.Conditions, Options: options,
	})
	if err != nil {
		return load.Report{}, err
	}
	defer s.Stop()
	if run, err = load.New(ctx, s, t.Plan); err != nil {
		return load.Report{}, err
	}
	if t.InjectDefect != nil {
		t.InjectDefect(s)
	}
	takeEvents(events)
	faults := task.New(ctx)
	for _, f := range t.Faults {
		faults.Go(string(f.Kind), func(ctx context.Context) error { return inject(ctx, s, run, f) })
	}
	run.Offer(ctx)
	if err := faults.Wait(); err != nil {
		return load.Report{}, err
	}
	if err := s.AwaitServed(ctx); err != nil {
		return load.Report{}, errors.WithMessage(err, "after the faults")
	}
	for range takeEvents(events) {
		run.TermChanged()
	}
	report, err := run.Finish(ctx)
	report.Baseline = t.Baseline
	return report, err
}

// takeEvents takes all waiting events.
func takeEvents(events chan owner.Event) []owner.Event {
	var all []owner.Event
	for {
		select {
		case e := <-events:
			all = append(all, e)
		default:
			return all
		}
	}
}

// inject makes a fault begin and end.
func inject(ctx context.Context, s *site.Site, run *load.Run, f Fault) error {
	timer.Sleep(ctx, f.At)
	klog.InfoS("Fault begins", "Fault", f.String())
	g := s.Groups[f.Group%len(s.Groups)]
	switch f.Kind {
	case Crash, Pause, Isolate, LoseAnswers:
		m := g.Primary()
		if m == nil {
			return nil
		}
		if f.Kind != LoseAnswers {
			run.Fault(g)
		}
		m.Set(withFault(m.Conditions(), f.Kind, true))
		timer.Sleep(ctx, f.For)
		m.Set(withFault(m.Conditions(), f.Kind, false))
	case LoseCommands:
		setLoseCommands(g, true)
		timer.Sleep(ctx, f.For)
		setLoseCommands(g, false)
	case PauseReplica, CrashReplica:
		if m := replica(g); m != nil {
			m.Set(withFault(m.Conditions(), f.Kind, true))
			timer.Sleep(ctx, f.For)
			m.Set(withFault(m.Conditions(), f.Kind, false))
		}
	case Lag, SlowReceive:
		injectLag(ctx, g, f)
	case StoreDown:
		s.Store.Set(s.Store.Conditions().WithDown(true))
		timer.Sleep(ctx, f.For)
		s.Store.Set(s.Store.Conditions().WithDown(false))
	case StoreSlow:
		s.Store.Set(s.Store.Conditions().WithDelay(f.Lag))
		timer.Sleep(ctx, f.For)
		s.Store.Set(s.Store.Conditions().WithDelay(0))
	case KillProxy:
		return killAndRestart(ctx, s, f.Proxy%len(s.Proxies), f.For)
	case KillOwner:
		if i := s.Owner(g.Name()); i >= 0 {
			run.Fault(g)
			return killAndRestart(ctx, s, i, f.For)
		}
	case RollingRestart:
		return rollingRestart(ctx, s)
	case Leave:
		m := g.Primary()
		if m == nil {
			return nil
		}
		s.PublishLeaving(map[string]bool{m.Name(): true})
		timer.Sleep(ctx, f.For)
		s.Publish()
	}
	return nil
}

// setLoseCommands turns the fault on or off at all members of a group.
func setLoseCommands(g *group.Group, on bool) {
	for _, m := range g.Members() {
		m.Set(m.Conditions().WithLoseCommands(on))
	}
}

// replica returns a member that is not the primary.
func replica(g *group.Group) *group.Member {
	primary := g.Primary()
	for _, m := range g.Members() {
		if m != primary {
			return m
		}
	}
	return nil
}

// withFault returns the conditions with a fault of a primary on or off.
func withFault(c group.Conditions, k Kind, on bool) group.Conditions {
	switch k {
	case Crash, CrashReplica:
		return c.WithCrashed(on)
	case Pause, PauseReplica:
		return c.WithPaused(on)
	case Isolate:
		return c.WithIsolated(on)
	default:
		return c.WithLoseAnswers(on)
	}
}

// injectLag makes replicas of a group late: all of them in applying, or the
// last one in receiving.
func injectLag(ctx context.Context, g *group.Group, f Fault) {
	before := map[*group.Member]group.Conditions{}
	for _, m := range g.Members() {
		c := m.Conditions()
		before[m] = c
		if f.Kind == Lag {
			m.Set(c.WithApply(f.Lag))
		}
	}
	if f.Kind == SlowReceive {
		for _, m := range g.Members() {
			if m != g.Primary() {
				m.Set(m.Conditions().WithReceive(f.Lag))
				break
			}
		}
	}
	timer.Sleep(ctx, f.For)
	for m, c := range before {
		m.Set(m.Conditions().WithApply(c.Apply).WithReceive(c.Receive))
	}
}

// killAndRestart kills a proxy and starts it again after a time.
func killAndRestart(ctx context.Context, s *site.Site, i int, after time.Duration) error {
	if !s.Kill(i) {
		return nil
	}
	timer.Sleep(ctx, after)
	return s.StartProxy(i)
}

// rollingRestart drains and restarts every proxy, one after another.
func rollingRestart(ctx context.Context, s *site.Site) error {
	for i := range s.Proxies {
		s.Drain(ctx, i)
		if err := s.StartProxy(i); err != nil {
			return err
		}
		if err := s.AwaitServed(ctx); err != nil {
			return err
		}
	}
	return nil
}
