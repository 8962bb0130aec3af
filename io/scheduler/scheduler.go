// Package scheduler implements the process, called an entry, that runs on each
// entry VM of the users' platform. It accepts jobs from client accounts. One
// entry at a time is the owner, which decides where the tasks of all jobs run.
//
// Invariant: a job is accepted once it is stored, and the states reported to
// client accounts come from the store. Only the control goroutine accesses the
// owner's state; requests of client accounts are answered from the mirror of
// the store.
package scheduler

import (
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"rosemarygap/core/event"
	"rosemarygap/core/job"
	"rosemarygap/core/outage"
	"rosemarygap/core/status"
	"rosemarygap/io/agent"
	"rosemarygap/io/httpjson"
	"rosemarygap/io/process"
	"rosemarygap/platform"

	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"
	"github.com/oklog/run"
)

// Periods and limits of a planned stop and of reports.
const (
	// drainPeriod is how long client accounts are served after the readiness
	// check fails. The load balancer reacts after two failed checks, one second
	// apart.
	drainPeriod = 2600 * time.Millisecond
	// shutdownTimeout is the longest wait for requests in progress after
	// drainPeriod.
	shutdownTimeout = 2 * time.Second
	// longPollWait is how long a long poll for orders is held.
	longPollWait = time.Second
	// reportTimeout is the longest wait for the control goroutine's reply to a
	// report.
	reportTimeout = 400 * time.Millisecond
)

// Names of the listeners.
const (
	listenerFront     = "front"
	listenerReadiness = "readiness"
	listenerPeer      = "peer"
	listenerControl   = "control"
	listenerMetrics   = "metrics"
)

// shares are what the listeners are guaranteed of the room for connections. The reports of
// all agents arrive at the owner's peer listener, which may use all that is not guaranteed to others.
var shares = []httpjson.Share{
	{Listener: listenerFront, Percent: 20},
	{Listener: listenerReadiness, Percent: 3},
	{Listener: listenerPeer, Percent: 30},
	{Listener: listenerControl, Percent: 3},
	{Listener: listenerMetrics, Percent: 4},
}

// Scheduler is the scheduler process on an entry VM.
type Scheduler struct {
	cfg    platform.Settings
	log    hclog.Logger
	store  *platform.Store
	mirror *mirror
	// processID is the start time in nanoseconds. It distinguishes this process
	// from other processes of the same entry VM.
	processID int64
	reports   chan agentReport
	messages  chan any
	// superseded is signalled when another entry has become the owner.
	superseded chan struct{}
	// stop is closed when a planned stop begins.
	stop     chan struct{}
	stopping atomic.Bool
	// ownershipCheckRequests is signalled to request an ownership check at once.
	ownershipCheckRequests chan struct{}
	peerClient             *httpjson.Client
	// storeOutage tells whether this entry is cut off from the store. relayClient
	// passes requests on to the owner meanwhile.
	storeOutage *outage.Detector
	relayClient *httpjson.Client
	recentPeers recentPeers
	// ownerWatchClient is nil unless entries watch the owner's process. ownerEnded is
	// signalled when this entry has ended the ownership of a process that has ended;
	// claimAtOnce is then true.
	ownerWatchClient *httpjson.Client
	ownerEnded       chan struct{}
	claimAtOnce      atomic.Bool
	// advisor serves one request at a time.
	advisor         *platform.Advisor
	advisorHealth   *process.Dependency
	advisorRequests chan advisorRequest
	// noticeHealth logs when notices cannot be delivered to the owner.
	noticeHealth *process.Dependency
	// evacuationsHealth logs when the evacuated zones cannot be read.
	evacuationsHealth *process.Dependency
	// unresolved are the jobs whose submission this entry has tried with an unknown outcome.
	unresolved begunWrites
	// admission is nil unless jobs are refused by forecast.
	admission *admission
	// fairShares is true if jobs get the zone of this entry. cellOptions are the
	// options of the cells of this entry's ownerships.
	fairShares  bool
	cellOptions []job.Option
	reportBases reportBases
}

// Option changes how a scheduler works.
type Option func(*Scheduler)

