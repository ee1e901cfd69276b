// Package workload describes what the two users run: their groups, their
// hosts and the mix of their callers' work.
package workload

import (
	"time"

	"eelgrassladder.example/eelgrassladder/examples/homokforma"
	"eelgrassladder.example/eelgrassladder/examples/magnolia"
)

// Kind is what a stream's requests do.
type Kind int

// The kinds of requests.
const (
	// Insert adds a row under a number that the database assigns, which is
	// not idempotent.
	Insert Kind = iota
	// Transfer runs a transaction of several statements.
	Transfer
	// ReadOwn reads back what the session has written.
	ReadOwn
	// Browse reads what others have written.
	Browse
)

// Stream is a part of the mix.
type Stream struct {
	// Caller and Password log in.
	Caller   string
	Password string
	// Class is the class of work.
	Class string
	// Kind is what the requests do.
	Kind Kind
	// Weight is the stream's part of the paying or the free rate.
	Weight float64
}

// Workload is one user's system. It is immutable.
type Workload struct {
	Name string
	// Groups names the database groups.
	Groups []string
	// DataCentres are where entry hosts and endpoints stand.
	DataCentres []string
	// Slots and Connections are those of each member.
	Slots       int
	Connections int
	// DataCentreLatency is the one-way latency between data centres.
	DataCentreLatency time.Duration
	// ConnectTime is how long a new connection to a member takes.
	ConnectTime time.Duration
	// Configuration is the text that operators have accepted.
	Configuration string
	// Paying and Free are the streams of the mix.
	Paying []Stream
	Free   []Stream
}

// Magnolia returns the workload of Magnolia Brushworks Commissions, in which
// browsing far outnumbers deposits.
func Magnolia() Workload {
	return Workload{
		Name:              "magnolia",
		Groups:            []string{"commission-orders-1", "commission-orders-2", "commission-orders-3"},
		DataCentres:       []string{"south-a", "south-b", "south-c", "south-d"},
		Slots:             2,
		Connections:       16,
		DataCentreLatency: 500 * time.Microsecond,
		ConnectTime:       12 * time.Millisecond,
		Configuration:     magnolia.Configuration,
		Paying: []Stream{
			{"commissions", "brushwork", "deposits", Insert, 0.06},
			{"commissions", "brushwork", "deposits", Transfer, 0.02},
			{"kennel-club", "kennel", "paid-orders", ReadOwn, 0.32},
			{"commissions", "brushwork", "paid-orders", Browse, 0.60},
		},
		Free: []Stream{{"owners", "gallery", "gallery", Browse, 1}},
	}
}

// Homokforma returns the workload of Homokforma Mintaműhely, which writes
// more.
func Homokforma() Workload {
	return Workload{
		Name:              "homokforma",
		Groups:            []string{"pattern-records-1", "pattern-records-2", "pattern-records-3"},
		DataCentres:       []string{"miskolc-a", "miskolc-b", "diosgyor-c"},
		Slots:             3,
		Connections:       40,
		DataCentreLatency: 1400 * time.Microsecond,
		ConnectTime:       12 * time.Millisecond,
		Configuration:     homokforma.Configuration,
		Paying: []Stream{
			{"foundries", "foundry", "revisions", Insert, 0.14},
			{"foundries", "foundry", "revisions", Transfer, 0.04},
			{"benches", "bench", "bench-lookups", ReadOwn, 0.32},
			{"foundries", "foundry", "bench-lookups", Browse, 0.50},
		},
		Free: []Stream{{"visitors", "drawings", "free-drawings", Browse, 1}},
	}
}

// ByName returns the workload with the name.
func ByName(name string) (Workload, bool) {
	switch name {
	case "magnolia":
		return Magnolia(), true
	case "homokforma":
		return Homokforma(), true
	default:
		return Workload{}, false
	}
}
