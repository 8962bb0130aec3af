package process

import (
	"context"
	"time"
)

// Pause waits for d, or until ctx ends or wake is signalled; a nil wake never
// is.
func Pause(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-wake:
	}
}

// Wake signals c, which has room for one signal, without waiting for its
// reader: one signal stands for all that it has not read.
func Wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
