package scheduler

import (
	"context"
	"testing"
	"time"

	"rosemarygap/core/job"
	"rosemarygap/io/standin/fleet"
	"rosemarygap/platform"
	"rosemarygap/platform/platformtest"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// The owner learns a cancellation within its ownership check, whatever its watch
// delivers, and does not count it as known if the store does not answer.
func TestOwnershipCheckReadsCancellations(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	store := fleet.NewStore()
	s, _ := newTestScheduler(t, platformtest.StoreHandler(store))
	read := make(chan cancellationsRead, 10)
	go func() {
		for {
			select {
			case x := <-s.messages:
				switch x := x.(type) {
				case ownershipCheckStarted:
					close(x.handled)
				case cancellationsRead:
					read <- x
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	session, err := s.claim(ctx)
	is.NoErr(err)
	store.Put(job.CancelledKey(testID), []byte("{}"))
	began := time.Now()
	is.NoErr(s.checkAndRenew(ctx, session))
	x := <-read
	is.Equal(x.ids, []string{testID})
	is.True(!x.began.Before(began))
	is.NoErr(s.checkAndRenew(ctx, session)) // within cancellationsInterval
	is.Equal(len(read), 0)

	session.cancellationsReadAt = time.Time{}
	store.SetFaults(fleet.StoreFaults{Down: true})
	is.True(s.checkAndRenew(ctx, session) != nil)
	is.Equal(len(read), 0)
}

// listlessStore is a store that serves no lists.
type listlessStore struct{ *fleet.Store }

func (listlessStore) List(string, string) (platform.Page, error) {
	return platform.Page{}, platform.ErrNoEffect
}

// The owner keeps its ownership if it cannot read the cancellations: agents read them
// themselves then.
func TestLeaseIsRenewedWithoutCancellations(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s, _ := newTestScheduler(t, platformtest.StoreHandler(listlessStore{fleet.NewStore()}))
	go s.discardMessages(ctx)
	session, err := s.claim(ctx)
	is.NoErr(err)
	is.True(errors.Is(s.checkAndRenew(ctx, session), platform.ErrNoEffect))
	is.True(!session.renewedAt.IsZero())
}
