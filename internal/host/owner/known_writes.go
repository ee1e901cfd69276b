package owner

import "sync"

// maxKnownWrites is the most statement texts that are remembered. Beyond it
// the whole set is cleared.
const maxKnownWrites = 8192

// knownWrites is the set of statement texts that a replica has refused as
// writes. They are routed to the primary directly.
type knownWrites struct {
	// mutex guards fingerprints. It is a leaf.
	mutex sync.Mutex
	// fingerprints identifies the refused texts.
	fingerprints map[uint64]struct{}
}

func newKnownWrites() *knownWrites { return &knownWrites{fingerprints: map[uint64]struct{}{}} }

// contains reports whether a replica has refused the text. The fingerprint 0
// stands for no text.
func (k *knownWrites) contains(fingerprint uint64) bool {
	if fingerprint == 0 {
		return false
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	_, ok := k.fingerprints[fingerprint]
	return ok
}

// add records that a replica has refused the text.
func (k *knownWrites) add(fingerprint uint64) {
	if fingerprint == 0 {
		return
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if len(k.fingerprints) >= maxKnownWrites {
		clear(k.fingerprints)
	}
	k.fingerprints[fingerprint] = struct{}{}
}
