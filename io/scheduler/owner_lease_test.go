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
)

// An entry that reads other changes in batches notices at once that the owner has
// resigned and that another entry has become the owner. A change that the mirror
// reads later does not revert that.
func TestOwnerLeaseIsFollowedAtOnce(t *testing.T) {
	is := is.New(t)
	store := fleet.NewStore()
	s, _ := newTestScheduler(t, platformtest.StoreHandler(store))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.mirror.followOwnerLease(ctx) }()
	await := func(epoch int64, alive bool) {
		t.Helper()
		for deadline := time.Now().Add(followerWatchPause / 4); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
			if o, a := s.mirror.ownership(); o.Epoch == epoch && a == alive {
				return
			}
		}
		o, a := s.mirror.ownership()
		t.Fatalf("epoch %d, alive %t, want %d, %t", o.Epoch, a, epoch, alive)
	}
	time.Sleep(20 * time.Millisecond)
	store.Put(job.KeyOwnerLease, mustJSON(job.Ownership{Epoch: 1}))
	await(1, true)
	old, _, err := store.Get(job.KeyOwnerLease)
	is.NoErr(err)
	_, _, err = store.Commit(platform.Transaction{Deletes: []string{job.KeyOwnerLease}})
	is.NoErr(err)
	await(1, false)
	store.Put(job.KeyOwnerLease, mustJSON(job.Ownership{Epoch: 2}))
	await(2, true)

	old.Removed = true
	is.NoErr(s.mirror.update(job.KeyKindOwnerLease, "", old))
	await(2, true)
	cancel()
	is.NoErr(<-done)
}
