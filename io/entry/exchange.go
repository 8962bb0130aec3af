package entry

import (
	"context"
	"net/netip"
	"time"

	"rosemarygap/core/endpoint"
	"rosemarygap/core/event"
	"rosemarygap/core/peer"
	"rosemarygap/core/status"
	"rosemarygap/core/wire"
	"rosemarygap/core/worker"
)

// exchanged is the result of one exchange with another entry.
type exchangeResult struct {
	to  string
	out peer.Exchange
	err error
}

func (c *control) tickExchange(ctx context.Context, now time.Time) {
	if now.Sub(c.exchanged) < exchangeEvery {
		return
	}
	c.exchanged = now
	for id, to := range c.exchangePeers() {
		c.exchangeWith(ctx, id, to, now)
	}
}

// exchangePeers returns the registered entries, and the configured ones
// while no other entry is known.
func (c *control) exchangePeers() map[string]netip.AddrPort {
	out := make(map[string]netip.AddrPort)
	for id, m := range c.members.All {
		if id != c.self.ID {
			out[id] = m.Address
		}
	}
	if len(out) > 0 {
		return out
	}
	for _, a := range c.opts.Peers {
		if a != c.self.Address {
			out[a.String()] = a
		}
	}
	return out
}

func (c *control) exchangeWith(ctx context.Context, id string, to netip.AddrPort, now time.Time) {
	x := c.exchange(c.known[id], now)
	c.start(ctx, func(ctx context.Context) message {
		out, err := c.peers.Exchange(ctx, to, x)
		return exchangeResult{id, out, err}
	})
}

// exchange builds what this entry tells an entry that has revision known.
func (c *control) exchange(known int64, now time.Time) peer.Exchange {
	x := peer.Exchange{From: c.self.ID}
	if c.config != nil {
		x.Revision = c.config.Revision
		if known < x.Revision {
			x.Config = c.config
		}
	}
	x.Endpoints = c.endpoints.Aged(defaultTTL, now)
	for _, w := range c.notices.All {
		age := now.Sub(w.made)
		if age <= defaultTTL {
			x.Workers = append(x.Workers, peer.AgedWorker{Notice: w.notice, Age: wire.Duration(age)})
		}
	}
	for _, run := range c.cells.All {
		if run.owned {
			x.Transfers = append(x.Transfers, run.driver.Cell.Transfers()...)
			x.Wants = append(x.Wants, run.driver.Cell.Wants()...)
		}
	}
	return x
}

func (m exchangeResult) handle(c *control, now time.Time) {
	if m.err != nil {
		event.PeerUnreachable.Emit(c.log, event.Entry(m.to), event.Reason(status.CodeOf(m.err)))
		return
	}
	c.known[m.to] = m.out.Revision
	c.absorb(m.out, now)
}

// absorb takes in what another entry knows.
func (c *control) absorb(x peer.Exchange, now time.Time) {
	if x.Config != nil {
		c.adoptConfig(x.Config)
	}
	for _, a := range x.Endpoints {
		c.heardEndpoint(a.Announcement, a.Age.Std(), now)
	}
	for _, w := range x.Workers {
		c.heardWorker(w.Notice, w.Age.Std(), now)
	}
	c.hearQuotas(x.Transfers, x.Wants)
}

// hearQuotas tells the cells owned here what other cells lent and want.
func (c *control) hearQuotas(ts []worker.Transfer, ws []worker.Want) {
	for _, run := range c.cells.All {
		if run.owned {
			run.driver.Cell.Hear(ts, ws)
		}
	}
}

func (c *control) heardEndpoint(a endpoint.Announcement, age time.Duration, now time.Time) {
	if c.endpoints.Apply(a, age, now) {
		c.dirty = true
	}
}

func (c *control) heardWorker(n peer.WorkerNotice, age time.Duration, now time.Time) {
	made := now.Add(-age)
	old := c.notices.Get(n.ID)
	if old != nil && (old.notice.Incarnation > n.Incarnation || old.made.After(made)) {
		return
	}
	c.notices.Put(n.ID, heardWorker{n, made})
	if c.config == nil {
		return
	}
	cell := peer.CellOfWorker(n.ID, c.config.Document.Cells)
	run := c.cells.Get(cell)
	if run == nil || !run.owned {
		return
	}
	if run.driver.Cell.Announce(n.ID, n.Zone, n.Rack, n.Address) {
		event.WorkerAdded.Emit(c.log, event.Worker(n.ID), event.Cell(cell), event.Address(n.Address))
	}
}

// Messages of the interfaces of callers and entries.
type (
	endpointAnnounced struct{ a endpoint.Announcement }
	workerAnnounced   struct{ n peer.WorkerNotice }
	exchangeReceived  struct {
		x     peer.Exchange
		reply chan<- peer.Exchange
	}
)

func (m endpointAnnounced) handle(c *control, now time.Time) {
	c.heardEndpoint(m.a, 0, now)
}

func (m workerAnnounced) handle(c *control, now time.Time) {
	c.heardWorker(m.n, 0, now)
}

func (m exchangeReceived) handle(c *control, now time.Time) {
	c.known[m.x.From] = m.x.Revision
	c.absorb(m.x, now)
	m.reply <- c.exchange(m.x.Revision, now)
}
