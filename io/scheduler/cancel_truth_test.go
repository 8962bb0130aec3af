package scheduler

import (
	"context"
	"net/http"
	"testing"
	"time"

	"rosemarygap/core/job"
	"rosemarygap/io/standin/fleet"
	"rosemarygap/platform/platformtest"

	"github.com/matryer/is"
)

// The cancellation of a job that has ended must be answered with its true state, also
// when it repeats one whose answer was lost: the job ran.
func TestCancellationOfEndedJobTellsItsState(t *testing.T) {
	is := is.New(t)
	store := fleet.NewStore()
	store.Put(job.FinalKey(testID), mustJSON(job.Final{ID: testID, State: job.Done}))
	s, h := newTestScheduler(t, platformtest.StoreHandler(store))
	for range 2 {
		w := send(h, http.MethodDelete, "/jobs/"+testID, "")
		is.Equal(w.Code, http.StatusOK)
		is.Equal(w.Body.String(), `{"state":"done"}`)
		s.mirror.recordFinal(testID, job.Done)
	}
}

// A cancellation that was acknowledged while the owner wrote the end of the job must
// not be followed by another final state: its caller was told that the job is cancelled.
func TestAcknowledgedCancellationIsFinal(t *testing.T) {
	is := is.New(t)
	store := fleet.NewStore()
	s, h := newTestScheduler(t, platformtest.StoreHandler(store))
	session, err := s.claim(t.Context())
	is.NoErr(err)
	is.Equal(send(h, http.MethodPost, "/jobs/"+testID, testBody).Code, http.StatusOK)
	items, revision, err := listAll(t.Context(), s.store, job.KeyRoot)
	is.NoErr(err)
	c := newControl(s)
	c.session = session
	c.startSession(loadedState{session: session, items: items, revision: revision, began: time.Now()})
	c.runOnlyTask(t)

	is.Equal(send(h, http.MethodDelete, "/jobs/"+testID, "").Body.String(), `{"state":"cancelled"}`)
	for range 10 {
		c.commitOnce(t)
	}
	i, _, err := store.Get(job.FinalKey(testID))
	is.NoErr(err)
	f, err := decodeFinal(i)
	is.NoErr(err)
	is.Equal(f.State, job.Cancelled)
}

// runOnlyTask reports a worker that runs the only task of the cell to its end.
func (c *control) runOnlyTask(t *testing.T) {
	t.Helper()
	w := job.Worker{ID: "i", Incarnation: 1, Service: "svc", Capacity: job.Resources{Processors: 1000, Memory: 1000}}
	r := job.Report{Agent: "agent", Process: 1, Epoch: c.cell.Epoch(), Listed: true, Clock: time.Second, Worker: &w}
	var orders []job.Order
	for n := 0; len(orders) == 0 && n < 10; n++ {
		now := time.Now()
		c.cell.Receive(&r, now)
		c.cell.BeginOwnershipCheck()
		c.cell.ConfirmOwnership(now)
		c.cell.Tick(now)
		c.commitOnce(t)
		orders = c.cell.Reply(&r, now).Orders
	}
	if len(orders) != 1 {
		t.Fatalf("orders %v, want one start", orders)
	}
	r.Applied, r.Clock = orders[0].Sequence, 2*time.Second
	r.Ended = []job.End{{Number: 1, Task: orders[0].Task, Run: orders[0].Run, Outcome: job.EndDone}}
	c.cell.Receive(&r, time.Now())
}

// commitOnce makes one write of the journal, if one is due, and handles its outcome.
func (c *control) commitOnce(t *testing.T) {
	c.commitRetryAt = time.Time{}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if c.startCommit(ctx, time.Now()); c.committing {
		c.handleCommitResult(<-c.commitResults)
	}
}
