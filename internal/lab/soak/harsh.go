package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/lab/keyvalue"
	"eelgrassladder.example/eelgrassladder/internal/lab/member"
	"eelgrassladder.example/eelgrassladder/internal/lab/relay"
	"eelgrassladder.example/eelgrassladder/internal/model/leadership"
	"eelgrassladder.example/eelgrassladder/internal/model/revision"
)

// drawing draws a fault without its times.
type drawing func(r *runner, random *rand.Rand) fault

// drawings holds the faults by the names that Plan.Faults uses.
var drawings = map[string]drawing{
	"Member": (*runner).memberFault, "Store": (*runner).storeFault, "Configuration": (*runner).configurationFault,
	"Relay": (*runner).relayFault, "Process": (*runner).processFault,
	"Primary": (*runner).primaryFault, "Lag": (*runner).lagFault, "Join": (*runner).joinFault, "Restart": (*runner).restartFault, "Empty": (*runner).emptyFault,
	"Cut": (*runner).cutFault, "StoreCut": (*runner).storeCutFault, "Stop": (*runner).stopFault,
	"Promotion": (*runner).promotionFault, "Takeover": (*runner).takeoverFault, "SlowStore": (*runner).slowStoreFault,
	"Standstill": (*runner).standstillFault, "HolderStop": (*runner).holderStopFault,
	"Crash": (*runner).crashFault, "Scatter": (*runner).scatterFault, "Answer": (*runner).answerFault, "Backlog": (*runner).backlogFault,
	"OrderStop": (*runner).orderStopFault, "RollingRestart": (*runner).rollingRestartFault, stutterName: (*runner).stutterFault,
	"Keys": (*runner).keysFault, "Limits": (*runner).limitsFault, "Hot": (*runner).hotFault, "Refuse": (*runner).refuseFault, "PowerLoss": (*runner).powerLossFault,
	drillName: (*runner).drillFault,
}

// UsualFaults returns the names of the faults of a run on a machine with time to spare.
func UsualFaults() []string {
	return strings.Fields("Member Member Member Member Store Store Configuration Relay Relay Process Process Process")
}

// HarshFaults returns the names of the faults of a run like that of the users: machines
// that stand still, calls that are late, members that come and go.
func HarshFaults() []string {
	return strings.Fields("Primary Primary Primary Primary Member Member Process Lag Join Join Restart Empty Cut Cut StoreCut Stop Stop Stop Promotion SlowStore Standstill HolderStop")
}

// OrderFaults returns the names of the faults of a run that puts orders to promote under
// strain: primaries that crash, a platform that executes and answers orders late and in any
// sequence, and proxies that stand still or start again around their orders.
func OrderFaults() []string {
	return strings.Fields("Crash Crash Crash Scatter Answer Backlog Standstill OrderStop OrderStop RollingRestart Stop")
}

// checkFaults returns an error if the plan names a fault that does not exist, or one of teams
// although there are none.
func (r *runner) checkFaults() error {
	for _, name := range r.plan.Faults {
		if _, ok := drawings[name]; !ok {
			return errors.Errorf("no fault is called %q", name)
		}
		if r.plan.Teams == 0 && slices.Contains([]string{"Keys", "Limits", "Hot"}, name) {
			return errors.Errorf("fault %q needs teams", name)
		}
	}
	return nil
}

// configurationFault is a new version of the configuration.
func (r *runner) configurationFault(*rand.Rand) fault {
	return fault{name: "new configuration version", begin: func() { r.testbed.Configure(nil) }, end: func() {}}
}

// randomGroup draws a group.
func (r *runner) randomGroup(random *rand.Rand) *member.Group {
	return r.testbed.Groups[random.IntN(len(r.testbed.Groups))]
}

// exclusive returns a fault of one group that is skipped while the group has another one.
func (r *runner) exclusive(g *member.Group, name string, begin, end func()) fault {
	return r.alone(g.Name, fault{name: name, begin: begin, end: end})
}

// alone returns a fault that is skipped while another one of the same part is under way.
func (r *runner) alone(part string, f fault) fault {
	begin, end, began := f.begin, f.end, false
	f.begin = func() {
		if began = !r.faultyParts[part]; began {
			r.faultyParts[part] = true
			begin()
		}
	}
	f.end = func() {
		if began {
			end()
			delete(r.faultyParts, part)
		}
	}
	return f
}

// primaryFault is a fault of the member that leads when the fault begins.
func (r *runner) primaryFault(random *rand.Rand) fault {
	g := r.randomGroup(random)
	k := memberFaults[random.IntN(len(memberFaults))]
	var m *member.Member
	return r.exclusive(g, fmt.Sprintf("primary of %s %s", g.Name, k.name),
		func() {
			if m = g.Primary(); m != nil {
				m.SetFault(k.fault)
			}
		},
		func() {
			if m != nil {
				m.SetFault(member.Fault{})
			}
		})
}

