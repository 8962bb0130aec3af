package entry

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"rosemarygap/core/event"
	"rosemarygap/core/peer"
	coreplatform "rosemarygap/core/platform"
	"rosemarygap/core/status"
	"rosemarygap/core/worker"
	"rosemarygap/io/platform"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// Periods of the competition for cells without an owner.
const (
	// othersWait is how long an entry leaves a cell to the preferred one.
	othersWait = 2 * time.Second
	// acquireRetry is the delay after a failed try.
	acquireRetry = time.Second
)

type journal = platform.Journal[worker.Record, worker.Saved]

type batch = coreplatform.Batch[worker.Record]

// cellRun is a cell that this entry owns or is about to own.
type cellRun struct {
	id      int
	cell    *worker.Cell
	journal *journal
	// owned is true once the epoch was opened in the journal.
	owned bool
	// free is when the cell was first seen without an owner.
	free    time.Time
	retry   time.Time
	busy    bool
	planned []worker.Record
	batch   batch
	waiting map[string][]chan<- error
	sending map[string]bool
}

// acquired is the result of a try to own a cell.
type acquired struct {
	id       int
	epoch    int64
	journal  *journal
	contents platform.Contents[worker.Record, worker.Saved]
	err      error
}

func (c *control) tickOwnership(ctx context.Context, now time.Time) {
	if c.config == nil || c.registration.lease == "" || c.stopping {
		return
	}
	for id := range c.config.Document.Cells {
		if o := c.owners.Get(id); o != nil && o.Entry != c.self.ID {
			continue
		}
		run := c.cells.Get(id)
		if run == nil {
			run = c.newRun(id, now)
		}
		if run.owned || run.busy || now.Before(run.retry) || !c.mayAcquire(run, now) {
			continue
		}
		run.busy = true
		c.acquire(ctx, id)
	}
}

func (c *control) newRun(id int, now time.Time) *cellRun {
	run := c.cells.Put(id, cellRun{id: id, free: now})
	run.cell = worker.NewCell(id, worker.Timings{})
	c.configureCell(run.cell)
	run.waiting = make(map[string][]chan<- error)
	run.sending = make(map[string]bool)
	return run
}

// mayAcquire lets the preferred entry try first.
func (c *control) mayAcquire(run *cellRun, now time.Time) bool {
	ids := make([]string, 0, c.members.Len())
	for id := range c.members.All {
		ids = append(ids, id)
	}
	if peer.Preferred("cell/"+strconv.Itoa(run.id), ids) == c.self.ID {
		return true
	}
	return now.Sub(run.free) > othersWait
}

func (c *control) acquire(ctx context.Context, id int) {
	owner := coreplatform.Owner{Entry: c.self.ID, Address: c.self.Address.String()}
	lease := c.registration.lease
	c.start(ctx, func(ctx context.Context) message {
		m := acquired{id: id}
		m.epoch, m.err = claim(ctx, c.store, id, owner, lease)
		if m.err != nil {
			return m
		}
		m.journal = platform.NewJournal[worker.Record, worker.Saved](c.store, id)
		m.contents, m.err = openEpoch(ctx, m.journal, m.epoch, owner.Entry)
		return m
	})
}

// claim raises the epoch of a cell and binds its owner key to the lease.
func claim(ctx context.Context, s platform.Store, id int, o coreplatform.Owner, lease string) (int64, error) {
	old, err := ownClaim(ctx, s, id, o.Entry)
	if err != nil {
		return 0, err
	}
	epoch, err := raiseEpoch(ctx, s, id)
	if err != nil {
		return 0, err
	}
	o.Epoch = epoch
	v, err := json.Marshal(o)
	if err != nil {
		return 0, errors.Wrap(err, "encode owner")
	}
	_, err = s.Put(ctx, platform.Write{Key: coreplatform.OwnerKey(id), Value: v,
		Expect: old, Lease: lease})
	return epoch, err
}

