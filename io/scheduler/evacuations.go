package scheduler

import (
	"context"
	"time"

	"rosemarygap/platform"

	"github.com/pkg/errors"
)

// evacuationsInterval is the longest time between the begins of two readings of the
// evacuated zones. Agents start nothing in a zone once the newest reading is too old;
// see job.Freshness.
const evacuationsInterval = time.Second

// readsPerEvacuationDelay is the least number of readings within the bound on
// evacuations. It applies to a bound so short that evacuationsInterval would be too long.
const readsPerEvacuationDelay = 4

// evacuationsRead is the outcome of a reading of all evacuated zones in the store. The
// owner reads them instead of watching them: a watch may deliver nothing for seconds
// without an error, or end because the history was compacted.
type evacuationsRead struct {
	session *ownerSession
	zones   []string
	began   time.Time
}

// followEvacuations reads the evacuated zones and sends them to the control goroutine,
// from the begin of a session until ctx ends. A failed reading is repeated; meanwhile the
// control goroutine keeps the zones that it knows.
func (s *Scheduler) followEvacuations(ctx context.Context, session *ownerSession) error {
	interval := max(min(evacuationsInterval, s.cfg.Bounds.MaxEvacuationDelay/readsPerEvacuationDelay), readRetryPause)
	for ctx.Err() == nil {
		x := evacuationsRead{session: session, began: time.Now()}
		callCtx, cancel := context.WithTimeout(ctx, readTimeout)
		items, _, err := listAll(callCtx, s.store, platform.EvacuationPrefix)
		cancel()
		if ctx.Err() != nil {
			return nil
		}
		s.evacuationsHealth.Observe(errors.Wrap(err, "read evacuations"))
		next := x.began.Add(interval)
		if err == nil {
			x.zones = platform.EvacuatedZones(items)
			s.sendToControl(ctx, x)
		} else {
			next = time.Now().Add(readRetryPause)
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(next)):
		}
	}
	return nil
}
