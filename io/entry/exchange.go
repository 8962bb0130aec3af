package entry

import (
	"context"
	"net/netip"
	"time"

	"rosemarygap/core/clock"
	"rosemarygap/core/endpoint"
	"rosemarygap/core/event"
	"rosemarygap/core/peer"
	"rosemarygap/core/status"
	"rosemarygap/core/worker"
)

// exchangeResult is the answer of another entry to a question.
type exchangeResult struct {
	to    string
	asked time.Time
	out   peer.ExchangeResponse
	err   error
}

func (c *control) tickExchange(ctx context.Context, now time.Time) {
	p := &c.peering
	to := c.exchangePeers()
	every := exchangeEvery
	if len(to) > manyPeers {
		every = exchangeSlow
	}
	if clock.Elapsed(p.asked, now) < every {
		return
	}
	p.asked = now
	p.endpoints.Expire(forgetAfter, now)
	p.workers.Expire(forgetAfter, now)
	for key, a := range to {
		c.exchangeWith(ctx, key, a, now)
	}
	p.leaving = nil
}

// exchangePeers returns the known entries, and the configured ones until an
// entry that knows the others has answered.
func (c *control) exchangePeers() map[string]netip.AddrPort {
	out := make(map[string]netip.AddrPort)
	known := make(map[netip.AddrPort]bool)
	for _, m := range c.peering.roster.Peers() {
		out[m.ID] = m.Address
		known[m.Address] = true
	}
	if c.peering.roster.Bootstrapped() && c.config != nil {
		return out
	}
	for _, a := range c.opts.Peers {
		if a != c.self.Address && !known[a] {
			out[a.String()] = a
		}
	}
	return out
}

// exchangeWith asks one entry, unless its answer to the last question is
// still to come and there is nothing that must be told at once.
func (c *control) exchangeWith(ctx context.Context, key string, to netip.AddrPort, now time.Time) {
	p := &c.peering
	m := p.mirror(key)
	if m.busy && len(p.leaving) == 0 {
		return
	}
	m.busy = true
	x := peer.ExchangeRequest{From: c.self, Version: p.roster.Version(), Leaving: p.leaving,
		Endpoints: m.endpoints.Cursor(), Workers: m.workers.Cursor()}
	if c.config != nil {
		x.Revision = c.config.Revision
	}
	x.Transfers, x.Wants = c.quotas()
	x.Interference = c.gossip(now)
	c.start(ctx, func(ctx context.Context) message {
		out, err := c.exchange(ctx, to, x)
		return exchangeResult{key, now, out, err}
	})
}

func (r exchangeResult) handle(c *control, now time.Time) {
	m := c.peering.mirror(r.to)
	m.busy = false
	if r.err != nil {
		if !m.down {
			event.PeerUnreachable.Emit(c.log, event.Entry(r.to), event.Reason(status.CodeOf(r.err)))
		}
		m.down = true
		return
	}
	m.down = false
	m.answered = now
	c.absorb(m, r, now)
}

// absorb takes in an answer.
func (c *control) absorb(m *mirror, r exchangeResult, now time.Time) {
	if r.out.Config != nil {
		c.adoptConfig(r.out.Config)
	}
	c.rosterChanged(c.peering.roster.RecordContact(r.out.From, now))
	for _, row := range r.out.Roster {
		c.rosterChanged(c.peering.roster.Merge(row, r.asked, now))
	}
	c.peering.roster.RecordResponse(r.out.From.ID, r.out.Report, r.asked, now)
	c.applyShares()
	m.endpoints.Apply(r.out.Endpoints, r.asked,
		func(a endpoint.Announcement, made time.Time) peer.Key {
			c.heardEndpoint(a, made, now, false)
			latest, _, _ := c.endpoints.Latest(a.ID)
			return peer.Key{ID: latest.ID, Incarnation: a.Incarnation}
		},
		func(k peer.Key, made time.Time) { c.refreshedEndpoint(k, made, now) })
	m.workers.Apply(r.out.Workers, r.asked,
		func(n peer.WorkerAnnouncement, made time.Time) peer.Key {
			c.heardWorker(n, made, now)
			return peer.Key{ID: c.notices.Get(n.ID).notice.ID, Incarnation: n.Incarnation}
		},
		func(k peer.Key, made time.Time) { c.refreshedWorker(k, made, now) })
	c.hearQuotas(r.out.Transfers, r.out.Wants)
}

