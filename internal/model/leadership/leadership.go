// Package leadership holds the record of which endpoint leads a database group, and the
// lock for promotions. Both are kept in the platform's store. A group without a record
// has had no change of primary yet.
package leadership

import (
	"encoding/json"
	"maps"
	"strings"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/revision"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
)

const (
	// Prefix is the prefix of the store's keys of records.
	Prefix = "eelgrassladder/primaries/"
	// PromotionLockKey is the store's key of the promotion lock.
	PromotionLockKey = "eelgrassladder/duty"
)

// Record says which endpoint leads a group. It is immutable.
type Record struct {
	// Group is the name of the group; it is part of the key.
	Group string `json:"-"`
	// Revision is the store's revision of the record, in the era in which it was written;
	// zero if the group has none.
	Revision revision.Revision `json:"-"`
	// Endpoint is the ID of the primary, or of the one that is being replaced; empty
	// if none was known.
	Endpoint string
	// Term is the term of the primary.
	Term uint64
	// Closed is true while the primary is being replaced.
	Closed bool
	// Holder is the name of the proxy that closed the record, or that wrote the first
	// one.
	Holder string
	// Acknowledged is a position up to which commits are known to be acknowledged;
	// zero for none. A member whose log lacks it must not become the primary.
	Acknowledged position.Position `json:"Kept,omitzero"`
	// Members holds the addresses of the members by ID. It includes members that have
	// left since Acknowledged became known. The map is never modified.
	Members map[string]string `json:",omitempty"`
	// Starts holds topology.Endpoint.StartedAt of the members by ID: a member that has
	// started again since need not have the log that it had. It lacks members whose start
	// is not known; records of former builds have no starts. The map is never modified.
	Starts map[string]int64 `json:",omitempty"`
	// Elected is the member whose promotion was ordered, or is about to be, and an order
	// for which may still be executed; zero for none.
	Elected Election `json:",omitzero"`
	// Era is the era of the store in which the record was written; zero if the store names
	// none, or if a proxy of an earlier build wrote the record. See WrittenIn.
	Era uint64 `json:",omitempty"`
}

// Election names the member that a change of primary orders to promote. It is immutable.
type Election struct {
	// Endpoint is the ID of the member.
	Endpoint string
	// After is the revision of the record to which the election was added. It tells the
	// orders for one member apart.
	After revision.Revision
	// Repeated is true if an earlier order for the member may still be executed too. One
	// of the orders can then be executed after the member has led by another.
	Repeated bool `json:",omitzero"`
	// Token is the fencing token of the order; zero if a proxy of an earlier build wrote
	// the election.
	Token uint64 `json:",omitempty"`
	// Answered is true if the platform has answered every order for the group so far, so
	// that it sees none of their tokens later.
	Answered bool `json:",omitzero"`
}

// Is reports whether two elections are the same one, maybe known at different times.
func (e Election) Is(other Election) bool {
	return e.Endpoint == other.Endpoint && e.After == other.After
}

// Key returns the key of a group's record.
func Key(group string) string { return Prefix + group }

// Group returns the name of the group whose record has the key, and whether the key
// is that of a record.
func Group(key string) (string, bool) { return strings.CutPrefix(key, Prefix) }

// maxTerm is the highest term of a record. Terms rise by one with each change of primary,
// so a higher one is not from a proxy, and the next term has to fit as well.
const maxTerm = 1 << 62

// Parse decodes the record of a group that was read at a revision. It returns an error for a
// record that no proxy writes: an open one without a primary, one with a term above maxTerm, or
// one of a later era than that of the revision. The record that it returns has the revision in
// the era in which it was written.
func Parse(group string, value []byte, read revision.Revision) (Record, error) {
	r := Record{}
	if err := json.Unmarshal(value, &r); err != nil {
		return r, errors.Wrapf(err, "decoding the record of group %q", group)
	}
	if !r.Closed && r.Endpoint == "" {
		return Record{}, errors.Errorf("the record of group %q is open and names no primary", group)
	}
	if max(r.Term, r.Acknowledged.Term) > maxTerm {
		return Record{}, errors.Errorf("the record of group %q has a term above %d", group, uint64(maxTerm))
	}
	if r.Era > read.Era() {
		return Record{}, errors.Errorf("the record of group %q was written in era %d, and read in era %d", group, r.Era, read.Era())
	}
	r.Group, r.Revision = group, read.WithEra(r.Era)
	return r, nil
}

