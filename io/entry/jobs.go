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

// Messages to the control goroutine from the handlers for operators and for other
// entries, and the reply to jobsRequest.
type (
	submitRequest struct {
		job   worker.Job
		reply chan<- error
	}
	cancelRequest struct {
		id    string
		reply chan<- error
	}
	jobsRequest struct {
		cell  int
		reply chan<- jobsResponse
	}
	jobsResponse struct {
		rows []worker.JobRow
		err  error
	}
)

// ownedCell returns a cell that this entry owns. It returns status.ErrNotOwner if this
// entry doesn't own the cell or is stopping.
func (c *control) ownedCell(id int) (*localCell, error) {
	local := c.cells.Get(id)
	if local == nil || !local.owned || c.stopping {
		return nil, status.RetryIn(status.ErrNotOwner, acquireRetryDelay)
	}
	return local, nil
}

func (c *control) ownedCellOfJob(id string) (*localCell, error) {
	if c.config == nil {
		return nil, status.RetryIn(status.ErrNoConfiguration, acquireRetryDelay)
	}
	return c.ownedCell(peer.CellOfJob(id, c.config.Document.Cells))
}

func (m submitRequest) handle(c *control, now time.Time) {
	local, err := c.ownedCellOfJob(m.job.ID)
	if err != nil {
		m.reply <- err
		return
	}
	local.driver.Submit(m.job, now, func(err error) { m.reply <- err })
}

func (m cancelRequest) handle(c *control, now time.Time) {
	local, err := c.ownedCellOfJob(m.id)
	if err != nil {
		m.reply <- err
		return
	}
	local.driver.Cancel(m.id, now, func(err error) { m.reply <- err })
}

func (m jobsRequest) handle(c *control, _ time.Time) {
	local, err := c.ownedCell(m.cell)
	if err != nil {
		m.reply <- jobsResponse{err: err}
		return
	}
	m.reply <- jobsResponse{rows: local.driver.Cell.Jobs()}
}

// call sends m to the control goroutine and waits for the reply. The reply channel
// must have a capacity of 1, so that the control goroutine never blocks on it.
func call[T any](ctx context.Context, c *control, reply <-chan T, m message) (T, error) {
	var zero T
	if err := c.send(ctx, m); err != nil {
		return zero, err
	}
	select {
	case v := <-reply:
		return v, nil
	case <-c.stopped:
		return zero, status.RetryIn(status.ErrStopping, acquireRetryDelay)
	case <-ctx.Done():
		return zero, status.ErrStopping
	}
}

// Snapshot returns the snapshot that was published last.
func (c *control) Snapshot() *entry.Snapshot { return c.published.Load() }

// AnnounceEndpoint passes an announcement that an endpoint sent to this entry to the
// control goroutine.
func (c *control) AnnounceEndpoint(ctx context.Context, a endpoint.Announcement) error {
	return c.send(ctx, endpointAnnounced{a, time.Now()})
}

// AnnounceWorker passes an announcement that a worker sent to this entry to the
// control goroutine.
func (c *control) AnnounceWorker(ctx context.Context, a peer.WorkerAnnouncement) error {
	return c.send(ctx, workerAnnounced{a, time.Now()})
}

// Exchange applies the exchange request of another entry and returns the response.
func (c *control) Exchange(ctx context.Context, req peer.ExchangeRequest) (peer.ExchangeResponse, error) {
	reply := make(chan peer.ExchangeResponse, 1)
	return call(ctx, c, reply, exchangeReceived{req, reply})
}

// Status returns the status of this entry, including the latency that its callers
// observed.
func (c *control) Status() entry.Status {
	st := c.identity()
	st.Services = c.latency.Services(time.Now())
	return st
}

// identity returns the status of this entry without latency. It is cheap enough for
// the frequent readiness checks of the load balancer.
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

// SubmitHere submits a job to a cell that this entry owns and returns when the job is
// durable.
func (c *control) SubmitHere(ctx context.Context, j worker.Job) error {
	reply := make(chan error, 1)
	err, callErr := call(ctx, c, reply, submitRequest{j, reply})
	if callErr != nil {
		return callErr
	}
	return err
}

