package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/lab/member"
	"eelgrassladder.example/eelgrassladder/internal/model/leadership"
)

const (
	// maxTakeUp is the longest time by which an order that has waited is delayed, so that
	// orders that waited in the kernel are executed in any sequence. takeUpTime is the time
	// after which all of them were read.
	maxTakeUp  = 50 * time.Millisecond
	takeUpTime = 200 * time.Millisecond
	// minOrderStop and maxOrderStop bound how long a proxy stands still around its order. A
	// client waits longer: a write that it gave up would overwrite its later ones.
	minOrderStop = 3 * time.Second
	maxOrderStop = 12 * time.Second
)

// delays draws the times that the platform takes for orders. Its methods may be called at the
// same time.
type delays struct {
	// mutex guards the fields below. No other lock is taken while it is held.
	mutex  sync.Mutex
	random *rand.Rand
	// order is the time by which every order is delayed, and scatter the longest time by
	// which one is, if that is longer. lead is the longest time by which a member leads late.
	order, scatter, lead time.Duration
}

// set replaces one of the times, which are fields of d.
func (d *delays) set(field *time.Duration, value time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	*field = value
}

// clear makes the platform execute orders at once.
func (d *delays) clear() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.order, d.scatter, d.lead = 0, 0, 0
}

// ofOrder draws the time by which an order is delayed.
func (d *delays) ofOrder() time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return max(d.order, d.upTo(d.scatter))
}

// ofTakeUp draws the time by which an order that has waited is delayed.
func (d *delays) ofTakeUp() time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.upTo(maxTakeUp)
}

// ofLead draws the time by which a member leads late.
func (d *delays) ofLead() time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.upTo(d.lead)
}

// upTo draws a time. The caller holds the mutex.
func (d *delays) upTo(limit time.Duration) time.Duration {
	return time.Duration(d.random.Int64N(int64(limit) + 1))
}

// crashFault makes the primary of a group, and those of up to two others, crash for long
// enough that they are replaced.
func (r *runner) crashFault(random *rand.Rand) fault {
	duration := time.Duration(4000+random.IntN(6000)) * time.Millisecond
	var crashes []fault
	var names []string
	for _, i := range random.Perm(len(r.testbed.Groups))[:min(len(r.testbed.Groups), 1+random.IntN(3))] {
		g := r.testbed.Groups[i]
		var m *member.Member
		names = append(names, g.Name)
		crashes = append(crashes, r.exclusive(g, "", func() {
			if m = g.Primary(); m != nil {
				m.SetFault(member.Fault{Down: true})
			}
		}, func() {
			if m != nil {
				m.SetFault(member.Fault{})
			}
		}))
	}
	return fault{
		duration: duration,
		name:     fmt.Sprintf("primaries of %s crash for %v", strings.Join(names, ", "), duration),
		begin: func() {
			for _, c := range crashes {
				c.begin()
			}
		},
		end: func() {
			for _, c := range crashes {
				c.end()
			}
		},
	}
}

// scatterFault makes the platform execute orders side by side, each after a time of its own.
func (r *runner) scatterFault(random *rand.Rand) fault {
	limit := time.Duration(500+random.IntN(4500)) * time.Millisecond
	return r.alone("scatter", fault{
		duration: time.Duration(2000+random.IntN(6000)) * time.Millisecond,
		name:     fmt.Sprintf("each promotion is executed up to %v late", limit),
		begin:    func() { r.delays.set(&r.delays.scatter, limit) },
		end:      func() { r.delays.set(&r.delays.scatter, 0) },
	})
}

// answerFault makes promoted members lead late, and the platform answer only then.
func (r *runner) answerFault(random *rand.Rand) fault {
	limit := time.Duration(300+random.IntN(1200)) * time.Millisecond
	return r.alone("lead", fault{
		duration: time.Duration(2000+random.IntN(6000)) * time.Millisecond,
		name:     fmt.Sprintf("members lead up to %v late, and promotions are answered then", limit),
		begin:    func() { r.delays.set(&r.delays.lead, limit) },
		end:      func() { r.delays.set(&r.delays.lead, 0) },
	})
}