// Bytes returns the value for the store.
func (r Record) Bytes() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic(err) // a struct of plain fields always has a JSON form
	}
	return b
}

// WrittenIn reports whether the store, in an era, has forgotten no change of the group's primary
// that came after the record. A record of a former era may be that of an older copy of the store,
// and so may the lack of one. Where the store names no eras, it forgets nothing.
func (r Record) WrittenIn(era uint64) bool {
	return r.Era == era && (r.Revision > 0 || era == 0)
}

// Proves reports whether the record shows that the endpoint, as the primary of the term,
// was the only primary when the store returned the record, in an era. That is so if the record
// was written in that era, is open, and names the endpoint and the term, because each change of
// primary closes the record before it demotes or suspends a member. If the store names no eras,
// it is also so if there is no record, because the primary has then never changed.
func (r Record) Proves(endpoint string, term, era uint64) bool {
	return r.WrittenIn(era) && (r.Revision == 0 || (!r.Closed && r.Endpoint == endpoint && r.Term == term))
}

// Lists reports whether the record lists the endpoint, and the endpoint has not started
// again since. A record without members lists all of them: no proxy has written them yet.
func (r Record) Lists(e topology.Endpoint) bool {
	_, ok := r.Members[e.ID]
	return len(r.Members) == 0 || (ok && !e.Restarted(r.Member(e.ID)))
}

// WithClosed returns the record as closed by a proxy that replaces the primary.
func (r Record) WithClosed(holder string) Record {
	r.Closed, r.Holder = true, holder
	return r
}

// WithPrimary returns the record as open for a primary.
func (r Record) WithPrimary(endpoint string, term uint64) Record {
	r.Endpoint, r.Term, r.Closed = endpoint, term, false
	return r
}

// WithAcknowledged returns the record with a position up to which commits are known to
// be acknowledged, unless the record has a newer one.
func (r Record) WithAcknowledged(p position.Position) Record {
	if !r.Acknowledged.UpToDateWith(p) {
		r.Acknowledged = p
	}
	return r
}

// WithMembers returns the record with the members, of which it keeps the ID, the address
// and the start.
func (r Record) WithMembers(members []topology.Endpoint) Record {
	r.Members, r.Starts = make(map[string]string, len(members)), make(map[string]int64, len(members))
	for _, e := range members {
		r.Members[e.ID] = e.Address
		if e.StartedAt != 0 {
			r.Starts[e.ID] = e.StartedAt
		}
	}
	return r
}

// Member returns the recorded member with the ID.
func (r Record) Member(id string) topology.Endpoint {
	return topology.Endpoint{ID: id, Group: r.Group, Address: r.Members[id], StartedAt: r.Starts[id]}
}

// SameMembers reports whether two records name the same members, with the same starts.
func (r Record) SameMembers(other Record) bool {
	return maps.Equal(r.Members, other.Members) && maps.Equal(r.Starts, other.Starts)
}

// WithElected returns the record with the member whose promotion is ordered next, with a
// fencing token. Repeated is true if an earlier order for it may still be executed.
func (r Record) WithElected(endpoint string, token uint64, repeated bool) Record {
	r.Elected = Election{Endpoint: endpoint, After: r.Revision, Repeated: repeated, Token: token}
	return r
}

// WithoutElection returns the record without an election.
func (r Record) WithoutElection() Record {
	r.Elected = Election{}
	return r
}

// WithOrdersAnswered returns the record with Elected.Answered set, if it names an election.
func (r Record) WithOrdersAnswered() Record {
	r.Elected.Answered = r.Elected.Endpoint != ""
	return r
}

// WithoutElected returns the record without the election of a member, which leads by now.
// The election stays if it is of another member, or if the member was ordered repeatedly.
func (r Record) WithoutElected(endpoint string) Record {
	if r.Elected.Endpoint == endpoint && !r.Elected.Repeated {
		r.Elected = Election{}
	}
	return r
}

// WithEra returns the record as it is written in an era of the store.
func (r Record) WithEra(era uint64) Record {
	r.Era = era
	return r
}

// WithRevision returns the record as it was written at a revision of the store, and in its era.
func (r Record) WithRevision(written revision.Revision) Record {
	r.Revision, r.Era = written, written.Era()
	return r
}
