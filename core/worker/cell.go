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

// Timings are the periods of a cell's leases.
type Timings struct {
	// Grant is how long a lease lasts from the worker's report.
	Grant time.Duration
	// Hold is how long workers run on while the store cannot be reached.
	Hold time.Duration
}

// driftDivisor gives the share of an interval by which two clocks may differ,
// each of which runs up to 1% fast or slow: 1.01/0.99 is less than 1 + 1/48.
const driftDivisor = 48

// drift returns d lengthened by the allowed difference of clocks.
func drift(d time.Duration) time.Duration { return d + d/driftDivisor }

// workerRow is a worker VM as the owner knows it.
type workerRow struct {
	id, zone, rack string
	address        netip.AddrPort
	// vm is where the newest report came from.
	vm       netip.Addr
	capacity Resources
	used     Resources
	tasks    map[string]bool

	// report is the newest report in this epoch; received is its arrival.
	report   *Report
	received time.Time
	// verified is the newest stamp received before the latest proof that
	// the owner still owns the cell.
	verified  Stamp
	candidate Stamp
	// bound is when every lease of the worker has certainly ended.
	bound time.Time
	// priorBound is when every lease of earlier incarnations on other VMs
	// has certainly ended.
	priorBound time.Time
	seq        int64
	sent       time.Time
	lost       bool
	health     Health
	// listed is the newest list of tasks that was sent, by message listedSeq.
	listed    []DesiredTask
	listedSeq int64
	// excess is what tasks were measured to use beyond their reservation.
	excess Resources
	// changed is true if a throttle or stop was decided since the last lease.
	changed bool
	// announced is the time of the latest announcement, misses the number
	// of messages without an answer since the newest report.
	announced time.Time
	misses    int
}

func newWorkerRow(id string) workerRow {
	return workerRow{id: id, tasks: make(map[string]bool)}
}

// Cell holds the tables of one cell.
type Cell struct {
	id       int
	epoch    int64
	timings  Timings
	jobs     *table.Table[string, JobRow]
	workers  *table.Table[string, workerRow]
	incoming []Record
	pending  map[string]*Job
	// ending holds the jobs whose attempt is about to be recorded as ended.
	ending map[string]bool
	// drained names the workers that operators drain; draining also has
	// those that are on probation at the time of the plan.
	drained  []string
	draining map[string]bool
	classes  map[string]bool
	// wait is the durable wait of a successor for unreachable workers.
	wait time.Duration
	// target are the configured periods; timings those that are covered by
	// wait. lowerAt is when wait may be lowered to target.
	target  Timings
	lowerAt time.Time
	opened  time.Time
	placer
	// lastVerified is the owner's time of the latest proof of ownership.
	lastVerified time.Time
	// newest is the epoch of the newest ownership in the journal, prior that
	// of the one before this ownership.
	newest, prior int64
	// earliest is when leases granted by earlier owners have certainly ended.
	earliest time.Time
}

// NewCell returns the empty cell id.
func NewCell(id int, t Timings) *Cell {
	return &Cell{
		id:      id,
		timings: t,
		target:  t,
		jobs:    table.New[string, JobRow](),
		workers: table.New[string, workerRow](),
		pending: make(map[string]*Job),
		ending:  make(map[string]bool),
		placer:  newPlacer(),
	}
}

// Saved is the durable part of a cell.
type Snapshot struct {
	Jobs    []JobRow      `json:"jobs,omitempty"`
	Workers []Health      `json:"workers,omitempty"`
	Wait    wire.Duration `json:"wait,omitzero"`
	// Epoch is that of the newest ownership.
	Epoch int64 `json:"epoch,omitempty"`
	// Transfers are the parts of quotas given and taken, in total.
	Transfers []QuotaTransfer `json:"transfers,omitempty"`
}

