// Package request holds callers' requests and the answers to them.
package request

import (
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/position"
)

// Prepared is a statement that a request refers to by name.
type Prepared struct {
	// Name is derived from the text of the statement, so that the same statement has
	// the same name on every connection.
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
	// Caller is the name of the authenticated caller; never empty.
	Caller string
	// Class is the name of the class of work. The class may since have been removed from
	// the configuration.
	Class string
	// Key is the idempotency key by which a repeated request is recognised; empty if
	// there is none.
	Key string
	// SessionName is the name of a session whose positions the owner keeps; empty if
	// the session has no name.
	SessionName string
	// Required is the position that a read must cover.
	Required position.Position
	// ReadOnly is true if the caller declared that the request only reads.
	ReadOnly bool
	// DescribeOnly is true if the request runs nothing and only asks for the
	// description of a statement's result.
	DescribeOnly bool
	// OpensTransaction is true if the request opens a transaction.
	OpensTransaction bool
	// Pin is the ID of the transaction that the request belongs to; zero for none.
	Pin uint64
	// Owner is the name of the proxy that holds the pinned transaction; empty without
	// Pin.
	Owner string
	// Payload is the encoded request. Only front ends and endpoints decode it.
	Payload []byte
	// Prepared lists the statements that Payload refers to by name.
	Prepared []Prepared
	// Fingerprint is a hash of the text of the statement; zero if unknown. The owner uses
	// it to remember which statements replicas refuse.
	Fingerprint uint64
	// Arrived is when the proxy to which the caller is connected had received the whole
	// request.
	Arrived time.Time
}

// WithRequired returns the request with a required position that also covers p.
func (r Request) WithRequired(p position.Position) Request {
	r.Required = r.Required.Covering(p)
	return r
}

// WithPin returns the request as part of a pinned transaction at an owner.
func (r Request) WithPin(owner string, pin uint64) Request {
	r.Owner = owner
	r.Pin = pin
	return r
}

// WithArrived returns the request with another time of arrival.
func (r Request) WithArrived(t time.Time) Request {
	r.Arrived = t
	return r
}
