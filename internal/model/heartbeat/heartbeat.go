// Package heartbeat holds what one proxy tells another from time to time.
package heartbeat

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"eelgrassladder.example/eelgrassladder/internal/model/position"
)

// Message is one message. It is immutable.
type Message struct {
	// Sender is the name of the proxy.
	Sender string
	// Version is that of the routes in force at the sender.
	Version uint64
	// Configuration is the text of that version, as the store holds it; empty
	// unless the receiver is known to have a lower one.
	Configuration []byte
	// Revision is the store's revision of the configuration.
	Revision uint64
	// Primaries are what the sender knows of primaries.
	Primaries []PrimaryReport
	// Digest stands for all records that the sender has; two proxies with equal
	// digests have the same.
	Digest uint64
	// Records are all of them, or none for a receiver that has the same.
	Records []Record
}

// PrimaryReport is what a proxy knows of one group's primary. It is immutable.
type PrimaryReport struct {
	// Group is the name of the group.
	Group string
	// Endpoint is the ID of the primary, and Term its term.
	Endpoint string
	Term     uint64
	// ProofAge is how long ago the endpoint was surely the only primary; negative
	// if the sender cannot prove it, and the endpoint is then left out.
	ProofAge time.Duration
	// PositionAge is how long ago the request was sent whose answer told Position.
	PositionAge time.Duration
	Position    position.Position
	// Acknowledged is the newest position that is known to be acknowledged, and KeptAge
	// how long ago it was told; zero while no answer has told one.
	Acknowledged    position.Position
	AcknowledgedAge time.Duration
}

// Record is the store's record of a group. It is immutable.
type Record struct {
	// Group is the name of the group.
	Group string
	// Revision is the store's revision of the record.
	Revision uint64
	// Value is the record as the store holds it, or will hold it.
	Value []byte
	// Unwritten is true if the store still has the closed record of the
	// revision, and Value is the one that opens the group again.
	Unwritten bool
}

// WithSender returns the beat of a proxy with the version of its routes.
func (b Message) WithSender(name string, version uint64) Message {
	b.Sender, b.Version = name, version
	return b
}

// WithRecords returns the beat with all records of its sender.
func (b Message) WithRecords(all []Record) Message {
	b.Records, b.Digest = all, digest(all)
	return b
}

// ForReceiver returns the beat without its records if the receiver, whose digest is
// given, has the same.
func (b Message) ForReceiver(digest uint64) Message {
	if b.Digest == digest {
		b.Records = nil
	}
	return b
}

// digest returns a number that is the same for the same records in any order,
// and zero for none. The value of a record goes by its revision.
func digest(all []Record) uint64 {
	sum := uint64(0)
	for _, r := range all {
		sum ^= xxhash.Sum64String(fmt.Sprintf("%s %d %t", r.Group, r.Revision, r.Unwritten))
	}
	return sum
}

// WithConfiguration returns the beat with the text of its version.
func (b Message) WithConfiguration(text []byte, revision uint64) Message {
	b.Configuration, b.Revision = text, revision
	return b
}
