// Package experiment runs a load on a cluster of proxies and simulated database
// groups while it injects faults, and reports what callers saw. It also measures
// what proxies cost: their traffic among themselves, the latency that they add,
// and their idle connections.
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
	"eelgrassladder.example/eelgrassladder/internal/lab/cluster"
	"eelgrassladder.example/eelgrassladder/internal/lab/group"
	"eelgrassladder.example/eelgrassladder/internal/lab/load"
	"eelgrassladder.example/eelgrassladder/internal/policy/admission"
	"eelgrassladder.example/eelgrassladder/internal/policy/routing"
)

// Trial describes a load and the faults that are injected while it runs. It is
// immutable.
type Trial struct {
	Plan load.Plan
	// Proxies is the number of proxies.
	Proxies int
	// Conditions are the conditions of every member at the start.
	Conditions group.Conditions
	// Baseline makes the proxies admit requests in order of arrival and read from
	// primaries only, for comparison.
	Baseline bool
	Faults   []Fault
	// InjectDefect changes the started cluster so that it violates a guarantee, to
	// test the checks of the load; nil for none.
	InjectDefect func(*cluster.Cluster)
}

// Fault is a fault that is injected during a trial. It is immutable.
type Fault struct {
	// At is the time from the start of the load to the start of the fault.
	At time.Duration
	// Duration is how long the fault lasts. RollingRestart does not use it.
	Duration time.Duration
	Kind     FaultKind
	// Group and Proxy are the indexes of the group and the proxy that the fault
	// affects, modulo their number.
	Group int
	Proxy int
	// Delay is the delay that Lag, SlowReceive and StoreSlow inject.
	Delay time.Duration
}

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of faults.
const (
	// Crash crashes the primary of a group; its log survives.
	Crash FaultKind = "crash"
	// Pause pauses the primary of a group without closing connections.
	Pause FaultKind = "pause"
	// Isolate disconnects the primary of a group from the other members.
	Isolate FaultKind = "isolate"
	// LoseAnswers makes the primary of a group run statements and commits and drop
	// the connection instead of answering.
	LoseAnswers FaultKind = "lose-answers"
	// LoseCommands makes the members of a group execute fences, promotions and
	// orders to follow without an answer.
	LoseCommands FaultKind = "lose-commands"
	// Lag delays the applying of received entries at all members of a group; a primary
	// applies its own entries without delay.
	Lag FaultKind = "lag"
	// SlowReceive delays the receiving of entries at one replica of a group.
	SlowReceive FaultKind = "far"
	// StoreDown takes the platform's store down.
	StoreDown FaultKind = "store-down"
	// StoreSlow delays the answers of the platform's store.
	StoreSlow FaultKind = "store-slow"
	// KillProxy kills a proxy, and starts it again at the end of the fault.
	KillProxy FaultKind = "kill-proxy"
	// KillOwner kills the proxy that owns a group, and starts it again at the end
	// of the fault.
	KillOwner FaultKind = "kill-owner"
	// RollingRestart drains and restarts every proxy, one after another.
	RollingRestart FaultKind = "roll"
	// PauseReplica pauses a replica of a group without closing connections.
	PauseReplica FaultKind = "pause-replica"
	// CrashReplica crashes a replica of a group; its log survives.
	CrashReplica FaultKind = "crash-replica"
	// Leave marks the primary of a group as leaving in the host list.
	Leave FaultKind = "leave"
)

// Run starts a cluster, runs a trial on it, stops it, and returns the report of the
// load. It fails if the cluster does not start, does not recover after the faults, or
// its databases can't be read at the end.
func Run(ctx context.Context, t Trial) (load.Report, error) {
	var run *load.Run
	events := make(chan owner.TermChange, 64) // changes of term beyond the buffer are not counted
	options := []service.Option{service.WithTermObserver(func(e owner.TermChange) {
		select {
		case events <- e:
		default:
		}
	})}
	if t.Baseline {
		options = append(options, service.WithAdmission(admission.ArrivalOrder{}), service.WithRouter(routing.PrimaryOnly{}))
	}
	cl, err := cluster.Start(ctx, cluster.Plan{
		Workload: t.Plan.Workload, Proxies: t.Proxies, Conditions: t.Conditions, Options: options,
	})
	if err != nil {
		return load.Report{}, err
	}
	defer cl.Stop()
	if run, err = load.New(ctx, cl, t.Plan); err != nil {
		return load.Report{}, err
	}
	if t.InjectDefect != nil {
		t.InjectDefect(cl)
	}
	takeEvents(events)
	faults := task.New(ctx)
	for _, f := range t.Faults {
		faults.Go(string(f.Kind), func(ctx context.Context) error { return inject(ctx, cl, run, f) })
	}
	run.Offer(ctx)
	if err := faults.Wait(); err != nil {
		return load.Report{}, err
	}
	if err := cl.AwaitServed(ctx); err != nil {
		return load.Report{}, errors.WithMessage(err, "recover after the faults")
	}
	for range takeEvents(events) {
		run.RecordTermChange()
	}
	report, err := run.Finish(ctx)
	report.Baseline = t.Baseline
	return report, err
}

