// Package agent implements the process that runs next to a worker. It receives
// the worker's heartbeats, executes the owner's orders on the worker, renews
// the worker's lease, and throttles best-effort tasks that run next to serving
// tasks.
//
// Invariant: the current worker is one that has answered under the ID of its heartbeat. The
// agent starts only runs that the owner of the newest known
// epoch ordered, and none after it answered a heartbeat which says that the
// worker is draining, or after it received a stop of the run. It sends a start
// only while its knowledge of what was withdrawn is recent. The agent has no
// durable state: it gets the list of runs from the worker.
package agent

import (
	"context"
	"net/netip"
	"time"

	"rosemarygap/core/event"
	"rosemarygap/core/job"
	"rosemarygap/core/status"
	"rosemarygap/io/httpjson"
	"rosemarygap/io/process"
	"rosemarygap/platform"

	"github.com/hashicorp/go-hclog"
	"github.com/oklog/run"
	"github.com/pkg/errors"
)

// Periods and limits of the agent.
const (
	// leaseDuration is how long runs continue without their agent. It covers
	// the longest restart of an agent on the platform, 4 s.
	leaseDuration = 5 * time.Second
	// leaseMargin is added to the remaining time of a lease before the lease
	// counts as expired. It covers the delay of the worker's answer.
	leaseMargin = 100 * time.Millisecond
	// unreachableAfter is the time without an answer after which a worker is
	// reported as unreachable and gets no more work.
	unreachableAfter = 900 * time.Millisecond
	// idleRenewWait, busyRenewWait and sharedRenewWait are how long the worker
	// holds a renewal until a run ends. With serving and best-effort tasks on
	// one worker, the tail latencies are sampled once per renewal, so
	// sharedRenewWait is also the sampling interval.
	idleRenewWait   = 2 * time.Second
	busyRenewWait   = 500 * time.Millisecond
	sharedRenewWait = 400 * time.Millisecond
	// acknowledgeTimeout is how long renewLoop waits at most until the ended runs
	// that the worker lists are acknowledged. While it lists ended runs, the
	// worker answers each renewal at once instead of holding it.
	acknowledgeTimeout = 60 * time.Millisecond
	// workerCallTimeout is the timeout of a call to the worker.
	workerCallTimeout = 400 * time.Millisecond
	// retryPause is the pause after a failed call.
	retryPause = 100 * time.Millisecond
	// maxStartAttempts is the maximum number of attempts to start a run if the
	// worker does not answer.
	maxStartAttempts = 3
	// orderExecutors is the number of goroutines that execute orders, and
	// stopExecutors that of further ones that execute only stops: a worker that
	// answers nothing takes workerCallTimeout for each call. throttleCalls is the
	// maximum number of parallel calls to throttle tasks. A worker accepts 64
	// connections.
	orderExecutors = 8
	stopExecutors  = 8
	throttleCalls  = 8
	// reportInterval is the time between two reports about an unchanged worker.
	reportInterval = 500 * time.Millisecond
	// reportTimeout is the timeout of a report to the owner.
	reportTimeout = 500 * time.Millisecond
	// longPollWait is how long the owner holds a long poll for orders.
	longPollWait = time.Second
	// shutdownTimeout is the longest wait of each listener for requests in
	// progress at a planned stop.
	shutdownTimeout = 500 * time.Millisecond
)

// Names of the listeners.
const (
	listenerControl = "control"
	listenerMetrics = "metrics"
)

// shares are what the listeners are guaranteed of the room for connections.
var shares = []httpjson.Share{{Listener: listenerControl, Percent: 50}, {Listener: listenerMetrics, Percent: 10}}

