package gossip

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/model/heartbeat"
	"eelgrassladder.example/eelgrassladder/internal/model/leader"
	"eelgrassladder.example/eelgrassladder/internal/model/revision"
)

func TestTheAgeOfARecordIsReportedAndCountsFromWhenItWasAskedFor(t *testing.T) {
	known := leader.State{}.WithPrimary("p", 1, time.Minute).WithRevision(4).WithProof(time.Hour)
	r, _ := report("g", known, time.Hour)
	assert.Assert(t, r.RecordAge < 0, "the age of a record is reported that is not known")
	r, _ = report("g", known.WithRecordOpen(time.Hour-time.Second), time.Hour)
	assert.Equal(t, r.RecordRevision, revision.Revision(4))
	assert.Equal(t, r.RecordAge, time.Second)

	const sent = 2 * time.Hour // by the receiver's clock
	assert.Equal(t, withRecordReport(known, r, sent).Recorded.OpenAt, sent-time.Second)
	for name, l := range map[string]leader.State{
		"another record": known.WithRevision(5),
		"a closed one":   known.WithClosed(time.Hour),
	} {
		assert.Equal(t, withRecordReport(l, r, sent).Recorded.OpenAt, time.Duration(0), name)
	}
	unknown := heartbeat.PrimaryReport{Group: "g", RecordRevision: 4, RecordAge: -1}
	assert.Equal(t, withRecordReport(known, unknown, sent).Recorded.OpenAt, time.Duration(0))
}
