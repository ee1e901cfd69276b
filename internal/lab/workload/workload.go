// Package workload describes the systems of the two users: their groups, data centres
// and configuration, and the mix of requests of their callers.
package workload

import (
	"time"

	"eelgrassladder.example/eelgrassladder/examples/homokforma"
	"eelgrassladder.example/eelgrassladder/examples/magnolia"
)

// Kind is the kind of the requests of a stream.
type Kind int

// The kinds of requests.
const (
	// Insert inserts a row whose number the database assigns. It is not idempotent: a
	// repeated request would insert a second row.
	Insert Kind = iota
	// Transfer runs a transaction of several statements, which also writes the session's
	// own row.
	Transfer
	// ReadOwn reads the session's own row.
	ReadOwn
	// Browse reads the row of any session.
	Browse
)

// Stream describes the requests of one kind that one caller sends in one class.
type Stream struct {
	// Caller and Password are the credentials of the connections.
	Caller   string
	Password string
	// Class is the name of the class of the requests.
	Class string
	Kind  Kind
	// Weight is the stream's share of the paying or the free rate, from 0 to 1. The
	// weights of all paying streams add up to 1, as do those of the free ones.
	Weight float64
}

// Workload describes the system of one user. It is immutable.
type Workload struct {
	Name string
	// Groups has the names of the database groups.
	Groups []string
	// DataCentres has the names of the data centres of proxies and members.
	DataCentres []string
	// Slots and Connections are the limits of each member.
	Slots       int
	Connections int
	// DataCentreLatency is the one-way latency between data centres.
	DataCentreLatency time.Duration
	// ConnectTime is how long it takes to open a connection to a member.
	ConnectTime time.Duration
	// Configuration is the text of the first configuration.
	Configuration string
	// Paying and Free are the streams of paying and free requests.
	Paying []Stream
	Free   []Stream
}

// Magnolia returns the workload of Magnolia Brushworks Commissions. Most of its
// requests are reads.
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

// Homokforma returns the workload of Homokforma Mintaműhely, which has more writes
// than Magnolia's.
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

// ByName returns the workload with the name, and whether there is one.
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
