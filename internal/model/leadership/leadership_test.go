package leadership_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/model/leadership"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/revision"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
)

// Proxies of two builds share the store during a rolling update. A key that follows
// the name of a Go field changes when the field is renamed, and the other build then
// reads a record without the value.

// storedRecord and storedLock are values in the store, as written by a build whose fields
// had the names of the keys.
const (
	storedRecord = `{"Endpoint":"pg-2","Term":7,"Closed":true,"Holder":"proxy-1","Kept":{"Term":6,"Log":41},` +
		`"Members":{"pg-1":"10.0.0.1:5","pg-2":"10.0.0.2:5"},"Starts":{"pg-1":1700000000001,"pg-2":1700000000002},` +
		`"Elected":{"Endpoint":"pg-1","After":11,"Repeated":true}}`
	// formerRecord is the same record of a build that knows neither starts nor elections.
	formerRecord = `{"Endpoint":"pg-2","Term":7,"Closed":true,"Holder":"proxy-1","Kept":{"Term":6,"Log":41},` +
		`"Members":{"pg-1":"10.0.0.1:5","pg-2":"10.0.0.2:5"}}`
	storedLock = `{"Holder":"proxy-1","Busy":true}`
)

func fullRecord() leadership.Record {
	return leadership.Record{
		Group: "g", Revision: 12, Endpoint: "pg-2", Term: 7, Closed: true, Holder: "proxy-1",
		Acknowledged: position.Position{Term: 6, Log: 41},
		Members:      map[string]string{"pg-1": "10.0.0.1:5", "pg-2": "10.0.0.2:5"},
		Starts:       map[string]int64{"pg-1": 1_700_000_000_001, "pg-2": 1_700_000_000_002},
		Elected:      leadership.Election{Endpoint: "pg-1", After: 11, Repeated: true},
	}
}

func TestRecordsAreStoredAsOtherBuildsExpect(t *testing.T) {
	assert.Equal(t, string(fullRecord().Bytes()), storedRecord)
	former := fullRecord()
	former.Starts, former.Elected = nil, leadership.Election{}
	assert.Equal(t, string(former.Bytes()), formerRecord)
	empty := leadership.Record{Group: "g", Revision: 12}
	assert.Equal(t, string(empty.Bytes()), `{"Endpoint":"","Term":0,"Closed":false,"Holder":""}`)
}

func TestRecordsOfOtherBuildsKeepTheirValues(t *testing.T) {
	got, err := leadership.Parse("g", []byte(storedRecord), 12)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, fullRecord())
	got, err = leadership.Parse("g", []byte(formerRecord), 12)
	assert.NilError(t, err)
	former := fullRecord()
	former.Starts, former.Elected = nil, leadership.Election{}
	assert.DeepEqual(t, got, former)
}

func TestAnElectionStaysUntilItsMemberLeads(t *testing.T) {
	r := leadership.Record{Group: "g", Revision: 12, Endpoint: "pg-2", Term: 7}.WithClosed("proxy-1").WithElected("pg-1", 9, false)
	want := leadership.Election{Endpoint: "pg-1", After: 12, Token: 9}
	assert.Equal(t, r.Elected, want)
	assert.Equal(t, r.WithRevision(13).WithClosed("proxy-2").WithPrimary("pg-1", 8).Elected, want)
	assert.Equal(t, r.WithoutElected("pg-3").Elected, want)
	assert.Equal(t, r.WithoutElected("pg-1").Elected, leadership.Election{})
	assert.Assert(t, r.WithElected("pg-1", 9, true).WithoutElected("pg-1").Elected.Repeated, "an earlier order may still be executed")
}

// TestARecordOfAFormerBuildHasNoStarts covers a record that was written before members'
// starts were stored, or since by a proxy of such a build.
func TestARecordOfAFormerBuildHasNoStarts(t *testing.T) {
	got, err := leadership.Parse("g", []byte(formerRecord), 12)
	assert.NilError(t, err)
	want := fullRecord()
	want.Starts, want.Elected = nil, leadership.Election{}
	assert.DeepEqual(t, got, want)
	assert.DeepEqual(t, got.Member("pg-1"), topology.Endpoint{ID: "pg-1", Group: "g", Address: "10.0.0.1:5"})
	assert.Assert(t, !got.SameMembers(fullRecord()))
}

