package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/era"
	"eelgrassladder.example/eelgrassladder/internal/host/quota"
	"eelgrassladder.example/eelgrassladder/internal/model/heartbeat"
	"eelgrassladder.example/eelgrassladder/internal/model/leader"
	"eelgrassladder.example/eelgrassladder/internal/model/leadership"
	"eelgrassladder.example/eelgrassladder/internal/model/revision"
	"eelgrassladder.example/eelgrassladder/internal/model/route"
)

// revisionIn returns the revision with a number in an era.
func revisionIn(t *testing.T, era, number uint64) revision.Revision {
	t.Helper()
	r, err := revision.New(era, number)
	assert.NilError(t, err)
	return r
}

// newEraNode returns a node whose group has an open record of era 1, and a follower of it.
func newEraNode(t *testing.T) (*Node, *follower, leadership.Record) {
	t.Helper()
	n := newTestNode(fixedClock{})
	n.dependencies.Registry, n.quotas = noEntries{}, quota.Unlimited{}
	n.dependencies.Instruments = &countingInstruments{}
	n.state.eras.OnRise(n.enterEra)
	n.state.eras.Learn(1, "store")
	record := leadership.Record{Group: testGroup}.WithPrimary("b", 2).WithRevision(revisionIn(t, 1, 30))
	n.state.LearnRecord(record)
	return n, newFollower(n), record
}

// TestTheRecordOfACopyDoesNotReplaceALaterOne guards against a proxy that goes back to a former
// primary because the store came back from a copy with the record of that one.
func TestTheRecordOfACopyDoesNotReplaceALaterOne(t *testing.T) {
	n, f, record := newEraNode(t)
	n.state.eras.Learn(2, "store")
	older := leadership.Record{Group: testGroup}.WithPrimary("a", 1).WithRevision(revisionIn(t, 1, 20))
	f.Reset([]eelgrassladder.Item{{Key: leadership.Key(testGroup), Value: older.Bytes(), Revision: revisionIn(t, 2, 20)}}, revisionIn(t, 2, 21))
	assert.Equal(t, n.state.Record(testGroup).Revision, record.Revision)
	assert.Equal(t, n.table.Leader(testGroup).Endpoint, "b")
	confirmed := record.WithRevision(revisionIn(t, 2, 22))
	f.Changed([]eelgrassladder.Item{{Key: leadership.Key(testGroup), Value: confirmed.Bytes(), Revision: revisionIn(t, 2, 22)}})
	assert.Equal(t, n.state.Record(testGroup).Revision, confirmed.Revision)
}

// TestAnAnswerOfTheStoreConfirmsNoRecordOfAFormerEra guards against a group whose record counts as
// the newest one although the store may have forgotten a later one.
func TestAnAnswerOfTheStoreConfirmsNoRecordOfAFormerEra(t *testing.T) {
	n, f, record := newEraNode(t)
	routes := route.NewTable(1).WithRoutes(route.Route{Database: "orders", Group: testGroup})
	n.state.routes.Store(&routes)
	f.Confirmed(time.Minute)
	assert.Equal(t, n.table.Leader(testGroup).Recorded.OpenAt, time.Minute)
	n.state.eras.Learn(2, "store")
	f.Confirmed(time.Hour)
	assert.Equal(t, n.table.Leader(testGroup).Recorded.OpenAt, time.Minute)
	n.state.LearnRecord(record.WithRevision(revisionIn(t, 2, 22)))
	f.Confirmed(time.Hour)
	assert.Equal(t, n.table.Leader(testGroup).Recorded.OpenAt, time.Hour)
}

// TestAnEraIsLearnedFromOtherProxies guards against a proxy that is cut off from the store and goes
// on with a change of primary which the store has forgotten.
func TestAnEraIsLearnedFromOtherProxies(t *testing.T) {
	n, _, record := newEraNode(t)
	assert.Equal(t, n.state.Message().Era, uint64(1))
	n.state.Receive(heartbeat.Message{Sender: "other", Era: 2})
	assert.Equal(t, n.state.Era(), uint64(2))
	confirmed := record.WithRevision(revisionIn(t, 3, 9))
	n.state.Receive(heartbeat.Message{Sender: "other", Records: []heartbeat.Record{{Group: testGroup, Revision: confirmed.Revision, Value: confirmed.Bytes()}}})
	assert.Equal(t, n.state.Era(), uint64(3))
	assert.Assert(t, n.state.Record(testGroup).WrittenIn(3))
}

// TestAProxyThatHasJustStartedIsNotSettled guards against a record that is confirmed although the
// only process that knew of a change of primary has ended and started again.
func TestAProxyThatHasJustStartedIsNotSettled(t *testing.T) {
	c := &steppedClock{now: time.Hour}
	s := newClusterState("self", nil, c, era.New())
	assert.Assert(t, !s.Message().Settled)
	s.setProxies(map[string]string{"p": "10.0.0.1:1"})
	c.now += proxyRetention - 1
	assert.Assert(t, !s.Message().Settled)
	c.now++
	assert.Assert(t, s.Message().Settled)
}

// TestAProxyRegistersAnewInANewEra guards against a proxy that the store no longer lists, or whose
// lease has the ID of another one: changes of primary would not tell it.
func TestAProxyRegistersAnewInANewEra(t *testing.T) {
	n, f, _ := newEraNode(t)
	n.registered.Store(true)
	n.state.eras.Learn(2, "store")
	assert.Assert(t, !n.registered.Load())
	n.registered.Store(true)
	f.proxies["c-2"] = "10.0.0.1:1"
	f.Reset(nil, revisionIn(t, 2, 5))
	assert.Assert(t, !n.registered.Load(), "the store lists no entry of this proxy")
	assert.Equal(t, len(n.state.Proxies()), 0)
}

// TestALeaderOfAFormerEraKeepsItsProof guards against a calm group that stops when the store comes
// back from a copy.
func TestALeaderOfAFormerEraKeepsItsProof(t *testing.T) {
	n, f, _ := newEraNode(t)
	n.table.UpdateLeader(testGroup, func(l leader.State) leader.State { return l.WithProof(time.Hour) })
	n.state.eras.Learn(2, "store")
	f.Reset(nil, revisionIn(t, 2, 5))
	assert.Assert(t, n.table.Leader(testGroup).ProvenAt(time.Hour))
}
