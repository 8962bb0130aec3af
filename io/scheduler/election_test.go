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

// Of entries that claim the ownership one gets it; the next one has a higher
// epoch, and the deposed one finds that out before it grants leases again.
func TestOneOwnerAnEpoch(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := fleet.NewStore()
	a, _ := entryOf(t, platformtest.StoreHandler(store))
	b, _ := entryOf(t, platformtest.StoreHandler(store))
	go a.drainNews(ctx)
	first, err := a.claim(ctx)
	is.NoErr(err)
	_, err = b.claim(ctx)
	is.True(errors.Is(err, errNotFree))
	is.NoErr(a.keepOnce(ctx, first))
	is.NoErr(store.RevokeLease(first.lease))
	second, err := b.claim(ctx)
	is.NoErr(err)
	is.True(second.ownership.Epoch > first.ownership.Epoch)
	is.True(errors.Is(a.keepOnce(ctx, first), errDeposed))
}

// The writes of a deposed owner's journal take no effect.
func TestDeposedOwnerWritesNothing(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := fleet.NewStore()
	a, _ := entryOf(t, platformtest.StoreHandler(store))
	b, _ := entryOf(t, platformtest.StoreHandler(store))
	first, err := a.claim(ctx)
	is.NoErr(err)
	is.NoErr(store.RevokeLease(first.lease))
	_, err = b.claim(ctx)
	is.NoErr(err)
	w := job.Writes{Finals: []job.Final{{ID: testID, State: job.Done}}}
	mark := job.JournalPosition{Epoch: first.ownership.Epoch, Number: 1}
	_, now, err := a.store.Commit(ctx, commitOf(&w, mark, first.journal))
	is.True(err != nil)
	_, err = journalNow(now, mark)
	is.True(errors.Is(err, errDeposed))
	_, _, err = store.Get(job.FinalKey(testID))
	is.True(err != nil)
}

// drainNews takes the control goroutine's place.
func (s *Scheduler) drainNews(ctx context.Context) {
	for {
		select {
		case x := <-s.news:
			if v, ok := x.(verifying); ok {
				close(v.taken)
			}
		case <-ctx.Done():
			return
		}
	}
}
