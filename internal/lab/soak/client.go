package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/lab/testbed"
)

// notAppliedCodes are the error codes with which a proxy guarantees that a write
// has not been applied.
var notAppliedCodes = map[string]bool{
	"BUSY": true, "ABORTED": true, "LAGGING": true, "READONLY": true, "MISROUTED": true, "OVERLOAD": true,
	unauthorized: true,
}

// ledger records what one client has written to its two items, which no other client
// writes: item, and item-b in transactions only. Values are increasing numbers, and the data
// of one is client.data. Reads check only item.
type ledger struct {
	item string
	// highestTried is the highest value that the client has tried to write.
	highestTried int
	// acknowledged is the latest value whose write was acknowledged.
	acknowledged int
	// refused holds the values whose writes failed with a guarantee that they were
	// not applied.
	refused map[int]bool
	// told holds the values whose writes were acknowledged to the client.
	told map[int]bool
	// served and failed count operations. Others than the client read them.
	served, failed atomic.Int64
}

// client runs operations on its own items and reports violated guarantees. One
// goroutine uses it.
type client struct {
	run *runner
	// index is the number of the client.
	index  uint64
	group  int
	random *rand.Rand
	ledger ledger
	// team is the number of the client's team, if there are teams.
	team int
}

// work runs sessions one after another until ctx ends, each through a random proxy and
// with 1 to 40 operations, or more where there are teams.
func (c *client) work(ctx context.Context) {
	for ctx.Err() == nil {
		p := c.run.processes[c.random.IntN(len(c.run.processes))]
		kind := []string{"primary", "own"}[c.random.IntN(2)]
		s, err := c.run.dial(p, c.chooseKey(), fmt.Sprintf("%s-%d", kind, c.group))
		if err != nil {
			c.backOff(ctx)
			continue
		}
		s.team = c.team
		// A session of kind own must see at least its own writes; one of kind primary
		// must see every write that was acknowledged before the read.
		minimum := 0
		if kind == "primary" {
			minimum = c.ledger.acknowledged
		}
		goesOn := s.prepare(c.random)
		for n := c.random.IntN(c.sessionLength()) + 1; goesOn && n > 0 && ctx.Err() == nil; n-- {
			goesOn = c.runOperation(s, kind, &minimum)
			c.pace(ctx)
		}
		s.Close()
	}
}

// runOperation runs a random operation and reports whether the session goes on. minimum
// is the lowest value that a read may return.
func (c *client) runOperation(s *session, kind string, minimum *int) bool {
	switch c.random.IntN(4) {
	case 0:
		return c.write(s, minimum)
	case 1:
		return c.writeTransaction(s, minimum)
	default:
		return c.read(s, kind, minimum)
	}
}

// write writes the next value and reports whether the session goes on.
func (c *client) write(s *session, minimum *int) bool {
	c.ledger.highestTried++
	value := c.ledger.highestTried
	a, err := s.Do(s.writeText(c.ledger.item, c.data(value)))
	return c.recordWrite(a, err, value, minimum)
}

// writeTransaction writes the next value to both items in a transaction, and reports
// whether the session goes on.
func (c *client) writeTransaction(s *session, minimum *int) bool {
	c.ledger.highestTried++
	value := c.ledger.highestTried
	for _, text := range []string{
		"BEGIN", s.writeText(c.ledger.item, c.data(value)), s.writeText(c.ledger.item+"-b", c.data(value)),
	} {
		a, err := s.Do(text)
		if err != nil {
			c.ledger.refused[value] = true // COMMIT was never sent
			c.ledger.failed.Add(1)
			return false
		}
		if !a.OK() {
			c.ledger.refused[value] = true
			c.ledger.failed.Add(1)
			_, err := s.Do("ROLLBACK")
			return err == nil
		}
		c.rest()
	}
	a, err := s.Do("COMMIT")
	return c.recordWrite(a, err, value, minimum)
}

// recordWrite records the outcome of writing a value, and reports whether the
// session goes on. An acknowledged value is the new minimum for reads.
func (c *client) recordWrite(a testbed.Answer, err error, value int, minimum *int) bool {
	switch {
	case err != nil:
		c.ledger.failed.Add(1)
		return false
	case a.OK():
		c.checkSignature(a)
		c.ledger.served.Add(1)
		c.ledger.acknowledged = value
		c.ledger.told[value] = true
		*minimum = value
	case notAppliedCodes[a.Code]:
		c.ledger.failed.Add(1)
		c.ledger.refused[value] = true
	default:
		c.ledger.failed.Add(1)
	}
	return a.State == "I"
}

// read reads the item, checks its value, and reports whether the session goes on.
func (c *client) read(s *session, kind string, minimum *int) bool {
	if kind == "primary" {
		*minimum = c.ledger.acknowledged
	}
	a, err := s.Do("READ " + c.ledger.item)
	if err != nil || !a.OK() {
		c.ledger.failed.Add(1)
		return err == nil && a.State == "I"
	}
	c.checkSignature(a)
	c.ledger.served.Add(1)
	if len(a.Rows) != 1 {
		c.run.recordViolation("%s: a read answered %d rows", c.ledger.item, len(a.Rows))
		return false
	}
	c.checkValue(a.Rows[0], *minimum, kind)
	return true
}

// checkValue compares a value that was read with the minimum and with the ledger.
// The row "-" stands for an item that was never written.
func (c *client) checkValue(row string, minimum int, kind string) {
	value := 0
	if row != "-" {
		n, err := valueOf(row)
		if err != nil || row != c.data(n) {
			c.run.recordViolation("%s: a read answered %q, written was %q", c.ledger.item, row, c.data(n))
			return
		}
		value = n
	}
	switch {
	case value < minimum:
		c.run.recordViolation("%s: a read of kind %s saw %d although %d was acknowledged before", c.ledger.item, kind, value, minimum)
	case value > c.ledger.highestTried:
		c.run.recordViolation("%s: a read saw %d, which was never written", c.ledger.item, value)
	case c.ledger.refused[value]:
		c.run.recordViolation("%s: a read saw %d, whose write failed with a guarantee that it was not applied", c.ledger.item, value)
	}
}

// backOff waits a short time before the next attempt to connect.
func (c *client) backOff(ctx context.Context) { pause(ctx, 20*time.Millisecond) }

// pause waits for a time, or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// violations collects descriptions of violated guarantees.
type violations struct {
	// mutex guards the fields below. No other lock is taken while it is held.
	mutex    sync.Mutex
	messages []string
	// lostCommits holds the values by item of commits that a primary acknowledged and that
	// are lost. Their clients may have been told that the outcome is unknown.
	lostCommits []map[string]string
}

// addLost adds lost commits.
func (v *violations) addLost(commits []map[string]string) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.lostCommits = append(v.lostCommits, commits...)
}

// lost returns the lost commits.
func (v *violations) lost() []map[string]string {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return slices.Clone(v.lostCommits)
}

// recordViolation records a violated guarantee with the time since the start of the
// faults.
func (r *runner) recordViolation(format string, arguments ...any) {
	r.violations.mutex.Lock()
	defer r.violations.mutex.Unlock()
	r.violations.messages = append(r.violations.messages,
		fmt.Sprintf("%.3f s: ", time.Since(r.began).Seconds())+fmt.Sprintf(format, arguments...))
}