// takeEvents takes all events out of the buffer and returns them, without waiting.
func takeEvents(events chan owner.TermChange) []owner.TermChange {
	var taken []owner.TermChange
	for {
		select {
		case e := <-events:
			taken = append(taken, e)
		default:
			return taken
		}
	}
}

// inject waits until the start of a fault, injects it, and removes it at its end. Faults
// of a primary do nothing while the group has none.
func inject(ctx context.Context, cl *cluster.Cluster, run *load.Run, f Fault) error {
	timer.Sleep(ctx, f.At)
	klog.InfoS("Fault begins", "Fault", f.String())
	g := cl.Groups[f.Group%len(cl.Groups)]
	switch f.Kind {
	case Crash, Pause, Isolate, LoseAnswers:
		m := g.Primary()
		if m == nil {
			return nil
		}
		if f.Kind != LoseAnswers {
			run.RecordFault(g)
		}
		m.SetConditions(withFault(m.Conditions(), f.Kind, true))
		timer.Sleep(ctx, f.Duration)
		m.SetConditions(withFault(m.Conditions(), f.Kind, false))
	case LoseCommands:
		setLoseControlAnswers(g, true)
		timer.Sleep(ctx, f.Duration)
		setLoseControlAnswers(g, false)
	case PauseReplica, CrashReplica:
		if m := firstReplica(g); m != nil {
			m.SetConditions(withFault(m.Conditions(), f.Kind, true))
			timer.Sleep(ctx, f.Duration)
			m.SetConditions(withFault(m.Conditions(), f.Kind, false))
		}
	case Lag, SlowReceive:
		injectLag(ctx, g, f)
	case StoreDown:
		cl.Store.SetConditions(cl.Store.Conditions().WithDown(true))
		timer.Sleep(ctx, f.Duration)
		cl.Store.SetConditions(cl.Store.Conditions().WithDown(false))
	case StoreSlow:
		cl.Store.SetConditions(cl.Store.Conditions().WithDelay(f.Delay))
		timer.Sleep(ctx, f.Duration)
		cl.Store.SetConditions(cl.Store.Conditions().WithDelay(0))
	case KillProxy:
		return killAndRestart(ctx, cl, f.Proxy%len(cl.Proxies), f.Duration)
	case KillOwner:
		if i := cl.Owner(g.Name()); i >= 0 {
			run.RecordFault(g)
			return killAndRestart(ctx, cl, i, f.Duration)
		}
	case RollingRestart:
		return rollingRestart(ctx, cl)
	case Leave:
		m := g.Primary()
		if m == nil {
			return nil
		}
		cl.PublishHostListLeaving(map[string]bool{m.Name(): true})
		timer.Sleep(ctx, f.Duration)
		cl.PublishHostList()
	}
	return nil
}

// setLoseControlAnswers switches LoseControlAnswers on or off at all members of a group.
func setLoseControlAnswers(g *group.Group, on bool) {
	for _, m := range g.Members() {
		m.SetConditions(m.Conditions().WithLoseControlAnswers(on))
	}
}

// firstReplica returns the first member that is not the primary, or nil.
func firstReplica(g *group.Group) *group.Member {
	primary := g.Primary()
	for _, m := range g.Members() {
		if m != primary {
			return m
		}
	}
	return nil
}

// withFault returns the conditions with a fault of one member on or off. It takes any
// kind that is not a crash, a pause or Isolate as LoseAnswers.
func withFault(c group.Conditions, k FaultKind, on bool) group.Conditions {
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

// injectLag delays members of a group for the duration of the fault: for Lag the
// applying at all members, for SlowReceive the receiving at the first replica.
func injectLag(ctx context.Context, g *group.Group, f Fault) {
	before := map[*group.Member]group.Conditions{}
	for _, m := range g.Members() {
		c := m.Conditions()
		before[m] = c
		if f.Kind == Lag {
			m.SetConditions(c.WithApplyDelay(f.Delay))
		}
	}
	if f.Kind == SlowReceive {
		for _, m := range g.Members() {
			if m != g.Primary() {
				m.SetConditions(m.Conditions().WithReceiveDelay(f.Delay))
				break
			}
		}
	}
	timer.Sleep(ctx, f.Duration)
	for m, c := range before {
		m.SetConditions(m.Conditions().WithApplyDelay(c.ApplyDelay).WithReceiveDelay(c.ReceiveDelay))
	}
}

// killAndRestart kills the proxy with the index and starts it again after a delay. It
// does nothing if the proxy does not run.
func killAndRestart(ctx context.Context, cl *cluster.Cluster, i int, delay time.Duration) error {
	if !cl.Kill(i) {
		return nil
	}
	timer.Sleep(ctx, delay)
	return cl.StartProxy(i)
}

// rollingRestart drains and restarts every proxy, one after another.
func rollingRestart(ctx context.Context, cl *cluster.Cluster) error {
	for i := range cl.Proxies {
		cl.Drain(ctx, i)
		if err := cl.StartProxy(i); err != nil {
			return err
		}
		if err := cl.AwaitServed(ctx); err != nil {
			return err
		}
	}
	return nil
}
