// Package heartbeat holds the message that proxies send each other periodically.
package heartbeat

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/revision"
)

// Message is one heartbeat. It is immutable.
type Message struct {
	// Sender is the name of the sending proxy.
	Sender string
	// RoutesVersion is the version of the sender's current routes.
	RoutesVersion uint64
	// Configuration is the text of that version as it is in the store; empty unless
	// the receiver is known to have a lower version.
	Configuration []byte
	// Revision is the store's revision of the configuration.
	Revision revision.Revision
	// Primaries holds what the sender knows of the groups' primaries.
	Primaries []PrimaryReport
	// Digest is the digest of all records of the sender. Proxies with equal digests have
	// the same records.
	Digest uint64
	// Records holds all records of the sender, or none if the receiver has the same.
	Records []Record
	// Era is the newest era of the store that the sender knows; zero if the store names none.
	// The sender has adopted no record of a former era from the store since it learned of it.
	Era uint64
	// Settled is true if the sender has had the list of proxies for long enough to know all that
	// may still run. An earlier process of a proxy that is not settled may have known of a change
	// of primary that the sender does not know of.
	Settled bool
}

// PrimaryReport is what a proxy knows of one group's primary. It is immutable.
type PrimaryReport struct {
	// Group is the name of the group.
	Group string
	// Endpoint is the ID of the primary and Term its term. Both are zero values if
	// ProofAge is negative.
	Endpoint string
	Term     uint64
	// ProofAge is the age of the proof that the endpoint was the only primary;
	// negative if the sender has no valid proof.
	ProofAge time.Duration
	// PositionAge is how long ago the request was sent whose answer reported
	// Position, the end of the primary's log.
	PositionAge time.Duration
	Position    position.Position
	// Acknowledged is the newest position that is known to be acknowledged, and
	// AcknowledgedAge how long ago its source knew it. Both are zero if no answer to a
	// commit has reported a position.
	Acknowledged    position.Position
	AcknowledgedAge time.Duration
	// RecordRevision is the store's revision of the group's record if that is open; zero
	// if the group has none.
	RecordRevision revision.Revision
	// RecordAge is how long ago that record, or its absence, was last known to be the
	// newest state in the store; negative if the sender does not know.
	RecordAge time.Duration
}

// Record is the encoded leadership.Record of a group. It is immutable.
type Record struct {
	// Group is the name of the group.
	Group string
	// Revision is the store's revision of the record, in the era in which it was written.
	Revision revision.Revision
	// Value is the record as it is written to the store.
	Value []byte
	// Unwritten is true if Value is the record of a new primary that is not written to
	// the store yet. Revision is then that of the closed record in the store.
	Unwritten bool
}

// WithSender returns the message with the name of its sender and the version of the
// sender's routes.
func (m Message) WithSender(name string, version uint64) Message {
	m.Sender, m.RoutesVersion = name, version
	return m
}

// WithRecords returns the message with all records of its sender and their digest.
func (m Message) WithRecords(records []Record) Message {
	m.Records, m.Digest = records, digest(records)
	return m
}

// ForReceiver returns the message for a receiver whose records have the given digest. It
// leaves out the records if the receiver has the same.
func (m Message) ForReceiver(receiverDigest uint64) Message {
	if m.Digest == receiverDigest {
		m.Records = nil
	}
	return m
}

// digest returns a number that is equal for the same records in any order, and zero
// for no records. It depends on the records' revisions, not on their values.
func digest(records []Record) uint64 {
	sum := uint64(0)
	for _, r := range records {
		sum ^= xxhash.Sum64String(fmt.Sprintf("%s %d %t", r.Group, r.Revision, r.Unwritten))
	}
	return sum
}

// WithEra returns the message with the newest era of the store that its sender knows.
func (m Message) WithEra(era uint64) Message {
	m.Era = era
	return m
}

// WithSettled returns the message of a sender that is settled.
func (m Message) WithSettled(settled bool) Message {
	m.Settled = settled
	return m
}

// WithConfiguration returns the message with the text and the store's revision of its
// configuration.
func (m Message) WithConfiguration(text []byte, written revision.Revision) Message {
	m.Configuration, m.Revision = text, written
	return m
}
