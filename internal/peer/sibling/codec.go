// Package sibling exchanges heartbeats with the other proxies on the users'
// platform over drpc. It holds the client, the server and the encoding.
package sibling

import (
	"time"

	"eelgrassladder.example/eelgrassladder/gen/peer"
	"eelgrassladder.example/eelgrassladder/internal/trade/beat"
	"eelgrassladder.example/eelgrassladder/internal/trade/position"
)

// encode converts a heartbeat to the generated type.
func encode(b beat.Beat) *peer.Beat {
	m := &peer.Beat{
		Sender: b.Sender, Version: b.Version, Configuration: b.Configuration, ConfigurationRevision: b.Revision,
		Digest: b.Digest,
	}
	for _, s := range b.Sights {
		m.Sights = append(m.Sights, &peer.Sight{
			Group: s.Group, Endpoint: s.Endpoint, Term: s.Term,
			ProvenMicros: s.Proven.Microseconds(), PositionMicros: s.Asked.Microseconds(),
			Position: encodePosition(s.Position), Kept: encodePosition(s.Kept), KeptMicros: s.KeptAge.Microseconds(),
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
func decode(m *peer.Beat) beat.Beat {
	b := beat.Beat{
		Sender: m.GetSender(), Version: m.GetVersion(),
		Configuration: m.GetConfiguration(), Revision: m.GetConfigurationRevision(),
		Digest: m.GetDigest(),
	}
	for _, s := range m.GetSights() {
		b.Sights = append(b.Sights, beat.Sight{
			Group: s.GetGroup(), Endpoint: s.GetEndpoint(), Term: s.GetTerm(),
			Proven:   time.Duration(s.GetProvenMicros()) * time.Microsecond,
			Asked:    time.Duration(s.GetPositionMicros()) * time.Microsecond,
			Position: decodePosition(s.GetPosition()), Kept: decodePosition(s.GetKept()),
			KeptAge: time.Duration(s.GetKeptMicros()) * time.Microsecond,
		})
	}
	for _, r := range m.GetRecords() {
		b.Records = append(b.Records, beat.Record{
			Group: r.GetGroup(), Revision: r.GetRevision(), Value: r.GetValue(), Unwritten: r.GetUnwritten(),
		})
	}
	return b
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
