package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/era"
	"eelgrassladder.example/eelgrassladder/internal/model/fleetrecord"
)

// movedClock is a boot clock that the test sets.
type movedClock struct{ now time.Duration }

func (c *movedClock) SinceBoot() time.Duration { return c.now }

// TestProxiesThatStartAgainKnowHowManyTheyAre replays the loss of power of all proxies, after
// which the store has no registration. It guards against a proxy that takes the limit of a team
// for its own alone, or that runs no operation until all others have registered.
func TestProxiesThatStartAgainKnowHowManyTheyAre(t *testing.T) {
	c := &movedClock{now: time.Hour}
	s := newClusterState("proxy-1", nil, c, era.New())
	changes := 0
	s.onChange = func() { changes++ }
	recorded := fleetrecord.Record{}.With(map[string]string{"proxy-1": "10.1.0.1:1", "proxy-2": "10.1.0.2:1", "proxy-3": "10.1.0.3:1"})
	r, err := fleetrecord.Parse(recorded.Bytes(), 9)
	assert.NilError(t, err)
	s.learnFleet(r)
	assert.Equal(t, changes, 1)
	assert.Assert(t, s.inFleetRecord())
	assert.DeepEqual(t, s.Lenders(), map[string]string{"proxy-2": "10.1.0.2:1", "proxy-3": "10.1.0.3:1"})
	s.setProxies(map[string]string{"proxy-2": "10.1.0.9:1"})
	assert.DeepEqual(t, s.Lenders(), map[string]string{"proxy-2": "10.1.0.9:1", "proxy-3": "10.1.0.3:1"})
}

// TestAProxyThatIsGoneLeavesTheRecordAfterItsRetention guards against limits of which a part is
// lost for good, and against a proxy that forgets others which still run, cut off from the store.
func TestAProxyThatIsGoneLeavesTheRecordAfterItsRetention(t *testing.T) {
	c := &movedClock{now: time.Hour}
	s := newClusterState("proxy-1", nil, c, era.New())
	both := fleetrecord.Record{}.With(map[string]string{"proxy-1": "10.1.0.1:1", "proxy-2": "10.1.0.2:1"})
	r, err := fleetrecord.Parse(both.Bytes(), 9)
	assert.NilError(t, err)
	s.learnFleet(r)
	s.setProxies(map[string]string{})
	for _, after := range []time.Duration{0, lenderRetention - 1} {
		c.now = time.Hour + after
		_, wanted := s.fleetRecords("10.1.0.1:1")
		assert.Assert(t, wanted.SameProxies(both), "after %v: %v", after, wanted.Addresses())
	}
	c.now = time.Hour + lenderRetention
	_, wanted := s.fleetRecords("10.1.0.1:1")
	assert.DeepEqual(t, wanted.Addresses(), map[string]string{"proxy-1": "10.1.0.1:1"})
}

// TestAMalformedRecordOfTheProxiesIsLeftOut guards against shares that are computed from a record
// which another writer has left.
func TestAMalformedRecordOfTheProxiesIsLeftOut(t *testing.T) {
	n := newTestNode(&movedClock{now: time.Hour})
	n.dependencies.Registry = keysRegistry{}
	f := newFollower(n)
	f.Changed([]eelgrassladder.Item{{Key: fleetrecord.Key, Value: []byte("c-2 10.1.0.2:1\n"), Revision: 3}})
	f.Changed([]eelgrassladder.Item{{Key: fleetrecord.Key, Value: []byte("c-2"), Revision: 4}})
	assert.DeepEqual(t, n.state.Lenders(), map[string]string{"c-2": "10.1.0.2:1"})
}