// Save returns the durable part of the cell.
func (c *Cell) Snapshot() Snapshot {
	s := Snapshot{Jobs: make([]JobRow, 0, c.jobs.Len()), Wait: wire.Duration(c.wait),
		Epoch: c.newest, Transfers: c.savedTransfers()}
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

// Load adds a saved state, or a part of one, to the cell.
func (c *Cell) Load(s Snapshot) {
	c.wait = max(c.wait, s.Wait.Std())
	c.newest = max(c.newest, s.Epoch)
	for _, h := range s.Workers {
		c.worker(h.Worker).health = h
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

// worker returns the row of a worker, which may be new.
func (c *Cell) worker(id string) *workerRow {
	w := c.workers.Get(id)
	if w == nil {
		w = c.workers.Put(id, newWorkerRow(id))
		w.bound = c.earliest
		w.priorBound = c.earliest
	}
	return w
}

// OpenRecord returns the record that opens an epoch on the loaded state.
func (c *Cell) OpeningRecord(now time.Time) Record {
	return Record{Kind: KindOpened, At: now, Wait: wire.Duration(max(c.wait, c.target.wait()))}
}

// Open starts an ownership with the given epoch, after the state and the
// opening record were applied. Workers that earlier owners may have granted
// leases to are waited for from now.
func (c *Cell) Open(epoch int64, now time.Time) {
	c.epoch = epoch
	c.opened = now
	c.timings = c.target
	c.lastVerified = now
	c.earliest = now.Add(drift(c.wait))
	c.lowerAt = c.earliest
	for _, w := range c.workers.All {
		w.bound = c.earliest
		w.priorBound = c.earliest
	}
}

// Inherit takes over what the same process knows of leases from its previous
// ownership of the cell, which sends nothing any more. Without it a lapse of
// the registration in an outage would cost the wait of a new owner for each
// worker that cannot be reached. It does nothing if another owner came between.
func (c *Cell) InheritLeaseBounds(old *Cell) {
	if c.prior != old.epoch {
		return
	}
	c.earliest = old.earliest
	for _, w := range c.workers.All {
		w.bound, w.priorBound = old.earliest, old.earliest
	}
	for id, w := range old.workers.All {
		n := c.worker(id)
		n.bound, n.priorBound = w.bound, w.priorBound
	}
}

// Epoch returns the epoch of this ownership.
func (c *Cell) Epoch() int64 { return c.epoch }

// wait returns how long a new owner waits for leases with these periods.
func (t Timings) wait() time.Duration { return t.Hold + t.Grant }

// SetTimings changes the periods of later leases. Longer ones count once
// their wait is durable.
func (c *Cell) SetTimings(t Timings, now time.Time) {
	if t == c.target {
		return
	}
	c.target = t
	c.lowerAt = now.Add(drift(c.wait))
	if t.wait() <= c.wait {
		c.timings = t
	}
}

// SetClasses tells which batch classes are urgent.
func (c *Cell) SetClasses(urgent map[string]bool) {
	c.classes = urgent
	c.reindex()
}

// SetDraining names the workers that receive no further task.
func (c *Cell) SetDraining(ids []string) { c.drained = ids }

// Announce takes in the address of a worker and reports whether it is new.
func (c *Cell) RegisterWorker(id, zone, rack string, a netip.AddrPort, now time.Time) bool {
	w := c.worker(id)
	isNew := !w.address.IsValid()
	w.announced = now
	w.zone, w.rack, w.address = zone, rack, a
	return isNew
}

// Submit proposes a job. It returns true if the job is already durable, and
// status.ErrJobConflict if its id belongs to a job with other content.
func (c *Cell) Submit(j Job, now time.Time) (durable bool, err error) {
	if row := c.jobs.Get(j.ID); row != nil {
		if row.Job != j {
			return false, status.At(status.ErrJobConflict, "id", j.ID)
		}
		return true, nil
	}
	if p := c.pending[j.ID]; p != nil {
		if *p != j {
			return false, status.At(status.ErrJobConflict, "id", j.ID)
		}
		return false, nil
	}
	c.pending[j.ID] = &j
	c.incoming = append(c.incoming, Record{Kind: KindSubmitted, At: now, Job: &j})
	return false, nil
}

// Cancel proposes the cancellation of a job. It returns true if the job has
// already ended or its cancellation is durable.
func (c *Cell) Cancel(id string, now time.Time) (durable bool, err error) {
	j := c.jobs.Get(id)
	switch {
	case j == nil && c.pending[id] == nil:
		return false, status.At(status.ErrUnknownJob, "id", id)
	case j != nil && (j.Cancelling || j.State.Final()):
		return true, nil
	}
	c.incoming = append(c.incoming, Record{Kind: KindCancelling, At: now, ID: id})
	return false, nil
}

// Final reports whether a job in state s never runs again.
func (s State) Final() bool { return s == Finished || s == Cancelled }

// Committed applies records that are now durable. It proves no ownership:
// only VerifyEnd does, which knows when the proof was sought.
func (c *Cell) ApplyCommitted(rs []Record) {
	for _, r := range rs {
		c.Apply(r)
		if r.Kind == KindSubmitted {
			delete(c.pending, r.Job.ID)
		}
	}
	if c.target.wait() <= c.wait {
		c.timings = c.target
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

// Split divides a saved state into parts whose JSON form has about limit
// bytes at most. Load adds them up again.
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

// jsonSize returns the length of v's JSON form; 0 if it has none.
func jsonSize(v any) int {
	b, err := json.Marshal(v)
	if err != nil {
		return 0
	}
	return len(b)
}
