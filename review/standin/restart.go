package main

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/lab/member"
	"eelgrassladder.example/eelgrassladder/internal/lab/testbed"
)

const (
	// settleTime is how long the proxies run before clients begin to write. The
	// members are recorded in the store by then.
	settleTime = 8 * time.Second
	// writeTime is how long clients write before the members fail, and after the primary
	// is back.
	writeTime = 3 * time.Second
	// restartTime is how long the replicas are down, and primaryDownTime how long the
	// primary is. The platform's pages name 7 s for a primary that crashes.
	restartTime     = time.Second
	primaryDownTime = 7 * time.Second
	// readTime is how long the test tries to read an item, after the primary is back.
	readTime = 25 * time.Second
	// writers is the number of clients that write, and writePause their pause after a write.
	writers    = 4
	writePause = 50 * time.Millisecond
)

// acknowledgedWrites holds the items whose writes were acknowledged.
type acknowledgedWrites struct {
	// mutex guards the field below. No other lock is taken while it is held.
	mutex sync.Mutex
	items []string
}

// restartEmpty restarts all members of a group. The replicas come back first, under their
// IDs and without a log; the primary comes back later, with its log. Then it looks for the
// acknowledged writes.
func restartEmpty(ctx context.Context, r *run) (bool, error) {
	plan := testbed.DefaultPlan()
	plan.Slots, plan.Connections, plan.PromoteTime = 3, 39, 300*time.Millisecond
	bed, err := testbed.New(r.tasks, plan)
	if err != nil {
		return false, err
	}
	r.bed = bed
	group := bed.Groups[0]
	for zone, m := range group.Members() {
		r.register(m, zone, time.Now())
	}
	proxies, err := r.startProxies(ctx, 5)
	defer stopProxies(proxies)
	if err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	done := &acknowledgedWrites{}
	writing, stopWriting := context.WithCancel(ctx)
	defer stopWriting()
	clients := r.write(writing, proxies, done)
	time.Sleep(writeTime)
	if r.trouble {
		if err := r.restartMembers(group); err != nil {
			return false, err
		}
	} else {
		time.Sleep(primaryDownTime)
	}
	time.Sleep(writeTime)
	stopWriting()
	_ = clients.Wait() // the functions return no errors
	return r.findLost(ctx, proxies, group, done), nil
}

// write has clients write items of their own until the context ends. A write that was not
// acknowledged is not tried again.
func (r *run) write(ctx context.Context, proxies []*proxy, done *acknowledgedWrites) *task.Group {
	clients := task.New(ctx)
	for w := range writers {
		clients.GoIsolated("writer", func(ctx context.Context) {
			for n := 0; ctx.Err() == nil; n++ {
				c, err := testbed.Dial(proxies[(w+n)%len(proxies)].settings.Callers, "primary-0")
				if err == nil {
					r.writeItems(ctx, c, done, fmt.Sprintf("order-%d-%d", w, n))
					c.Close()
				}
				time.Sleep(writePause)
			}
		})
	}
	return clients
}

// writeItems writes items in one session until a write is not acknowledged.
func (r *run) writeItems(ctx context.Context, c *testbed.Client, done *acknowledgedWrites, name string) {
	for n := 0; ctx.Err() == nil; n++ {
		item := fmt.Sprintf("%s-%d", name, n)
		answer, err := c.Do("WRITE " + item + " data-" + item)
		r.record.add("%s WRITE %s: code %q, signature %s, error %v", answer.ID, item, answer.Code, answer.Signature, err)
		if err != nil || !answer.OK() {
			return
		}
		done.mutex.Lock()
		done.items = append(done.items, item)
		done.mutex.Unlock()
		time.Sleep(writePause)
	}
}

// restartMembers crashes all members at once and starts them again: the replicas after
// restartTime, under their IDs, with nothing of before; the primary after primaryDownTime,
// with its log.
func (r *run) restartMembers(group *member.Group) error {
	primary := group.Primary()
	r.record.add("all members crash; primary %s has the log up to %v", primary.ID, primary.Received())
	primary.SetFault(member.Fault{Down: true})
	var replicas []*member.Member
	for _, m := range group.Members() {
		if m != primary {
			replicas = append(replicas, m)
			m.Terminate()
		}
	}
	time.Sleep(restartTime)
	for zone, m := range replicas {
		again, err := r.bed.AddMember(group, m.ID, member.WithAddress(m.Address))
		if err != nil {
			return err
		}
		r.register(again, zone+1, time.Now())
		r.record.add("replica %s is started again at %s and holds the log up to %v", again.ID, again.Address, again.Received())
	}
	time.Sleep(primaryDownTime - restartTime)
	r.record.add("before the primary's return: %s", group)
	primary.SetFault(member.Fault{})
	r.record.add("primary %s is back: %s", primary.ID, group)
	return nil
}

// register writes the member's entry into the platform's store, now and on every change of
// its role or state.
func (r *run) register(m *member.Member, zone int, born time.Time) {
	m.Register(func(primary, leaving bool) {
		entry := map[string]any{
			"service": m.Group(), "address": m.Address, "zone": fmt.Sprintf("zone-%d", zone), "version": "v1", "slots": m.Slots,
			"state": "ready", "cold-left-ms": 0, "db-role": "replica", "sequence": 1, "born": born.UnixMilli(),
		}
		if primary {
			entry["db-role"] = "primary"
		}
		if leaving {
			entry["state"] = "draining"
		}
		text, err := json.Marshal(entry)
		if err != nil {
			panic(err) // a map of plain values can always be encoded
		}
		r.bed.Store.Put("servers/"+m.ID, text)
	})
}

// findLost reads all items whose writes were acknowledged, and reports whether one is
// missing.
func (r *run) findLost(ctx context.Context, proxies []*proxy, group *member.Group, done *acknowledgedWrites) bool {
	deadline := time.Now().Add(readTime)
	missing, read := 0, 0
	for _, item := range done.items {
		rows, ok := r.readItem(ctx, proxies, item, deadline)
		if !ok {
			continue
		}
		read++
		if len(rows) != 1 || rows[0] != "data-"+item {
			missing++
			r.record.add("READ %s: rows %q, although its write was acknowledged", item, rows)
		}
	}
	lostCommits, loweredTokens := group.Violations()
	r.record.add("%d writes acknowledged, %d items read, %d of them without the data", len(done.items), read, missing)
	r.record.add("members: %s; acknowledged commits that a promoted member lacked: %d; lowered tokens: %d", group, lostCommits, loweredTokens)
	return missing > 0 || lostCommits > 0
}

// readItem reads an item through each proxy in turn until one answers with success.
func (r *run) readItem(ctx context.Context, proxies []*proxy, item string, deadline time.Time) ([]string, bool) {
	for i := 0; ctx.Err() == nil && time.Now().Before(deadline); i++ {
		c, err := testbed.Dial(proxies[i%len(proxies)].settings.Callers, "primary-0")
		if err != nil {
			continue
		}
		answer, err := c.Do("READ " + item)
		c.Close()
		if err == nil && answer.OK() {
			return answer.Rows, true
		}
		time.Sleep(50 * time.Millisecond)
	}
	r.record.add("READ %s: no success in time", item)
	return nil, false
}
