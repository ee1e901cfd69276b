package owner

import "sync"

// maxKnownWrites is the maximum number of fingerprints that are kept. The
// whole set is cleared when another one is added.
const maxKnownWrites = 8192

// knownWrites is the set of fingerprints of the requests that a replica has
// refused as writes. Such requests are routed to the primary directly. If two
// requests have the same fingerprint, a read may be routed to the primary too.
type knownWrites struct {
	// mutex guards fingerprints. No other lock is taken while it is held.
	mutex sync.Mutex
	// fingerprints holds request.Request.Fingerprint of the refused requests.
	fingerprints map[uint64]struct{}
}

func newKnownWrites() *knownWrites { return &knownWrites{fingerprints: map[uint64]struct{}{}} }

// contains reports whether a replica has refused a request with the
// fingerprint. The fingerprint 0 means that a request has none.
func (k *knownWrites) contains(fingerprint uint64) bool {
	if fingerprint == 0 {
		return false
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	_, ok := k.fingerprints[fingerprint]
	return ok
}

// add records that a replica has refused a request with the fingerprint.
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
