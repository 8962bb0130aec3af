package entry

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"time"

	"rosemarygap/core/endpoint"
	"rosemarygap/core/entry"
	"rosemarygap/core/operator"
	"rosemarygap/core/peer"
	"rosemarygap/core/status"
	"rosemarygap/core/worker"

	"github.com/pkg/errors"
)

// Messages of the interfaces of operators and entries.
type (
	jobSubmitted struct {
		job   worker.Job
		reply chan<- error
	}
	jobCancelled struct {
		id    string
		reply chan<- error
	}
	jobsAsked struct {
		cell  int
		reply chan<- jobsAnswer
	}
	jobsAnswer struct {
		rows []worker.JobRow
		err  error
	}
)

// ownedCell returns the run of a cell that this entry owns, or an error.
func (c *control) ownedCell(id int) (*cellRun, error) {
	run := c.cells.Get(id)
	if run == nil || !run.owned || c.stopping {
		return nil, status.RetryIn(status.ErrNotOwner, acquireRetry)
	}
	return run, nil
}

func (c *control) cellOfJob(id string) (*cellRun, error) {
	if c.config == nil {
		return nil, status.RetryIn(status.ErrNoConfiguration, acquireRetry)
	}
	return c.ownedCell(peer.CellOfJob(id, c.config.Document.Cells))
}

func (m jobSubmitted) handle(c *control, now time.Time) {
	run, err := c.cellOfJob(m.job.ID)
	if err != nil {
		m.reply <- err
		return
	}
	run.driver.Submit(m.job, now, func(err error) { m.reply <- err })
}

func (m jobCancelled) handle(c *control, now time.Time) {
	run, err := c.cellOfJob(m.id)
	if err != nil {
		m.reply <- err
		return
	}
	run.driver.Cancel(m.id, now, func(err error) { m.reply <- err })
}

func (m jobsAsked) handle(c *control, _ time.Time) {
	run, err := c.ownedCell(m.cell)
	if err != nil {
		m.reply <- jobsAnswer{err: err}
		return
	}
	m.reply <- jobsAnswer{rows: run.driver.Cell.Jobs()}
}

// ask sends m and waits for its reply. The reply channel has room for one
// value, so that the control goroutine never waits.
func ask[T any](ctx context.Context, c *control, reply <-chan T, m message) (T, error) {
	var none T
	if err := c.send(ctx, m); err != nil {
		return none, err
	}
	select {
	case v := <-reply:
		return v, nil
	case <-c.ended:
		return none, status.RetryIn(status.ErrStopping, acquireRetry)
	case <-ctx.Done():
		return none, status.ErrStopping
	}
}

// Snapshot returns the current picture.
func (c *control) Snapshot() *entry.Snapshot { return c.published.Load() }

// AnnounceEndpoint takes in an endpoint's announcement.
func (c *control) AnnounceEndpoint(ctx context.Context, a endpoint.Announcement) error {
	return c.send(ctx, endpointAnnounced{a, time.Now()})
}

// AnnounceWorker takes in a worker's announcement.
func (c *control) AnnounceWorker(ctx context.Context, n peer.WorkerAnnouncement) error {
	return c.send(ctx, workerAnnounced{n, time.Now()})
}

// Exchange takes in what another entry knows and returns what this one knows.
func (c *control) Exchange(ctx context.Context, x peer.ExchangeRequest) (peer.ExchangeResponse, error) {
	reply := make(chan peer.ExchangeResponse, 1)
	return ask(ctx, c, reply, exchangeReceived{x, reply})
}

// Status describes this entry with the latency that its callers saw.
func (c *control) Status() entry.Status {
	st := c.identity()
	st.Services = c.latency.Services(time.Now())
	return st
}

// identity is Status without the latency, for the balancer's frequent checks.
func (c *control) identity() entry.Status {
	s := c.Snapshot()
	st := entry.Status{ID: c.self.ID, Zone: c.self.Zone, Revision: s.Revision(),
		Ready: s.Ready(), Cells: []int{}, Operator: c.self.Operator}
	for cell, o := range s.Owners {
		if o.Entry == c.self.ID {
			st.Cells = append(st.Cells, cell)
		}
	}
	slices.Sort(st.Cells)
	return st
}

