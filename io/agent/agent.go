// Package agent is the process beside a worker: it takes the worker's
// heartbeats, carries out the owner's orders at the worker, keeps the
// worker's lease, and throttles filling tasks beside serving ones.
//
// Invariant: the agent starts nothing that the owner of the newest known epoch
// did not order, and nothing after it acknowledged that the worker drains. It
// keeps no state beyond its process; what runs is read from the worker.
package agent

import (
	"context"
	"net/netip"
	"time"

	"rosemarygap/core/event"
	"rosemarygap/core/status"
	"rosemarygap/io/httpjson"
	"rosemarygap/io/process"
	"rosemarygap/platform"

	"github.com/hashicorp/go-hclog"
	"github.com/oklog/run"
)

// Periods and limits of the agent.
const (
	// leaseLength is how long runs go on without their agent; it covers the
	// longest restart of an agent on the sheets, 4 s.
	leaseLength = 5 * time.Second
	// leaseSlack covers the delay of an answer.
	leaseSlack = 100 * time.Millisecond
	// silentAfter is how long a worker may owe an answer before it gets no
	// more work.
	silentAfter = 900 * time.Millisecond
	// idleWait, busyWait and sharingWait are how long a renewal waits for an
	// end; the last one gives the interval of looks at tail latencies.
	idleWait    = 2 * time.Second
	busyWait    = 500 * time.Millisecond
	sharingWait = 400 * time.Millisecond
	// acknowledgeWait bounds the pause for the acknowledgement of ends, in
	// which a renewal would return at once.
	acknowledgeWait = 60 * time.Millisecond
	// callLimit is how long a call to the worker beside may take.
	callLimit = 400 * time.Millisecond
	// retryPause separates failed calls.
	retryPause = 100 * time.Millisecond
	// startTries is how often a start without an answer is repeated.
	startTries = 3
	// unansweredFor is how long a call without an answer may still take
	// effect; the platform's sheet says 12 s.
	unansweredFor = 15 * time.Second
	// parallelOrders bounds the calls to the worker at a time; a worker has
	// 64 connections.
	parallelOrders = 8
	// reportEvery is how often the owner hears of an unchanged worker.
	reportEvery = 500 * time.Millisecond
	// reportLimit is how long the owner may take to answer a report.
	reportLimit = 500 * time.Millisecond
	// ordersWait is how long the owner holds a request for orders.
	ordersWait = time.Second
	// stopLimit bounds a planned stop, which waits for nothing but calls.
	stopLimit = 500 * time.Millisecond
)

// Agent is the process beside a worker.
type Agent struct {
	cfg     platform.Settings
	log     hclog.Logger
	worker  *platform.Worker
	store   *platform.Store
	reports *httpjson.Client
	orders  *httpjson.Client
	state   *state
	// changed wakes the reporter, kick the quick renewals, acknowledged the
	// waiting renewals.
	changed, kick, acknowledged chan struct{}
	// departed is signalled when the worker has left.
	departed                  chan struct{}
	slots                     chan struct{}
	owner                     *ownerView
	workerHealth, ownerHealth *process.Dependency
}

// New returns an agent with the given settings.
func New(cfg platform.Settings, l hclog.Logger) *Agent {
	return &Agent{
		cfg: cfg, log: l,
		worker:       platform.NewWorker(platform.NewHTTPClient(), cfg.WorkerAddress),
		store:        platform.NewStore(platform.NewHTTPClient(), cfg.StoreAddress, platform.WithObserver(process.CountStoreCall)),
		reports:      httpjson.NewClient(reportLimit),
		orders:       httpjson.NewClient(ordersWait + reportLimit),
		state:        newState(time.Now().UnixNano(), cfg.Bounds.MaxWorkerLease),
		changed:      make(chan struct{}, 1),
		kick:         make(chan struct{}, 1),
		acknowledged: make(chan struct{}, 1),
		departed:     make(chan struct{}, 1),
		owner:        newOwnerView(cfg.Seeds, cfg.PeerPort),
		slots:        make(chan struct{}, parallelOrders),
		workerHealth: process.NewDependency("worker", l),
		ownerHealth:  process.NewDependency("owner", l),
	}
}

