// Package guard implements the guard, an optional sidecar process of an endpoint.
// A guard announces the endpoint to the entries and forwards their requests to
// it.
//
// Invariant: a request that the guard reports as not run was not forwarded, or
// the endpoint refused it; a non-idempotent request whose id the endpoint may
// already have run is not forwarded again within caller.ClaimRetention. No other
// component depends on a guard.
package guard

import (
	"context"
	"net/http"
	"net/netip"
	"strconv"
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

// Time limits of announcements and of a planned stop.
const (
	announceInterval = 400 * time.Millisecond
	announceTimeout  = time.Second
	// leavingPeriod is how long entries may still send requests after the guard
	// announced that the endpoint is leaving.
	leavingPeriod = 3 * time.Second
)

// Options are the settings of a guard. docs/SETTINGS.md is generated from the
// tags.
type Options struct {
	ID              string           `arg:"--id,required,env:ROSEMARYGAP_ID" help:"name of the endpoint, unique among endpoints"`
	Service         string           `arg:"--service,required,env:ROSEMARYGAP_SERVICE" help:"service that the endpoint belongs to"`
	Zone            string           `arg:"--zone,required,env:ROSEMARYGAP_ZONE" help:"availability zone of this VM"`
	Listen          netip.AddrPort   `arg:"--listen,required,env:ROSEMARYGAP_LISTEN" help:"address at which the guard accepts requests, announced to entries, IP:PORT"`
	Endpoint        netip.AddrPort   `arg:"--endpoint,required,env:ROSEMARYGAP_ENDPOINT" help:"address of the endpoint to which the guard forwards requests, IP:PORT"`
	Entry           []netip.AddrPort `arg:"--entry,required,env:ROSEMARYGAP_ENTRIES" help:"caller addresses of the entries, or of their load balancer, to which the guard announces the endpoint"`
	Slots           int              `arg:"--slots,env:ROSEMARYGAP_SLOTS" default:"8" help:"maximum number of concurrent requests; 1 to 4096"`
	Connections     int              `arg:"--connections,env:ROSEMARYGAP_CONNECTIONS" default:"64" help:"maximum number of concurrent connections to the endpoint; 1 to 65536"`
	StopLimit       time.Duration    `arg:"--stop-limit,env:ROSEMARYGAP_STOP_LIMIT" default:"60s" help:"maximum time that a graceful shutdown waits for requests in progress; 1s to 10m"`
	MemoryLimit     int64            `arg:"--memory-limit,env:ROSEMARYGAP_MEMORY_LIMIT" default:"0" help:"memory limit of the process in MiB; three tenths of it are for the connections of clients; 0 means no limit, and 1 GiB for these connections"`
	DescriptorLimit int              `arg:"--descriptor-limit,env:ROSEMARYGAP_DESCRIPTOR_LIMIT" default:"0" help:"maximum number of file descriptors of the process; about half of it is for the connections of clients; 0 means the limit of the operating system"`
	LogLevel        string           `arg:"--log-level,env:ROSEMARYGAP_LOG_LEVEL" default:"info" help:"minimum level of log lines: trace, debug, info, warn or error"`
}

// Bounds of the settings.
const (
	minStopLimit = time.Second
	maxStopLimit = 10 * time.Minute
)

// Check returns an error for the first invalid setting, with its flag and value.
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
	case o.MemoryLimit < 0:
		return status.At(status.ErrBadSetting, "--memory-limit", strconv.FormatInt(o.MemoryLimit, 10))
	case o.DescriptorLimit < 0:
		return status.At(status.ErrBadSetting, "--descriptor-limit", strconv.Itoa(o.DescriptorLimit))
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

// Run runs a guard until a stop signal. It then announces that the endpoint is
// leaving and drains the requests in progress for up to o.StopLimit.
func Run(o Options, l hclog.Logger) error {
	if err := o.Check(); err != nil {
		return err
	}
	s := NewServer(o, l)
	defer s.client.Close()
	limiter := process.NewLimiter(o.MemoryLimit, o.DescriptorLimit, l, httpjson.Share{Listener: "guard", Percent: 100})
	listener, err := httpjson.Listen(o.Listen, s.Handler(), httpjson.WithLimiter(limiter, "guard"))
	if err != nil {
		return err
	}
	var g run.Group
	process.AddSignals(&g)
	addAnnouncer(&g, s)
	process.AddListener(&g, listener, o.StopLimit)
	process.AddActor(&g, limiter.Run)
	event.GuardStarted.Emit(l, event.Endpoint(o.ID), event.Address(o.Listen))
	err = g.Run()
	event.GuardStopped.Emit(l, event.Endpoint(o.ID))
	return err
}

// addAnnouncer adds the actor that announces the endpoint. At a planned stop the
// actor announces that the endpoint is leaving before the listener is closed.
func addAnnouncer(g *run.Group, s *Server) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	g.Add(func() error {
		defer close(done)
		return s.announce(ctx)
	}, func(error) {
		cancel()
		<-done
	})
}

// announce announces the endpoint to the entries in turn until ctx ends. It then
// announces to all of them that the endpoint is leaving.
func (s *Server) announce(ctx context.Context) error {
	c := httpjson.NewClient(announceTimeout)
	defer c.Close()
	a := s.options.announcement()
	t := time.NewTicker(announceInterval)
	defer t.Stop()
	for i := 0; ; i++ {
		a.Seq++
		s.sendAnnouncement(ctx, c, s.options.Entry[i%len(s.options.Entry)], a)
		select {
		case <-t.C:
		case <-ctx.Done():
			s.announceLeaving(c, a)
			return nil
		}
	}
}

func (s *Server) announceLeaving(c *httpjson.Client, a endpoint.Announcement) {
	a.State = endpoint.Leaving
	a.Seq++
	leaveCtx, cancel := context.WithTimeout(context.Background(), leavingPeriod)
	defer cancel()
	for _, to := range s.options.Entry {
		s.sendAnnouncement(leaveCtx, c, to, a)
	}
	<-leaveCtx.Done()
	s.leaving.Store(true)
}

func (s *Server) sendAnnouncement(ctx context.Context, c *httpjson.Client, to netip.AddrPort, a endpoint.Announcement) {
	err := c.Call(ctx, http.MethodPost, to, "/announcements/endpoints", a, nil)
	if err != nil && ctx.Err() == nil {
		event.AnnouncementFailed.Emit(s.log, event.Endpoint(a.ID), event.Address(to),
			event.Reason(status.CodeOf(err)))
	}
}
