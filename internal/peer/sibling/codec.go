// Package sibling exchanges heartbeats with the other proxies on the users'
// platform over drpc. It holds the client, the server and the encoding.
package sibling

import (
	"time"

	"google.golang.org/protobuf/proto"

	"eelgrassladder.example/eelgrassladder/gen/peer"
	"eelgrassladder.example/eelgrassladder/internal/model/heartbeat"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
)

// encode converts a heartbeat to the generated type.
func encode(b heartbeat.Message) *peer.Beat {
	m := &peer.Beat{
		Sender: b.Sender, Version: b.RoutesVersion, Configuration: b.Configuration, ConfigurationRevision: b.Revision,
		Digest: b.Digest,
	}
	for _, s := range b.Primaries {
		m.Sights = append(m.Sights, &peer.Sight{
			Group: s.Group, Endpoint: s.Endpoint, Term: s.Term,
			ProvenMicros: s.ProofAge.Microseconds(), PositionMicros: s.PositionAge.Microseconds(),
			Position: encodePosition(s.Position), Kept: encodePosition(s.Acknowledged), KeptMicros: s.AcknowledgedAge.Microseconds(),
			RecordRevision: s.RecordRevision, RecordMicros: encodeAge(s.RecordAge),
		})
	}
	for _, r := range b.Records {
		m.Records = append(m.Records, &peer.Record{
			Group: r.Group, Revision: r.Revision, Value: r.Value, Unwritten: r.Unwritten,
		})
	}
	return m
}

// decode converts a heartbeat from the generated type.
func decode(m *peer.Beat) heartbeat.Message {
	b := heartbeat.Message{
		Sender: m.GetSender(), RoutesVersion: m.GetVersion(),
		Configuration: m.GetConfiguration(), Revision: m.GetConfigurationRevision(),
		Digest: m.GetDigest(),
	}
	for _, s := range m.GetSights() {
		b.Primaries = append(b.Primaries, heartbeat.PrimaryReport{
			Group: s.GetGroup(), Endpoint: s.GetEndpoint(), Term: s.GetTerm(),
			ProofAge:    decodeAge(s.GetProvenMicros()),
			PositionAge: decodeAge(s.GetPositionMicros()),
			Position:    decodePosition(s.GetPosition()), Acknowledged: decodePosition(s.GetKept()),
			AcknowledgedAge: max(decodeAge(s.GetKeptMicros()), 0),
			RecordRevision:  s.GetRecordRevision(), RecordAge: decodeOptionalAge(s.RecordMicros),
		})
	}
	for _, r := range m.GetRecords() {
		b.Records = append(b.Records, heartbeat.Record{
			Group: r.GetGroup(), Revision: r.GetRevision(), Value: r.GetValue(), Unwritten: r.GetUnwritten(),
		})
	}
	return b
}

// maxAge is the highest age in a report. A higher one would not fit a Duration, and could
// come out as a low one.
const maxAge = 1000 * time.Hour

// decodeAge converts an age in microseconds, at most maxAge. It is negative for none.
func decodeAge(micros int64) time.Duration {
	return time.Duration(min(max(micros, -1), maxAge.Microseconds())) * time.Microsecond
}

// encodeAge converts an age to microseconds. It returns nil for a negative one.
func encodeAge(age time.Duration) *int64 {
	if age < 0 {
		return nil
	}
	return proto.Int64(age.Microseconds())
}

// decodeOptionalAge converts an age in microseconds, at most maxAge. It is negative for
// none, which proxies of earlier versions send.
func decodeOptionalAge(micros *int64) time.Duration {
	if micros == nil {
		return -1
	}
	return decodeAge(*micros)
}

// encodePosition returns nil for the zero position.
func encodePosition(p position.Position) *peer.Position {
	if p.IsZero() {
		return nil
	}
	return &peer.Position{Term: p.Term, Log: p.Log}
}

func decodePosition(m *peer.Position) position.Position {
	return position.Position{Term: m.GetTerm(), Log: m.GetLog()}
}
