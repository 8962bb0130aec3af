package agent

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"rosemarygap/core/event"
	"rosemarygap/core/job"
	"rosemarygap/core/status"
	"rosemarygap/io/process"
	"rosemarygap/platform"

	"github.com/pkg/errors"
)

// Paths that an entry serves for agents.
const (
	// ReportPath accepts a job.Report and returns a job.Reply.
	ReportPath = "/v1/agents/report"
	// SharedPayloadsParameter is the query parameter of an agent that understands
	// job.Reply.Payloads. Its value is not empty.
	SharedPayloadsParameter = "shared-payloads"
	// ColdLeftParameter is the query parameter with the nanoseconds for which the
	// agent's worker is still cold. It is absent if the worker is not cold.
	ColdLeftParameter = "cold-left-ns"
	// LeaseLeftParameter is the query parameter with the nanoseconds after which the lease
	// of the agent's worker has ended, in the last report of a process.
	LeaseLeftParameter = "lease-left-ns"
	// GenerationParameter is the query parameter with the newest job.Reply.Generation that
	// the agent has received in the epoch of the report, or 0.
	GenerationParameter = "generation"
	// OwnerPath returns the newest job.Ownership that the entry knows.
	OwnerPath = "/v1/owner"
)

// Periods and limits of finding the owner.
const (
	watchWait        = 5 * time.Second
	storeCallTimeout = time.Second
	// reportRetryPause is the pause between a failed report and the next report.
	reportRetryPause = 150 * time.Millisecond
)

// ownerView holds the newest ownership that the agent knows, and the entries
// that it can ask for the owner.
type ownerView struct {
	mu      sync.Mutex
	newest  job.Ownership
	entries []netip.AddrPort
	// last, modulo the number of entries, is the index of the entry that
	// nextEntry returned last.
	last int
	// revision is the revision of the store up to which changes of the ownership
	// have been read. Only watchOwner uses it, without mu.
	revision int64
}

func newOwnerView(seeds []netip.AddrPort, port uint16) *ownerView {
	v := &ownerView{}
	for _, s := range seeds {
		v.entries = append(v.entries, netip.AddrPortFrom(s.Addr(), port))
	}
	return v
}

func (v *ownerView) current() job.Ownership {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.newest
}

// update stores an ownership if it is later than the known one and has a valid
// address, and reports whether it stored the ownership.
func (v *ownerView) update(o job.Ownership) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if o.Epoch <= v.newest.Epoch || !o.Address.IsValid() {
		return false
	}
	v.newest = o
	return true
}

// nextEntry returns the next entry to ask for the owner, in rotation. The
// result is false if no entries are known.
func (v *ownerView) nextEntry() (netip.AddrPort, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.entries) == 0 {
		return netip.AddrPort{}, false
	}
	v.last++
	return v.entries[v.last%len(v.entries)], true
}

// setOwner makes o the owner whose orders are executed, if o is later than the
// known one.
func (a *Agent) setOwner(o job.Ownership) {
	if !a.owner.update(o) {
		return
	}
	event.OwnerFollowed.Emit(a.log, event.Epoch(o.Epoch), event.Address(o.Address))
	a.state.enterEpoch(o.Epoch)
	process.Wake(a.wakeRenewal)
	process.Wake(a.wakeReport)
}

// watchOwner follows the ownership in the store.
func (a *Agent) watchOwner(ctx context.Context) error {
	storeHealth := process.NewDependency("store", a.log)
	for ctx.Err() == nil {
		err := a.watchOwnerOnce(ctx)
		if ctx.Err() != nil {
			return nil
		}
		storeHealth.Observe(err)
		if err != nil {
			process.Pause(ctx, retryPause*2, nil)
		}
	}
	return nil
}

// watchOwnerOnce reads the ownership from the store or, after the first read,
// waits for a change of it.
func (a *Agent) watchOwnerOnce(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, watchWait+storeCallTimeout)
	defer cancel()
	if a.owner.revision == 0 {
		return a.readOwner(ctx)
	}
	c, err := a.store.Watch(callCtx, job.KeyOwner, a.owner.revision, watchWait)
	if errors.Is(err, platform.ErrCompacted) {
		return a.readOwner(ctx)
	}
	if err != nil {
		return err
	}
	a.owner.revision = max(a.owner.revision, c.Revision)
	for _, i := range c.Items {
		if i.Key == job.KeyOwner && !i.Removed {
			a.applyOwnerItem(i)
		}
	}
	return nil
}

func (a *Agent) readOwner(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	p, err := a.store.List(callCtx, job.KeyOwner, "")
	if err != nil {
		return err
	}
	for _, i := range p.Items {
		if i.Key == job.KeyOwner {
			a.applyOwnerItem(i)
		}
	}
	a.owner.revision = p.Revision
	return nil
}

func (a *Agent) applyOwnerItem(i platform.Item) {
	var o job.Ownership
	if err := json.Unmarshal(i.Value, &o); err != nil {
		event.MessageRefused.Emit(a.log, event.Dependency("store"), event.Reason(status.Code(err.Error())))
		return
	}
	a.setOwner(o)
}

