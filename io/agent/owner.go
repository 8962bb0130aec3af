package agent

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"rosemarygap/core/event"
	"rosemarygap/core/job"
	"rosemarygap/core/status"
	"rosemarygap/io/process"
	"rosemarygap/platform"

	"github.com/pkg/errors"
)

// Paths of the owner for agents.
const (
	// ReportPath takes a job.Report and answers with a job.Reply.
	ReportPath = "/v1/agents/report"
	// OwnerPath answers with the job.Ownership that an entry knows.
	OwnerPath = "/v1/owner"
)

// Periods of the search for the owner.
const (
	watchWait  = 5 * time.Second
	watchSlack = time.Second
	// searchPause separates two questions to entries.
	searchPause = 150 * time.Millisecond
)

// ownerView is the newest ownership that the agent knows.
type ownerView struct {
	mu       sync.Mutex
	newest   job.Ownership
	entries  []netip.AddrPort
	next     int
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

// learn takes in an ownership and reports whether it is a later one.
func (v *ownerView) learn(o job.Ownership) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if o.Epoch <= v.newest.Epoch || !o.Address.IsValid() {
		return false
	}
	v.newest = o
	return true
}

// entry returns an entry to ask, each in turn.
func (v *ownerView) entry() (netip.AddrPort, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.entries) == 0 {
		return netip.AddrPort{}, false
	}
	v.next++
	return v.entries[v.next%len(v.entries)], true
}

// follow makes o the owner whose orders count.
func (a *Agent) follow(o job.Ownership) {
	if !a.owner.learn(o) {
		return
	}
	event.OwnerFollowed.Emit(a.log, event.Epoch(o.Epoch), event.Address(o.Address))
	a.state.enter(o.Epoch)
	process.Wake(a.kick)
	process.Wake(a.changed)
}

// following learns of owners from the store.
func (a *Agent) following(ctx context.Context) error {
	store := process.NewDependency("store", a.log)
	for ctx.Err() == nil {
		err := a.followOnce(ctx)
		if ctx.Err() != nil {
			return nil
		}
		store.Observe(err)
		if err != nil {
			process.Pause(ctx, retryPause*2, nil)
		}
	}
	return nil
}

// followOnce reads the owner, or waits for a change of it.
func (a *Agent) followOnce(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	if a.owner.revision == 0 {
		return a.readOwner(ctx)
	}
	c, err := a.store.Watch(limited, job.KeyOwner, a.owner.revision, watchWait)
	if errors.Is(err, platform.ErrCompacted) {
		return a.readOwner(ctx)
	}
	if err != nil {
		return err
	}
	a.owner.revision = max(a.owner.revision, c.Revision)
	for _, i := range c.Items {
		if i.Key == job.KeyOwner && !i.Removed {
			a.learnItem(i)
		}
	}
	return nil
}

func (a *Agent) readOwner(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, watchSlack)
	defer cancel()
	p, err := a.store.List(limited, job.KeyOwner, "")
	if err != nil {
		return err
	}
	for _, i := range p.Items {
		if i.Key == job.KeyOwner {
			a.learnItem(i)
		}
	}
	a.owner.revision = p.Revision
	return nil
}

func (a *Agent) learnItem(i platform.Item) {
	var o job.Ownership
	if err := json.Unmarshal(i.Value, &o); err != nil {
		event.MessageRefused.Emit(a.log, event.Dependency("store"), event.Reason(status.Code(err.Error())))
		return
	}
	a.follow(o)
}

// search asks an entry who the owner is.
func (a *Agent) search(ctx context.Context) {
	e, ok := a.owner.entry()
	if !ok {
		return
	}
	limited, cancel := context.WithTimeout(ctx, reportLimit)
	defer cancel()
	var o job.Ownership
	if err := a.reports.Call(limited, http.MethodGet, e, OwnerPath, nil, &o); err == nil {
		a.follow(o)
	}
}

// reporting tells the owner of the worker.
func (a *Agent) reporting(ctx context.Context) error {
	for ctx.Err() == nil {
		process.Pause(ctx, reportEvery, a.changed)
		if ctx.Err() != nil {
			return nil
		}
		err := a.report(ctx, false)
		a.ownerHealth.Observe(err)
		if err != nil {
			a.search(ctx)
			process.Pause(ctx, searchPause, nil)
			process.Wake(a.changed)
		}
	}
	return nil
}

// polling waits for orders at the owner.
func (a *Agent) polling(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := a.report(ctx, true); err != nil {
			process.Pause(ctx, searchPause, nil)
		}
	}
	return nil
}

// report sends one report and carries out what the reply asks for.
func (a *Agent) report(ctx context.Context, wait bool) error {
	o := a.owner.current()
	if o.Epoch == 0 {
		return status.ErrNoOwner
	}
	r := a.state.report(a.cfg.Name, wait, time.Now())
	if r.Worker == nil {
		process.Pause(ctx, reportEvery, nil)
		return nil
	}
	client := a.reports
	if wait {
		client = a.orders
	}
	var reply job.Reply
	if err := client.Call(ctx, http.MethodPost, o.Address, ReportPath, &r, &reply); err != nil {
		return err
	}
	if reply.Epoch > o.Epoch {
		// The same address holds a later ownership.
		o.Epoch = reply.Epoch
		a.follow(o)
		return nil
	}
	a.state.forgetAbsent(r.Absent)
	orders, acknowledged := a.state.apply(&reply, time.Now())
	if acknowledged {
		process.Wake(a.kick)
	}
	a.carryOut(ctx, orders, reply.Epoch)
	return nil
}

// departure takes this agent out of the stored roster once its worker has
// left: the VM may be gone before the next owner could ask it.
func (a *Agent) departure(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-a.departed:
	}
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, watchSlack)
		_, _, err := a.store.Commit(limited, platform.Transaction{Deletes: []string{job.AgentKey(a.cfg.Name)}})
		cancel()
		if err == nil {
			return pauseUntilEnd(ctx)
		}
		process.Pause(ctx, retryPause, nil)
	}
	return nil
}

// pauseUntilEnd keeps an actor that has done its work: the first one that
// returns ends the process.
func pauseUntilEnd(ctx context.Context) error {
	<-ctx.Done()
	return nil
}