// Agent is the process that runs next to a worker.
type Agent struct {
	cfg platform.Settings
	log hclog.Logger
	// startedAt is when the process started.
	startedAt    time.Time
	worker       *platform.Worker
	store        *platform.Store
	reportClient *httpjson.Client
	pollClient   *httpjson.Client
	state        *state
	// wakeReport wakes reportLoop and wakeRenewal wakes immediateRenewLoop.
	// acknowledged is signalled after an immediate renewal, which acknowledges
	// ended runs, and ends the wait of renewLoop for it.
	wakeReport, wakeRenewal, acknowledged chan struct{}
	// wakeConfirm wakes confirmLoop.
	wakeConfirm chan struct{}
	// wakeCancel wakes cancelLoop.
	wakeCancel chan struct{}
	// wakeIdentify wakes identifyLoop.
	wakeIdentify chan struct{}
	// wakeDeparture is signalled when a list of runs was applied. It ends the wait of a
	// departure.
	wakeDeparture chan struct{}
	// workerLeft is signalled when the worker has announced its departure.
	workerLeft chan struct{}
	// orders are executed by executeAny and executeStops.
	orders *orderQueue
	// throttleSlots limits the parallel calls to throttle tasks.
	throttleSlots             chan struct{}
	owner                     *ownerView
	workerHealth, ownerHealth *process.Dependency
	// deltas is disabled unless the agent sends delta reports.
	deltas deltaReports
}

// Option changes how an agent works.
type Option func(*Agent)

// New returns an agent with the given settings.
func New(cfg platform.Settings, l hclog.Logger, options ...Option) *Agent {
	startedAt := time.Now()
	a := &Agent{
		cfg: cfg, log: l, startedAt: startedAt,
		worker:        platform.NewWorker(platform.NewHTTPClient(), cfg.WorkerAddress),
		store:         process.NewStore(cfg.StoreAddress, func(platform.StoreCall) {}),
		reportClient:  httpjson.NewClient(reportTimeout),
		pollClient:    httpjson.NewClient(longPollWait + reportTimeout),
		state:         newState(startedAt.UnixNano(), cfg.Bounds),
		wakeReport:    make(chan struct{}, 1),
		wakeRenewal:   make(chan struct{}, 1),
		acknowledged:  make(chan struct{}, 1),
		wakeConfirm:   make(chan struct{}, 1),
		wakeCancel:    make(chan struct{}, 1),
		wakeIdentify:  make(chan struct{}, 1),
		wakeDeparture: make(chan struct{}, 1),
		workerLeft:    make(chan struct{}, 1),
		owner:         newOwnerView(cfg.Seeds, cfg.PeerPort),
		throttleSlots: make(chan struct{}, throttleCalls),
		orders:        newOrderQueue(),
		workerHealth:  process.NewDependency("worker", l),
		ownerHealth:   process.NewDependency("owner", l),
	}
	for _, o := range options {
		o(a)
	}
	return a
}

// Run runs the agent until a stop signal, together with the given actors.
func Run(cfg platform.Settings, l hclog.Logger, actors []process.Actor, options ...Option) error {
	if !cfg.WorkerAddress.IsValid() || !cfg.ControlListen.IsValid() {
		return status.At(status.ErrBadSetting, "app, listen.control", cfg.WorkerAddress.String()+", "+cfg.ControlListen.String())
	}
	a := New(cfg, l, options...)
	limiter := process.NewLimiter(cfg.MemoryLimitMiB, cfg.DescriptorLimit, l, shares...)
	controlListener, err := httpjson.Listen(cfg.ControlListen, a.Handler(), httpjson.WithLimiter(limiter, listenerControl))
	if err != nil {
		return err
	}
	metricsListener, err := httpjson.Listen(netip.AddrPortFrom(cfg.IP, process.MetricsPort), process.MetricsHandler(),
		httpjson.WithLimiter(limiter, listenerMetrics))
	if err != nil {
		return err
	}
	var g run.Group
	process.AddSignals(&g)
	process.AddListener(&g, controlListener, shutdownTimeout)
	process.AddListener(&g, metricsListener, shutdownTimeout)
	for _, f := range append(actors, limiter.Run, a.awaitDeparture, a.renewLoop, a.immediateRenewLoop, a.reportLoop, a.pollLoop, a.watchOwner, a.confirmLoop,
		a.cancelLoop, a.identifyLoop) {
		process.AddActor(&g, f)
	}
	for range orderExecutors {
		process.AddActor(&g, a.executeAny)
	}
	for range stopExecutors {
		process.AddActor(&g, a.executeStops)
	}
	event.ProcessStarted.Emit(l, event.Entry(cfg.Name), event.Address(cfg.ControlListen))
	err = g.Run()
	a.renewBeforeExit()
	a.deliverBeforeExit()
	event.ProcessStopped.Emit(l, event.Entry(cfg.Name), event.Reason(process.StopReason(err)))
	return err
}