// findOwner asks one entry for the owner.
func (a *Agent) findOwner(ctx context.Context) {
	entry, ok := a.owner.nextEntry()
	if !ok {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var o job.Ownership
	if err := a.reportClient.Call(callCtx, http.MethodGet, entry, OwnerPath, nil, &o); err == nil {
		a.setOwner(o)
	}
}

// reportLoop sends a report to the owner after each change, and periodically.
func (a *Agent) reportLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		process.Pause(ctx, reportInterval, a.wakeReport)
		if ctx.Err() != nil {
			return nil
		}
		err := a.report(ctx, false)
		a.ownerHealth.Observe(err)
		if err != nil {
			a.findOwner(ctx)
			process.Pause(ctx, reportRetryPause, nil)
			process.Wake(a.wakeReport)
		}
	}
	return nil
}

// pollLoop keeps one long poll for orders waiting at the owner.
func (a *Agent) pollLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := a.report(ctx, true); err != nil {
			process.Pause(ctx, reportRetryPause, nil)
		}
	}
	return nil
}

// report sends one report and queues the orders in the reply.
func (a *Agent) report(ctx context.Context, longPoll bool) error {
	o := a.owner.current()
	if o.Epoch == 0 {
		return status.ErrNoOwner
	}
	sentAt := time.Now()
	r := a.state.report(a.cfg.Name, longPoll, sentAt)
	if r.Worker == nil {
		process.Pause(ctx, retryPause, nil)
		return nil
	}
	client := a.reportClient
	if longPoll {
		client = a.pollClient
	}
	var reply job.Reply
	path := reportPath(&r) + "&" + SharedPayloadsParameter + "=1"
	if left := r.Worker.ColdLeft; left > 0 {
		path += "&" + ColdLeftParameter + "=" + strconv.FormatInt(int64(left), 10)
	}
	m := a.deltas.encode(&r, o.Epoch)
	err := client.Call(ctx, http.MethodPost, o.Address, path+m.query, m.body, &reply)
	a.deltas.observe(&m, &reply, err)
	if err != nil {
		return err
	}
	if reply.Epoch > o.Epoch {
		// The process at this address has a later ownership.
		o.Epoch = reply.Epoch
		a.setOwner(o)
		return nil
	}
	a.state.recordGeneration(&reply)
	if reply.Whole {
		process.Wake(a.wakeReport)
		return nil
	}
	a.state.removeReported(r.Absent, reply.Epoch)
	a.state.recordDelivered(&r, &reply, time.Now())
	orders, acknowledged := a.state.applyReply(&reply, sentAt, time.Now())
	if acknowledged {
		process.Wake(a.wakeRenewal)
	}
	a.enqueueOrders(orders, reply.Epoch)
	return nil
}

// reportPath returns the path of a report with the parameter that all reports have.
func reportPath(r *job.Report) string {
	return ReportPath + "?" + GenerationParameter + "=" + strconv.FormatInt(r.Generation, 10)
}

// reportLeaseEnd sends the last report of this process, with the end of the worker's lease. It
// ignores the reply, as no order can be carried out any more.
func (a *Agent) reportLeaseEnd(ctx context.Context) error {
	o, now := a.owner.current(), time.Now()
	r := a.state.report(a.cfg.Name, false, now)
	left, ok := a.state.leaseLeft(now)
	if o.Epoch == 0 || r.Worker == nil || !ok {
		return nil
	}
	path := reportPath(&r) + "&" + LeaseLeftParameter + "=" + strconv.FormatInt(int64(max(1, left)), 10)
	return a.reportClient.Call(ctx, http.MethodPost, o.Address, path, &r, nil)
}

// awaitDeparture removes this agent's key from the store once its worker has
// left, since the VM may be gone before the next owner can ask the agent.
func (a *Agent) awaitDeparture(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-a.workerLeft:
	}
	for ctx.Err() == nil && a.state.hasLeft() {
		if err := a.removeKey(ctx); err == nil {
			return waitForShutdown(ctx)
		}
		process.Pause(ctx, retryPause, nil)
	}
	return waitForShutdown(ctx)
}

// removeKey deletes this agent's key from the store, if it has one. The deletion requires the
// revision of the key, since one without an answer may be carried out after the owner has
// written the key again for the agent's next worker.
func (a *Agent) removeKey(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	key := job.AgentKey(a.cfg.Name)
	i, err := a.store.Get(callCtx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	_, _, err = a.store.Commit(callCtx, platform.Transaction{
		Conditions: []platform.Condition{{Key: key, Revision: i.Revision}}, Deletes: []string{key}})
	return err
}

// waitForShutdown waits until ctx ends. An actor that has completed its work
// calls it because the first actor that returns ends the process.
func waitForShutdown(ctx context.Context) error {
	<-ctx.Done()
	return nil
}
