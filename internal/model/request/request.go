// Package request holds what a caller asks and what it is told.
package request

import (
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/position"
)

// Prepared is a statement that a request refers to by name.
type Prepared struct {
	// Name is derived from the statement's text, so that the same statement
	// has the same name on every connection.
	Name string
	// Parse is the encoded message that prepares the statement.
	Parse []byte
}

// Request is one unit of work: a statement, or a batch that is answered as a
// whole. It is immutable; its slices are never written to.
type Request struct {
	// Group is the database group that the request is for; never empty.
	Group string
	// Database is the name under which the caller asked for the group.
	Database string
	// Caller is the authenticated caller; never empty.
	Caller string
	// Class names the class of work, known to the configuration at arrival.
	Class string
	// Key identifies the request for resends; empty when it has none.
	Key string
	// SessionName names a session that its owner remembers; often empty.
	SessionName string
	// Required is the position that a read must cover.
	Required position.Position
	// ReadOnly is true when the caller declared that it only reads.
	ReadOnly bool
	// DescribeOnly is true when the request runs nothing and only asks what a
	// statement would answer.
	DescribeOnly bool
	// OpensTransaction is true when the request opens a transaction.
	OpensTransaction bool
	// Pin is the transaction that the request belongs to, or zero.
	Pin uint64
	// Owner is the proxy that holds the pinned transaction; empty without Pin.
	Owner string
	// Payload is the encoded request; only front ends and endpoints read it.
	Payload []byte
	// Prepared lists the statements that Payload refers to by name.
	Prepared []Prepared
	// Fingerprint identifies the text of the statement, for learning whether
	// a replica refuses it; zero when unknown.
	Fingerprint uint64
	// Arrived is when the first proxy had the whole request.
	Arrived time.Time
}

// WithRequired returns a request that must also cover p.
func (r Request) WithRequired(p position.Position) Request {
	r.Required = r.Required.Later(p)
	return r
}

// WithPin returns a request that belongs to a pinned transaction at an owner.
func (r Request) WithPin(owner string, pin uint64) Request {
	r.Owner = owner
	r.Pin = pin
	return r
}

// WithArrived returns a request that arrived at the given time.
func (r Request) WithArrived(t time.Time) Request {
	r.Arrived = t
	return r
}
