package worker

import (
	"encoding/json"
	"net/netip"
	"slices"
	"strings"
	"time"

	"rosemarygap/core/status"
	"rosemarygap/core/table"
	"rosemarygap/core/wire"
)

// Timings holds the durations that govern a cell's leases.
type Timings struct {
	// Grant is the duration of a lease, counted from the worker's report.
	Grant time.Duration
	// Hold is how long workers keep running tasks while the owner cannot verify
	// its ownership because the platform's store is unreachable.
	Hold time.Duration
}

// driftDivisor is the inverse of the fraction of an interval by which two
// clocks may differ if each of them is at most 1% fast or slow: 1.01/0.99 is
// less than 1 + 1/48.
const driftDivisor = 48

// withDrift returns d extended by the maximum drift between two clocks.
func withDrift(d time.Duration) time.Duration { return d + d/driftDivisor }

// workerRow is the owner's state of one worker VM.
type workerRow struct {
	id, zone, rack string
	address        netip.AddrPort
	// vmAddress is the address of the VM that sent the newest report.
	vmAddress netip.Addr
	capacity  Resources
	// tasks is the set of ids of the jobs that run on the worker, and reserved
	// the capacity that these jobs reserve.
	reserved Resources
	tasks    map[string]bool

	// report is the newest report of this epoch, and lastReceived its time
	// of arrival. formerReport is the last one of the incarnation before: attempts
	// that it lists as ended may not have been planned yet.
	report       *Report
	formerReport *Report
	lastReceived time.Time
	// verifiedStamp is the newest stamp received before the latest successful
	// verification of ownership began, and pendingStamp the newest one before
	// the verification that is in progress.
	verifiedStamp Stamp
	pendingStamp  Stamp
	// leaseBound is the time by which all leases of the worker have certainly
	// ended.
	leaseBound time.Time
	// priorLeaseBound is the time by which all leases of earlier incarnations
	// on other VMs have certainly ended.
	priorLeaseBound time.Time
	seq             int64
	lastSent        time.Time
	// lost is true if all leases of the worker had expired at the latest plan
	// and no report was received since.
	lost   bool
	health Health
	// sentTasks is the newest task list that was sent, in the message with
	// the Seq sentTasksSeq.
	sentTasks    []DesiredTask
	sentTasksSeq int64
	// excess is the measured usage of tasks beyond their reserved capacity.
	excess Resources
	// changed is true if a throttle or a stop was decided since the last Lease
	// message.
	changed bool
	// lastAnnounced is the time of the latest announcement by the worker, and
	// unanswered the number of messages without a response since the newest
	// report.
	lastAnnounced time.Time
	unanswered    int
}

func newWorkerRow(id string) workerRow {
	return workerRow{id: id, tasks: make(map[string]bool)}
}

// Cell is the scheduler state of one cell: its jobs, workers and quotas.
type Cell struct {
	id      int
	epoch   int64
	timings Timings
	jobs    *table.Table[string, JobRow]
	workers *table.Table[string, workerRow]
	// proposed are the records of proposals since the latest plan, and
	// pendingJobs the submitted jobs that are not durable yet.
	proposed    []Record
	pendingJobs map[string]*Job
	// ending holds the jobs for which a planned record ends the attempt.
	ending map[string]bool
	// drainingIDs lists the workers that operators drain. closedWorkers also
	// contains the workers that were on probation at the latest plan.
	drainingIDs   []string
	closedWorkers map[string]bool
	urgentClasses map[string]bool
	// takeoverWait is how long the next owner waits for unreachable workers, as
	// the journal records it.
	takeoverWait time.Duration
	// targetTimings are the configured timings, and timings those in force.
	// targetTimings come into force once takeoverWait is long enough for the
	// leases that they grant. lowerWaitAt is the time from which takeoverWait
	// may be lowered to what targetTimings require.
	targetTimings Timings
	lowerWaitAt   time.Time
	openedAt      time.Time
	placementState
	// lastVerified is the time, on the owner's clock, at which the latest
	// successful verification of ownership began.
	lastVerified time.Time
	// newestEpoch is the epoch of the newest ownership in the journal, and
	// precedingEpoch that of the ownership before this one.
	newestEpoch, precedingEpoch int64
	// inheritedLeaseBound is the time by which all leases granted by earlier
	// owners have certainly ended.
	inheritedLeaseBound time.Time
}

