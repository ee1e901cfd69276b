package gateway_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/host/gateway"
	"eelgrassladder.example/eelgrassladder/internal/model/leader"
)

func TestTheDoubtAboutACommitFollowsFromWhatIsKnownOfTheRecord(t *testing.T) {
	const now = time.Hour
	open := leader.State{}.WithPrimary("a", 1, now-time.Minute).WithRevision(4, now-time.Minute)
	for _, c := range []struct {
		name      string
		endpoint  string
		committed bool
		known     leader.State
		want      gateway.Doubt
	}{
		{"known to be open just now", "a", true, open.WithRecordOpen(now - leader.ProofLifetime), gateway.NoDoubt},
		{"known to be open too long ago", "a", true, open.WithRecordOpen(now - leader.ProofLifetime - 1), gateway.RecordOld},
		{"never known to be open", "a", true, leader.State{}.WithPrimary("a", 1, now), gateway.RecordOld},
		{"closed", "a", true, open.WithRecordOpen(now).WithClosed(now), gateway.RecordClosed},
		{"open for another primary", "a", true, open.WithPrimary("b", 2, now).WithRevision(6, now), gateway.RecordClosed},
		{"no commit", "a", false, open, gateway.NoDoubt},
	} {
		got := gateway.Answered{Committed: c.committed, Endpoint: c.endpoint, Leader: c.known, Now: now}.Doubt()
		assert.Equal(t, got, c.want, c.name)
	}
}
