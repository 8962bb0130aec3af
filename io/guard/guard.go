// Package guard is the optional process beside an endpoint: it announces on
// the endpoint's behalf, and passes requests on to it.
//
// Invariant: a request that the guard calls not run was not passed on, or the
// endpoint refused it; a non-idempotent id is passed on once within
// caller.Memory. Nothing depends on a guard.
package guard

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"rosemarygap/core/endpoint"
	"rosemarygap/core/event"
	"rosemarygap/core/operator"
	"rosemarygap/core/status"
	"rosemarygap/io/httpjson"
	"rosemarygap/io/process"

	"github.com/hashicorp/go-hclog"
	"github.com/oklog/run"
)

// Periods of announcements and of a planned stop.
const (
	announceEvery = 400 * time.Millisecond
	callTimeout   = time.Second
	// leaveWait covers the time in which entries may still send requests.
	leaveWait = 3 * time.Second
)

// Options are the settings of a guard. docs/SETTINGS.md is generated from the
// tags.
type Options struct {
	ID          string           `arg:"--id,required,env:ROSEMARYGAP_ID" help:"name of the endpoint, unique among endpoints"`
	Service     string           `arg:"--service,required,env:ROSEMARYGAP_SERVICE" help:"service that the endpoint answers for"`
	Zone        string           `arg:"--zone,required,env:ROSEMARYGAP_ZONE" help:"availability zone of this VM"`
	Listen      netip.AddrPort   `arg:"--listen,required,env:ROSEMARYGAP_LISTEN" help:"address for requests, announced to entries, IP:PORT"`
	Endpoint    netip.AddrPort   `arg:"--endpoint,required,env:ROSEMARYGAP_ENDPOINT" help:"address of the endpoint beside this guard, IP:PORT"`
	Entry       []netip.AddrPort `arg:"--entry,required,env:ROSEMARYGAP_ENTRIES" help:"caller addresses of entries, or of the balancer, to announce to"`
	Slots       int              `arg:"--slots,env:ROSEMARYGAP_SLOTS" default:"8" help:"requests at a time; 1 to 4096"`
	Connections int              `arg:"--connections,env:ROSEMARYGAP_CONNECTIONS" default:"64" help:"connections at a time; 1 to 65536"`
	StopLimit   time.Duration    `arg:"--stop-limit,env:ROSEMARYGAP_STOP_LIMIT" default:"60s" help:"longest wait for requests in progress at a planned stop; 1s to 10m"`
	LogLevel    string           `arg:"--log-level,env:ROSEMARYGAP_LOG_LEVEL" default:"info" help:"least level of log lines: trace, debug, info, warn or error"`
}

// Bounds of the settings.
const (
	minStopLimit = time.Second
	maxStopLimit = 10 * time.Minute
)

// Check returns the first setting at fault, with the flag and the value.
func (o *Options) Check() error {
	switch {
	case !operator.ValidName(o.ID):
		return status.At(status.ErrBadSetting, "--id", o.ID)
	case !operator.ValidName(o.Service):
		return status.At(status.ErrBadSetting, "--service", o.Service)
	case !operator.ValidName(o.Zone):
		return status.At(status.ErrBadSetting, "--zone", o.Zone)
	case hclog.LevelFromString(o.LogLevel) == hclog.NoLevel:
		return status.At(status.ErrBadSetting, "--log-level", o.LogLevel)
	case o.StopLimit < minStopLimit || o.StopLimit > maxStopLimit:
		return status.At(status.ErrBadSetting, "--stop-limit", o.StopLimit.String())
	}
	a := o.announcement()
	if err := a.Check(); err != nil {
		path, value := status.DetailOf(err)
		return status.At(status.ErrBadSetting, "--"+path, value)
	}
	return nil
}

func (o *Options) announcement() endpoint.Announcement {
	return endpoint.Announcement{ID: o.ID, Service: o.Service, Zone: o.Zone, Address: o.Listen,
		Incarnation: time.Now().UnixNano(), State: endpoint.Ready,
		Slots: o.Slots, Connections: o.Connections}
}

// Run serves until a stop signal, then leaves without cutting off a request.
func Run(o Options, l hclog.Logger) error {
	if err := o.Check(); err != nil {
		return err
	}
	s := NewServer(o, l)
	defer s.client.Close()
	bound, err := httpjson.Listen(o.Listen, s.Handler())
	if err != nil {
		return err
	}
	var g run.Group
	process.AddSignals(&g)
	addAnnouncer(&g, s)
	process.AddListener(&g, bound, o.StopLimit)
	event.GuardStarted.Emit(l, event.Endpoint(o.ID), event.Address(o.Listen))
	err = g.Run()
	event.GuardStopped.Emit(l, event.Endpoint(o.ID))
	return err
}

// addAnnouncer adds the actor that announces, and at a stop says that the
// endpoint leaves before the listener ends.
func addAnnouncer(g *run.Group, s *Server) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	g.Add(func() error {
		defer close(ended)
		return s.announce(ctx)
	}, func(error) {
		cancel()
		<-ended
	})
}

// announce tells one entry after another of the endpoint until ctx ends, then
// tells each that the endpoint leaves.
func (s *Server) announce(ctx context.Context) error {
	c := httpjson.NewClient(callTimeout)
	defer c.Close()
	a := s.options.announcement()
	t := time.NewTicker(announceEvery)
	defer t.Stop()
	for i := 0; ; i++ {
		a.Seq++
		s.tell(ctx, c, s.options.Entry[i%len(s.options.Entry)], a)
		select {
		case <-t.C:
		case <-ctx.Done():
			s.leave(c, a)
			return nil
		}
	}
}

func (s *Server) leave(c *httpjson.Client, a endpoint.Announcement) {
	a.State = endpoint.Leaving
	a.Seq++
	limit, cancel := context.WithTimeout(context.Background(), leaveWait)
	defer cancel()
	for _, to := range s.options.Entry {
		s.tell(limit, c, to, a)
	}
	<-limit.Done()
	s.leaving.Store(true)
}

func (s *Server) tell(ctx context.Context, c *httpjson.Client, to netip.AddrPort, a endpoint.Announcement) {
	err := c.Call(ctx, http.MethodPost, to, "/announcements/endpoints", a, nil)
	if err != nil && ctx.Err() == nil {
		event.AnnouncementFailed.Emit(s.log, event.Endpoint(a.ID), event.Address(to),
			event.Reason(status.CodeOf(err)))
	}
}
