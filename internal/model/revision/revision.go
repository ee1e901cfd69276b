// Package revision holds the revisions of the platform's store.
package revision

import "github.com/pkg/errors"

const (
	// numberBits is how many bits of a Revision hold the store's number. 400 changes a second
	// use them up in 87 years.
	numberBits = 40
	// MaxEra is the highest era. Revisions then fit a signed integer of 64 bits, as which the
	// platform may read a fencing token.
	MaxEra = 1<<(63-numberBits) - 1
	// maxNumber is the highest number within an era.
	maxNumber = 1<<numberBits - 1
)

// Revision is a revision of the store in one of its eras. A store that comes back from an older
// copy begins a new era and gives numbers out again, so revisions order by era first. Zero stands
// for no revision. A store that names no eras is in era zero.
type Revision uint64

// New returns the revision with a number in an era.
func New(era, number uint64) (Revision, error) {
	if era > MaxEra {
		return 0, errors.Errorf("era %d of the store is above %d", era, uint64(MaxEra))
	}
	if number > maxNumber {
		return 0, errors.Errorf("revision %d of the store is above %d", number, uint64(maxNumber))
	}
	return Revision(era<<numberBits | number), nil
}

// Era returns the era of the store.
func (r Revision) Era() uint64 { return uint64(r) >> numberBits }

// Number returns the store's number within the era.
func (r Revision) Number() uint64 { return uint64(r) & maxNumber }

// WithEra returns the revision with the same number in an era that is not above MaxEra.
func (r Revision) WithEra(era uint64) Revision { return Revision(era<<numberBits | r.Number()) }

// Token returns a fencing token that is above those of all earlier revisions, those of former
// eras among them.
func (r Revision) Token() uint64 { return uint64(r) + 1 }

// TokenEra returns the era in which a fencing token was made.
func TokenEra(token uint64) uint64 { return Revision(token).Era() }
