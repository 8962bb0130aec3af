package scheduler

import (
	"context"
	"time"
)

// maxReadTimeout is the longest timeout of a large read.
const maxReadTimeout = 8 * time.Second

// growingTimeout is the timeout of reads whose answers may be large. A connection
// that went silent must be abandoned soon, but on a slow link an answer of some
// hundred kilobytes takes longer than that, however often it is requested. So the
// timeout doubles after each read that exceeded it. The zero value is ready for use
// by one goroutine.
type growingTimeout struct {
	// current is the timeout of the next read, or 0 for readTimeout.
	current time.Duration
}

// call calls read, which the store may hold for wait, with a context that ends
// after the wait and the timeout.
func (t *growingTimeout) call(ctx context.Context, wait time.Duration, read func(context.Context) error) error {
	timeout := max(t.current, readTimeout)
	callCtx, cancel := context.WithTimeout(ctx, wait+timeout)
	defer cancel()
	err := read(callCtx)
	t.current = readTimeout
	if err != nil && callCtx.Err() != nil {
		t.current = min(2*timeout, maxReadTimeout)
	}
	return err
}