// backlogFault makes the promotion interface accept no connections, so that orders wait in
// the kernel, and then execute them side by side. It is skipped while the interface stands
// still.
func (r *runner) backlogFault(random *rand.Rand) fault {
	duration := time.Duration(1000+random.IntN(6000)) * time.Millisecond
	began := false
	return fault{
		duration: duration,
		name:     fmt.Sprintf("promotion interface accepts no connections for %v", duration),
		begin: func() {
			if began = r.standstill.CompareAndSwap(false, true); began {
				r.testbed.IgnorePromotions()
			}
		},
		end: func() {
			if began {
				r.testbed.HeedPromotions()
				time.AfterFunc(takeUpTime, func() { r.standstill.Store(false) })
			}
		},
	}
}

// orderStop is a stop of the process of a proxy around its order. It is immutable.
type orderStop struct {
	// after is the time from the write of the election to the stop, often zero: the order is
	// sent a millisecond later. duration is the length of the stop.
	after, duration time.Duration
	// expires is when the stop is dropped if there was no election.
	expires time.Time
}

// orderStops holds the stops that wait for the next elections.
type orderStops struct {
	// mutex guards the fields below. No other lock is taken while it is held.
	mutex   sync.Mutex
	waiting []orderStop
	// elected holds the election last seen, by key of the record.
	elected map[string]leadership.Election
}

// add adds stops.
func (s *orderStops) add(stops []orderStop) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.waiting = append(s.waiting, stops...)
}

// take returns the stop for a record that was written. It reports whether there is one.
func (s *orderStops) take(key string, record leadership.Record) (orderStop, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.elected == nil {
		s.elected = map[string]leadership.Election{}
	}
	known := s.elected[key]
	s.elected[key] = record.Elected
	if record.Elected.Endpoint == "" || record.Elected.Is(known) {
		return orderStop{}, false
	}
	for len(s.waiting) > 0 {
		stop := s.waiting[0]
		s.waiting = s.waiting[1:]
		if time.Now().Before(stop.expires) {
			return stop, true
		}
	}
	return orderStop{}, false
}

// orderStopFault stops the processes of up to three proxies around their next orders, from
// the moment in which the store writes the election to two milliseconds later.
func (r *runner) orderStopFault(random *rand.Rand) fault {
	stops := make([]orderStop, 1+random.IntN(3))
	for i := range stops {
		stops[i].after = time.Duration(max(0, random.IntN(4000)-2000)) * time.Microsecond
		stops[i].duration = minOrderStop + time.Duration(random.Int64N(int64(maxOrderStop-minOrderStop)))
	}
	duration := time.Duration(4000+random.IntN(4000)) * time.Millisecond
	return fault{
		duration: duration,
		name:     fmt.Sprintf("proxies stand still around the next %d orders", len(stops)),
		begin: func() {
			for i := range stops {
				stops[i].expires = time.Now().Add(duration)
			}
			r.orderStops.add(stops)
		},
		end: func() {},
	}
}

// stopAtElection stops the proxy that has written an election, if a stop waits for one. The
// store calls it with each key that is written.
func (r *runner) stopAtElection(key string, value []byte) {
	group, isRecord := strings.CutPrefix(key, leadership.Prefix)
	if !isRecord {
		return
	}
	record, err := leadership.Parse(group, value, 1)
	if err != nil {
		return
	}
	stop, ok := r.orderStops.take(key, record)
	if !ok {
		return
	}
	holder := r.process(record.Holder)
	if holder == nil {
		return
	}
	begin := func() {
		holder.signal(syscall.SIGSTOP)
		time.AfterFunc(stop.duration, func() { holder.signal(syscall.SIGCONT) })
	}
	if stop.after == 0 {
		begin()
	} else {
		time.AfterFunc(stop.after, begin)
	}
	r.printf("%s  %s stands still for %v, %v after its election of %s\n", time.Now().Format(logTime), record.Holder, stop.duration, stop.after, record.Elected.Endpoint)
}

// rollingRestartFault restarts all proxies one after another. It is skipped while another
// rolling restart is under way.
func (r *runner) rollingRestartFault(random *rand.Rand) fault {
	sequence := random.Perm(len(r.processes))
	pause := time.Duration(100+random.IntN(500)) * time.Millisecond
	pause = min(pause, 8*time.Second/time.Duration(len(sequence)))
	var timers []*time.Timer
	return r.alone("rolling restart", fault{
		duration: pause * time.Duration(len(sequence)),
		name:     fmt.Sprintf("all proxies get SIGTERM, one every %v", pause),
		begin: func() {
			for i, number := range sequence {
				timers = append(timers, time.AfterFunc(time.Duration(i)*pause, func() { r.processes[number].signal(syscall.SIGTERM) }))
			}
		},
		end: func() {
			for _, t := range timers {
				t.Stop()
			}
		},
	})
}