// SubmitHere proposes a job to a cell that this entry owns.
func (c *control) SubmitHere(ctx context.Context, j worker.Job) error {
	reply := make(chan error, 1)
	err, failed := ask(ctx, c, reply, jobSubmitted{j, reply})
	if failed != nil {
		return failed
	}
	return err
}

// CancelHere proposes the cancellation of a job of a cell owned here.
func (c *control) CancelHere(ctx context.Context, id string) error {
	reply := make(chan error, 1)
	err, failed := ask(ctx, c, reply, jobCancelled{id, reply})
	if failed != nil {
		return failed
	}
	return err
}

// JobsHere lists the jobs of a cell that this entry owns.
func (c *control) JobsHere(ctx context.Context, cell int) ([]worker.JobRow, error) {
	reply := make(chan jobsAnswer, 1)
	a, err := ask(ctx, c, reply, jobsAsked{cell, reply})
	if err != nil {
		return nil, err
	}
	return a.rows, a.err
}

// owner returns the address of a cell's owner; here is true if it is this
// entry.
func (c *control) owner(cell int) (a netip.AddrPort, here bool, err error) {
	o, ok := c.Snapshot().Owners[cell]
	if !ok {
		return a, false, status.RetryIn(status.ErrNoOwner, acquireRetry)
	}
	if o.Entry == c.self.ID {
		return a, true, nil
	}
	a, err = netip.ParseAddrPort(o.Address)
	if err != nil {
		return a, false, status.RetryIn(status.ErrNoOwner, acquireRetry)
	}
	return a, false, nil
}

func (c *control) ownerOfJob(id string) (netip.AddrPort, bool, error) {
	s := c.Snapshot()
	if s.Config == nil {
		return netip.AddrPort{}, false, status.RetryIn(status.ErrNoConfiguration, acquireRetry)
	}
	return c.owner(peer.CellOfJob(id, s.Config.Document.Cells))
}

// Submit checks a job and hands it to the owner of its cell. It returns nil
// only when the job is durable; the same job may be submitted again.
func (c *control) Submit(ctx context.Context, j worker.Job) error {
	if err := j.Check(); err != nil {
		return err
	}
	if s := c.Snapshot(); s.Config != nil {
		if err := checkRefs(&s.Config.Document, &j); err != nil {
			return err
		}
	}
	a, here, err := c.ownerOfJob(j.ID)
	if err != nil {
		return err
	}
	if here {
		return c.SubmitHere(ctx, j)
	}
	return forwarded(c.peers.Submit(ctx, a, j))
}

func checkRefs(d *operator.Document, j *worker.Job) error {
	if d.Team(j.Team) == nil {
		return status.At(status.ErrUnknownRef, "team", j.Team)
	}
	if d.Class(j.Class) == nil {
		return status.At(status.ErrUnknownRef, "batch-class", j.Class)
	}
	return nil
}

// forwarded maps an owner that did not answer to a code that says so.
func forwarded(err error) error {
	if errors.Is(err, status.ErrUnreachable) {
		return status.RetryIn(status.ErrNoOwner, acquireRetry)
	}
	return err
}

// Cancel asks the owner of a job's cell to cancel it.
func (c *control) Cancel(ctx context.Context, id string) error {
	a, here, err := c.ownerOfJob(id)
	if err != nil {
		return err
	}
	if here {
		return c.CancelHere(ctx, id)
	}
	return forwarded(c.peers.Cancel(ctx, a, id))
}

// Jobs lists the jobs of all cells, sorted by id.
func (c *control) Jobs(ctx context.Context) ([]worker.JobRow, error) {
	s := c.Snapshot()
	if s.Config == nil {
		return nil, status.RetryIn(status.ErrNoConfiguration, acquireRetry)
	}
	all := []worker.JobRow{}
	for cell := range s.Config.Document.Cells {
		rows, err := c.jobsOf(ctx, cell)
		if err != nil {
			return nil, err
		}
		all = append(all, rows...)
	}
	slices.SortFunc(all, func(a, b worker.JobRow) int { return strings.Compare(a.ID, b.ID) })
	return all, nil
}

func (c *control) jobsOf(ctx context.Context, cell int) ([]worker.JobRow, error) {
	a, here, err := c.owner(cell)
	if err != nil {
		return nil, err
	}
	if here {
		return c.JobsHere(ctx, cell)
	}
	rows, err := c.peers.Jobs(ctx, a, cell)
	return rows, forwarded(err)
}
