// Package scheduler is the process on an entry VM of the users' platform: it
// takes jobs from client accounts, and one of its instances at a time decides
// where their tasks run.
//
// Invariant: a job is accepted once it is stored; what a caller is told about
// it was read from the store. The control goroutine owns all that the owner
// knows; callers read the mirror of the store.
package scheduler

import (
	"context"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"rosemarygap/core/event"
	"rosemarygap/core/job"
	"rosemarygap/core/status"
	"rosemarygap/io/agent"
	"rosemarygap/io/httpjson"
	"rosemarygap/io/process"
	"rosemarygap/platform"

	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"
	"github.com/oklog/run"
)

// Periods of a planned stop.
const (
	// drainTime is how long callers are served after the readiness fails: the
	// balancer notices after two misses, one second apart.
	drainTime = 2600 * time.Millisecond
	// stopLimit bounds the wait for requests in progress after that.
	stopLimit = 2 * time.Second
	// ordersWait is how long a request for orders is held.
	ordersWait = time.Second
	// reportWait bounds the wait for the control goroutine.
	reportWait = 400 * time.Millisecond
)

// Scheduler is the process on an entry VM.
type Scheduler struct {
	cfg      platform.Settings
	log      hclog.Logger
	store    *platform.Store
	mirror   *mirror
	process  int64
	reports  chan agentReport
	news     chan any
	deposed  chan struct{}
	stop     chan struct{}
	stopping atomic.Bool
	// prove asks for a proof of ownership at once.
	prove chan struct{}
	peers *httpjson.Client
	// advisor answers questions, one at a time.
	advisor       *platform.Advisor
	advisorHealth *process.Dependency
	questions     chan asked
	// noticeHealth logs when notices stop reaching the owner.
	noticeHealth *process.Dependency
}

// New returns a scheduler with the given settings.
func New(cfg platform.Settings, l hclog.Logger) *Scheduler {
	st := platform.NewStore(platform.NewHTTPClient(), cfg.StoreAddress, platform.WithObserver(process.CountStoreCall))
	return &Scheduler{cfg: cfg, log: l, store: st, mirror: newMirror(l, st), process: time.Now().UnixNano(),
		reports: make(chan agentReport, maxBatch), news: make(chan any, maxBatch),
		deposed: make(chan struct{}, 1), stop: make(chan struct{}),
		prove: make(chan struct{}, 1), peers: httpjson.NewClient(notifyLimit),
		noticeHealth:  process.NewDependency("owner", l),
		advisor:       platform.NewAdvisor(platform.NewHTTPClient(), cfg.AdvisorAddress),
		advisorHealth: process.NewDependency("advisor", l), questions: make(chan asked, maxQuestions)}
}

// Run serves until a stop signal, with the given actors beside it.
func Run(cfg platform.Settings, l hclog.Logger, actors ...process.Actor) error {
	if !cfg.CallerListen.IsValid() || !cfg.ReadinessListen.IsValid() {
		return status.At(status.ErrBadSetting, "listen.front, listen.readiness", cfg.CallerListen.String()+", "+cfg.ReadinessListen.String())
	}
	s := New(cfg, l)
	var g run.Group
	process.AddActor(&g, s.awaitStop)
	for _, x := range []struct {
		address netip.AddrPort
		handler http.Handler
	}{
		{cfg.CallerListen, s.callerHandler()},
		{cfg.ReadinessListen, s.readinessHandler()},
		{s.peerAddress(), s.peerHandler()},
		{cfg.ControlListen, s.peerHandler()},
		{netip.AddrPortFrom(cfg.IP, process.MetricsPort), process.MetricsHandler()},
	} {
		if !x.address.IsValid() {
			continue
		}
		bound, err := httpjson.Listen(x.address, x.handler)
		if err != nil {
			return err
		}
		process.AddListener(&g, bound, stopLimit)
	}
	c := newControl(s)
	for _, f := range append(actors, c.run, s.mirror.follow, s.mirror.followConfiguration,
		s.mirror.checkConfiguration, s.campaign, s.consult) {
		process.AddActor(&g, f)
	}
	event.ProcessStarted.Emit(l, event.Entry(cfg.Name), event.Address(cfg.CallerListen))
	err := g.Run()
	event.ProcessStopped.Emit(l, event.Entry(cfg.Name), event.Reason(process.StopReason(err)))
	return err
}

// awaitStop returns some time after a stop signal, in which callers are
// still served and another entry takes the ownership over.
func (s *Scheduler) awaitStop(ctx context.Context) error {
	if !process.AwaitStop(ctx) {
		return nil
	}
	event.ProcessStopping.Emit(s.log, event.Entry(s.cfg.Name))
	s.stopping.Store(true)
	close(s.stop)
	process.Pause(ctx, drainTime, nil)
	return nil
}

// peerAddress is where agents and other entries call.
func (s *Scheduler) peerAddress() netip.AddrPort { return netip.AddrPortFrom(s.cfg.IP, s.cfg.PeerPort) }

// tell passes x on to the control goroutine.
func (s *Scheduler) tell(ctx context.Context, x any) {
	select {
	case s.news <- x:
	case <-ctx.Done():
	}
}

// suspect makes the election give the ownership up.
func (s *Scheduler) suspect() { process.Wake(s.deposed) }

// readinessHandler answers the platform's balancer.
func (s *Scheduler) readinessHandler() http.Handler {
	e := httpjson.NewServer()
	e.GET(platform.ReadinessPath, func(x echo.Context) error {
		code := http.StatusOK
		if s.stopping.Load() || s.mirror.cfg.Load() == nil || !s.mirror.synced.Load() {
			code = http.StatusServiceUnavailable
		}
		return x.NoContent(code)
	})
	return e
}

// peerHandler serves agents and other entries.
func (s *Scheduler) peerHandler() http.Handler {
	e := httpjson.NewServer()
	e.GET(agent.OwnerPath, func(x echo.Context) error {
		o, _ := s.mirror.ownership()
		if o.Epoch == 0 {
			return status.ErrNoOwner
		}
		return x.JSON(http.StatusOK, o)
	})
	e.POST(agent.ReportPath, s.takeReport)
	e.POST(noticePath, s.takeNotice)
	return e
}

// takeReport passes an agent's report on and answers with the reply. A
// request that waits is answered when orders exist.
func (s *Scheduler) takeReport(x echo.Context) error {
	var r job.Report
	if err := httpjson.Decode(x, &r); err != nil {
		return err
	}
	limit := reportWait
	if r.LongPoll {
		limit = ordersWait
	}
	t := time.NewTimer(limit)
	defer t.Stop()
	in := agentReport{&r, make(chan replyOrError, 1)}
	select {
	case s.reports <- in:
	case <-t.C:
		return status.ErrNotOwner
	}
	select {
	case out := <-in.reply:
		if out.err != nil {
			return out.err
		}
		return x.JSON(http.StatusOK, &out.reply)
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