// Run serves until a stop signal, with the given actors beside it.
func Run(cfg platform.Settings, l hclog.Logger, actors ...process.Actor) error {
	if !cfg.WorkerAddress.IsValid() || !cfg.ControlListen.IsValid() {
		return status.At(status.ErrBadSetting, "app, listen.control", cfg.WorkerAddress.String()+", "+cfg.ControlListen.String())
	}
	a := New(cfg, l)
	bound, err := httpjson.Listen(cfg.ControlListen, a.Handler())
	if err != nil {
		return err
	}
	metricsAt, err := httpjson.Listen(netip.AddrPortFrom(cfg.IP, process.MetricsPort), process.MetricsHandler())
	if err != nil {
		return err
	}
	var g run.Group
	process.AddSignals(&g)
	process.AddListener(&g, bound, stopLimit)
	process.AddListener(&g, metricsAt, stopLimit)
	for _, f := range append(actors, a.departure, a.renewals, a.quickRenewals, a.reporting, a.polling, a.following) {
		process.AddActor(&g, f)
	}
	event.ProcessStarted.Emit(l, event.Entry(cfg.Name), event.Address(cfg.ControlListen))
	err = g.Run()
	a.lastRenewal()
	event.ProcessStopped.Emit(l, event.Entry(cfg.Name), event.Reason(process.StopReason(err)))
	return err
}

// lastRenewal leaves the worker the longest lease that is granted, for the
// time until the next process has started.
func (a *Agent) lastRenewal() {
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	a.renew(ctx, 0)
}

// renewals keeps one renewal waiting at the worker.
func (a *Agent) renewals(ctx context.Context) error {
	for ctx.Err() == nil {
		r, ok := a.state.nextRenewal()
		switch {
		case !ok:
			process.Pause(ctx, retryPause, nil)
			continue
		case r.unacknowledged:
			process.Pause(ctx, acknowledgeWait, a.acknowledged)
		}
		if !a.renew(ctx, waitFor(r)) {
			process.Pause(ctx, retryPause, nil)
		}
	}
	return nil
}

func waitFor(r renewal) time.Duration {
	switch {
	case r.sharing:
		return sharingWait
	case r.busy:
		return busyWait
	default:
		return idleWait
	}
}

// quickRenewals asks for the lists at once when something depends on them.
func (a *Agent) quickRenewals(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-a.kick:
		}
		for ctx.Err() == nil && !a.renew(ctx, 0) {
			process.Pause(ctx, retryPause, nil)
			if _, ok := a.state.nextRenewal(); !ok {
				break
			}
		}
		process.Wake(a.acknowledged)
	}
	return nil
}

// renew makes one renewal and takes in the answer.
func (a *Agent) renew(ctx context.Context, wait time.Duration) bool {
	r, ok := a.state.nextRenewal()
	if !ok {
		return false
	}
	if wait > 0 {
		// A call that waits may reach a later incarnation under the same id,
		// whose first ends an acknowledgement would make forgotten.
		r.acknowledged = 0
	}
	limited, cancel := context.WithTimeout(ctx, wait+callLimit)
	defer cancel()
	asked := time.Now()
	runs, err := a.worker.Renew(limited, platform.RenewRequest{Worker: r.worker, LeaseUntil: r.lease,
		Token: r.epoch, Acknowledged: r.acknowledged, Wait: wait})
	if ctx.Err() != nil {
		return false
	}
	a.workerHealth.Observe(err)
	if err != nil {
		renewFailures.Inc()
		process.Wake(a.changed)
		return false
	}
	if a.state.listed(r, runs, asked, time.Now()) {
		process.Wake(a.changed)
	}
	a.forgetUnanswered(ctx, r)
	a.throttleFilling(ctx, r)
	return true
}

// forgetUnanswered makes sure that starts without an answer cannot take
// effect on a later incarnation.
func (a *Agent) forgetUnanswered(ctx context.Context, r renewal) {
	for _, k := range a.state.overdue(r, time.Now()) {
		limited, cancel := context.WithTimeout(ctx, callLimit)
		_, err := a.worker.Stop(limited, r.worker, k.task, k.run, r.epoch)
		cancel()
		a.workerHealth.Observe(err)
		if err == nil {
			a.state.settle(k)
		}
	}
}

// throttleFilling tells filling tasks their share.
func (a *Agent) throttleFilling(ctx context.Context, r renewal) {
	commands := a.state.look(r.worker, time.Now())
	if len(commands) == 0 {
		return
	}
	throttleOrders.Add(len(commands))
	event.TasksThrottled.Emit(a.log, event.Worker(r.worker), event.Count(len(commands)), event.Throttle(commands[0].share))
	for _, c := range commands {
		a.inSlot(ctx, func() {
			limited, cancel := context.WithTimeout(ctx, callLimit)
			defer cancel()
			if _, err := a.worker.Throttle(limited, r.worker, c.task, c.run, r.epoch, c.share); err != nil {
				a.state.untold(c.runKey)
			}
		})
	}
}
