// Package commandline implements the subcommands of rosemarygap-standin, which runs
// stand-ins (fakes) of the platform, workers and endpoints.
package commandline

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"time"

	"rosemarygap/core/endpoint"
	"rosemarygap/core/peer"
	"rosemarygap/core/worker"
	"rosemarygap/io/httpjson"
	"rosemarygap/io/process"
	standinendpoint "rosemarygap/io/standin/endpoint"
	"rosemarygap/io/standin/platform"
	standinworker "rosemarygap/io/standin/worker"

	"github.com/alexflint/go-arg"
	"github.com/oklog/run"
)

// stopTimeout limits how long an endpoint waits in Leave, and how long a server
// that stops waits for requests in progress.
const stopTimeout = 30 * time.Second

// Platform is the subcommand that runs a fake of the key-value service.
type Platform struct {
	Listen netip.AddrPort `arg:"--listen,required" help:"address to listen on, IP:PORT"`
}

// Run serves the key-value service until the process receives a stop signal.
func (c *Platform) Run() error {
	s := platform.NewServer(platform.NewStore())
	return serveUntilStopped(c.Listen, s.Handler(), nil)
}

// Worker is the subcommand that runs a fake of a worker VM.
type Worker struct {
	Listen     netip.AddrPort   `arg:"--listen,required" help:"address to listen on, IP:PORT"`
	ID         string           `arg:"--id,required" help:"name of the worker"`
	Zone       string           `arg:"--zone,required" help:"availability zone"`
	Rack       string           `arg:"--rack" default:"rack-1" help:"rack within the availability zone"`
	Entry      []netip.AddrPort `arg:"--entry,required" help:"caller addresses of entries to announce to"`
	Processors int              `arg:"--processors-milli" default:"16000" help:"capacity in thousandths of a processor"`
	Memory     int64            `arg:"--memory-mib" default:"61440" help:"capacity in MiB"`
	Slots      int              `arg:"--slots" default:"8" help:"tasks at a time"`
}

// Run serves and announces the worker until the process receives a stop signal.
func (c *Worker) Run() error {
	a := peer.WorkerAnnouncement{ID: c.ID, Zone: c.Zone, Rack: c.Rack, Address: c.Listen}
	capacity := worker.Resources{Processors: c.Processors, Memory: c.Memory, Slots: c.Slots}
	s := standinworker.NewServer(a, capacity)
	return serveUntilStopped(c.Listen, s.Handler(), func(ctx context.Context) error {
		return s.Announce(ctx, c.Entry)
	})
}

// Endpoint is the subcommand that runs a fake of an endpoint of a service.
type Endpoint struct {
	Listen          netip.AddrPort   `arg:"--listen,required" help:"address to listen on, IP:PORT"`
	ID              string           `arg:"--id,required" help:"name of the endpoint"`
	Service         string           `arg:"--service,required" help:"service that it answers for"`
	Zone            string           `arg:"--zone,required" help:"availability zone"`
	Entry           []netip.AddrPort `arg:"--entry,required" help:"caller addresses of entries to announce to"`
	Slots           int              `arg:"--slots" default:"8" help:"requests at a time"`
	Connections     int              `arg:"--connections" default:"64" help:"connections at a time"`
	MeanServiceTime time.Duration    `arg:"--service-time" default:"5ms" help:"mean time of a request"`
	Seed            uint64           `arg:"--seed" default:"1" help:"seed of the random times"`
}

// Run serves and announces the endpoint until the process receives a stop signal.
// It then announces the leaving state before it stops, so that no request is cut
// off.
func (c *Endpoint) Run() error {
	a := endpoint.Announcement{ID: c.ID, Service: c.Service, Zone: c.Zone,
		Address: c.Listen, Slots: c.Slots, Connections: c.Connections}
	s := standinendpoint.NewServer(a, c.MeanServiceTime, c.Seed)
	l, err := httpjson.Listen(c.Listen, s.Handler())
	if err != nil {
		return err
	}
	l.OnConnState(s.TrackConnection)
	return serveListener(l, func(ctx context.Context) error {
		err := s.Announce(ctx, c.Entry)
		leaveCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		s.Leave(leaveCtx, c.Entry)
		return err
	})
}

func serveUntilStopped(a netip.AddrPort, h http.Handler, announce func(context.Context) error) error {
	l, err := httpjson.Listen(a, h)
	if err != nil {
		return err
	}
	return serveListener(l, announce)
}

func serveListener(l *httpjson.Listener, announce func(context.Context) error) error {
	announceDone := make(chan struct{})
	var g run.Group
	process.AddSignals(&g)
	if announce != nil {
		process.AddActor(&g, func(ctx context.Context) error {
			defer close(announceDone)
			return announce(ctx)
		})
	} else {
		close(announceDone)
	}
	addListenerAfter(&g, l, announceDone)
	return g.Run()
}

// addListenerAfter adds l to g. When g is interrupted, l continues to serve until
// announceDone is closed.
func addListenerAfter(g *run.Group, l *httpjson.Listener, announceDone <-chan struct{}) {
	stopped := make(chan error, 1)
	g.Add(func() error {
		if err := l.Serve(); err != nil {
			return err
		}
		return <-stopped
	}, func(error) {
		go func() {
			<-announceDone
			ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
			defer cancel()
			stopped <- l.Stop(ctx)
		}()
	})
}

// Program is the command line of rosemarygap-standin.
type Program struct {
	Platform *Platform `arg:"subcommand:platform" help:"the key-value service"`
	Worker   *Worker   `arg:"subcommand:worker" help:"a worker VM"`
	Endpoint *Endpoint `arg:"subcommand:endpoint" help:"an endpoint of a service"`
	Herd     *Herd     `arg:"subcommand:herd" help:"many workers and endpoints in one process"`
	Fault    *Fault    `arg:"subcommand:fault" help:"set the faults of a running stand-in"`
}

// Description returns the description that --help prints.
func (Program) Description() string {
	return "Runs stand-ins for the platform, workers and endpoints, and injects faults into them."
}

// Main runs the subcommand given on the command line and returns the exit code of
// the process.
func Main() int {
	var p Program
	parser := arg.MustParse(&p)
	var err error
	switch {
	case p.Platform != nil:
		err = p.Platform.Run()
	case p.Worker != nil:
		err = p.Worker.Run()
	case p.Endpoint != nil:
		err = p.Endpoint.Run()
	case p.Herd != nil:
		err = p.Herd.Run()
	case p.Fault != nil:
		err = p.Fault.Run()
	default:
		parser.WriteHelp(os.Stderr)
		return process.ExitUsage
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return process.ExitFailed
	}
	return process.ExitOK
}
