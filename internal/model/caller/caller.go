// Package caller holds the callers that a configuration knows.
package caller

import "slices"

// Caller is one customer's application. It is immutable.
type Caller struct {
	// Name is unique in a configuration; never empty.
	Name string
	// Verifier is the SCRAM-SHA-256 verifier of the caller's password, in
	// the form that PostgreSQL stores. It is never logged.
	Verifier string
	// Databases lists the database groups that the caller may use.
	Databases []string
	// Classes lists the classes that the caller may use; the first is the
	// class of a connection that names none. Never empty.
	Classes []string
}

// MayUse reports whether the caller may use the class.
func (c Caller) MayUse(class string) bool { return slices.Contains(c.Classes, class) }

// MayReach reports whether the caller may use the database.
func (c Caller) MayReach(database string) bool { return slices.Contains(c.Databases, database) }

// WithVerifier returns the caller with another password verifier.
func (c Caller) WithVerifier(v string) Caller {
	c.Verifier = v
	return c
}
