package owner

import "sync"

// maxKnownWrites is how many statement texts are remembered.
const maxKnownWrites = 8192

// knownWrites remembers which statement texts a replica has refused as writes, so
// that they go to the primary at once.
type knownWrites struct {
	// mutex guards fingerprints. It is a leaf.
	mutex sync.Mutex
	// fingerprints holds fingerprints of refused texts.
	fingerprints map[uint64]struct{}
}

func newKnownWrites() *knownWrites { return &knownWrites{fingerprints: map[uint64]struct{}{}} }

// contains reports whether a replica has refused the text.
func (k *knownWrites) contains(fingerprint uint64) bool {
	if fingerprint == 0 {
		return false
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	_, ok := k.fingerprints[fingerprint]
	return ok
}

// add remembers that a replica has refused the text.
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
