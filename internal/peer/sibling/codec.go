// Package sibling is how proxies on the users' platform tell each other what
// they know, over drpc.
package sibling

import (
	"time"

	"eelgrassladder.example/eelgrassladder/gen/peer"
	"eelgrassladder.example/eelgrassladder/internal/model/heartbeat"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
)

// encode turns a beat into its message.
func encode(b heartbeat.Message) *peer.Beat {
	m := &peer.Beat{
		Sender: b.Sender, Version: b.Version, Configuration: b.Configuration, ConfigurationRevision: b.Revision,
		Digest: b.Digest,
	}
	for _, s := range b.Primaries {
		m.Sights = append(m.Sights, &peer.Sight{
			Group: s.Group, Endpoint: s.Endpoint, Term: s.Term,
			ProvenMicros: s.ProofAge.Microseconds(), PositionMicros: s.PositionAge.Microseconds(),
			Position: encodePosition(s.Position), Kept: encodePosition(s.Acknowledged), KeptMicros: s.AcknowledgedAge.Microseconds(),
		})
	}
	for _, r := range b.Records {
		m.Records = append(m.Records, &peer.Record{
			Group: r.Group, Revision: r.Revision, Value: r.Value, Unwritten: r.Unwritten,
		})
	}
	return m
}

// decode turns a message into a beat.
func decode(m *peer.Beat) heartbeat.Message {
	b := heartbeat.Message{
		Sender: m.GetSender(), Version: m.GetVersion(),
		Configuration: m.GetConfiguration(), Revision: m.GetConfigurationRevision(),
		Digest: m.GetDigest(),
	}
	for _, s := range m.GetSights() {
		b.Primaries = append(b.Primaries, heartbeat.PrimaryReport{
			Group: s.GetGroup(), Endpoint: s.GetEndpoint(), Term: s.GetTerm(),
			ProofAge:    time.Duration(s.GetProvenMicros()) * time.Microsecond,
			PositionAge: time.Duration(s.GetPositionMicros()) * time.Microsecond,
			Position:    decodePosition(s.GetPosition()), Acknowledged: decodePosition(s.GetKept()),
			AcknowledgedAge: time.Duration(s.GetKeptMicros()) * time.Microsecond,
		})
	}
	for _, r := range m.GetRecords() {
		b.Records = append(b.Records, heartbeat.Record{
			Group: r.GetGroup(), Revision: r.GetRevision(), Value: r.GetValue(), Unwritten: r.GetUnwritten(),
		})
	}
	return b
}

// encodePosition turns a position into its message; nil for the start of the log.
func encodePosition(p position.Position) *peer.Position {
	if p.IsZero() {
		return nil
	}
	return &peer.Position{Term: p.Term, Log: p.Log}
}

// decodePosition turns a message into a position.
func decodePosition(m *peer.Position) position.Position {
	return position.Position{Term: m.GetTerm(), Log: m.GetLog()}
}
