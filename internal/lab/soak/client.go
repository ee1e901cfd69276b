package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/lab/testbed"
)

// promises are the codes that promise that nothing was kept.
var promises = map[string]bool{
	"BUSY": true, "ABORTED": true, "LAGGING": true, "READONLY": true, "MISROUTED": true, "OVERLOAD": true,
}

// ledger is what one client knows of its two items, which only it writes. All
// values are numbers that grow.
type ledger struct {
	item string
	// next is the next value to write.
	next int
	// acknowledged is the latest value whose write was acknowledged.
	acknowledged int
	// refused holds values whose writes were promised not to be kept.
	refused map[int]bool
	// counts of what happened.
	served, failed int
}

// client runs operations on its own items until ctx ends, and reports what
// breaks a promise.
type client struct {
	run    *runner
	group  int
	random *rand.Rand
	ledger ledger
}

// work runs sessions one after another.
func (c *client) work(ctx context.Context) {
	for ctx.Err() == nil {
		p := c.run.processes[c.random.IntN(len(c.run.processes))]
		kind := []string{"primary", "own"}[c.random.IntN(2)]
		s, err := testbed.Dial(p.callers, fmt.Sprintf("%s-%d", kind, c.group))
		if err != nil {
			c.pause(ctx)
			continue
		}
		// A session of the own kind covers its own writes alone.
		floor := 0
		if kind == "primary" {
			floor = c.ledger.acknowledged
		}
		for n := c.random.IntN(40) + 1; n > 0 && ctx.Err() == nil; n-- {
			if !c.operate(s, kind, &floor) {
				break
			}
		}
		s.Close()
	}
}

// operate runs one operation and reports whether the session goes on.
func (c *client) operate(s *testbed.Client, kind string, floor *int) bool {
	switch c.random.IntN(4) {
	case 0:
		return c.write(s, floor)
	case 1:
		return c.transact(s, floor)
	default:
		return c.read(s, kind, floor)
	}
}

// write writes the next value.
func (c *client) write(s *testbed.Client, floor *int) bool {
	c.ledger.next++
	value := c.ledger.next
	a, err := s.Do(fmt.Sprintf("WRITE %s %d", c.ledger.item, value))
	return c.settle(a, err, value, floor)
}

// transact writes the next value to both items in a transaction.
func (c *client) transact(s *testbed.Client, floor *int) bool {
	c.ledger.next++
	value := c.ledger.next
	for _, text := range []string{
		"BEGIN", fmt.Sprintf("WRITE %s %d", c.ledger.item, value), fmt.Sprintf("WRITE %s-b %d", c.ledger.item, value),
	} {
		a, err := s.Do(text)
		if err != nil {
			c.ledger.refused[value] = true // its commit was never sent
			c.ledger.failed++
			return false
		}
		if !a.OK() {
			c.ledger.refused[value] = true
			c.ledger.failed++
			_, err := s.Do("ROLLBACK")
			return err == nil
		}
	}
	a, err := s.Do("COMMIT")
	return c.settle(a, err, value, floor)
}

// settle notes what became of a value.
func (c *client) settle(a testbed.Answer, err error, value int, floor *int) bool {
	switch {
	case err != nil:
		c.ledger.failed++
		return false
	case a.OK():
		c.ledger.served++
		c.ledger.acknowledged = value
		*floor = value
	case promises[a.Code]:
		c.ledger.failed++
		c.ledger.refused[value] = true
	default:
		c.ledger.failed++
	}
	return a.State == "I"
}

// read reads the item and checks what it says.
func (c *client) read(s *testbed.Client, kind string, floor *int) bool {
	if kind == "primary" {
		*floor = c.ledger.acknowledged
	}
	a, err := s.Do("READ " + c.ledger.item)
	if err != nil || !a.OK() {
		c.ledger.failed++
		return err == nil && a.State == "I"
	}
	c.ledger.served++
	if len(a.Rows) != 1 {
		c.run.violate("%s: a read answered %d rows", c.ledger.item, len(a.Rows))
		return false
	}
	c.check(a.Rows[0], *floor, kind)
	return true
}

// check compares a value that was read with the ledger.
func (c *client) check(row string, floor int, kind string) {
	value := 0
	if row != "-" {
		n, err := strconv.Atoi(row)
		if err != nil {
			c.run.violate("%s: a read answered %q", c.ledger.item, row)
			return
		}
		value = n
	}
	switch {
	case value < floor:
		c.run.violate("%s: a read of kind %s saw %d, %d was acknowledged", c.ledger.item, kind, value, floor)
	case value > c.ledger.next:
		c.run.violate("%s: a read saw %d, which was never written", c.ledger.item, value)
	case c.ledger.refused[value]:
		c.run.violate("%s: a read saw %d, whose write was promised not to be kept", c.ledger.item, value)
	}
}

// pause waits a moment before another try to connect.
func (c *client) pause(ctx context.Context) {
	wait := time.NewTimer(20 * time.Millisecond)
	defer wait.Stop()
	select {
	case <-ctx.Done():
	case <-wait.C:
	}
}

// violations collects what broke a promise.
type violations struct {
	mutex sync.Mutex
	found []string
}

// violate notes a broken promise.
func (r *runner) violate(format string, arguments ...any) {
	r.violations.mutex.Lock()
	defer r.violations.mutex.Unlock()
	r.violations.found = append(r.violations.found,
		fmt.Sprintf("%.3f s: ", time.Since(r.began).Seconds())+fmt.Sprintf(format, arguments...))
}
