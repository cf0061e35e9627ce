package upstreams

import (
	"context"
	"time"
)

// Clock tells the time and waits.
type Clock interface {
	Now() time.Time
	// Wait returns nil after d, or the error of ctx if that is done first.
	Wait(ctx context.Context, d time.Duration) error
}

// SystemClock is the machine's clock.
type SystemClock struct{}

// Now implements Clock.
func (SystemClock) Now() time.Time { return time.Now() }

// Wait implements Clock.
func (SystemClock) Wait(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
