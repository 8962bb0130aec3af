package scheduler

import (
	"context"
	"net/http/httptrace"
	"time"
)

// transferTimeout is the longest time that an answer may take after its first byte. On
// a slow link, some hundred kilobytes take seconds, however often they are requested.
const transferTimeout = 4 * time.Second

// readLarge calls read, whose answer may be large and which the store may hold for wait.
// The context of read ends if no byte of the answer arrives within the wait and
// readTimeout: a store or a connection that is silent must be abandoned soon, also after
// several reads that failed.
func readLarge(ctx context.Context, wait time.Duration, read func(context.Context) error) error {
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	t := time.AfterFunc(wait+readTimeout, cancel)
	defer t.Stop()
	return read(httptrace.WithClientTrace(callCtx, &httptrace.ClientTrace{
		GotFirstResponseByte: func() { t.Reset(transferTimeout) },
	}))
}
