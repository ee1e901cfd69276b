package eelgrassladder

import "context"

// Eras knows the newest era of the platform's store. An era ends when the store comes back from
// an older copy: it has then lost changes that it had acknowledged, leases among them, and gives
// their revisions out again.
type Eras interface {
	// Current returns the newest known era; zero if the store names none.
	Current() uint64
	// Learn takes note of an era that was learned from a source, such as the store or another
	// proxy. A lower one than the newest changes nothing.
	Learn(era uint64, source string)
	// Context returns a context that ends when an era above the newest known one is learned.
	Context() context.Context
	// OnRise has a function called with each newest era after it was learned.
	OnRise(f func(era uint64))
}