// WithFairShares divides scarce room fairly among the queues and availability zones
// in which jobs were submitted.
func WithFairShares() Option {
	return func(s *Scheduler) {
		s.fairShares = true
		s.cellOptions = append(s.cellOptions, job.WithFairShares())
	}
}

// WithCopies starts copies of tasks whose steps allow it and whose runs would end late.
func WithCopies() Option {
	return func(s *Scheduler) { s.cellOptions = append(s.cellOptions, job.WithCopies()) }
}

// New returns a scheduler with the given settings.
func New(cfg platform.Settings, l hclog.Logger, options ...Option) *Scheduler {
	storeOutage := &outage.Detector{}
	store := process.NewStore(cfg.StoreAddress, func(c platform.StoreCall) { storeOutage.Observe(c.Answered(), time.Now()) })
	s := &Scheduler{cfg: cfg, log: l, store: store, storeOutage: storeOutage, relayClient: httpjson.NewClient(relayTimeout, httpjson.WithDialTimeout(relayDialTimeout)), mirror: newMirror(l, store), processID: time.Now().UnixNano(),
		reports: make(chan agentReport, maxMessageBatch), messages: make(chan any, maxMessageBatch),
		superseded: make(chan struct{}, 1), stop: make(chan struct{}), ownerEnded: make(chan struct{}, 1),
		ownershipCheckRequests: make(chan struct{}, 1), peerClient: httpjson.NewClient(noticeTimeout),
		noticeHealth: process.NewDependency("owner", l), evacuationsHealth: process.NewDependency("evacuations", l),
		advisor:       platform.NewAdvisor(platform.NewHTTPClient(), cfg.AdvisorAddress),
		advisorHealth: process.NewDependency("advisor", l), advisorRequests: make(chan advisorRequest, maxAdvisorRequests)}
	for _, o := range options {
		o(s)
	}
	return s
}

// Run runs the scheduler until a stop signal, together with the given actors.
func Run(cfg platform.Settings, l hclog.Logger, actors []process.Actor, options ...Option) error {
	if !cfg.CallerListen.IsValid() || !cfg.ReadinessListen.IsValid() {
		return status.At(status.ErrBadSetting, "listen.front, listen.readiness", cfg.CallerListen.String()+", "+cfg.ReadinessListen.String())
	}
	s := New(cfg, l, options...)
	limiter := process.NewLimiter(cfg.MemoryLimitMiB, cfg.DescriptorLimit, l, shares...)
	var g run.Group
	process.AddActor(&g, s.awaitStop)
	for _, server := range []struct {
		name    string
		address netip.AddrPort
		handler http.Handler
	}{
		{listenerFront, cfg.CallerListen, s.callerHandler()},
		{listenerReadiness, cfg.ReadinessListen, s.readinessHandler()},
		{listenerPeer, s.peerAddress(), s.peerHandler()},
		{listenerControl, cfg.ControlListen, s.peerHandler()},
		{listenerMetrics, netip.AddrPortFrom(cfg.IP, process.MetricsPort), process.MetricsHandler()},
	} {
		if !server.address.IsValid() {
			continue
		}
		listener, err := httpjson.Listen(server.address, server.handler, httpjson.WithLimiter(limiter, server.name))
		if err != nil {
			return err
		}
		process.AddListener(&g, listener, shutdownTimeout)
	}
	c := newControl(s)
	for _, f := range append(actors, limiter.Run, c.run, s.mirror.follow, s.mirror.followOwnerLease, s.mirror.followConfiguration,
		s.campaign, s.watchOwnerProcess, s.serveAdvisorRequests) {
		process.AddActor(&g, f)
	}
	event.ProcessStarted.Emit(l, event.Entry(cfg.Name), event.Address(cfg.CallerListen))
	err := g.Run()
	event.ProcessStopped.Emit(l, event.Entry(cfg.Name), event.Reason(process.StopReason(err)))
	return err
}

// awaitStop waits for a stop signal and returns drainPeriod after it. In that
// time client accounts are still served, and another entry takes over the
// ownership.
func (s *Scheduler) awaitStop(ctx context.Context) error {
	if !process.AwaitStop(ctx) {
		return nil
	}
	event.ProcessStopping.Emit(s.log, event.Entry(s.cfg.Name))
	s.stopping.Store(true)
	close(s.stop)
	process.Pause(ctx, drainPeriod, nil)
	return nil
}

