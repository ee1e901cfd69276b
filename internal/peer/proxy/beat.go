package proxy

import (
	"eelgrassladder.example/eelgrassladder/gen/sibling"
	"eelgrassladder.example/eelgrassladder/internal/model/membership"
)

// Heartbeat is a heartbeat and what it carries. It is immutable.
type Heartbeat struct {
	// Sender is the proxy that sent it, as it knows itself.
	Sender membership.Proxy
	// Changes are what the sender has lately learned, or its whole table.
	Changes []membership.Proxy
	// Digest is that of the sender's view after the changes.
	Digest uint64
	// Version is the version of the configuration in force at the sender.
	Version uint64
	// Configuration is the text of that version; empty unless the receiver
	// is known to have a lower one.
	Configuration string
	// ChangeID is the change that set the version.
	ChangeID string
	// Full is true when Changes is the whole table and the receiver shall
	// answer with its own.
	Full bool
	// WantHosts asks for the platform's host list.
	WantHosts bool
	// Hosts is the platform's host list in JSON, if it was asked for.
	Hosts string
}

// EncodeHeartbeat turns a heartbeat into its message.
func EncodeHeartbeat(b Heartbeat) *sibling.Beat {
	return &sibling.Beat{
		From: b.Sender.Name, Sender: encodeProxy(b.Sender), Changes: encodeProxies(b.Changes),
		Digest: b.Digest, ConfigurationVersion: b.Version, Configuration: b.Configuration,
		ConfigurationChange: b.ChangeID, Full: b.Full, WantHosts: b.WantHosts, HostList: b.Hosts,
	}
}

// DecodeHeartbeat turns a message into a heartbeat.
func DecodeHeartbeat(m *sibling.Beat) Heartbeat {
	return Heartbeat{
		Sender: decodeProxy(m.GetSender()), Changes: decodeProxies(m.GetChanges()),
		Digest: m.GetDigest(), Version: m.GetConfigurationVersion(), Configuration: m.GetConfiguration(),
		ChangeID: m.GetConfigurationChange(), Full: m.GetFull(), WantHosts: m.GetWantHosts(), Hosts: m.GetHostList(),
	}
}