// refreshedWorker takes in that another entry heard of a worker.
func (c *control) refreshedWorker(k peer.Key, made, now time.Time) {
	if w := c.notices.Get(k.ID); w != nil && w.notice.Incarnation == k.Incarnation {
		c.heardWorker(w.notice, made, now)
	}
}

// quotas returns what the cells owned here lend and want.
func (c *control) quotas() (ts []worker.QuotaTransfer, ws []worker.QuotaRequest) {
	for _, run := range c.cells.All {
		if run.owned {
			ts = append(ts, run.driver.Cell.QuotaTransfers()...)
			ws = append(ws, run.driver.Cell.QuotaRequests()...)
		}
	}
	return ts, ws
}

// hearQuotas tells the cells owned here what other cells lent and want.
func (c *control) hearQuotas(ts []worker.QuotaTransfer, ws []worker.QuotaRequest) {
	for _, run := range c.cells.All {
		if run.owned {
			run.driver.Cell.ReceiveQuotaUpdates(ts, ws)
		}
	}
}

func (c *control) heardWorker(n peer.WorkerAnnouncement, made, now time.Time) {
	old := c.notices.Get(n.ID)
	if old != nil && (old.notice.Incarnation > n.Incarnation || old.made.After(made)) {
		return
	}
	c.notices.Put(n.ID, heardWorker{n, made})
	c.peering.workers.Put(n.ID, n, made)
	if c.config == nil {
		return
	}
	cell := peer.CellOfWorker(n.ID, c.config.Document.Cells)
	run := c.cells.Get(cell)
	if run == nil || !run.owned {
		return
	}
	if run.driver.Cell.RegisterWorker(n.ID, n.Zone, n.Rack, n.Address, made) {
		event.WorkerAdded.Emit(c.log, event.Worker(n.ID), event.Cell(cell), event.Address(n.Address))
	}
}

// Messages of the interfaces of callers and entries.
type (
	endpointAnnounced struct {
		a     endpoint.Announcement
		heard time.Time
	}
	workerAnnounced struct {
		n     peer.WorkerAnnouncement
		heard time.Time
	}
	exchangeReceived struct {
		x     peer.ExchangeRequest
		reply chan<- peer.ExchangeResponse
	}
)

func (m endpointAnnounced) handle(c *control, now time.Time) {
	c.heardEndpoint(m.a, m.heard, now, true)
}

func (m workerAnnounced) handle(c *control, now time.Time) {
	c.heardWorker(m.n, m.heard, now)
}

func (m exchangeReceived) handle(c *control, now time.Time) {
	c.rosterChanged(c.peering.roster.RecordContact(m.x.From, now))
	for _, a := range m.x.Leaving {
		c.heardEndpoint(a, now, now, false)
	}
	c.hearQuotas(m.x.Transfers, m.x.Wants)
	c.hearGossip(m.x.From.ID, m.x.Interference, now)
	m.reply <- c.answer(&m.x, now)
}

// answer builds what the asker of x lacks.
func (c *control) answer(x *peer.ExchangeRequest, now time.Time) peer.ExchangeResponse {
	p := &c.peering
	c.applyShares()
	a := peer.ExchangeResponse{From: c.self,
		Report:    p.roster.Report(c.endpoints.OverLimit()),
		Endpoints: p.endpoints.DeltaSince(x.Endpoints, heardWindow, now),
		Workers:   p.workers.DeltaSince(x.Workers, heardWindow, now),
	}
	if c.config != nil {
		a.Revision = c.config.Revision
		if x.Revision < a.Revision {
			a.Config = c.config
		}
	}
	if x.Version != p.roster.Version() {
		a.Roster = p.roster.Rows(now)
	}
	a.Transfers, a.Wants = c.quotas()
	return a
}