// CancelHere requests the cancellation of a job of a cell that this entry owns and
// returns when the cancellation is durable.
func (c *control) CancelHere(ctx context.Context, id string) error {
	reply := make(chan error, 1)
	err, callErr := call(ctx, c, reply, cancelRequest{id, reply})
	if callErr != nil {
		return callErr
	}
	return err
}

// JobsHere returns the jobs of a cell that this entry owns.
func (c *control) JobsHere(ctx context.Context, cell int) ([]worker.JobRow, error) {
	reply := make(chan jobsResponse, 1)
	resp, err := call(ctx, c, reply, jobsRequest{cell, reply})
	if err != nil {
		return nil, err
	}
	return resp.rows, resp.err
}

// cellOwner returns the address of a cell's owner; isLocal is true if the owner is this
// entry.
func (c *control) cellOwner(cell int) (addr netip.AddrPort, isLocal bool, err error) {
	o, ok := c.Snapshot().Owners[cell]
	if !ok {
		return addr, false, status.RetryIn(status.ErrNoOwner, acquireRetryDelay)
	}
	if o.Entry == c.self.ID {
		return addr, true, nil
	}
	addr, err = netip.ParseAddrPort(o.Address)
	if err != nil {
		return addr, false, status.RetryIn(status.ErrNoOwner, acquireRetryDelay)
	}
	return addr, false, nil
}

func (c *control) jobOwner(id string) (netip.AddrPort, bool, error) {
	s := c.Snapshot()
	if s.Config == nil {
		return netip.AddrPort{}, false, status.RetryIn(status.ErrNoConfiguration, acquireRetryDelay)
	}
	return c.cellOwner(peer.CellOfJob(id, s.Config.Document.Cells))
}

// Submit validates a job and submits it to the owner of its cell. It returns nil only
// when the job is durable. After an error the same job may be submitted again.
func (c *control) Submit(ctx context.Context, j worker.Job) error {
	if err := j.Check(); err != nil {
		return err
	}
	if s := c.Snapshot(); s.Config != nil {
		if err := checkReferences(&s.Config.Document, &j); err != nil {
			return err
		}
	}
	addr, isLocal, err := c.jobOwner(j.ID)
	if err != nil {
		return err
	}
	if isLocal {
		return c.SubmitHere(ctx, j)
	}
	return forwardError(c.peers.Submit(ctx, addr, j))
}

func checkReferences(d *operator.Document, j *worker.Job) error {
	if d.Team(j.Team) == nil {
		return status.At(status.ErrUnknownRef, "team", j.Team)
	}
	if d.Class(j.Class) == nil {
		return status.At(status.ErrUnknownRef, "batch-class", j.Class)
	}
	return nil
}

// forwardError maps the error of a forwarded request to the error for the client: if
// the owner didn't respond, that is status.ErrNoOwner with a retry delay.
func forwardError(err error) error {
	if errors.Is(err, status.ErrUnreachable) {
		return status.RetryIn(status.ErrNoOwner, acquireRetryDelay)
	}
	return err
}

// Cancel requests the cancellation of a job from the owner of its cell.
func (c *control) Cancel(ctx context.Context, id string) error {
	addr, isLocal, err := c.jobOwner(id)
	if err != nil {
		return err
	}
	if isLocal {
		return c.CancelHere(ctx, id)
	}
	return forwardError(c.peers.Cancel(ctx, addr, id))
}

// Jobs returns the jobs of all cells, sorted by id.
func (c *control) Jobs(ctx context.Context) ([]worker.JobRow, error) {
	s := c.Snapshot()
	if s.Config == nil {
		return nil, status.RetryIn(status.ErrNoConfiguration, acquireRetryDelay)
	}
	all := []worker.JobRow{}
	for cell := range s.Config.Document.Cells {
		rows, err := c.cellJobs(ctx, cell)
		if err != nil {
			return nil, err
		}
		all = append(all, rows...)
	}
	slices.SortFunc(all, func(a, b worker.JobRow) int { return strings.Compare(a.ID, b.ID) })
	return all, nil
}

func (c *control) cellJobs(ctx context.Context, cell int) ([]worker.JobRow, error) {
	addr, isLocal, err := c.cellOwner(cell)
	if err != nil {
		return nil, err
	}
	if isLocal {
		return c.JobsHere(ctx, cell)
	}
	rows, err := c.peers.Jobs(ctx, addr, cell)
	return rows, forwardError(err)
}