// ownClaim returns the revision of an earlier claim of this entry, left by a
// lost answer, or 0 if the cell has no owner.
func ownClaim(ctx context.Context, s platform.Store, id int, self string) (int64, error) {
	e, err := s.Get(ctx, coreplatform.OwnerKey(id))
	if errors.Is(err, status.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	var o coreplatform.Owner
	if err := json.Unmarshal(e.Value, &o); err != nil {
		return 0, errors.Wrap(err, "decode owner")
	}
	if o.Entry != self {
		return 0, status.ErrStoreConflict
	}
	return e.Revision, nil
}

func raiseEpoch(ctx context.Context, s platform.Store, id int) (int64, error) {
	key := coreplatform.EpochKey(id)
	old, err := s.Get(ctx, key)
	if err != nil && !errors.Is(err, status.ErrNotFound) {
		return 0, err
	}
	var epoch int64
	if old.Revision != 0 {
		if err := json.Unmarshal(old.Value, &epoch); err != nil {
			return 0, errors.Wrap(err, "decode epoch")
		}
	}
	epoch++
	v, err := json.Marshal(epoch)
	if err != nil {
		return 0, errors.Wrap(err, "encode epoch")
	}
	_, err = s.Put(ctx, platform.Write{Key: key, Value: v, Expect: old.Revision})
	return epoch, err
}

// openTries bounds how often an append of a deposed owner may interfere.
const openTries = 5

// openEpoch reads the journal and appends the batch that shuts out all
// earlier owners.
func openEpoch(ctx context.Context, j *journal, epoch int64, owner string) (platform.Contents[worker.Record, worker.Saved], error) {
	nonce := uuid.NewString()
	for range openTries {
		contents, err := j.Read(ctx)
		if err != nil {
			return contents, err
		}
		b := batch{Epoch: epoch, Owner: owner, Nonce: nonce,
			Records: []worker.Record{{Kind: worker.KindOpened, At: time.Now()}}}
		err = j.Append(ctx, b)
		if !errors.Is(err, status.ErrStoreConflict) {
			return contents, err
		}
	}
	return platform.Contents[worker.Record, worker.Saved]{}, status.ErrStoreConflict
}

func (m acquired) handle(c *control, now time.Time) {
	run := c.cells.Get(m.id)
	c.noteStore(m.err, now)
	if run == nil {
		return
	}
	run.busy = false
	if m.err != nil {
		run.retry = now.Add(acquireRetry)
		return
	}
	run.cell.Load(m.contents.Snapshot.State)
	for _, b := range m.contents.Batches {
		for _, r := range b.Records {
			run.cell.Apply(r)
		}
	}
	run.journal = m.journal
	run.owned = true
	run.cell.Open(m.epoch, now)
	c.introduceWorkers(run)
	event.CellAcquired.Emit(c.log, event.Cell(m.id), event.Epoch(m.epoch),
		event.Sequence(m.journal.Next()))
}

// introduceWorkers tells a new cell of the workers that are known.
func (c *control) introduceWorkers(run *cellRun) {
	for id, w := range c.notices.All {
		if peer.CellOfWorker(id, c.config.Document.Cells) == run.id {
			run.cell.Announce(id, w.notice.Zone, w.notice.Rack, w.notice.Address)
		}
	}
}

// stepDown gives a cell up; its workers run on until a new owner appears.
func (c *control) stepDown(run *cellRun, reason status.Code) {
	if run.owned {
		event.CellReleased.Emit(c.log, event.Cell(run.id),
			event.Epoch(run.cell.Epoch()), event.Reason(reason))
	}
	for _, waiters := range run.waiting {
		for _, w := range waiters {
			w <- status.RetryIn(status.ErrNotOwner, acquireRetry)
		}
	}
	c.cells.Delete(run.id)
}

func (c *control) stepDownAll(reason status.Code) {
	var runs []*cellRun
	for _, run := range c.cells.All {
		runs = append(runs, run)
	}
	for _, run := range runs {
		c.stepDown(run, reason)
	}
}
