package commandline

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"rosemarygap/core/endpoint"
	"rosemarygap/core/peer"
	"rosemarygap/core/worker"
	"rosemarygap/io/httpjson"
	"rosemarygap/io/process"
	standinendpoint "rosemarygap/io/standin/endpoint"
	standinworker "rosemarygap/io/standin/worker"

	"github.com/oklog/run"
)

// Herd is the subcommand that runs many fake workers and endpoints in one process,
// each on its own port. It serves to measure how the cost of control messages
// grows with the number of workers and endpoints.
type Herd struct {
	Base      netip.AddrPort   `arg:"--base,required" help:"address of the first stand-in; the others take the next ports"`
	Workers   int              `arg:"--workers" help:"number of workers"`
	Endpoints int              `arg:"--endpoints" help:"number of endpoints"`
	Services  int              `arg:"--services" default:"1" help:"number of services that share the endpoints"`
	Slots     int              `arg:"--slots" default:"64" help:"tasks at a time of each worker"`
	Entry     []netip.AddrPort `arg:"--entry,required" help:"caller addresses of entries to announce to"`
}

// Number of availability zones, and of workers in each rack, in a fleet of the size
// that rosemarygap is designed for.
const (
	herdZones      = 4
	workersPerRack = 3
)

// Run serves until the process receives a stop signal.
func (c *Herd) Run() error {
	var g run.Group
	process.AddSignals(&g)
	for i := range c.Workers {
		if err := c.addWorker(&g, i); err != nil {
			return err
		}
	}
	for i := range c.Endpoints {
		if err := c.addEndpoint(&g, i); err != nil {
			return err
		}
	}
	return g.Run()
}

func (c *Herd) address(i int) netip.AddrPort {
	return netip.AddrPortFrom(c.Base.Addr(), c.Base.Port()+uint16(i))
}

func (c *Herd) addWorker(g *run.Group, i int) error {
	a := peer.WorkerAnnouncement{ID: fmt.Sprintf("worker-%04d", i), Address: c.address(i),
		Zone: fmt.Sprintf("zone-%d", i%herdZones), Rack: fmt.Sprintf("rack-%d", i/workersPerRack)}
	s := standinworker.NewServer(a, worker.Resources{Processors: 16000, Memory: 61440, Slots: c.Slots})
	return c.addServer(g, a.Address, s.Handler(), s.Announce)
}

func (c *Herd) addEndpoint(g *run.Group, i int) error {
	a := endpoint.Announcement{ID: fmt.Sprintf("endpoint-%04d", i),
		Service: fmt.Sprintf("service-%d", i%c.Services), Zone: fmt.Sprintf("zone-%d", i%herdZones),
		Address: c.address(c.Workers + i), Slots: 8, Connections: 64}
	s := standinendpoint.NewServer(a, time.Millisecond, uint64(i))
	return c.addServer(g, a.Address, s.Handler(), s.Announce)
}

func (c *Herd) addServer(g *run.Group, a netip.AddrPort, h http.Handler,
	announce func(context.Context, []netip.AddrPort) error) error {
	l, err := httpjson.Listen(a, h)
	if err != nil {
		return err
	}
	process.AddListener(g, l, time.Second)
	process.AddActor(g, func(ctx context.Context) error { return announce(ctx, c.Entry) })
	return nil
}
