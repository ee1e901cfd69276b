package timer

import (
	"context"
	"time"

	"eelgrassladder.example/eelgrassladder"
)

// Pause waits until d has passed on the timer or ctx ends.
func Pause(ctx context.Context, t eelgrassladder.Timer, d time.Duration) {
	s := t.Once(d)
	defer s.Stop()
	select {
	case <-ctx.Done():
	case <-s.C():
	}
}

// Sleep waits until d has passed on the host's clock or ctx ends. Use it where there
// is no timer service, such as in the simulated endpoints and stores.
func Sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	alarm := time.NewTimer(d)
	defer alarm.Stop()
	select {
	case <-ctx.Done():
	case <-alarm.C:
	}
}