// lagFault makes all replicas of a group apply the log late.
func (r *runner) lagFault(random *rand.Rand) fault {
	g := r.randomGroup(random)
	lag := time.Duration(1600+random.IntN(1500)) * time.Millisecond
	setAll := func(f member.Fault) {
		for _, m := range g.Members() {
			m.SetFault(f)
		}
	}
	return r.exclusive(g, fmt.Sprintf("members of %s apply the log after %v", g.Name, lag),
		func() { setAll(member.Fault{Lag: lag}) }, func() { setAll(member.Fault{}) })
}

// joinFault adds a member to a group and makes another one leave, which ends at the end
// of the fault if another member leads by then.
func (r *runner) joinFault(random *rand.Rand) fault {
	g := r.randomGroup(random)
	index, leavesFirst := random.IntN(3), random.IntN(2) == 0
	r.joined++
	id := fmt.Sprintf("%s-j%d", g.Name, r.joined)
	var leaving *member.Member
	return r.exclusive(g, fmt.Sprintf("%s joins %s, and member %d leaves", id, g.Name, index),
		func() {
			members := g.Members()
			leaving = members[index%len(members)]
			if leavesFirst {
				leaving.Leave()
				r.join(g, id, index)
			} else {
				r.join(g, id, index)
				leaving.Leave()
			}
		},
		func() {
			// What only the leaving member holds would be lost with it, whatever proxies do.
			primary := g.Primary()
			if primary == nil || primary == leaving || !primary.Received().UpToDateWith(leaving.Received()) {
				r.printf("%s stays: no other member leads with its log\n", leaving.ID)
				return
			}
			leaving.Terminate()
			r.testbed.Deregister(leaving)
		})
}

// takeoverFault cuts the proxies of a data centre off from a primary that the others still
// reach, makes promotions late, and adds a member to the group while the change of primary
// is probably under way.
func (r *runner) takeoverFault(random *rand.Rand) fault {
	g, dataCentre := r.randomGroup(random), random.IntN(r.plan.DataCentres)
	late := time.Duration(1000+random.IntN(2500)) * time.Millisecond
	joinsAfter := time.Duration(700+random.IntN(1500)) * time.Millisecond
	r.joined++
	id := fmt.Sprintf("%s-j%d", g.Name, r.joined)
	var cut []namedRelay
	var joining *time.Timer
	return r.exclusive(g, fmt.Sprintf("zone-%d loses the primary of %s, promotions are %v late, and %s joins after %v", dataCentre, g.Name, late, id, joinsAfter),
		func() {
			if primary := g.Primary(); primary != nil {
				cut = r.network.named(func(name string) bool { return name == fmt.Sprintf("zone-%d to %s", dataCentre, primary.ID) })
			}
			setConditions(cut, relay.Conditions{BlockForward: true, BlockBackward: true})
			r.delays.set(&r.delays.order, late)
			joining = time.AfterFunc(joinsAfter, func() { r.join(g, id, dataCentre) })
		},
		func() {
			joining.Stop()
			reconnect(cut)
			r.delays.set(&r.delays.order, 0)
		})
}

// join adds a member in a zone to a group.
func (r *runner) join(g *member.Group, id string, zone int) {
	m, err := r.testbed.AddMember(g, id)
	if err == nil {
		err = r.testbed.Register(m, zone)
	}
	if err != nil {
		r.printf("%s could not join: %v\n", id, err)
	}
}

// reconnect ends a cut. It resets the open connections: a write that arrived now, long after
// its client was told that its outcome is unknown, would overwrite later ones.
func reconnect(cut []namedRelay) {
	for _, named := range cut {
		named.relay.ResetOpen()
	}
	setConditions(cut, relay.Conditions{})
}

// restartFault restarts a member's process, which keeps its log.
func (r *runner) restartFault(random *rand.Rand) fault {
	g, index := r.randomGroup(random), random.IntN(8)
	return r.exclusive(g, fmt.Sprintf("member %d of %s starts again", index, g.Name), func() {
		members := g.Members()
		members[index%len(members)].Restart()
	}, func() {})
}

// emptyFault starts a replica again without its log. It does so only while all members hold
// the same log, so that the commits that the replica had survive with the others.
func (r *runner) emptyFault(random *rand.Rand) fault {
	g, index := r.randomGroup(random), random.IntN(8)
	return r.exclusive(g, fmt.Sprintf("replica %d of %s starts again without its log", index, g.Name), func() {
		members := g.Members()
		m := members[index%len(members)]
		if primary, _ := m.State(); !primary && g.Whole() {
			m.StartEmpty()
		}
	}, func() {})
}

