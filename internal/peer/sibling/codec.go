// Package sibling exchanges heartbeats with the other proxies on the users'
// platform over drpc. It holds the client, the server and the encoding.
package sibling

import (
	"time"

	"google.golang.org/protobuf/proto"

	"eelgrassladder.example/eelgrassladder/gen/peer"
	"eelgrassladder.example/eelgrassladder/internal/model/heartbeat"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/revision"
)

// encode converts a heartbeat to the generated type.
func encode(b heartbeat.Message) *peer.Beat {
	m := &peer.Beat{
		Sender: b.Sender, Version: b.RoutesVersion, Configuration: b.Configuration, ConfigurationRevision: b.Revision.Number(),
		Digest: b.Digest, Era: b.Era, Settled: b.Settled,
	}
	for _, s := range b.Primaries {
		m.Sights = append(m.Sights, encodeReport(s))
	}
	for _, r := range b.Records {
		m.Records = append(m.Records, encodeRecord(r))
	}
	return m
}

// encodeReport converts a report to the generated type.
func encodeReport(r heartbeat.PrimaryReport) *peer.Sight {
	return &peer.Sight{
		Group: r.Group, Endpoint: r.Endpoint, Term: r.Term,
		ProvenMicros: r.ProofAge.Microseconds(), PositionMicros: r.PositionAge.Microseconds(),
		Position: encodePosition(r.Position), Kept: encodePosition(r.Acknowledged), KeptMicros: r.AcknowledgedAge.Microseconds(),
		RecordRevision: r.RecordRevision.Number(), RecordEra: r.RecordRevision.Era(), RecordMicros: encodeAge(r.RecordAge),
	}
}

// encodeRecord converts a record to the generated type.
func encodeRecord(r heartbeat.Record) *peer.Record {
	return &peer.Record{Group: r.Group, Revision: r.Revision.Number(), Era: r.Revision.Era(), Value: r.Value, Unwritten: r.Unwritten}
}

// decode converts a heartbeat from the generated type.
func decode(m *peer.Beat) heartbeat.Message {
	b := heartbeat.Message{
		Sender: m.GetSender(), RoutesVersion: m.GetVersion(),
		Configuration: m.GetConfiguration(), Revision: decodeRevision(0, m.GetConfigurationRevision()),
		Digest: m.GetDigest(), Era: decodeEra(m.GetEra()), Settled: m.GetSettled(),
	}
	for _, s := range m.GetSights() {
		b.Primaries = append(b.Primaries, decodeReport(s))
	}
	for _, r := range m.GetRecords() {
		b.Records = append(b.Records, decodeRecord(r))
	}
	return b
}

// decodeReport converts a report from the generated type.
func decodeReport(m *peer.Sight) heartbeat.PrimaryReport {
	return heartbeat.PrimaryReport{
		Group: m.GetGroup(), Endpoint: m.GetEndpoint(), Term: m.GetTerm(),
		ProofAge:    decodeAge(m.GetProvenMicros()),
		PositionAge: decodeAge(m.GetPositionMicros()),
		Position:    decodePosition(m.GetPosition()), Acknowledged: decodePosition(m.GetKept()),
		AcknowledgedAge: max(decodeAge(m.GetKeptMicros()), 0),
		RecordRevision:  decodeRevision(m.GetRecordEra(), m.GetRecordRevision()), RecordAge: decodeOptionalAge(m.RecordMicros),
	}
}

// decodeRecord converts a record from the generated type.
func decodeRecord(m *peer.Record) heartbeat.Record {
	return heartbeat.Record{Group: m.GetGroup(), Revision: decodeRevision(m.GetEra(), m.GetRevision()), Value: m.GetValue(), Unwritten: m.GetUnwritten()}
}

// decodeEra converts an era. One that does not fit is that of a store that names none: a proxy that
// adopted it would refuse all answers of the store.
func decodeEra(era uint64) uint64 {
	if era > revision.MaxEra {
		return 0
	}
	return era
}

// decodeRevision converts a revision. One that does not fit is that of no record.
func decodeRevision(era, number uint64) revision.Revision {
	r, err := revision.New(era, number)
	if err != nil {
		return 0
	}
	return r
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

// maxTokens is the highest number of tokens in a message. It is above what proxies ask for.
const maxTokens = 1 << 16

// decodeTokens converts a number of tokens, at most maxTokens.
func decodeTokens(n uint32) int { return int(min(n, maxTokens)) }
