package owner

import "sync"

// learnedLimit is how many statement texts are remembered.
const learnedLimit = 8192

// learned remembers which statement texts a replica has refused as writes, so
// that they go to the primary at once.
type learned struct {
	// mutex guards writes. It is a leaf.
	mutex sync.Mutex
	// writes holds fingerprints of refused texts.
	writes map[uint64]struct{}
}

func newLearned() *learned { return &learned{writes: map[uint64]struct{}{}} }

// refused reports whether a replica has refused the text.
func (l *learned) refused(fingerprint uint64) bool {
	if fingerprint == 0 {
		return false
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	_, ok := l.writes[fingerprint]
	return ok
}

// learn remembers that a replica has refused the text.
func (l *learned) learn(fingerprint uint64) {
	if fingerprint == 0 {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.writes) >= learnedLimit {
		clear(l.writes)
	}
	l.writes[fingerprint] = struct{}{}
}
