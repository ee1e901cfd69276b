package leadership

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// PromotionLock is the right to order promotions, which one proxy has at a time. It is
// immutable.
type PromotionLock struct {
	// Revision is the store's revision of the key, and the fencing token of
	// the holder; zero if nobody has ever held it.
	Revision uint64 `json:"-"`
	// Seen is the boot time at which this process learned of the revision.
	Seen time.Duration `json:"-"`
	// Holder is the proxy that holds it, or held it last.
	Holder string
	// Busy is true while a change of primary is under way.
	Busy bool
}

// ParsePromotionLock reads the value of DutyKey.
func ParsePromotionLock(value []byte, revision uint64) (PromotionLock, error) {
	var d PromotionLock
	if err := json.Unmarshal(value, &d); err != nil {
		return d, errors.Wrap(err, "duty")
	}
	d.Revision = revision
	return d, nil
}

// Bytes returns the duty as it lies in the store.
func (d PromotionLock) Bytes() []byte {
	b, err := json.Marshal(d)
	if err != nil {
		panic(err) // a struct of plain fields always has a JSON form
	}
	return b
}

// WithHolder returns the duty in the hands of a proxy.
func (d PromotionLock) WithHolder(name string, busy bool) PromotionLock {
	d.Holder, d.Busy = name, busy
	return d
}

// WithRevision returns the duty under a revision of the store that was
// learned at a boot time.
func (d PromotionLock) WithRevision(revision uint64, seen time.Duration) PromotionLock {
	d.Revision, d.Seen = revision, seen
	return d
}