// renewBeforeExit extends the worker's lease as far as possible, to cover the
// time until the next process of the agent has started. If the worker does not answer, it may
// have been taken away with its VM, and the owner is told when its lease ends.
func (a *Agent) renewBeforeExit() {
	ctx, cancel := context.WithTimeout(context.Background(), workerCallTimeout)
	defer cancel()
	if a.renew(ctx, 0) {
		return
	}
	ctx, cancel = context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	if err := a.reportLeaseEnd(ctx); err != nil {
		a.ownerHealth.Observe(err)
	}
}

// renewLoop keeps one renewal waiting at the worker.
func (a *Agent) renewLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		r, ok := a.state.nextRenewal()
		switch {
		case !ok:
			process.Pause(ctx, retryPause, nil)
			continue
		case r.unacknowledged:
			process.Pause(ctx, acknowledgeTimeout, a.acknowledged)
		}
		if !a.renew(ctx, renewWait(r)) {
			process.Pause(ctx, retryPause, nil)
		}
	}
	return nil
}

// renewWait returns how long the worker should hold the renewal r.
func renewWait(r renewal) time.Duration {
	switch {
	case r.sharing:
		return sharedRenewWait
	case r.busy:
		return busyRenewWait
	default:
		return idleRenewWait
	}
}

// immediateRenewLoop makes a renewal that the worker answers at once whenever
// wakeRenewal is signalled, which requests a new list of runs.
func (a *Agent) immediateRenewLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-a.wakeRenewal:
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

// renew makes one renewal, which the worker may hold for wait, and applies the
// answer. It reports whether the renewal succeeded.
func (a *Agent) renew(ctx context.Context, wait time.Duration) bool {
	r, ok := a.state.nextRenewal()
	if !ok {
		return false
	}
	if wait > 0 {
		// A call that waits may reach a later incarnation under the same ID. An
		// acknowledgement would make that incarnation remove its first ended
		// runs from its list before they are reported.
		r.acknowledged = 0
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+workerCallTimeout)
	defer cancel()
	requestedAt := time.Now()
	a.state.recordAcknowledgement(r, requestedAt)
	runs, err := a.worker.Renew(callCtx, platform.RenewRequest{Worker: r.worker, LeaseUntil: r.leaseUntil,
		Token: r.epoch, Acknowledged: r.acknowledged, Wait: wait})
	a.state.recordRenewalResult(r, err)
	if ctx.Err() != nil {
		return false
	}
	a.workerHealth.Observe(err)
	if errors.Is(err, platform.ErrNotSent) {
		a.state.recordRefusing()
	}
	if err != nil {
		renewFailures.Inc()
		process.Wake(a.wakeReport)
		return false
	}
	a.logUnordered(r, runs.Ended)
	job.SortEnds(runs.Ended)
	if a.state.applyRunList(r, runs, requestedAt, time.Now()) {
		process.Wake(a.wakeReport)
	}
	if a.state.resumeAcknowledging() {
		process.Wake(a.wakeRenewal)
	}
	process.Wake(a.wakeDeparture)
	if len(a.state.startsToCancel(r, time.Now())) > 0 {
		process.Wake(a.wakeCancel)
	}
	a.throttleBestEffort(ctx, r)
	return true
}

// throttleBestEffort updates the shares of the best-effort tasks on the worker.
func (a *Agent) throttleBestEffort(ctx context.Context, r renewal) {
	commands := a.state.throttleCommands(r.worker, time.Now())
	if len(commands) == 0 {
		return
	}
	throttleOrders.Add(len(commands))
	event.TasksThrottled.Emit(a.log, event.Worker(r.worker), event.Count(len(commands)), event.Throttle(commands[0].share))
	for _, c := range commands {
		select {
		case a.throttleSlots <- struct{}{}:
			go a.throttle(ctx, r, c)
		default:
			// Waiting for a slot would delay the renewals of the lease.
			a.state.markShareUnknown(c.runKey)
		}
	}
}

// throttle sends the share of one task to the worker and frees a throttle slot.
func (a *Agent) throttle(ctx context.Context, r renewal, c command) {
	defer func() { <-a.throttleSlots }()
	callCtx, cancel := context.WithTimeout(ctx, workerCallTimeout)
	defer cancel()
	if _, err := a.worker.Throttle(callCtx, r.worker, c.task, c.run, r.epoch, c.share); err != nil {
		a.state.markShareUnknown(c.runKey)
	}
}
