// Package delegation holds what proxies tell each other about operations that one of them
// runs for a client of the other.
package delegation

import (
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/statement"
)

// Opening is the context of an operation. It is immutable.
type Opening struct {
	// Asker is the name of the proxy that has the client.
	Asker string
	// Database is the name that the client connected to.
	Database string
	// Team is the name of the client's team; empty if it need not identify itself.
	Team string
	// Version is the version of the routes under which the operation began.
	Version uint64
	// Written is a position that covers all commits of the client's session; zero for none.
	Written position.Position
	// Begin is the statement that opened the transaction; its kind is Unknown for a single
	// statement.
	Begin statement.Statement
	// AdmittedAge is how long before the request was sent the team's right to run the
	// operation was taken. It means nothing for a team without a limit.
	AdmittedAge time.Duration
}

// Request asks a pooler to run a statement of an operation. It is immutable.
type Request struct {
	// Opening is set in the first request of an operation, and nil in the others.
	Opening *Opening
	// Statement is the statement. A prepared one is resolved.
	Statement statement.Statement
	// Left is the time that is left for the answer to be ready, and Waited the time since the
	// statement arrived from the client.
	Left, Waited time.Duration
	// Values are the values of the client's session; nil if they are those of the request
	// before.
	Values *statement.Values
	// GivenUp is true if the operation is to be rolled back, in place of a statement.
	GivenUp bool
}

// Size returns the length of the request's texts.
func (r Request) Size() int {
	size := sizeOf(r.Statement)
	if r.Opening != nil {
		size += sizeOf(r.Opening.Begin) + len(r.Opening.Database) + len(r.Opening.Team)
	}
	if r.Values != nil {
		r.Values.Each(func(name, value string) { size += len(name) + len(value) })
	}
	return size
}

// sizeOf returns the length of a statement's texts.
func sizeOf(s statement.Statement) int {
	return len(s.ID) + len(s.Text) + len(s.Name) + len(s.Prepared.Text) + len(s.Arguments)
}

// Answer is a pooler's answer to a request. It is immutable.
type Answer struct {
	// Moved is true if the pooler did not run the statement, and began no operation. Draining
	// is then true if it will begin none on the same stream.
	Moved, Draining bool
	// Reply is the reply for the client. If its state is not InTransaction, the operation has
	// ended at the pooler.
	Reply statement.Reply
	// Written is a position that covers all commits of the client's session, those of the
	// operation included.
	Written position.Position
	// RanOutside is true if a write of the transaction may have run while no transaction was
	// open at the endpoint.
	RanOutside bool
	// Endpoint is the ID of the endpoint of the last attempt, Primary is true if it was used
	// as the primary, and Attempts is the number of attempts.
	Endpoint string
	Primary  bool
	Attempts int
}