func TestARecordKeepsTheStartsOfItsMembers(t *testing.T) {
	started := topology.Endpoint{ID: "pg-1", Group: "g", Address: "10.0.0.1:5", StartedAt: 1_700_000_000_001}
	unknown := topology.Endpoint{ID: "pg-3", Group: "g", Address: "10.0.0.3:5"}
	r := fullRecord().WithMembers([]topology.Endpoint{started, unknown})
	assert.DeepEqual(t, r.Member("pg-1"), started)
	assert.DeepEqual(t, r.Member("pg-3"), unknown)
	assert.DeepEqual(t, r.Starts, map[string]int64{"pg-1": 1_700_000_000_001})
}

// TestAMemberThatStartedAgainIsNotListed guards against a proof by a replica that a change
// of primary has suspended, and that receives again because it has started again.
func TestAMemberThatStartedAgainIsNotListed(t *testing.T) {
	r := fullRecord()
	member := r.Member("pg-1")
	assert.Assert(t, r.Lists(member))
	member.StartedAt++
	assert.Assert(t, !r.Lists(member))
	assert.Assert(t, !r.Lists(topology.Endpoint{ID: "pg-3"}), "a member that has joined since is listed")
	assert.Assert(t, leadership.Record{}.Lists(member))
}

func TestThePromotionLockIsStoredAsOtherBuildsExpect(t *testing.T) {
	l := leadership.PromotionLock{Revision: 5, Seen: time.Second, Holder: "proxy-1", Busy: true}
	assert.Equal(t, string(l.Bytes()), storedLock)
	got, err := leadership.ParsePromotionLock([]byte(storedLock), 5)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, leadership.PromotionLock{Revision: 5, Holder: "proxy-1", Busy: true})
}

// TestAHolderKeepsItsToken guards against orders of one holder that the platform sees in
// another sequence than they were sent.
func TestAHolderKeepsItsToken(t *testing.T) {
	first := leadership.PromotionLock{}.WithHolder("a", 0)
	assert.Equal(t, first.FencingToken(), uint64(1))
	released := first.WithRevision(8, 0).WithReleased()
	again := released.WithRevision(9, 0).WithHolder("a", 0)
	assert.Equal(t, again.FencingToken(), uint64(1))
	next := again.WithRevision(12, 0).WithHolder("b", 0)
	assert.Equal(t, next.FencingToken(), uint64(13), "above every revision that an earlier build could have used")
	back := next.WithRevision(15, 0).WithHolder("a", 0)
	assert.Equal(t, back.FencingToken(), uint64(16))
	removed := leadership.PromotionLock{}.WithHolder("b", 40)
	assert.Equal(t, removed.FencingToken(), uint64(41), "above a known revision of another key")
	parsed, err := leadership.ParsePromotionLock(back.Bytes(), 20)
	assert.NilError(t, err)
	assert.Equal(t, parsed.FencingToken(), uint64(16))
}

// TestARemovedLockIsExpectedToBeMissing guards against a write that the store refuses because
// it has no such key, or has the key again.
func TestARemovedLockIsExpectedToBeMissing(t *testing.T) {
	taken := leadership.RemovedPromotionLock(20).WithHolder("a", 0)
	assert.Equal(t, taken.Expected(), revision.Revision(0))
	assert.Equal(t, taken.FencingToken(), uint64(21))
	written := taken.WithRevision(25, 0)
	assert.Equal(t, written.Expected(), revision.Revision(25))
	assert.Equal(t, written.FencingToken(), uint64(21))
}

// TestATokenAboveTheRevisionIsNotUsed covers a lock of another writer.
func TestATokenAboveTheRevisionIsNotUsed(t *testing.T) {
	for name, value := range map[string]string{
		"above its revision":          `{"Holder":"proxy-1","Busy":true,"Token":99}`,
		"decoding the promotion lock": `{"Holder":"proxy-1","Token":99,"Busy":"yes"}`,
	} {
		odd, err := leadership.ParsePromotionLock([]byte(value), 5)
		assert.ErrorContains(t, err, name)
		assert.Equal(t, odd, leadership.PromotionLock{Revision: 5})
	}
}

// TestTheTokenOfAnEarlierBuildIsTheRevision covers a lock that a build without tokens wrote.
func TestTheTokenOfAnEarlierBuildIsTheRevision(t *testing.T) {
	earlier, err := leadership.ParsePromotionLock([]byte(storedLock), 5)
	assert.NilError(t, err)
	assert.Equal(t, earlier.FencingToken(), uint64(5))
	assert.Equal(t, earlier.WithHolder("proxy-1", 0).FencingToken(), uint64(5))
	assert.Equal(t, earlier.WithReleased().WithRevision(8, 0).FencingToken(), uint64(5))
	assert.Equal(t, earlier.WithHolder("proxy-2", 0).FencingToken(), uint64(6))
}

// in returns a revision of an era.
func in(era, number uint64) revision.Revision {
	r, err := revision.New(era, number)
	if err != nil {
		panic(err)
	}
	return r
}

