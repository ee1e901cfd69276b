package proxy

import (
	"eelgrassladder.example/eelgrassladder/gen/sibling"
	"eelgrassladder.example/eelgrassladder/internal/model/membership"
)

// Heartbeat is a heartbeat with the membership and configuration that it carries. It
// is immutable.
type Heartbeat struct {
	// Sender is the entry of the sending proxy in its own membership table.
	Sender membership.Proxy
	// Changes are the entries that have recently changed at the sender, or its whole
	// table if Full is true.
	Changes []membership.Proxy
	// Digest is the digest of the sender's view after the changes.
	Digest uint64
	// ConfigurationVersion is the version of the sender's current configuration.
	ConfigurationVersion uint64
	// Configuration is the text of that version; empty unless the sender knows that
	// the receiver has a lower version.
	Configuration string
	// ChangeID is the ID under which operators submitted that version.
	ChangeID string
	// Full is true when Changes is the whole table; the receiver then answers with
	// its own.
	Full bool
	// WantHosts is true when the sender asks for the platform's host list.
	WantHosts bool
	// Hosts is the platform's host list in JSON; empty unless it was asked for.
	Hosts string
}

// EncodeHeartbeat converts a heartbeat to the generated type.
func EncodeHeartbeat(b Heartbeat) *sibling.Beat {
	return &sibling.Beat{
		From: b.Sender.Name, Sender: encodeProxy(b.Sender), Changes: encodeProxies(b.Changes),
		Digest: b.Digest, ConfigurationVersion: b.ConfigurationVersion, Configuration: b.Configuration,
		ConfigurationChange: b.ChangeID, Full: b.Full, WantHosts: b.WantHosts, HostList: b.Hosts,
	}
}

// DecodeHeartbeat converts a heartbeat from the generated type.
func DecodeHeartbeat(m *sibling.Beat) Heartbeat {
	return Heartbeat{
		Sender: decodeProxy(m.GetSender()), Changes: decodeProxies(m.GetChanges()),
		Digest: m.GetDigest(), ConfigurationVersion: m.GetConfigurationVersion(), Configuration: m.GetConfiguration(),
		ChangeID: m.GetConfigurationChange(), Full: m.GetFull(), WantHosts: m.GetWantHosts(), Hosts: m.GetHostList(),
	}
}