// cutFault cuts the proxies of a data centre off from up to three members of a group.
func (r *runner) cutFault(random *rand.Rand) fault {
	g, dataCentre, first, count := r.randomGroup(random), random.IntN(r.plan.DataCentres), random.IntN(3), 1+random.IntN(3)
	var cut []namedRelay
	return fault{
		name: fmt.Sprintf("zone-%d loses %d members of %s from %d on", dataCentre, count, g.Name, first),
		begin: func() {
			members := g.Members()
			for i := range count {
				name := fmt.Sprintf("zone-%d to %s", dataCentre, members[(first+i)%len(members)].ID)
				cut = append(cut, r.network.named(func(other string) bool { return other == name })...)
			}
			setConditions(cut, relay.Conditions{BlockForward: true, BlockBackward: true})
		},
		end: func() { reconnect(cut) },
	}
}

// storeCutFault cuts the proxies of a data centre off from the store.
func (r *runner) storeCutFault(random *rand.Rand) fault {
	dataCentre := random.IntN(r.plan.DataCentres)
	var names []string
	for i, p := range r.processes {
		if i%r.plan.DataCentres == dataCentre {
			names = append(names, p.settings.Name+linkToStore)
		}
	}
	cut := r.network.named(func(name string) bool { return slices.Contains(names, name) })
	return r.disruptingStore(fault{
		name:  fmt.Sprintf("zone-%d loses the store", dataCentre),
		begin: func() { setConditions(cut, relay.Conditions{BlockForward: true, BlockBackward: true}) },
		end:   func() { setConditions(cut, relay.Conditions{}) },
	}, names...)
}

// setConditions sets the conditions of relays.
func setConditions(relays []namedRelay, c relay.Conditions) {
	for _, named := range relays {
		named.relay.SetConditions(c)
	}
}

// stopFault stops up to a third of the proxies' processes and lets them continue.
func (r *runner) stopFault(random *rand.Rand) fault {
	count := 1 + random.IntN(max(len(r.processes)/3, 1))
	var stopped []*process
	for _, i := range random.Perm(len(r.processes))[:count] {
		stopped = append(stopped, r.processes[i])
	}
	signal := func(s syscall.Signal) func() {
		return func() {
			for _, p := range stopped {
				p.signal(s)
			}
		}
	}
	return fault{name: fmt.Sprintf("%d proxies stand still, %s first", count, stopped[0].settings.Name), begin: signal(syscall.SIGSTOP), end: signal(syscall.SIGCONT)}
}

// holderStopFault stops the process of the proxy that holds the promotion lock, or held it
// last, and lets it continue.
func (r *runner) holderStopFault(random *rand.Rand) fault {
	duration := time.Duration(3000+random.IntN(6000)) * time.Millisecond
	var stopped *process
	return fault{
		duration: duration,
		name:     fmt.Sprintf("holder of the promotion lock stands still for %v", duration),
		begin: func() {
			if stopped = r.lockHolder(); stopped != nil {
				r.printf("%s stands still\n", stopped.settings.Name)
				stopped.signal(syscall.SIGSTOP)
			}
		},
		end: func() {
			if stopped != nil {
				stopped.signal(syscall.SIGCONT)
			}
		},
	}
}

// lockHolder returns the process of the proxy that holds the promotion lock, or held it last;
// nil if no proxy ever did.
func (r *runner) lockHolder() *process {
	value, number := r.testbed.Store.Value(leadership.PromotionLockKey)
	lock, err := leadership.ParsePromotionLock(value, revision.Revision(number))
	if err != nil {
		return nil
	}
	return r.process(lock.Holder)
}

// standstillFault makes the promotion interface stand still with its port open, and then
// execute the orders that wait in a sequence that the seed determines. It is skipped while
// the interface already stands still.
func (r *runner) standstillFault(random *rand.Rand) fault {
	duration := time.Duration(1000+random.IntN(6000)) * time.Millisecond
	sequence := rand.New(rand.NewPCG(r.plan.Seed, random.Uint64()))
	began := false
	return fault{
		duration: duration,
		name:     fmt.Sprintf("promotion interface stands still for %v", duration),
		begin: func() {
			if began = r.standstill.CompareAndSwap(false, true); began {
				r.testbed.HoldPromotions()
			}
		},
		end: func() {
			if began {
				r.printf("orders executed: %+v\n", r.testbed.ReleasePromotions(sequence.Perm))
				r.standstill.Store(false)
			}
		},
	}
}

// promotionFault makes the platform execute promotions late.
func (r *runner) promotionFault(random *rand.Rand) fault {
	delay := time.Duration(100+random.IntN(5000)) * time.Millisecond
	return fault{
		name:  fmt.Sprintf("promotions are executed %v late", delay),
		begin: func() { r.delays.set(&r.delays.order, delay) },
		end:   func() { r.delays.set(&r.delays.order, 0) },
	}
}

// slowStoreFault delays the calls of the store.
func (r *runner) slowStoreFault(random *rand.Rand) fault {
	delay := time.Duration(50+random.IntN(600)) * time.Millisecond
	return r.disruptingStore(fault{
		name:  fmt.Sprintf("store answers after %v", delay),
		begin: func() { r.testbed.Store.SetConditions(keyvalue.Conditions{Delay: delay}) },
		end:   func() { r.testbed.Store.SetConditions(keyvalue.Conditions{}) },
	})
}
