package eelgrassladder

import "time"

// Timer is a service for periodic and one-time events, and the source of the current time.
// Programs use the Service of internal/host/timer; tests use its Manual, whose time moves
// only when the test advances it.
//
//	s := timer.Subscribe(100 * time.Millisecond)
//	defer s.Stop()
//	for range s.C() {
//		probe()
//	}
type Timer interface {
	// Now returns the current time. It never runs backwards.
	Now() time.Time
	// Subscribe returns a subscription that fires once in each period, which must be
	// above zero.
	Subscribe(period time.Duration) Subscription
	// Once returns a subscription that fires a single time after the delay.
	Once(delay time.Duration) Subscription
}

// Subscription receives the times at which a Timer fires.
type Subscription interface {
	// C returns the channel of times. The channel has room for one time: while nobody
	// has received the last one, further times are dropped.
	C() <-chan time.Time
	// Stop ends the subscription. It may be called more than once.
	Stop()
}