// NewCell returns an empty cell with the given id.
func NewCell(id int, t Timings) *Cell {
	return &Cell{
		id:             id,
		timings:        t,
		targetTimings:  t,
		jobs:           table.New[string, JobRow](),
		workers:        table.New[string, workerRow](),
		pendingJobs:    make(map[string]*Job),
		ending:         make(map[string]bool),
		placementState: newPlacementState(),
	}
}

// Snapshot is the durable state of a cell.
type Snapshot struct {
	Jobs    []JobRow `json:"jobs,omitempty"`
	Workers []Health `json:"workers,omitempty"`
	// Wait is how long the next owner waits for unreachable workers.
	Wait wire.Duration `json:"wait,omitzero"`
	// Epoch is the epoch of the newest ownership.
	Epoch int64 `json:"epoch,omitempty"`
	// Transfers are the totals of quota lent to and borrowed from other cells.
	Transfers []QuotaTransfer `json:"transfers,omitempty"`
}

// Snapshot returns the durable state of the cell.
func (c *Cell) Snapshot() Snapshot {
	s := Snapshot{Jobs: make([]JobRow, 0, c.jobs.Len()), Wait: wire.Duration(c.takeoverWait),
		Epoch: c.newestEpoch, Transfers: c.savedTransfers()}
	for _, j := range c.jobs.All {
		s.Jobs = append(s.Jobs, *j)
	}
	for _, w := range c.workers.All {
		if h := w.health; h.Proven || len(h.Failed) > 0 {
			h.Worker = w.id
			h.Failed = slices.Clone(h.Failed)
			s.Workers = append(s.Workers, h)
		}
	}
	return s
}

// Load adds a snapshot, or a part of one, to the cell.
func (c *Cell) Load(s Snapshot) {
	c.takeoverWait = max(c.takeoverWait, s.Wait.Std())
	c.newestEpoch = max(c.newestEpoch, s.Epoch)
	for _, h := range s.Workers {
		c.ensureWorker(h.Worker).health = h
	}
	for _, j := range s.Jobs {
		row := c.jobs.Put(j.ID, j)
		if row.State == Running {
			c.reserve(row)
		}
		c.indexRow(row)
	}
	for _, t := range s.Transfers {
		c.applyTransfer(t)
	}
}

// ensureWorker returns the row of a worker and adds the row if there is none.
func (c *Cell) ensureWorker(id string) *workerRow {
	w := c.workers.Get(id)
	if w == nil {
		w = c.workers.Put(id, newWorkerRow(id))
		w.leaseBound = c.inheritedLeaseBound
		w.priorLeaseBound = c.inheritedLeaseBound
	}
	return w
}

// OpeningRecord returns the record that opens an epoch on the loaded state.
func (c *Cell) OpeningRecord(now time.Time) Record {
	return Record{Kind: KindOpened, At: now, Wait: wire.Duration(max(c.takeoverWait, c.targetTimings.takeoverWait()))}
}

// Open starts an ownership with the given epoch. It is called after the loaded
// state and the opening record were applied. From now on, the cell waits for
// the end of the leases that earlier owners may have granted.
func (c *Cell) Open(epoch int64, now time.Time) {
	c.epoch = epoch
	c.openedAt = now
	c.timings = c.targetTimings
	c.lastVerified = now
	c.inheritedLeaseBound = now.Add(withDrift(c.takeoverWait))
	c.lowerWaitAt = c.inheritedLeaseBound
	for _, w := range c.workers.All {
		w.leaseBound = c.inheritedLeaseBound
		w.priorLeaseBound = c.inheritedLeaseBound
	}
}

// InheritLeaseBounds copies the lease bounds from old, the previous ownership of
// the cell by the same process. The previous ownership must no longer send
// messages. Without its bounds, a process whose registration in the platform's
// store expires during an outage would wait, as a new owner does, for each
// unreachable worker.
// InheritLeaseBounds does nothing if another owner held the cell in between.
func (c *Cell) InheritLeaseBounds(old *Cell) {
	if c.precedingEpoch != old.epoch {
		return
	}
	c.inheritedLeaseBound = old.inheritedLeaseBound
	for _, w := range c.workers.All {
		w.leaseBound, w.priorLeaseBound = old.inheritedLeaseBound, old.inheritedLeaseBound
	}
	for id, w := range old.workers.All {
		n := c.ensureWorker(id)
		n.leaseBound, n.priorLeaseBound = w.leaseBound, w.priorLeaseBound
	}
}

// Epoch returns the epoch of this ownership.
func (c *Cell) Epoch() int64 { return c.epoch }

