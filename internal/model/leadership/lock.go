package leadership

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/model/revision"
)

// PromotionLock is the lock that a proxy must hold to order promotions, of all
// groups. It is immutable.
type PromotionLock struct {
	// Revision is the store's revision of the key; zero if no state of the lock is known.
	Revision revision.Revision `json:"-"`
	// Removed is true if the store had no such key at Revision. Nobody holds the lock then.
	Removed bool `json:"-"`
	// Seen is the boot time at which this process learned of the revision.
	Seen time.Duration `json:"-"`
	// Holder is the name of the proxy that holds the lock, or held it last.
	Holder string
	// Busy is true while the holder has a change of primary under way.
	Busy bool
	// Token is the fencing token of the holder's orders. It stays the same until the
	// holder or the era of the store changes, is above every earlier token, and never above
	// Revision. It is zero if a proxy of an earlier build wrote the lock; see FencingToken.
	Token uint64 `json:",omitempty"`
}

// FencingToken returns the fencing token of the holder. Earlier builds use the revision of
// the lock.
func (l PromotionLock) FencingToken() uint64 {
	if l.Token == 0 {
		return l.Revision.Number()
	}
	return l.Token
}

// ParsePromotionLock decodes the value of PromotionLockKey. The lock that it returns with an
// error has no holder and no token.
func ParsePromotionLock(value []byte, read revision.Revision) (PromotionLock, error) {
	var l PromotionLock
	if err := json.Unmarshal(value, &l); err != nil {
		return PromotionLock{Revision: read}, errors.Wrap(err, "decoding the promotion lock")
	}
	l.Revision = read
	if l.Token > uint64(read) {
		return PromotionLock{Revision: read}, errors.Errorf("the promotion lock has the token %d, above its revision %d", l.Token, read)
	}
	return l, nil
}

// RemovedPromotionLock returns the lock whose key the store did not have at a revision.
func RemovedPromotionLock(read revision.Revision) PromotionLock {
	return PromotionLock{Revision: read, Removed: true}
}

// Expected returns the revision that the store has of the key; zero if it has no such key.
func (l PromotionLock) Expected() revision.Revision {
	if l.Removed {
		return 0
	}
	return l.Revision
}

// Bytes returns the value for the store.
func (l PromotionLock) Bytes() []byte {
	b, err := json.Marshal(l)
	if err != nil {
		panic(err) // a struct of plain fields always has a JSON form
	}
	return b
}

// WithHolder returns the lock as held by a proxy that has a change of primary under way. A new
// holder gets a new fencing token, above the revision of the lock and another revision of the
// store that is known: the key of the lock may have been removed. The same holder keeps its
// token, so that its own orders may reach the platform in any sequence, but not one of a former
// era of the store: another proxy may have held the lock since, and the store has forgotten it.
func (l PromotionLock) WithHolder(name string, known revision.Revision) PromotionLock {
	newest := max(l.Revision, known)
	if l.Token = l.FencingToken(); l.Holder != name || revision.TokenEra(l.Token) < newest.Era() {
		l.Token = newest.Token() // the store's next revision is not lower
	}
	l.Holder, l.Busy = name, true
	return l
}

// WithReleased returns the lock as released by its holder, which keeps its fencing token.
func (l PromotionLock) WithReleased() PromotionLock {
	l.Busy, l.Token = false, l.FencingToken()
	return l
}

// WithRevision returns the lock as the store has it at a revision, with the boot time at
// which this process learned of it.
func (l PromotionLock) WithRevision(written revision.Revision, seen time.Duration) PromotionLock {
	l.Revision, l.Removed, l.Seen = written, false, seen
	return l
}
