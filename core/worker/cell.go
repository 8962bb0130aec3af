package worker

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"rosemarygap/core/status"
	"rosemarygap/core/table"
)

// Timings are the periods of a cell's leases.
type Timings struct {
	// Grant is how long a lease lasts from the worker's report.
	Grant time.Duration
	// Hold is how long workers run on while the store cannot be reached.
	Hold time.Duration
}

// driftDivisor gives the share of an interval by which clocks may differ: 1%.
const driftDivisor = 100

// maxFailures parks a job that failed this often.
const maxFailures = 5

// drift returns d lengthened by the allowed difference of clocks.
func drift(d time.Duration) time.Duration { return d + d/driftDivisor*2 }

// workerRow is a worker VM as the owner knows it.
type workerRow struct {
	id, zone, rack string
	address        netip.AddrPort
	capacity       Resources
	used           Resources
	tasks          map[string]bool

	// report is the newest report in this epoch; received is its arrival.
	report   *Report
	received time.Time
	// verified is the newest stamp received before the latest proof that
	// the owner still owns the cell.
	verified  Stamp
	candidate Stamp
	// bound is when every lease of the worker has certainly ended.
	bound time.Time
	seq   int64
	sent  time.Time
	lost  bool
	// excess is what tasks were measured to use beyond their reservation.
	excess Resources
	// changed is true if a throttle or stop was decided since the last lease.
	changed bool
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
	draining map[string]bool
	classes  map[string]bool
	placer
	// lastVerified is the owner's time of the latest proof of ownership.
	lastVerified time.Time
	// earliest is when leases granted by earlier owners have certainly ended.
	earliest time.Time
}

// NewCell returns the empty cell id.
func NewCell(id int, t Timings) *Cell {
	return &Cell{
		id:      id,
		timings: t,
		jobs:    table.New[string, JobRow](),
		workers: table.New[string, workerRow](),
		pending: make(map[string]*Job),
		placer:  newPlacer(),
	}
}

// Saved is the durable part of a cell.
type Saved struct {
	Jobs []JobRow `json:"jobs"`
	// Transfers are the parts of quotas given and taken, in total.
	Transfers []Transfer `json:"transfers,omitempty"`
}

// Save returns the durable part of the cell.
func (c *Cell) Save() Saved {
	s := Saved{Jobs: make([]JobRow, 0, c.jobs.Len()), Transfers: c.savedTransfers()}
	for _, j := range c.jobs.All {
		s.Jobs = append(s.Jobs, *j)
	}
	return s
}

// Load replaces the cell's jobs by a saved state.
func (c *Cell) Load(s Saved) {
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

// Open starts an ownership with the given epoch. Workers that earlier owners
// may have granted leases to are waited for from now.
func (c *Cell) Open(epoch int64, now time.Time) {
	c.epoch = epoch
	c.lastVerified = now
	c.earliest = now.Add(drift(c.timings.Hold + c.timings.Grant))
	for _, w := range c.workers.All {
		w.bound = c.earliest
	}
}

// Epoch returns the epoch of this ownership.
func (c *Cell) Epoch() int64 { return c.epoch }

// SetTimings changes the periods of later leases. A grant that was already
// given keeps its bound.
func (c *Cell) SetTimings(t Timings) { c.timings = t }

// SetClasses tells which batch classes are urgent.
func (c *Cell) SetClasses(urgent map[string]bool) {
	c.classes = urgent
	c.reindex()
}

// SetDraining names the workers that receive no further task.
func (c *Cell) SetDraining(ids []string) {
	c.draining = make(map[string]bool, len(ids))
	for _, id := range ids {
		c.draining[id] = true
	}
}

// Announce takes in the address of a worker and reports whether it is new.
func (c *Cell) Announce(id, zone, rack string, a netip.AddrPort) bool {
	w := c.workers.Get(id)
	isNew := w == nil || !w.address.IsValid()
	if w == nil {
		w = c.workers.Put(id, newWorkerRow(id))
		w.bound = c.earliest
	}
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
	if j == nil {
		return false, status.At(status.ErrUnknownJob, "id", id)
	}
	if j.Cancelling || j.State.Final() {
		return true, nil
	}
	c.incoming = append(c.incoming, Record{Kind: KindCancelling, At: now, ID: id})
	return false, nil
}

// Final reports whether a job in state s never runs again.
func (s State) Final() bool {
	return s == Finished || s == Cancelled || s == Parked
}

// Committed applies records that are now durable.
func (c *Cell) Committed(rs []Record, now time.Time) {
	for _, r := range rs {
		c.Apply(r)
		if r.Kind == KindSubmitted {
			delete(c.pending, r.Job.ID)
		}
	}
	c.lastVerified = now
}

// Jobs returns the rows of all jobs, sorted by id.
func (c *Cell) Jobs() []JobRow {
	out := c.Save().Jobs
	slices.SortFunc(out, func(a, b JobRow) int { return strings.Compare(a.ID, b.ID) })
	return out
}
