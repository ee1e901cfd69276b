// Package sibling is how proxies on the users' platform tell each other what
// they know, over drpc.
package sibling

import (
	"time"

	"eelgrassladder.example/eelgrassladder/gen/peer"
	"eelgrassladder.example/eelgrassladder/internal/trade/beat"
	"eelgrassladder.example/eelgrassladder/internal/trade/position"
)

// encode turns a beat into its message.
func encode(b beat.Beat) *peer.Beat {
	m := &peer.Beat{
		Sender: b.Sender, Version: b.Version, Configuration: b.Configuration, ConfigurationRevision: b.Revision,
		Digest: b.Digest,
	}
	for _, s := range b.Sights {
		m.Sights = append(m.Sights, &peer.Sight{
			Group: s.Group, Endpoint: s.Endpoint, Term: s.Term,
			ProvenMicros: s.Proven.Microseconds(), PositionMicros: s.Asked.Microseconds(),
			Position: &peer.Position{Term: s.Position.Term, Log: s.Position.Log},
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
			Position: position.Position{Term: s.GetPosition().GetTerm(), Log: s.GetPosition().GetLog()},
		})
	}
	for _, r := range m.GetRecords() {
		b.Records = append(b.Records, beat.Record{
			Group: r.GetGroup(), Revision: r.GetRevision(), Value: r.GetValue(), Unwritten: r.GetUnwritten(),
		})
	}
	return b
}