// TestARecordProvesOnlyInTheEraInWhichItWasWritten guards against a record of an older copy of the
// store, or the lack of one, that proves a primary which was replaced since.
func TestARecordProvesOnlyInTheEraInWhichItWasWritten(t *testing.T) {
	record := leadership.Record{Group: "g"}.WithPrimary("pg-1", 3).WithRevision(in(1, 12))
	read, err := leadership.Parse("g", record.Bytes(), in(2, 9))
	assert.NilError(t, err)
	assert.Equal(t, read.Revision, in(1, 9), "the record is ordered by when it was written")
	assert.Assert(t, read.Revision < record.Revision)
	assert.Assert(t, read.Proves("pg-1", 3, 1))
	assert.Assert(t, !read.Proves("pg-1", 3, 2))
	assert.Assert(t, !leadership.Record{}.Proves("pg-1", 3, 2))
	assert.Assert(t, leadership.Record{}.Proves("pg-1", 3, 0), "a store without eras forgets nothing")
	_, err = leadership.Parse("g", record.Bytes(), in(0, 9))
	assert.ErrorContains(t, err, "written in era 1, and read in era 0")
}

// TestATokenOfAFormerEraIsNotKept guards against one token of several holders, or a token below one
// that the platform has seen, after the store has forgotten who held the lock.
func TestATokenOfAFormerEraIsNotKept(t *testing.T) {
	held := leadership.PromotionLock{}.WithRevision(in(1, 30), 0).WithHolder("a", 0)
	newest := held.WithRevision(in(1, 900), 0).WithHolder("b", 0)
	restored, err := leadership.ParsePromotionLock(held.Bytes(), in(2, 31))
	assert.NilError(t, err)
	for _, next := range []leadership.PromotionLock{
		restored.WithHolder("a", 0), restored.WithHolder("c", 0), leadership.RemovedPromotionLock(in(2, 3)).WithHolder("a", 0),
		leadership.PromotionLock{}.WithHolder("c", in(2, 3)),
	} {
		assert.Assert(t, next.FencingToken() > newest.FencingToken(), "%d after %d", next.FencingToken(), newest.FencingToken())
	}
	kept := restored.WithHolder("a", 0).WithRevision(in(2, 40), 0)
	assert.Equal(t, kept.WithHolder("a", 0).FencingToken(), kept.FencingToken())
}

func TestKeysOfTheStoreAreThoseOfOtherBuilds(t *testing.T) {
	assert.Equal(t, leadership.Key("g"), "eelgrassladder/primaries/g")
	assert.Equal(t, leadership.PromotionLockKey, "eelgrassladder/duty")
}

// oddRecords are values that no proxy writes.
var oddRecords = []string{
	"", "null", "{}", "[]", "7", `{"Endpoint":"pg-1","Term":1e300}`, `{"Endpoint":"pg-1","Term":-1}`,
	`{"Endpoint":"pg-1","Term":18446744073709551615}`, `{"Endpoint":"pg-1","Term":1,"Kept":{"Term":18446744073709551615,"Log":1}}`,
	strings.Repeat(`{"Kept":`, 100_000),
}

// TestAnOddRecordIsNotARecord guards against a value of another writer that removes the
// known primary, or whose term leaves no room for the next one.
func TestAnOddRecordIsNotARecord(t *testing.T) {
	for _, odd := range oddRecords {
		_, err := leadership.Parse("g", []byte(odd), 3)
		assert.Assert(t, err != nil, "%.60q", odd)
	}
}

func FuzzRecord(f *testing.F) {
	f.Add([]byte(storedRecord))
	for _, odd := range oddRecords {
		f.Add([]byte(odd))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		r, err := leadership.Parse("g", value, 3)
		if err != nil {
			return
		}
		assert.Assert(t, r.Closed || r.Endpoint != "")
		assert.Assert(t, r.Term+1 > r.Term && r.Acknowledged.Term+1 > r.Acknowledged.Term)
		again, err := leadership.Parse("g", r.Bytes(), 3)
		assert.NilError(t, err)
		assert.Equal(t, again.Endpoint, r.Endpoint)
		assert.Equal(t, again.Acknowledged, r.Acknowledged)
	})
}

// TestANewOrderIsNotAnsweredYet guards against an order that counts as answered because one
// before it was.
func TestANewOrderIsNotAnsweredYet(t *testing.T) {
	r := leadership.Record{Revision: 7}.WithElected("m-1", 5, false).WithOrdersAnswered().WithElected("m-1", 5, true)
	assert.Assert(t, !r.Elected.Answered)
}
