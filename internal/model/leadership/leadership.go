// Package leadership holds the record of who leads a database group. The records
// lie in the platform's store; a group without one has had no change of
// primary yet.
package leadership

import (
	"encoding/json"
	"strings"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/model/position"
)

const (
	// Prefix is where the records lie in the store.
	Prefix = "eelgrassladder/primaries/"
	// PromotionLockKey is the key whose revision is the fencing token of promotions.
	PromotionLockKey = "eelgrassladder/duty"
)

// Record is the record of a group. It is immutable.
type Record struct {
	// Group is the name of the group; it is part of the key.
	Group string `json:"-"`
	// Revision is the store's revision of the record; zero for a group
	// without one.
	Revision uint64 `json:"-"`
	// Endpoint is the ID of the primary, or of the one being replaced; empty
	// if none was known.
	Endpoint string
	// Term is the term of the primary.
	Term uint64
	// Closed is true while the primary is being replaced.
	Closed bool
	// Holder is the proxy that wrote the record.
	Holder string
	// Acknowledged is a position up to which commits are known to be acknowledged; zero
	// for none. No member whose log lacks it may lead.
	Acknowledged position.Position `json:",omitzero"`
	// Members holds the addresses of the members by ID, those included that have
	// left since Kept was known. It is never written after it was set.
	Members map[string]string `json:",omitempty"`
}

// Key returns the key of a group's record.
func Key(group string) string { return Prefix + group }

// Group returns the group whose record has the key.
func Group(key string) (string, bool) { return strings.CutPrefix(key, Prefix) }

// Parse reads a record.
func Parse(group string, value []byte, revision uint64) (Record, error) {
	t := Record{}
	if err := json.Unmarshal(value, &t); err != nil {
		return t, errors.Wrapf(err, "record of group %q", group)
	}
	t.Group, t.Revision = group, revision
	return t, nil
}

// Bytes returns the record as it lies in the store.
func (t Record) Bytes() []byte {
	b, err := json.Marshal(t)
	if err != nil {
		panic(err) // a struct of plain fields always has a JSON form
	}
	return b
}

// Proves reports whether an endpoint was the only primary of the term when the
// store gave this record: each change of primary closes the record before it
// stops anything. Without a record there has been no change.
func (t Record) Proves(endpoint string, term uint64) bool {
	return t.Revision == 0 || (!t.Closed && t.Endpoint == endpoint && t.Term == term)
}

// WithClosed returns the record while the holder replaces the primary.
func (t Record) WithClosed(holder string) Record {
	t.Closed, t.Holder = true, holder
	return t
}

// WithPrimary returns the record of a new primary.
func (t Record) WithPrimary(endpoint string, term uint64) Record {
	t.Endpoint, t.Term, t.Closed = endpoint, term, false
	return t
}

// WithAcknowledged returns the record with a position up to which commits are known to
// be acknowledged, unless it has a newer one.
func (t Record) WithAcknowledged(p position.Position) Record {
	if !t.Acknowledged.UpToDateWith(p) {
		t.Acknowledged = p
	}
	return t
}

// WithMembers returns the record with the addresses of the members by ID.
func (t Record) WithMembers(members map[string]string) Record {
	t.Members = members
	return t
}

// WithRevision returns the record under a revision of the store.
func (t Record) WithRevision(revision uint64) Record {
	t.Revision = revision
	return t
}
