package node

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/era"
	"eelgrassladder.example/eelgrassladder/internal/host/quota"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/table/scheduler"
)

// steppedClock is a boot clock that the test sets.
type steppedClock struct{ now time.Duration }

func (c *steppedClock) SinceBoot() time.Duration { return c.now }

// TestAProxyWhoseRegistrationEndedMayStillRun guards against a change of primary that does
// not wait for a proxy which is cut off from the store and still reports commits.
func TestAProxyWhoseRegistrationEndedMayStillRun(t *testing.T) {
	c := &steppedClock{now: time.Hour}
	s := newClusterState("self", nil, c, era.New())
	s.setProxies(map[string]string{"p": "10.0.0.1:1", "q": "10.0.0.2:1"})
	_, allKnown := s.DepartedProxies()
	assert.Assert(t, !allKnown, "proxies may have departed before this one had the list")
	c.now += proxyRetention
	s.setProxies(map[string]string{"q": "10.0.0.3:1"}) // q has started again elsewhere
	departed, allKnown := s.DepartedProxies()
	assert.Assert(t, allKnown)
	assert.DeepEqual(t, departed, map[string]string{"10.0.0.1:1": "p", "10.0.0.2:1": "q"})
	s.setProxies(map[string]string{"p": "10.0.0.1:1", "q": "10.0.0.3:1"})
	c.now += proxyRetention - 1
	departed, _ = s.DepartedProxies()
	assert.DeepEqual(t, departed, map[string]string{"10.0.0.2:1": "q"})
	c.now++
	departed, _ = s.DepartedProxies()
	assert.Equal(t, len(departed), 0)
}

// TestAProxyWhoseRegistrationEndedStillLends guards against the share of a proxy that is cut off
// from the store being produced by others too.
func TestAProxyWhoseRegistrationEndedStillLends(t *testing.T) {
	c := &steppedClock{now: time.Hour}
	s := newClusterState("self", nil, c, era.New())
	changes := 0
	s.onChange = func() { changes++ }
	s.setProxies(map[string]string{"p": "10.0.0.1:1", "q": "10.0.0.2:1"})
	s.setProxies(map[string]string{"q": "10.0.0.3:1"}) // q has started again elsewhere
	assert.Equal(t, changes, 2)
	assert.DeepEqual(t, s.Lenders(), map[string]string{"p": "10.0.0.1:1", "q": "10.0.0.3:1"})
	c.now += proxyRetention
	departed, _ := s.DepartedProxies()
	assert.Equal(t, len(departed), 0)
	s.setProxies(map[string]string{})
	c.now += lenderRetention - proxyRetention - 1
	assert.DeepEqual(t, s.Lenders(), map[string]string{"p": "10.0.0.1:1", "q": "10.0.0.3:1"})
	c.now++
	assert.DeepEqual(t, s.Lenders(), map[string]string{"q": "10.0.0.3:1"})
	c.now += proxyRetention
	assert.Equal(t, len(s.Lenders()), 0)
}

// countingQuotas counts the refreshed views.
type countingQuotas struct {
	quota.Unlimited
	refreshed int
}

func (c *countingQuotas) Refresh() { c.refreshed++ }

// TestTokensAreProducedOnceTheOthersKnowOfThisProxy guards against a new proxy that produces a
// share which the others still produce, and against one that starts again and produces nothing
// although they count it.
func TestTokensAreProducedOnceTheOthersKnowOfThisProxy(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	entry := registration{address: l.Addr().String(), lease: 7}
	for _, c := range []struct {
		name  string
		found bool
		after time.Duration
	}{{"found", true, 0}, {"not found", false, 3*time.Second + announceTime}} {
		now := &steppedClock{now: time.Hour}
		q := &countingQuotas{}
		n := &Node{listeners: listeners{siblings: l}, dependencies: Dependencies{Clock: now, Registry: noEntries{}}, quotas: q, state: newClusterState("self", nil, now, era.New()), table: scheduler.New(timer.New(), now, "east")}
		n.settings.Name = "self"
		var items []eelgrassladder.Item
		if c.found {
			items = append(items, eelgrassladder.Item{Key: proxyPrefix + "self", Value: []byte(entry.String()), Revision: 3})
		}
		newFollower(n).Reset(items, 3)
		now.now += 3 * time.Second
		n.noteRegistration(entry, false)
		assert.Equal(t, time.Duration(n.producesFrom.Load()), time.Hour+c.after, c.name)
		assert.Equal(t, q.refreshed, 1)
		now.now += time.Second
		n.noteRegistration(entry, true)
		n.noteRegistration(entry, false)
		assert.Equal(t, time.Duration(n.producesFrom.Load()), time.Hour+c.after, "%s: a later registration counts", c.name)
	}
}

// noEntries is a Registry whose keys no item has.
type noEntries struct{ Registry }

func (noEntries) Keys() (configuration, endpoints string) { return "configuration", "endpoints/" }
