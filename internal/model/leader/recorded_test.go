package leader_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/model/leader"
	"eelgrassladder.example/eelgrassladder/internal/model/revision"
)

func TestTheAgeOfARecordCountsFromWhenItWasLastKnownToBeOpen(t *testing.T) {
	l := leader.State{}.WithPrimary("a", 1, at(0))
	_, known := l.RecordAge(at(10))
	assert.Assert(t, !known)
	assert.Equal(t, l.RecordAgeMs(at(10)), int64(-1))
	_, known = l.WithRevision(4).RecordAge(at(10))
	assert.Assert(t, !known, "a record counts from when it arrived, but may have been replaced before")
	l = l.WithRevision(4).WithRecordOpen(at(20)).WithRecordOpen(at(15))
	assert.Equal(t, l.RecordAgeMs(at(50)), int64(30), "an earlier time replaced a later one")
	l = l.WithRecordOpen(at(45))
	assert.Equal(t, l.RecordAgeMs(at(50)), int64(5))
	_, known = l.WithPrimary("b", 2, at(70)).RecordAge(at(70))
	assert.Assert(t, !known, "the next primary has the former one's time")
}

func TestAClosedRecordIsNotKnownToBeOpen(t *testing.T) {
	l := leader.State{}.WithPrimary("a", 1, at(0)).WithRevision(4).WithRecordOpen(at(0))
	l = l.WithClosed(at(100)).WithRevision(5)
	assert.Equal(t, l.RecordAgeMs(at(100)), int64(100))
}

func TestCommitsCountSinceTheRecordWasLastKnownToBeOpen(t *testing.T) {
	l := leader.State{}.WithPrimary("a", 1, at(0)).WithRevision(4).WithRecordOpen(at(0))
	l = l.WithCommit("a", positionAt(7), at(10)).WithCommit("b", positionAt(9), at(11)).WithCommit("a", positionAt(8), at(12))
	assert.Equal(t, l.Recorded.Commits, 2, "a commit of another endpoint counted, or one did not")
	assert.Equal(t, l.Recorded.LastCommit, positionAt(8))
	assert.Equal(t, l.Recorded.LastCommitAt, at(12))
	assert.Equal(t, l.WithRecordOpen(at(0)).Recorded.Commits, 2)
	assert.Equal(t, l.WithRecordOpen(at(11)).Recorded.Commits, 0)
}

func TestARecordThatPrecedesTheAppliedOneIsRecognised(t *testing.T) {
	open := leader.State{}.WithPrimary("a", 1, at(0)).WithRevision(4)
	closed := open.WithClosed(at(1)).WithRevision(5)
	unwritten := closed.WithPrimary("b", 2, at(2)).WithRevision(5)
	for _, c := range []struct {
		name     string
		state    leader.State
		revision revision.Revision
		closed   bool
		want     bool
	}{
		{"the first record", leader.State{}, 4, false, false},
		{"no record yet", leader.State{}.WithPrimary("a", 0, time.Second), 0, false, false},
		{"the same record", open, 4, false, false},
		{"the same closed record", closed, 5, true, false},
		{"a newer record", open, 5, true, false},
		{"the open record that is not written yet", closed, 5, false, false},
		{"an older record", closed, 4, false, true},
		{"no record after one", open, 0, false, true},
		{"the closed record after the open one that replaces it", unwritten, 5, true, true},
	} {
		assert.Equal(t, c.state.RecordPrecedes(c.revision, c.closed), c.want, c.name)
	}
}
