// Package beat holds what one proxy tells another from time to time.
package beat

import (
	"time"

	"eelgrassladder.example/eelgrassladder/internal/trade/position"
)

// Beat is one message. It is immutable.
type Beat struct {
	// Sender is the name of the proxy.
	Sender string
	// Version is that of the routes in force at the sender.
	Version uint64
	// Configuration is the text of that version, as the store holds it; empty
	// unless the receiver is known to have a lower one.
	Configuration []byte
	// Revision is the store's revision of the configuration.
	Revision uint64
	// Sights are what the sender knows of primaries.
	Sights []Sight
	// Records are records of primaries that the sender has lately learned.
	Records []Record
}

// Sight is what a proxy knows of one group's primary. It is immutable.
type Sight struct {
	// Group is the name of the group.
	Group string
	// Endpoint is the ID of the primary, and Term its term.
	Endpoint string
	Term     uint64
	// Proven is how long ago the endpoint was surely the only primary.
	Proven time.Duration
	// Asked is how long ago the request was sent whose answer told Position.
	Asked    time.Duration
	Position position.Position
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

// WithConfiguration returns the beat with the text of its version.
func (b Beat) WithConfiguration(text []byte, revision uint64) Beat {
	b.Configuration, b.Revision = text, revision
	return b
}
