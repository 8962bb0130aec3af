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
	"rosemarygap/io/httpjson"
	"rosemarygap/io/operator"
	iopeer "rosemarygap/io/peer"
	"rosemarygap/io/platform"
	"rosemarygap/io/process"

	"github.com/hashicorp/go-hclog"
	"github.com/oklog/run"
)

// maxConnectionsPerEndpoint limits the connections of this entry to one
// endpoint. It is one eighth of the 64 connections that an endpoint accepts, so
// that the endpoint's limit isn't exceeded even while entries that no longer
// have a share of its slots still have connections open.
const maxConnectionsPerEndpoint = 8

// crossZonePenalty is the additional latency that is assumed for an endpoint in
// another availability zone until the endpoint's latency is known.
const crossZonePenalty = 2 * time.Millisecond

// shares are what the listeners, by the names in addActors, are guaranteed of the room for
// connections.
var shares = []httpjson.Share{
	{Listener: "caller", Percent: 30},
	{Listener: "operator", Percent: 10},
	{Listener: "peer", Percent: 15},
	{Listener: "admin", Percent: 5},
}

// Entry is the entry process, which runs on an entry VM.
type Entry struct {
	opts         Options
	log          hclog.InterceptLogger
	store        platform.Store
	control      *control
	client       *endpoint.Client
	recentEvents *operator.RecentEvents
}

// Option configures an Entry.
type Option func(*Entry)

// WithStore sets the store to use instead of the HTTP client of the platform's
// key-value service.
func WithStore(s platform.Store) Option { return func(e *Entry) { e.store = s } }

// WithLog writes the log to w instead of the standard error.
func WithLog(w io.Writer) Option {
	return func(e *Entry) { e.log = process.NewLogger("entry", e.opts.LogLevel, w) }
}

// New returns an entry that isn't running yet. It returns status.ErrBadSetting if
// a setting is out of bounds.
func New(o Options, opts ...Option) (*Entry, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	e := &Entry{opts: o, recentEvents: operator.NewRecentEvents()}
	WithLog(os.Stderr)(e)
	e.store = platform.NewLimitedStore(platform.NewClient(o.Platform))
	e.client = endpoint.NewClient(maxConnectionsPerEndpoint)
	for _, f := range opts {
		f(e)
	}
	e.log.RegisterSink(e.recentEvents)
	e.control = newControl(o, e.log, e.store)
	return e, nil
}

// Run runs the entry until it receives a stop signal or a listener or goroutine
// fails.
func (e *Entry) Run() error {
	var g run.Group
	process.AddSignals(&g)
	if err := e.addActors(&g); err != nil {
		return err
	}
	event.ProcessStarted.Emit(e.log, event.Entry(e.opts.ID), event.Address(e.opts.CallerListen))
	err := g.Run()
	e.client.Close()
	event.ProcessStopped.Emit(e.log, event.Entry(e.opts.ID), event.Reason(errorCode(err)))
	return err
}

// addActors adds the actors of the process in the order in which a graceful
// shutdown stops them: first the entry reports that it isn't ready, so that
// callers use other entries, and the listeners for other entries and for
// metrics stop last.
func (e *Entry) addActors(g *run.Group) error {
	policy := coreendpoint.NewLatencyAware(coreendpoint.WithZone(e.opts.Zone, crossZonePenalty),
		coreendpoint.WithWeights(e.control.endpointWeight))
	observers := observerList{policy, dispatchRecorder{e.control.interference.recorder, e.control.Snapshot}}
	callerServer := iocaller.NewServer(e.control, e.client, e.log,
		iocaller.WithPolicy(policy), iocaller.WithObserver(observers),
		iocaller.WithClaimer(e.control.claims))
	operatorServer := operator.NewServer(e.control, e.store, e.log,
		operator.WithToken(e.opts.OperatorToken), operator.WithRecentEvents(e.recentEvents))
	listeners := []listenerSpec{
		{"caller", e.opts.CallerListen, recordLatency(callerServer.Handler(), e.control.latency, e.control.Snapshot)},
		{"operator", e.opts.OperatorListen, operatorServer.Handler()},
		{"peer", e.opts.PeerListen, iopeer.NewHandler(e.control, e.control.claims)},
		{"admin", e.opts.AdminListen, newAdminHandler(e.control)},
	}
	limiter := process.NewLimiter(e.opts.MemoryLimit, e.opts.DescriptorLimit, e.log, shares...)
	bound, err := bindAll(listeners, limiter)
	if err != nil {
		return err
	}
	e.addDrainActor(g)
	process.AddListener(g, bound[0], e.opts.StopLimit)
	process.AddListener(g, bound[1], e.opts.StopLimit)
	addWaitingActor(g, e.control.claims.Run)
	addWaitingActor(g, e.control.run)
	process.AddListener(g, bound[2], e.opts.StopLimit)
	process.AddListener(g, bound[3], e.opts.StopLimit)
	process.AddActor(g, limiter.Run)
	return nil
}

// addDrainActor adds the actor that starts a graceful shutdown: it publishes that
// this entry is stopping, and waits StopDelay for the load balancer to notice
// that.
func (e *Entry) addDrainActor(g *run.Group) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error {
		<-ctx.Done()
		return nil
	}, func(error) {
		defer cancel()
		event.ProcessStopping.Emit(e.log, event.Entry(e.opts.ID))
		sendCtx, cancelSend := context.WithTimeout(context.Background(), time.Second)
		defer cancelSend()
		_ = e.control.send(sendCtx, stopStarted{})
		time.Sleep(e.opts.StopDelay)
	})
}

// addWaitingActor adds an actor that runs f. At shutdown the actor cancels f and
// waits until f returns before the actors that were added later are stopped.
func addWaitingActor(g *run.Group, f func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	g.Add(func() error {
		defer close(done)
		return f(ctx)
	}, func(error) {
		cancel()
		<-done
	})
}

// stopStarted is sent when a graceful shutdown starts.
type stopStarted struct{}

func (stopStarted) handle(c *control, _ time.Time) {
	c.stopping = true
	c.dirty = true
}
