package timer

import (
	"context"
	"time"

	"eelgrassladder.example/eelgrassladder"
)

// Pause waits for a time of the timer or the end of ctx.
func Pause(ctx context.Context, t eelgrassladder.Timer, d time.Duration) {
	s := t.Once(d)
	defer s.Stop()
	select {
	case <-ctx.Done():
	case <-s.C():
	}
}

// Sleep waits for a time of the host's clock or the end of ctx. Use it where
// there is no timer service, as in the stand-ins.
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
