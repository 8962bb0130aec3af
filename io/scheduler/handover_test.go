package scheduler

import (
	"encoding/json"
	"testing"
	"time"

	"rosemarygap/core/job"
	"rosemarygap/io/standin/fleet"
	"rosemarygap/platform/platformtest"

	"github.com/matryer/is"
)

// A notice must wait for an ownership check that began after it arrived: an owner that has
// been replaced would start a job that its successor starts.
func TestNoticeWaitsForOwnershipCheck(t *testing.T) {
	is := is.New(t)
	c := newTestControl(t)
	began := time.Now().Add(-time.Millisecond)
	n := notice{ID: testID, Revision: 20, receivedAt: time.Now(),
		Job: json.RawMessage(mustJSON(job.Job{ID: testID, Steps: []job.Step{{Tasks: 1}}}))}
	c.handleMessage(n)
	is.Equal(len(c.s.ownershipCheckRequests), 1)
	c.handleMessage(ownershipConfirmed{began}) // began before the notice arrived
	is.Equal(c.cell.Len(), 0)
	c.endSession(ownershipLost{c.session, errSuperseded})
	c.handleMessage(ownershipConfirmed{time.Now().Add(time.Second)})
	is.True(c.cell == nil && len(c.notices) == 0)

	c = newTestControl(t)
	c.handleMessage(n)
	c.handleMessage(ownershipConfirmed{time.Now()})
	is.Equal(c.cell.Len(), 1)
}

// A resignation that another entry carries out late must not end the lease of the
// successor.
func TestLateResignationSparesSuccessor(t *testing.T) {
	is := is.New(t)
	store := fleet.NewStore()
	a, _ := newTestScheduler(t, platformtest.StoreHandler(store))
	b, _ := newTestScheduler(t, platformtest.StoreHandler(store))
	first, err := a.claim(t.Context())
	is.NoErr(err)
	is.NoErr(store.RevokeLease(first.leaseID))
	_, err = b.claim(t.Context())
	is.NoErr(err)
	_, err = b.carryOut(t.Context(), &relayRequest{Resign: first.ownerRevision})
	is.NoErr(err)
	_, _, err = store.Get(job.KeyOwnerLease)
	is.NoErr(err)
}
