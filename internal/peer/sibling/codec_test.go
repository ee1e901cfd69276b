package sibling

import (
	"context"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/gen/peer"
	"eelgrassladder.example/eelgrassladder/internal/model/heartbeat"
	"eelgrassladder.example/eelgrassladder/internal/model/revision"
)

// TestAnAgeThatDoesNotFitIsNotALowOne guards against a report whose proof would count as
// fresh because its age overflows.
func TestAnAgeThatDoesNotFitIsNotALowOne(t *testing.T) {
	for _, micros := range []int64{1 << 62, 1<<63 - 1, 18446744073709552, 9223372036854776} {
		assert.Equal(t, decodeAge(micros), maxAge, "%d", micros)
	}
	assert.Equal(t, decodeAge(1500), 1500*time.Microsecond)
	assert.Assert(t, decodeAge(-1) < 0)
	assert.Assert(t, decodeAge(-1<<63) < 0)
}

// TestRevisionsKeepTheirEras guards against a record of a former era of the store that another proxy
// takes for a newer one, and against an era that does not fit.
func TestRevisionsKeepTheirEras(t *testing.T) {
	written, err := revision.New(3, 41)
	assert.NilError(t, err)
	sent := heartbeat.Message{
		Era: 4, Settled: true, Records: []heartbeat.Record{{Group: "g", Revision: written}},
		Primaries: []heartbeat.PrimaryReport{{Group: "g", ProofAge: -1, RecordRevision: written, RecordAge: time.Second}},
	}
	encoded := encode(sent)
	assert.Equal(t, encoded.GetRecords()[0].GetRevision(), uint64(41), "proxies of former builds compare this with the store's number")
	received := decode(encoded)
	assert.Equal(t, received.Era, uint64(4))
	assert.Assert(t, received.Settled)
	assert.Equal(t, received.Records[0].Revision, written)
	assert.Equal(t, received.Primaries[0].RecordRevision, written)
	odd := decode(&peer.Beat{Era: 1 << 60, Records: []*peer.Record{{Group: "g", Revision: 7, Era: 1 << 60}}})
	assert.Equal(t, odd.Era, uint64(0))
	assert.Equal(t, odd.Records[0].Revision, revision.Revision(0))
}

// panicking is a handler whose methods panic.
type panicking struct{}

func (panicking) Answer(heartbeat.Message) heartbeat.Message { panic("unexpected") }

func (panicking) AnswerClose(context.Context, heartbeat.Record) (heartbeat.PrimaryReport, error) {
	panic("unexpected")
}

func (panicking) Lend(string, int, int) int { panic("unexpected") }

// TestAPanicEndsOneCall guards against a call of another proxy that ends the process.
func TestAPanicEndsOneCall(t *testing.T) {
	s := NewServer(panicking{}, panicking{})
	_, err := s.Exchange(context.Background(), &peer.Beat{Sender: "proxy-2"})
	assert.ErrorContains(t, err, "panicked")
	_, err = s.Close(context.Background(), &peer.Record{Group: "g"})
	assert.ErrorContains(t, err, "panicked")
	_, err = s.Lend(context.Background(), &peer.LoanRequest{Team: "bakery"})
	assert.ErrorContains(t, err, "panicked")
}

func FuzzHeartbeat(f *testing.F) {
	full, err := proto.Marshal(encode(heartbeat.Message{
		Sender: "proxy-1", RoutesVersion: 3, Digest: 7, Configuration: []byte("{}"), Revision: 4,
		Primaries: []heartbeat.PrimaryReport{{Group: "g", Endpoint: "e", Term: 2, ProofAge: time.Second}},
		Records:   []heartbeat.Record{{Group: "g", Revision: 2, Value: []byte("{}")}},
	}))
	assert.NilError(f, err)
	f.Add(full)
	f.Add([]byte{})
	f.Add([]byte{0x2a, 0x00, 0x32, 0x00})
	f.Fuzz(func(t *testing.T, value []byte) {
		var m peer.Beat
		if proto.Unmarshal(value, &m) != nil {
			return
		}
		for _, r := range decode(&m).Primaries {
			assert.Assert(t, r.ProofAge <= maxAge && r.PositionAge <= maxAge && r.AcknowledgedAge >= 0 && r.AcknowledgedAge <= maxAge, "%v", r)
		}
	})
}

// TestTheAgeOfARecordIsAbsentUnlessItIsKnown guards against a report of an earlier version,
// which has no such age, that would count as one of just now.
func TestTheAgeOfARecordIsAbsentUnlessItIsKnown(t *testing.T) {
	sent := encode(heartbeat.Message{Primaries: []heartbeat.PrimaryReport{
		{Group: "known", RecordRevision: 4, RecordAge: 1500 * time.Microsecond}, {Group: "unknown", RecordAge: -1},
	}})
	sent.Sights = append(sent.Sights, &peer.Sight{Group: "earlier version"})
	text, err := proto.Marshal(sent)
	assert.NilError(t, err)
	var received peer.Beat
	assert.NilError(t, proto.Unmarshal(text, &received))
	reports := decode(&received).Primaries
	assert.Equal(t, reports[0].RecordRevision, revision.Revision(4))
	assert.Equal(t, reports[0].RecordAge, 1500*time.Microsecond)
	assert.Assert(t, reports[1].RecordAge < 0)
	assert.Assert(t, reports[2].RecordAge < 0)
}
