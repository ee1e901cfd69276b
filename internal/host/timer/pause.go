package timer

import (
	"context"
	"time"

	"eelgrassladder.example/eelgrassladder"
)

// Pause waits until the timer has advanced by d or ctx ends.
func Pause(ctx context.Context, t eelgrassladder.Timer, d time.Duration) {
	timeout := t.Once(d)
	defer timeout.Stop()
	select {
	case <-ctx.Done():
	case <-timeout.C():
	}
}

// Sleep waits until the host's clock has advanced by d or ctx ends. Use it where there is
// no Timer, as in the simulated endpoints and stores.
func Sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timeout := time.NewTimer(d)
	defer timeout.Stop()
	select {
	case <-ctx.Done():
	case <-timeout.C:
	}
}
