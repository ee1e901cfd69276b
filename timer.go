package eelgrassladder

import "time"

// Timer is the time service that the parts of the system subscribe to. Programs use
// timer.Service of internal/host/timer; tests use its timer.Manual, whose time moves
// only when the test advances it.
//
//	s := timer.Subscribe(100 * time.Millisecond)
//	defer s.Stop()
//	for range s.C() {
//		probe()
//	}
type Timer interface {
	// Now returns the present time. It never runs backwards.
	Now() time.Time
	// Subscribe returns a subscription that fires once in each period.
	Subscribe(period time.Duration) Subscription
	// Once returns a subscription that fires a single time after the delay.
	Once(delay time.Duration) Subscription
}

// Subscription receives the times at which a Timer fires.
type Subscription interface {
	// C returns the channel of times. The channel has room for one time: if nobody
	// has received the last one, the next is dropped.
	C() <-chan time.Time
	// Stop ends the subscription. It may be called more than once.
	Stop()
}
