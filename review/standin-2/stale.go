package main

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/lab/member"
	"eelgrassladder.example/eelgrassladder/internal/lab/testbed"
)

const (
	// applyLag is how far the replicas are behind.
	applyLag = 60 * time.Millisecond
	// downOfPrimary is how long the primary is down, and copyBefore how long before that the
	// copy was made.
	downOfPrimary = 3 * time.Second
	copyBefore    = time.Second
	// readTime is how long a proxy that has started is read from.
	readTime = 1500 * time.Millisecond
	// startTimeout bounds the stop and the start of a proxy.
	startTimeout = 12 * time.Second
	// counterItem is the item whose value grows with each write.
	counterItem = "counter"
)

// counter is an item that one client writes, and others read.
type counter struct {
	// acknowledged is the highest value whose write was acknowledged.
	acknowledged atomic.Int64
	// stale counts the reads that returned less than what was acknowledged before they were
	// sent, and reads all that succeeded.
	stale, reads atomic.Int64
}

// playStale crashes the primary, and has the store come back from a copy that was made before.
// Then the proxies are stopped and started in turn. The rule is broken if a read through the
// primary's route lacks a commit that was acknowledged before the read was sent.
func playStale(d *deployment) (bool, error) {
	e, err := newEstate(d, 1, 3)
	if err != nil {
		return false, err
	}
	for _, m := range e.group.Members() {
		m.SetFault(member.Fault{Lag: applyLag})
	}
	k := &counter{}
	d.tasks.GoIsolated("writer", func(ctx context.Context) { e.count(ctx, k) })
	d.pause(6 * time.Second)
	older := e.store.copyContents()
	d.pause(copyBefore)
	old := e.group.Primary()
	old.SetFault(member.Fault{Down: true, Lag: applyLag})
	e.note("%s has crashed", old.ID)
	d.pause(downOfPrimary)
	old.SetFault(member.Fault{Lag: applyLag})
	e.note("%s is back, with its log; primary: %s", old.ID, e.primaryID())
	d.pause(500 * time.Millisecond)
	if d.trouble {
		e.drill(older)
	}
	d.pause(5 * time.Second)
	for range 2 {
		for _, p := range e.proxies {
			if !e.restart(p, k) {
				return false, nil
			}
		}
	}
	d.note("%d reads, %d of them stale", k.reads.Load(), k.stale.Load())
	return k.stale.Load() > 0, nil
}

// count writes growing values through any proxy that takes them until ctx ends.
func (e *estate) count(ctx context.Context, k *counter) {
	var c *testbed.Client
	for n := int64(1); ctx.Err() == nil; n++ {
		for i := 0; c == nil && ctx.Err() == nil; i++ {
			if c, _ = testbed.Dial(e.proxies[i%len(e.proxies)].settings.Callers, estateDatabase); c == nil {
				e.pause(clientPause)
			}
		}
		if c == nil {
			return
		}
		text := fmt.Sprintf("WRITE %s %d", counterItem, n)
		answer, err := c.Do(text)
		e.write("the writer sent %s %s; answer %q, error %v", answer.ID, text, answer.Code, err)
		switch {
		case err != nil:
			c.Close()
			c = nil
		case answer.OK():
			k.acknowledged.Store(n)
		}
		e.pause(5 * time.Millisecond)
	}
}

// restart stops a proxy as the platform does, and reads from it as soon as it is ready again. It
// reports false if the case has ended.
func (e *estate) restart(p *proxy, k *counter) bool {
	e.note("%s gets SIGTERM", p.settings.Name)
	p.signal(syscall.SIGTERM)
	end := time.Now().Add(startTimeout)
	for _, ready := range []bool{false, true} {
		for p.ready() != ready {
			if time.Now().After(end) || e.tasks.Context().Err() != nil {
				return false
			}
			e.pause(5 * time.Millisecond)
		}
	}
	e.note("%s is ready again", p.settings.Name)
	e.readCounter(p, k)
	return true
}

// readCounter reads the counter through a proxy for readTime.
func (e *estate) readCounter(p *proxy, k *counter) {
	c, err := testbed.Dial(p.settings.Callers, estateDatabase)
	if err != nil {
		e.note("reading at %s: %v", p.settings.Name, err)
		return
	}
	defer c.Close()
	for began := time.Now(); time.Since(began) < readTime; {
		acknowledged := k.acknowledged.Load()
		answer, err := c.Do("READ " + counterItem)
		e.write("the reader sent %s READ %s to %s; answer %q %v, error %v", answer.ID, counterItem, p.settings.Name, answer.Code, answer.Rows, err)
		if err != nil {
			return
		}
		if !answer.OK() || len(answer.Rows) != 1 {
			continue
		}
		k.reads.Add(1)
		if value, err := strconv.ParseInt(answer.Rows[0], 10, 64); err == nil && value < acknowledged {
			if k.stale.Add(1) <= 20 {
				e.note("%s returned %d, signed %s, %v after it was ready; %d was acknowledged before the read was sent",
					p.settings.Name, value, strings.TrimPrefix(answer.Signature, "sig-"), time.Since(began).Round(time.Millisecond), acknowledged)
			}
		}
	}
}
