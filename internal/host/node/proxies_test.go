package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// steppedClock is a boot clock that the test sets.
type steppedClock struct{ now time.Duration }

func (c *steppedClock) SinceBoot() time.Duration { return c.now }

// TestAProxyWhoseRegistrationEndedMayStillRun guards against a change of primary that does
// not wait for a proxy which is cut off from the store and still reports commits.
func TestAProxyWhoseRegistrationEndedMayStillRun(t *testing.T) {
	c := &steppedClock{now: time.Hour}
	s := newClusterState("self", nil, c)
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
