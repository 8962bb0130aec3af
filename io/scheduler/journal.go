package scheduler

import (
	"context"
	"encoding/json"
	"time"

	"rosemarygap/core/job"
	"rosemarygap/platform"

	"github.com/pkg/errors"
)

// startCommit starts the next write of the journal, unless one is in progress
// or nothing has changed.
func (c *control) startCommit(ctx context.Context, now time.Time) {
	if c.committing || now.Before(c.commitRetryAt) {
		return
	}
	// The transaction also contains one condition and one write of the journal's
	// key.
	w := c.cell.PendingWrites(now, platform.MaxTransactionSize-2)
	if w.Empty() {
		return
	}
	c.committing = true
	c.journalNumber++
	position := job.JournalPosition{Epoch: c.cell.Epoch(), Number: c.journalNumber}
	session := c.session
	txn := newTransaction(&w, position, session.journalRevision)
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, commitTimeout)
		defer cancel()
		began := time.Now()
		revision, items, err := c.s.store.Commit(callCtx, txn)
		commitSeconds.Update(time.Since(began).Seconds())
		result := commitResult{session: session, writes: &w, position: position, journalRevision: revision, err: err}
		if errors.Is(err, platform.ErrConflict) {
			result.journalRevision, result.err = resolveConflict(items, position, session.journalRevision)
			result.cancelled = cancelledIn(items)
		}
		select {
		case c.commitResults <- result:
		case <-ctx.Done():
		}
	}()
}

// errNotWritten means that a write is not in the journal and can no longer take
// effect, because the revision that it requires is gone.
var errNotWritten = errors.New("an earlier write took effect instead")

// resolveConflict returns the outcome of a write at position whose condition
// failed. The items are those that the store returned with the conflict. If
// the last write of the journal is of the same epoch, the result is the
// journal's revision and errNotWritten, and otherwise errSuperseded.
// If the items have no journal, only a cancellation can have prevented the write, and the
// journal still has the required revision.
func resolveConflict(items []platform.Item, position job.JournalPosition, required int64) (int64, error) {
	for _, i := range items {
		var current job.JournalPosition
		if i.Key != job.KeyJournal || json.Unmarshal(i.Value, &current) != nil {
			continue
		}
		if current.Epoch != position.Epoch {
			return 0, errSuperseded
		}
		// An earlier write without an answer has taken effect. Later writes
		// can use its revision as their condition.
		return i.Revision, errNotWritten
	}
	if len(cancelledIn(items)) > 0 {
		return required, errNotWritten
	}
	return 0, errSuperseded
}

// cancelledIn returns the IDs of the jobs whose cancellation is among the items that the
// store returned with a conflict.
func cancelledIn(items []platform.Item) []string {
	var ids []string
	for _, i := range items {
		if kind, id := job.ParseKey(i.Key); kind == job.KeyKindCancelled && i.Revision != 0 && !i.Removed {
			ids = append(ids, id)
		}
	}
	return ids
}

// newTransaction returns the transaction that makes w durable.
func newTransaction(w *job.Writes, position job.JournalPosition, journalRevision int64) platform.Transaction {
	txn := platform.Transaction{
		Conditions: []platform.Condition{{Key: job.KeyJournal, Revision: journalRevision}},
		Writes:     []platform.Write{{Key: job.KeyJournal, Value: mustJSON(position)}},
	}
	for id, p := range w.Progress {
		txn.Writes = append(txn.Writes, platform.Write{Key: job.ProgressKey(id), Value: mustJSON(p)})
	}
	for _, f := range w.Finals {
		txn.Writes = append(txn.Writes, platform.Write{Key: job.FinalKey(f.ID), Value: mustJSON(f)})
		txn.Deletes = append(txn.Deletes, job.JobKey(f.ID), job.ProgressKey(f.ID), job.CancelledKey(f.ID))
		if f.State != job.Cancelled {
			// A cancellation that was acknowledged is final.
			txn.Conditions = append(txn.Conditions, platform.Condition{Key: job.CancelledKey(f.ID)})
		}
	}
	if w.Learned != nil {
		txn.Writes = append(txn.Writes, platform.Write{Key: job.KeyLearned, Value: mustJSON(w.Learned)})
	}
	for _, a := range w.AddedAgents {
		txn.Writes = append(txn.Writes, platform.Write{Key: job.AgentKey(a), Value: []byte("{}")})
	}
	for _, a := range w.RemovedAgents {
		txn.Deletes = append(txn.Deletes, job.AgentKey(a))
	}
	return txn
}

// handleCommitResult handles the outcome of a write of the journal.
func (c *control) handleCommitResult(result commitResult) {
	if c.session != result.session || c.cell == nil {
		return
	}
	c.committing = false
	c.s.mirror.storeHealth.Observe(ignoreOwnershipConflict(ignoreJournalConflict(result.err)))
	switch {
	case result.err == nil:
		c.session.journalRevision = result.journalRevision
		c.cell.Committed(result.writes)
		return
	case errors.Is(result.err, errSuperseded):
		c.s.signalSuperseded()
	case errors.Is(result.err, errNotWritten):
		c.session.journalRevision = result.journalRevision
	default:
		journalWriteFailures.Inc()
		c.commitRetryAt = time.Now().Add(commitRetryPause)
	}
	c.cell.Abandoned(result.writes)
	for _, id := range result.cancelled {
		c.cell.Cancel(id, time.Now())
	}
}

// ignoreJournalConflict returns nil for errors that mean that the store
// answered but the journal has changed. It returns other errors unchanged.
func ignoreJournalConflict(err error) error {
	if errors.Is(err, errNotWritten) || errors.Is(err, errSuperseded) {
		return nil
	}
	return err
}
