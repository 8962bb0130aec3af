package scheduler

import (
	"context"
	"testing"

	"rosemarygap/core/job"
	"rosemarygap/io/standin/fleet"
	"rosemarygap/platform/platformtest"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// Only one of several claiming entries becomes the owner. Its successor has a
// higher epoch, and the superseded owner detects it at its next ownership check,
// before it grants leases again.
func TestOneOwnerPerEpoch(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := fleet.NewStore()
	a, _ := newTestScheduler(t, platformtest.StoreHandler(store))
	b, _ := newTestScheduler(t, platformtest.StoreHandler(store))
	go a.discardMessages(ctx)
	first, err := a.claim(ctx)
	is.NoErr(err)
	_, err = b.claim(ctx)
	is.True(errors.Is(err, errOwned))
	is.NoErr(a.checkAndRenew(ctx, first))
	is.NoErr(store.RevokeLease(first.leaseID))
	second, err := b.claim(ctx)
	is.NoErr(err)
	is.True(second.ownership.Epoch > first.ownership.Epoch)
	is.True(errors.Is(a.checkAndRenew(ctx, first), errSuperseded))
}

// Journal writes of a superseded owner have no effect.
func TestSupersededOwnerWritesNothing(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := fleet.NewStore()
	a, _ := newTestScheduler(t, platformtest.StoreHandler(store))
	b, _ := newTestScheduler(t, platformtest.StoreHandler(store))
	first, err := a.claim(ctx)
	is.NoErr(err)
	is.NoErr(store.RevokeLease(first.leaseID))
	_, err = b.claim(ctx)
	is.NoErr(err)
	w := job.Writes{Finals: []job.Final{{ID: testID, State: job.Done}}}
	position := job.JournalPosition{Epoch: first.ownership.Epoch, Number: 1}
	_, items, err := a.store.Commit(ctx, newTransaction(&w, position, first.journalRevision))
	is.True(err != nil)
	_, err = resolveConflict(items, position, first.journalRevision)
	is.True(errors.Is(err, errSuperseded))
	_, _, err = store.Get(job.FinalKey(testID))
	is.True(err != nil)
}

// discardMessages stands in for the control goroutine: it handles the start of
// ownership checks and discards all other messages.
func (s *Scheduler) discardMessages(ctx context.Context) {
	for {
		select {
		case x := <-s.messages:
			if v, ok := x.(ownershipCheckStarted); ok {
				close(v.handled)
			}
		case <-ctx.Done():
			return
		}
	}
}
