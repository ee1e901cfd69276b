package soak

import (
	"fmt"
	"sync"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/lab/member"
)

const (
	// turnTime is the time within which two holders of the promotion lock must not take
	// turns. The users' platform calls it lease-ms.
	turnTime = 3 * time.Second
	// touchTime is how long a proxy and the store must have been without disruption for the
	// guarantees with a time bound to hold. The users' platform calls it stable-window-ms.
	touchTime = 4 * time.Second
)

// holders checks the holders of the orders that the platform has executed or refused, of all
// groups.
type holders struct {
	// mutex guards the fields below. No other lock is taken while it is held.
	mutex sync.Mutex
	// byToken holds the first holder of each token, and last the time of each holder's last
	// order.
	byToken map[uint64]string
	last    map[string]time.Time
	// previous is the holder of the last order, and since the time of the first one of its
	// orders in a row.
	previous string
	since    time.Time
}

// note notes an order that is executed at a time, and describes each guarantee that it
// violates. inTouch reports whether a holder was in touch at that time.
func (h *holders) note(o member.Order, at time.Time, inTouch func(holder string) bool) []string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.byToken == nil {
		h.byToken, h.last = map[uint64]string{}, map[string]time.Time{}
	}
	var violations []string
	if first, known := h.byToken[o.Token]; !known {
		h.byToken[o.Token] = o.Holder
	} else if first != o.Holder {
		violations = append(violations, fmt.Sprintf("%s ordered %s with token %d, with which %s had ordered", o.Holder, o.Member, o.Token, first))
	}
	last, ordered := h.last[o.Holder]
	if ordered && h.previous != o.Holder && at.Sub(last) < turnTime && inTouch(o.Holder) && inTouch(h.previous) {
		violations = append(violations, fmt.Sprintf("%s ordered %s with token %d, %v after its last order, and %s in between, %v ago",
			o.Holder, o.Member, o.Token, at.Sub(last), h.previous, at.Sub(h.since)))
	}
	if h.previous != o.Holder {
		h.previous, h.since = o.Holder, at
	}
	h.last[o.Holder] = at
	return violations
}

// noteOrder checks an order that the platform executes or refuses.
func (r *runner) noteOrder(o member.Order) {
	now := time.Now()
	r.printf("%s  order executed: %+v\n", now.Format(logTime), o)
	for _, violation := range r.holders.note(o, now, func(holder string) bool { return r.inTouch(holder, now) }) {
		r.recordViolation("%s %s", now.Format(logTime), violation)
	}
}

// inTouch reports whether a proxy and the store have been without disruption for touchTime.
func (r *runner) inTouch(name string, now time.Time) bool {
	p := r.process(name)
	return p != nil && p.calmSince(now.Add(-touchTime)) && r.store.calmSince(now.Add(-touchTime))
}

// disruptions records when the store, or a link to it, was disrupted.
type disruptions struct {
	// mutex guards the fields below. No other lock is taken while it is held.
	mutex sync.Mutex
	// open is the number of disruptions that go on, and ended when the last one ended.
	open  int
	ended time.Time
}

// disruptingStore returns a fault as one of the links to the store with these names; of the
// whole store if there are none.
func (r *runner) disruptingStore(f fault, links ...string) fault {
	if len(links) == 0 {
		links = []string{storePart}
	}
	begin, end := f.begin, f.end
	f.begin = func() {
		r.store.begin()
		for _, part := range links {
			r.spans.begin(part)
		}
		begin()
	}
	f.end = func() {
		end()
		r.store.end()
		for _, part := range links {
			r.spans.end(part)
		}
	}
	return f
}

// begin records the start of a disruption.
func (d *disruptions) begin() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.open++
}

// end records the end of a disruption.
func (d *disruptions) end() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.open--
	d.ended = time.Now()
}

// calmSince reports whether there was no disruption from a time until now.
func (d *disruptions) calmSince(t time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.open == 0 && d.ended.Before(t)
}