// takeoverWait returns how long a new owner waits for leases granted with these
// timings.
func (t Timings) takeoverWait() time.Duration { return t.Hold + t.Grant }

// SetTimings changes the timings of future leases. Timings with a longer
// takeover wait take effect once that wait is durable.
func (c *Cell) SetTimings(t Timings, now time.Time) {
	if t == c.targetTimings {
		return
	}
	c.targetTimings = t
	c.lowerWaitAt = now.Add(withDrift(c.takeoverWait))
	if t.takeoverWait() <= c.takeoverWait {
		c.timings = t
	}
}

// SetClasses sets the batch classes, and for each of them whether it is urgent.
func (c *Cell) SetClasses(urgent map[string]bool) {
	c.urgentClasses = urgent
	c.reindex()
}

// SetDraining sets the workers that receive no further tasks.
func (c *Cell) SetDraining(ids []string) { c.drainingIDs = ids }

// RegisterWorker records the announced zone, rack and address of a worker, and
// reports whether the worker had no address before.
func (c *Cell) RegisterWorker(id, zone, rack string, a netip.AddrPort, now time.Time) bool {
	w := c.ensureWorker(id)
	isNew := !w.address.IsValid()
	w.lastAnnounced = now
	w.zone, w.rack, w.address = zone, rack, a
	return isNew
}

// Submit proposes a job. It returns true if the job is already durable, and
// status.ErrJobConflict if a job with the same id and other content exists.
func (c *Cell) Submit(j Job, now time.Time) (durable bool, err error) {
	if row := c.jobs.Get(j.ID); row != nil {
		if row.Job != j {
			return false, status.At(status.ErrJobConflict, "id", j.ID)
		}
		return true, nil
	}
	if p := c.pendingJobs[j.ID]; p != nil {
		if *p != j {
			return false, status.At(status.ErrJobConflict, "id", j.ID)
		}
		return false, nil
	}
	c.pendingJobs[j.ID] = &j
	c.proposed = append(c.proposed, Record{Kind: KindSubmitted, At: now, Job: &j})
	return false, nil
}

// Cancel proposes the cancellation of a job. It returns true if the job has
// already ended or its cancellation is durable.
func (c *Cell) Cancel(id string, now time.Time) (durable bool, err error) {
	j := c.jobs.Get(id)
	switch {
	case j == nil && c.pendingJobs[id] == nil:
		return false, status.At(status.ErrUnknownJob, "id", id)
	case j != nil && (j.Cancelling || j.State.Final()):
		return true, nil
	}
	c.proposed = append(c.proposed, Record{Kind: KindCancelling, At: now, ID: id})
	return false, nil
}

// Final reports whether a job in state s never runs again.
func (s State) Final() bool { return s == Finished || s == Cancelled }

// ApplyCommitted applies records that are now durable. It does not count as a
// verification of ownership: only VerifyEnd does, because it knows when the
// verification began.
func (c *Cell) ApplyCommitted(rs []Record) {
	for _, r := range rs {
		c.Apply(r)
		if r.Kind == KindSubmitted {
			delete(c.pendingJobs, r.Job.ID)
		}
	}
	if c.targetTimings.takeoverWait() <= c.takeoverWait {
		c.timings = c.targetTimings
	}
}

// Job returns the row of a job, or nil. The caller must not change it.
func (c *Cell) Job(id string) *JobRow { return c.jobs.Get(id) }

// Jobs returns the rows of all jobs, sorted by id.
func (c *Cell) Jobs() []JobRow {
	out := c.Snapshot().Jobs
	slices.SortFunc(out, func(a, b JobRow) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Split divides the jobs of a snapshot into parts whose JSON encoding has at most
// about limit bytes each. The first part also contains everything else, whatever
// its size. Loading all parts restores the whole state.
func (s Snapshot) Split(limit int) []Snapshot {
	parts := []Snapshot{{Workers: s.Workers, Wait: s.Wait, Epoch: s.Epoch, Transfers: s.Transfers}}
	size := jsonSize(parts[0])
	for _, j := range s.Jobs {
		n := jsonSize(j)
		if size+n > limit {
			parts = append(parts, Snapshot{})
			size = 0
		}
		size += n + 1
		last := &parts[len(parts)-1]
		last.Jobs = append(last.Jobs, j)
	}
	return parts
}

// jsonSize returns the length of the JSON encoding of v in bytes, or 0 if v
// cannot be encoded.
func jsonSize(v any) int {
	b, err := json.Marshal(v)
	if err != nil {
		return 0
	}
	return len(b)
}