// peerAddress returns the address that agents and other entries call.
func (s *Scheduler) peerAddress() netip.AddrPort { return netip.AddrPortFrom(s.cfg.IP, s.cfg.PeerPort) }

// sendToControl sends a message to the control goroutine.
func (s *Scheduler) sendToControl(ctx context.Context, x any) {
	select {
	case s.messages <- x:
	case <-ctx.Done():
	}
}

// questionOwnership is called when an agent knows of a later owner. The store tells
// whether there is one: an agent with a malformed epoch must not end every owner in turn.
// While this entry is cut off from the store, the agent is taken at its word.
func (s *Scheduler) questionOwnership() {
	if s.storeOutage.CutOff() {
		s.signalSuperseded()
		return
	}
	s.requestOwnershipCheck()
}

// signalSuperseded tells the election goroutine that another entry has become
// the owner.
func (s *Scheduler) signalSuperseded() { process.Wake(s.superseded) }

// readinessHandler returns the handler for the readiness checks of the
// platform's load balancer.
func (s *Scheduler) readinessHandler() http.Handler {
	e := httpjson.NewServer()
	e.GET(platform.ReadinessPath, func(x echo.Context) error {
		code := http.StatusOK
		if s.stopping.Load() || s.mirror.cfg.Load() == nil || !s.mirror.synced.Load() || !s.servesRequests(x.Request().Context()) {
			code = http.StatusServiceUnavailable
		}
		return x.NoContent(code)
	})
	return e
}

// peerHandler returns the handler for the requests of agents and other entries.
func (s *Scheduler) peerHandler() http.Handler {
	e := httpjson.NewServer()
	e.GET(agent.OwnerPath, func(x echo.Context) error {
		o, _ := s.mirror.ownership()
		if o.Epoch == 0 {
			return status.ErrNoOwner
		}
		return x.JSON(http.StatusOK, o)
	})
	e.POST(agent.ReportPath, s.handleReport)
	e.POST(noticePath, s.handleNotice)
	e.POST(relayPath, s.handleRelay)
	e.GET(ownerWatchPath, s.handleOwnerWatch)
	return e
}

// handleReport sends an agent's report to the control goroutine and responds
// with its reply. The response to a long poll waits until there are orders or
// longPollWait has passed.
func (s *Scheduler) handleReport(x echo.Context) error {
	receivedAt := time.Now()
	r, err := s.decodeReport(x)
	if err != nil {
		return s.refuseReport(x, r, err)
	}
	r.ReceivedAt = receivedAt
	r.SharedPayloads = x.QueryParam(agent.SharedPayloadsParameter) != ""
	if left, err := strconv.ParseInt(x.QueryParam(agent.ColdLeftParameter), 10, 64); err == nil && r.Worker != nil {
		r.Worker.ColdLeft = time.Duration(left)
	}
	if n, err := strconv.ParseInt(x.QueryParam(agent.GenerationParameter), 10, 64); err == nil {
		r.Generation, r.EchoesGeneration = n, true
	}
	if left, err := strconv.ParseInt(x.QueryParam(agent.LeaseLeftParameter), 10, 64); err == nil {
		r.LeaseLeft = time.Duration(left)
	}
	timeout := reportTimeout
	if r.LongPoll {
		timeout = longPollWait
	}
	t := time.NewTimer(timeout)
	defer t.Stop()
	req := agentReport{r, make(chan reportResult, 1)}
	select {
	case s.reports <- req:
	case <-t.C:
		return status.ErrNotOwner
	}
	select {
	case result := <-req.reply:
		if result.err != nil {
			return result.err
		}
		return x.JSON(http.StatusOK, &result.reply)
	case <-x.Request().Context().Done():
		return status.ErrCallerCancelled
	case <-t.C:
		if !r.LongPoll {
			return status.ErrNotOwner
		}
		o, _ := s.mirror.ownership()
		return x.JSON(http.StatusOK, &job.Reply{Epoch: o.Epoch})
	}
}
