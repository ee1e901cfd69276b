package failover

import (
	"slices"
	"time"
)

const (
	// minEraAge is how long a proxy must have known the era of the store before it relies on the
	// store's list of members: entries that are gone with the former era are back within 2 s.
	minEraAge = minListAge
	// maxSilence is how long a proxy of the former era that does not answer may still act on what
	// the store has forgotten. Its proofs end before, and its orders are executed before.
	maxSilence = 12 * time.Second
)

// MayConfirm reports whether a proxy may confirm a record that has not been written in the present
// era of the store for a time. As long as no earlier writer has done so, each further proxy may
// write when its turn comes; see WriterIndex.
func MayConfirm(unconfirmed time.Duration, writerIndex int) bool {
	return unconfirmed >= turn(writerIndex)
}

// MayRely reports whether a proxy that has known the era of the store for a time may rely on the
// store's list of members.
func MayRely(eraAge time.Duration) bool { return eraAge >= minEraAge }

// Recollection is what is known of a group's primary, from other sources than the store, after
// the store came back from an older copy. It is immutable.
type Recollection struct {
	// EraAge is how long this proxy has known the era of the store.
	EraAge time.Duration
	// AllTold is true if every proxy that may have changed a primary in a former era has told
	// its records, and knows that this era has begun.
	AllTold bool
	// Silent is how many proxies that may still run have not answered.
	Silent int
	// Recorded is true if a record of the group is known. Endpoint, Term and Closed are those of
	// the newest one.
	Recorded bool
	Endpoint string
	Term     uint64
	Closed   bool
	// Members are the members that are listed or recorded.
	Members []MemberView
}

// MemberView is what one member has answered. It is immutable.
type MemberView struct {
	// ID is the endpoint's ID.
	ID string
	// Listed is true if the store lists the member now.
	Listed bool
	// Answered is false if the member did not answer; the fields below are then zero.
	Answered bool
	// Primary is true if the member leads Term.
	Primary bool
	Term    uint64
	// SuspendedTerm is the term for which the member is suspended; zero for none.
	SuspendedTerm uint64
}

// Verdict is what to write as the group's record in the present era.
type Verdict int

// The verdicts.
const (
	// Undecided means that a member or a proxy may know of a change that is not known here.
	Undecided Verdict = iota
	// Unchanged means that the primary is the only one: no change has begun since it was
	// recorded, and none that began in a former era can go on.
	Unchanged
	// Interrupted means that a change may have begun, so that the record has to be closed and
	// the change to be finished.
	Interrupted
)

// String returns the verdict's text in logs.
func (v Verdict) String() string { return [...]string{"Undecided", "Unchanged", "Interrupted"}[v] }

// Decide returns the verdict, the primary that the record has to name, and its term. Without a
// record, the primary is the member of the lowest term that says that it leads.
func (r Recollection) Decide() (v Verdict, primary string, term uint64) {
	primary, term = r.Endpoint, r.Term
	if !r.Recorded {
		primary, term = r.claimed()
	}
	switch {
	case !r.AllTold && (!MayRely(r.EraAge) || (r.Silent > 0 && r.EraAge < maxSilence)):
		return Undecided, primary, term
	case !r.enoughAnswered(primary):
		return Undecided, primary, term
	case r.Closed || primary == "" || slices.ContainsFunc(r.Members, func(m MemberView) bool { return m.contradicts(primary, term) }):
		return Interrupted, primary, term
	}
	return Unchanged, primary, term
}

// enoughAnswered reports whether the members have answered that may lead a later term than the
// primary. After every proxy has told its records, there is no such member. A member that is not
// listed is gone. The primary itself need not answer if it is recorded.
//
// After maxSilence one member may be missing. A commit that it has acknowledged in a later term is
// at one of the others, whose term shows it, and no proxy has a proof of that term any more, without
// which it reports no further commit.
func (r Recollection) enoughAnswered(primary string) bool {
	missing, required := 0, 0
	for _, m := range r.Members {
		if !m.Listed || m.Answered {
			continue
		}
		missing++
		if !r.Recorded || (!r.AllTold && m.ID != primary) {
			required++
		}
	}
	return required == 0 || (r.Recorded && r.EraAge >= maxSilence && missing <= 1)
}

// claimed returns the member of the lowest term that says that it leads, and its term.
func (r Recollection) claimed() (id string, term uint64) {
	for _, m := range r.Members {
		if m.Primary && (id == "" || m.Term < term) {
			id, term = m.ID, m.Term
		}
	}
	return id, term
}

// contradicts reports whether the answer of a member shows that the primary of a term is being
// replaced, or was.
func (m MemberView) contradicts(primary string, term uint64) bool {
	switch {
	case !m.Answered:
		return false
	case m.ID == primary:
		return !m.Primary || m.Term != term
	}
	return m.Term > term || m.SuspendedTerm > term
}
