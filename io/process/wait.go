package process

import (
	"context"
	"time"
)

// Pause waits until d has passed, ctx ends or wake is signalled. A nil wake is
// never signalled.
func Pause(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-wake:
	}
}

// Wake signals c without waiting for its reader. The channel c has a buffer of
// one, so that one pending signal stands for all signals since the last read.
func Wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
