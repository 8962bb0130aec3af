package scheduler

import (
	"context"
	"time"

	"rosemarygap/core/job"

	"github.com/pkg/errors"
)

// cancellationsInterval is the least time between two readings of the cancellations.
// Agents start nothing once the newest reading is too old; see job.Freshness.
const cancellationsInterval = 250 * time.Millisecond

// cancellationsRead is the outcome of a reading of all cancellations in the store. The
// owner reads them besides its watch, which may deliver nothing for seconds without
// an error.
type cancellationsRead struct {
	session *ownerSession
	ids     []string
	began   time.Time
	err     error
}

// readCancellations begins to read the cancellations in the background, so that the
// ownership check takes no longer. It returns nil if the last reading is recent.
func (s *Scheduler) readCancellations(ctx context.Context, session *ownerSession) <-chan cancellationsRead {
	x := cancellationsRead{session: session, began: time.Now()}
	if x.began.Sub(session.cancellationsReadAt) < cancellationsInterval {
		return nil
	}
	session.cancellationsReadAt = x.began
	done := make(chan cancellationsRead, 1)
	go func() {
		items, _, err := listAll(ctx, s.store, job.KeyCancellations)
		for _, i := range items {
			_, id := job.ParseKey(i.Key)
			x.ids = append(x.ids, id)
		}
		x.err = errors.Wrap(err, "read cancellations")
		done <- x
	}()
	return done
}

// confirmCancellations sends the outcome of a reading to the control goroutine once the
// ownership has been confirmed.
func (s *Scheduler) confirmCancellations(ctx context.Context, session *ownerSession, done <-chan cancellationsRead) error {
	if done == nil {
		return nil
	}
	x := <-done
	if x.err != nil {
		session.cancellationsReadAt = time.Time{}
		return x.err
	}
	s.sendToControl(ctx, x)
	return nil
}
