package eelgrassladder

import "time"

// Timer is the time service that the parts of the system subscribe to. Use
// the service of internal/host/timer in a program, and its manual form in
// tests, where time moves only when the test says so.
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
	// C returns the channel of times. A time that nobody has taken when the
	// next one is due is dropped.
	C() <-chan time.Time
	// Stop ends the subscription. It may be called more than once.
	Stop()
}
