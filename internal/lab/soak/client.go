package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/lab/estate"
)

// notAppliedCodes are the codes that promise that nothing was kept.
var notAppliedCodes = map[string]bool{
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
	run    *Run
	group  int
	random *rand.Rand
	ledger ledger
}

// work runs sessions one after another.
func (c *client) work(ctx context.Context) {
	for ctx.Err() == nil {
		p := c.run.processes[c.random.IntN(len(c.run.processes))]
		kind := []string{"primary", "own"}[c.random.IntN(2)]
		s, err := estate.Dial(p.callerAddress, fmt.Sprintf("%s-%d", kind, c.group))
		if err != nil {
			c.backOff(ctx)
			continue
		}
		// A session of the own kind covers its own writes alone.
		minimum := 0
		if kind == "primary" {
			minimum = c.ledger.acknowledged
		}
		for n := c.random.IntN(40) + 1; n > 0 && ctx.Err() == nil; n-- {
			if !c.runOperation(s, kind, &minimum) {
				break
			}
		}
		s.Close()
	}
}

// runOperation runs one operation and reports whether the session goes on.
func (c *client) runOperation(s *estate.Client, kind string, minimum *int) bool {
	switch c.random.IntN(4) {
	case 0:
		return c.write(s, minimum)
	case 1:
		return c.writeTransaction(s, minimum)
	default:
		return c.read(s, kind, minimum)
	}
}

// write writes the next value.
func (c *client) write(s *estate.Client, minimum *int) bool {
	c.ledger.next++
	value := c.ledger.next
	a, err := s.Do(fmt.Sprintf("WRITE %s %d", c.ledger.item, value))
	return c.recordWrite(a, err, value, minimum)
}

// writeTransaction writes the next value to both items in a transaction.
func (c *client) writeTransaction(s *estate.Client, minimum *int) bool {
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
	return c.recordWrite(a, err, value, minimum)
}

// recordWrite notes what became of a value.
func (c *client) recordWrite(a estate.Answer, err error, value int, minimum *int) bool {
	switch {
	case err != nil:
		c.ledger.failed++
		return false
	case a.OK():
		c.ledger.served++
		c.ledger.acknowledged = value
		*minimum = value
	case notAppliedCodes[a.Code]:
		c.ledger.failed++
		c.ledger.refused[value] = true
	default:
		c.ledger.failed++
	}
	return a.State == "I"
}

// read reads the item and checks what it says.
func (c *client) read(s *estate.Client, kind string, minimum *int) bool {
	if kind == "primary" {
		*minimum = c.ledger.acknowledged
	}
	a, err := s.Do("READ " + c.ledger.item)
	if err != nil || !a.OK() {
		c.ledger.failed++
		return err == nil && a.State == "I"
	}
	c.ledger.served++
	if len(a.Rows) != 1 {
		c.run.recordViolation("%s: a read answered %d rows", c.ledger.item, len(a.Rows))
		return false
	}
	c.checkValue(a.Rows[0], *minimum, kind)
	return true
}

// checkValue compares a value that was read with the ledger.
func (c *client) checkValue(row string, minimum int, kind string) {
	value := 0
	if row != "-" {
		n, err := strconv.Atoi(row)
		if err != nil {
			c.run.recordViolation("%s: a read answered %q", c.ledger.item, row)
			return
		}
		value = n
	}
	switch {
	case value < minimum:
		c.run.recordViolation("%s: a read of kind %s saw %d, %d was acknowledged", c.ledger.item, kind, value, minimum)
	case value > c.ledger.next:
		c.run.recordViolation("%s: a read saw %d, which was never written", c.ledger.item, value)
	case c.ledger.refused[value]:
		c.run.recordViolation("%s: a read saw %d, whose write was promised not to be kept", c.ledger.item, value)
	}
}

// backOff waits a moment before another try to connect.
func (c *client) backOff(ctx context.Context) {
	timer := time.NewTimer(20 * time.Millisecond)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// violations collects what broke a promise.
type violations struct {
	mutex    sync.Mutex
	messages []string
}

// recordViolation notes a broken promise.
func (r *Run) recordViolation(format string, arguments ...any) {
	r.violations.mutex.Lock()
	defer r.violations.mutex.Unlock()
	r.violations.messages = append(r.violations.messages,
		fmt.Sprintf("%.3f s: ", time.Since(r.began).Seconds())+fmt.Sprintf(format, arguments...))
}
