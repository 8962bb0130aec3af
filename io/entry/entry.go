package entry

import (
	"context"
	"io"
	"os"
	"time"

	coreendpoint "rosemarygap/core/endpoint"
	"rosemarygap/core/event"
	iocaller "rosemarygap/io/caller"
	"rosemarygap/io/endpoint"
	"rosemarygap/io/operator"
	iopeer "rosemarygap/io/peer"
	"rosemarygap/io/platform"
	"rosemarygap/io/process"

	"github.com/hashicorp/go-hclog"
	"github.com/oklog/run"
)

// connectionsPerEndpoint bounds the connections of this entry to one endpoint.
// It is an eighth of an endpoint's 64, so that even entries that were just
// left out of the shares, and still have connections open, exceed nothing.
const connectionsPerEndpoint = 8

// zoneDetour is the time that a request to another availability zone costs
// beside one in the entry's own, before its latency is known.
const zoneDetour = 2 * time.Millisecond

// Entry is the process on an entry VM.
type Entry struct {
	opts    Options
	log     hclog.InterceptLogger
	store   platform.Store
	control *control
	client  *endpoint.Client
	recent  *operator.RecentEvents
}

// Option changes how an Entry is built.
type Option func(*Entry)

// WithStore replaces the HTTP mapping of the platform's store.
func WithStore(s platform.Store) Option { return func(e *Entry) { e.store = s } }

// WithLog sends the log lines to w instead of the standard error.
func WithLog(w io.Writer) Option {
	return func(e *Entry) { e.log = process.NewLogger("entry", e.opts.LogLevel, w) }
}

// New returns an entry that does not run yet. It refuses settings that are
// out of bounds with status.ErrBadSetting.
func New(o Options, opts ...Option) (*Entry, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	e := &Entry{opts: o, recent: operator.NewRecentEvents()}
	WithLog(os.Stderr)(e)
	e.store = platform.NewLimitedStore(platform.NewClient(o.Platform))
	e.client = endpoint.NewClient(connectionsPerEndpoint)
	for _, f := range opts {
		f(e)
	}
	e.log.RegisterSink(e.recent)
	e.control = newControl(o, e.log, e.store)
	return e, nil
}

// Run serves until a stop signal or a failure.
func (e *Entry) Run() error {
	var g run.Group
	process.AddSignals(&g)
	if err := e.addActors(&g); err != nil {
		return err
	}
	event.ProcessStarted.Emit(e.log, event.Entry(e.opts.ID), event.Address(e.opts.CallerListen))
	err := g.Run()
	e.client.Close()
	event.ProcessStopped.Emit(e.log, event.Entry(e.opts.ID), event.Reason(reasonOf(err)))
	return err
}

// addActors adds the parts of the process in the order in which a planned
// stop ends them: callers are sent elsewhere first, and the interface
// between entries goes last.
func (e *Entry) addActors(g *run.Group) error {
	policy := coreendpoint.NewLatencyAware(coreendpoint.WithZone(e.opts.Zone, zoneDetour),
		coreendpoint.WithWeights(e.control.advisedWeight))
	observers := observerList{policy, dispatchRecorder{e.control.interference.recorder, e.control.Snapshot}}
	callers := iocaller.NewServer(e.control, e.client, e.log,
		iocaller.WithPolicy(policy), iocaller.WithObserver(observers),
		iocaller.WithClaimer(e.control.claims))
	operators := operator.NewServer(e.control, e.store, e.log,
		operator.WithToken(e.opts.OperatorToken), operator.WithRecentEvents(e.recent))
	listeners := []listenerSpec{
		{"caller", e.opts.CallerListen, observeLatency(callers.Handler(), e.control.latency, e.control.Snapshot)},
		{"operator", e.opts.OperatorListen, operators.Handler()},
		{"peer", e.opts.PeerListen, iopeer.NewHandler(e.control, e.control.claims)},
		{"admin", e.opts.AdminListen, newAdminHandler(e.control)},
	}
	bound, err := bindAll(listeners)
	if err != nil {
		return err
	}
	e.addLeave(g)
	process.AddListener(g, bound[0], e.opts.StopLimit)
	process.AddListener(g, bound[1], e.opts.StopLimit)
	addWaiting(g, e.control.claims.Run)
	addWaiting(g, e.control.run)
	process.AddListener(g, bound[2], e.opts.StopLimit)
	process.AddListener(g, bound[3], e.opts.StopLimit)
	return nil
}

// addLeave adds the actor that turns callers away before a planned stop.
func (e *Entry) addLeave(g *run.Group) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error {
		<-ctx.Done()
		return nil
	}, func(error) {
		defer cancel()
		event.ProcessStopping.Emit(e.log, event.Entry(e.opts.ID))
		limit, done := context.WithTimeout(context.Background(), time.Second)
		defer done()
		_ = e.control.send(limit, stopBegun{})
		time.Sleep(e.opts.StopDelay)
	})
}

// addWaiting adds f, and at a stop waits for its end before later actors end.
func addWaiting(g *run.Group, f func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	g.Add(func() error {
		defer close(ended)
		return f(ctx)
	}, func(error) {
		cancel()
		<-ended
	})
}

// stopBegun tells the control goroutine that a planned stop began.
type stopBegun struct{}

func (stopBegun) handle(c *control, _ time.Time) {
	c.stopping = true
	c.dirty = true
}
