// Package commandline holds the subcommands of the stand-ins' program.
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

// stopLimit is how long a stand-in waits for requests in progress.
const stopLimit = 30 * time.Second

// Platform serves the stand-in for the key-value service.
type Platform struct {
	Listen netip.AddrPort `arg:"--listen,required" help:"address to listen on, IP:PORT"`
}

// Run serves until a stop signal.
func (c *Platform) Run() error {
	s := platform.NewServer(platform.NewStore())
	return serve(c.Listen, s.Handler(), nil)
}

// Worker serves the stand-in for a worker VM.
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

// Run serves until a stop signal.
func (c *Worker) Run() error {
	n := peer.WorkerAnnouncement{ID: c.ID, Zone: c.Zone, Rack: c.Rack, Address: c.Listen}
	capacity := worker.Resources{Processors: c.Processors, Memory: c.Memory, Slots: c.Slots}
	s := standinworker.NewServer(n, capacity)
	return serve(c.Listen, s.Handler(), func(ctx context.Context) error {
		return s.Announce(ctx, c.Entry)
	})
}

// Endpoint serves the stand-in for an endpoint of a service.
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

// Run serves until a stop signal, then leaves without cutting off a request.
func (c *Endpoint) Run() error {
	a := endpoint.Announcement{ID: c.ID, Service: c.Service, Zone: c.Zone,
		Address: c.Listen, Slots: c.Slots, Connections: c.Connections}
	s := standinendpoint.NewServer(a, c.MeanServiceTime, c.Seed)
	l, err := httpjson.Listen(c.Listen, s.Handler())
	if err != nil {
		return err
	}
	l.OnConnState(s.TrackConnection)
	return serveOn(l, func(ctx context.Context) error {
		err := s.Announce(ctx, c.Entry)
		limit, cancel := context.WithTimeout(context.Background(), stopLimit)
		defer cancel()
		s.Leave(limit, c.Entry)
		return err
	})
}

func serve(a netip.AddrPort, h http.Handler, announce func(context.Context) error) error {
	l, err := httpjson.Listen(a, h)
	if err != nil {
		return err
	}
	return serveOn(l, announce)
}

func serveOn(l *httpjson.Listener, announce func(context.Context) error) error {
	left := make(chan struct{})
	var g run.Group
	process.AddSignals(&g)
	if announce != nil {
		process.AddActor(&g, func(ctx context.Context) error {
			defer close(left)
			return announce(ctx)
		})
	} else {
		close(left)
	}
	addListenerAfter(&g, l, left)
	return g.Run()
}

// addListenerAfter adds a server that goes on until left is closed.
func addListenerAfter(g *run.Group, l *httpjson.Listener, left <-chan struct{}) {
	stopped := make(chan error, 1)
	g.Add(func() error {
		if err := l.Serve(); err != nil {
			return err
		}
		return <-stopped
	}, func(error) {
		go func() {
			<-left
			ctx, cancel := context.WithTimeout(context.Background(), stopLimit)
			defer cancel()
			stopped <- l.Stop(ctx)
		}()
	})
}

// Program is the command line of the stand-ins.
type Program struct {
	Platform *Platform `arg:"subcommand:platform" help:"the key-value service"`
	Worker   *Worker   `arg:"subcommand:worker" help:"a worker VM"`
	Endpoint *Endpoint `arg:"subcommand:endpoint" help:"an endpoint of a service"`
	Herd     *Herd     `arg:"subcommand:herd" help:"many workers and endpoints in one process"`
	Fault    *Fault    `arg:"subcommand:fault" help:"set the faults of a running stand-in"`
}

// Description is shown by --help.
func (Program) Description() string {
	return "Small stand-ins for what surrounds rosemarygap, with switches for their faults."
}

// Main runs the subcommand that the arguments name and returns an exit code.
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
