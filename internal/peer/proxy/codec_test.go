package proxy

import (
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/gen/sibling"
	"eelgrassladder.example/eelgrassladder/internal/host/owner"
	"eelgrassladder.example/eelgrassladder/internal/model/membership"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/request"
	"eelgrassladder.example/eelgrassladder/internal/table/idempotency"
	"eelgrassladder.example/eelgrassladder/internal/table/sessions"
)

// marshal returns the encoding of a message as a seed.
func marshal(f *testing.F, m proto.Message) []byte {
	f.Helper()
	b, err := proto.Marshal(m)
	assert.NilError(f, err)
	return b
}

// FuzzHeartbeat checks that any heartbeat that can be decoded names only proxies with a name
// and a known state among the changes, and stays the same when it is encoded again.
func FuzzHeartbeat(f *testing.F) {
	member := membership.Proxy{Name: "proxy-1", DataCentre: "a", Address: "127.0.0.1:1", Incarnation: 2, State: membership.Live}
	f.Add(marshal(f, EncodeHeartbeat(Heartbeat{Sender: member, Changes: []membership.Proxy{member}, Digest: 3, ConfigurationVersion: 4, Configuration: "{}", ChangeID: "c", Full: true, Hosts: "{}"})))
	f.Add(marshal(f, &sibling.Beat{Changes: []*sibling.Proxy{nil, {Name: "a", State: -1}, {Name: "b", State: 1 << 30}, {State: 1}}}))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, value []byte) {
		var m sibling.Beat
		if proto.Unmarshal(value, &m) != nil {
			return
		}
		decoded := DecodeHeartbeat(&m)
		for _, p := range decoded.Changes {
			assert.Assert(t, p.Name != "" && p.State >= membership.Live && p.State <= membership.Dead, "%v", p)
		}
		assert.DeepEqual(t, DecodeHeartbeat(EncodeHeartbeat(decoded)), decoded)
	})
}

// FuzzParcel checks that any request or answer of another proxy can be decoded, that no request
// seems to arrive later than now, and that an answer stays the same when it is encoded again.
// The last two seeds are times that do not fit a Duration, and could come out as other ones.
func FuzzParcel(f *testing.F) {
	now := time.Unix(1_000_000, 0)
	f.Add(marshal(f, &sibling.Parcel{Id: 1, Request: encodeRequest(request.Request{
		Group: "g", Payload: []byte("Q"), Prepared: []request.Prepared{{Name: "n", Parse: []byte("P")}}, Arrived: now,
	}, now)}))
	f.Add(marshal(f, &sibling.Parcel{Id: 1, Answer: encodeAnswer(request.Answer{
		Outcome: request.Done, Payload: []byte("C"), Position: position.Position{Term: 1, Log: 2}, Refusal: request.Refusal{RetryAfter: time.Second},
	})}))
	f.Add(marshal(f, &sibling.Parcel{Request: &sibling.Request{Prepared: []*sibling.Prepared{nil}}, Answer: &sibling.Answer{Outcome: -1}}))
	f.Add(marshal(f, &sibling.Parcel{Request: &sibling.Request{BudgetMicros: 9223372036854776}}))
	f.Add(marshal(f, &sibling.Parcel{Answer: &sibling.Answer{RetryAfterMicros: 9223372036854776}}))
	f.Fuzz(func(t *testing.T, value []byte) {
		var m sibling.Parcel
		if proto.Unmarshal(value, &m) != nil {
			return
		}
		r := decodeRequest(m.GetRequest(), now)
		assert.Assert(t, !r.Arrived.After(now), "a request arrives %v after now", r.Arrived.Sub(now))
		assert.Equal(t, len(r.Prepared), len(m.GetRequest().GetPrepared()))
		answer := decodeAnswer(m.GetAnswer(), "proxy-2")
		assert.DeepEqual(t, decodeAnswer(encodeAnswer(answer), "proxy-2"), answer)
	})
}

// FuzzHandover checks that any handover can be decoded, and stays the same when it is encoded
// again.
func FuzzHandover(f *testing.F) {
	f.Add(marshal(f, encodeHandover("proxy-1", "g", owner.Handover{
		Term: 2, Primary: "m", SessionFloor: position.Position{Term: 1, Log: 2},
		Sessions: []sessions.Session{{Name: "s", Position: position.Position{Term: 1, Log: 1}}},
		Keys:     []idempotency.Entry{{Key: "k", Answer: request.Answer{Outcome: request.Done}}},
	})))
	f.Add(marshal(f, &sibling.Handover{Sessions: []*sibling.NamedSession{nil}, Keys: []*sibling.KeyOutcome{nil}}))
	f.Fuzz(func(t *testing.T, value []byte) {
		var m sibling.Handover
		if proto.Unmarshal(value, &m) != nil {
			return
		}
		decoded := decodeHandover(&m)
		again := decodeHandover(encodeHandover(m.GetFrom(), m.GetGroup(), decoded))
		assert.Assert(t, reflect.DeepEqual(again, decoded), "%v is not %v", again, decoded)
	})
}
