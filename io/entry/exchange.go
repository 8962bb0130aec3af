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

// exchangeResult is the response of another entry to an exchange request, or the error.
type exchangeResult struct {
	peerKey  string
	sentAt   time.Time
	response peer.ExchangeResponse
	err      error
}

func (c *control) tickExchange(ctx context.Context, now time.Time) {
	p := &c.peering
	targets := c.exchangeTargets()
	interval := exchangeInterval
	if len(targets) > maxFullRatePeers {
		interval = slowExchangeInterval
	}
	if clock.Elapsed(p.lastExchange, now) < interval {
		return
	}
	p.lastExchange = now
	p.endpointFeed.Expire(feedRetention, now)
	p.workerFeed.Expire(feedRetention, now)
	for key, addr := range targets {
		c.sendExchange(ctx, key, addr, now)
	}
	p.pendingDepartures = nil
}

// exchangeTargets returns the addresses of the entries to send exchange requests to,
// with the same keys as peering.peers. These are the entries in the roster and, until
// the roster is bootstrapped and a configuration is in force, also the configured
// peers.
func (c *control) exchangeTargets() map[string]netip.AddrPort {
	out := make(map[string]netip.AddrPort)
	known := make(map[netip.AddrPort]bool)
	for _, m := range c.peering.roster.Peers() {
		out[m.ID] = m.Address
		known[m.Address] = true
	}
	if c.peering.roster.Bootstrapped() && c.config != nil {
		return out
	}
	for _, addr := range c.opts.Peers {
		if addr != c.self.Address && !known[addr] {
			out[addr.String()] = addr
		}
	}
	return out
}

// sendExchange sends an exchange request to one entry. It does nothing if another
// request to that entry is in progress and there are no departures to send.
func (c *control) sendExchange(ctx context.Context, key string, to netip.AddrPort, now time.Time) {
	p := &c.peering
	state := p.peer(key)
	if state.inFlight && len(p.pendingDepartures) == 0 {
		return
	}
	state.inFlight = true
	req := peer.ExchangeRequest{From: c.self, Version: p.roster.Version(), Leaving: p.pendingDepartures,
		Endpoints: state.endpoints.Cursor(), Workers: state.workers.Cursor()}
	if c.config != nil {
		req.Revision = c.config.Revision
	}
	req.QuotaTransfers, req.QuotaRequests = c.localQuotas()
	req.Interference = c.newGossip(now)
	c.start(ctx, func(ctx context.Context) message {
		resp, err := c.exchange(ctx, to, req)
		return exchangeResult{key, now, resp, err}
	})
}

func (r exchangeResult) handle(c *control, now time.Time) {
	state := c.peering.peer(r.peerKey)
	state.inFlight = false
	if r.err != nil {
		if !state.unreachable {
			event.PeerUnreachable.Emit(c.log, event.Entry(r.peerKey), event.Reason(status.CodeOf(r.err)))
		}
		state.unreachable = true
		return
	}
	state.unreachable = false
	state.lastResponse = now
	c.applyResponse(state, r, now)
}

// applyResponse applies the response of another entry. The keys for the mirrors contain
// the ids in the tables of this entry, so that each id is in memory only once.
func (c *control) applyResponse(state *peerState, r exchangeResult, now time.Time) {
	if r.response.Config != nil {
		c.adoptConfig(r.response.Config)
	}
	c.handleRosterChange(c.peering.roster.RecordContact(r.response.From, now))
	for _, row := range r.response.Roster {
		c.handleRosterChange(c.peering.roster.Merge(row, r.sentAt, now))
	}
	c.peering.roster.RecordResponse(r.response.From.ID, r.response.Report, r.sentAt, now)
	c.applyShares()
	state.endpoints.Apply(r.response.Endpoints, r.sentAt,
		func(a endpoint.Announcement, announcedAt time.Time) peer.Key {
			c.applyReceivedAnnouncement(a, announcedAt, now)
			latest, _, _ := c.endpoints.Latest(a.ID)
			return peer.Key{ID: latest.ID, Incarnation: a.Incarnation}
		},
		func(k peer.Key, announcedAt time.Time) { c.refreshEndpoint(k, announcedAt, now) })
	state.workers.Apply(r.response.Workers, r.sentAt,
		func(n peer.WorkerAnnouncement, announcedAt time.Time) peer.Key {
			if n.ID == "" {
				return peer.Key{}
			}
			c.applyWorkerAnnouncement(n, announcedAt, now)
			return peer.Key{ID: c.announcedWorkers.Get(n.ID).announcement.ID, Incarnation: n.Incarnation}
		},
		func(k peer.Key, announcedAt time.Time) { c.refreshWorker(k, announcedAt, now) })
	c.receiveQuotas(r.response.QuotaTransfers, r.response.QuotaRequests)
}

// applyReceivedAnnouncement applies an announcement of an endpoint that another entry
// sent, unless it is malformed.
func (c *control) applyReceivedAnnouncement(a endpoint.Announcement, announcedAt, now time.Time) {
	if a.Check() == nil {
		c.applyEndpointAnnouncement(a, announcedAt, now, false)
	}
}

// refreshWorker records that another entry received an announcement of a worker that
// was made at announcedAt.
func (c *control) refreshWorker(k peer.Key, announcedAt, now time.Time) {
	if w := c.announcedWorkers.Get(k.ID); w != nil && w.announcement.Incarnation == k.Incarnation {
		c.applyWorkerAnnouncement(w.announcement, announcedAt, now)
	}
}

// localQuotas returns the quota transfers and requests of the cells that this entry
// owns.
func (c *control) localQuotas() (transfers []worker.QuotaTransfer, requests []worker.QuotaRequest) {
	for _, local := range c.cells.All {
		if local.owned {
			transfers = append(transfers, local.driver.Cell.QuotaTransfers()...)
			requests = append(requests, local.driver.Cell.QuotaRequests()...)
		}
	}
	return transfers, requests
}

// receiveQuotas passes the quota transfers and requests of other cells to the cells
// that this entry owns.
func (c *control) receiveQuotas(transfers []worker.QuotaTransfer, requests []worker.QuotaRequest) {
	for _, local := range c.cells.All {
		if local.owned {
			local.driver.Cell.ReceiveQuotaUpdates(transfers, requests)
		}
	}
}

func (c *control) applyWorkerAnnouncement(a peer.WorkerAnnouncement, announcedAt, now time.Time) {
	old := c.announcedWorkers.Get(a.ID)
	if old != nil && (old.announcement.Incarnation > a.Incarnation || old.announcedAt.After(announcedAt)) {
		return
	}
	c.announcedWorkers.Put(a.ID, announcedWorker{a, announcedAt})
	c.peering.workerFeed.Put(a.ID, a, announcedAt)
	if c.config == nil {
		return
	}
	cell := peer.CellOfWorker(a.ID, c.config.Document.Cells)
	local := c.cells.Get(cell)
	if local == nil || !local.owned {
		return
	}
	if local.driver.Cell.RegisterWorker(a.ID, a.Zone, a.Rack, a.Address, announcedAt) {
		event.WorkerAdded.Emit(c.log, event.Worker(a.ID), event.Cell(cell), event.Address(a.Address))
	}
}

// Messages to the control goroutine from the handlers for callers and for other entries.
type (
	endpointAnnounced struct {
		announcement endpoint.Announcement
		receivedAt   time.Time
	}
	workerAnnounced struct {
		announcement peer.WorkerAnnouncement
		receivedAt   time.Time
	}
	exchangeReceived struct {
		request peer.ExchangeRequest
		reply   chan<- peer.ExchangeResponse
	}
)

func (m endpointAnnounced) handle(c *control, now time.Time) {
	c.applyEndpointAnnouncement(m.announcement, m.receivedAt, now, true)
}

func (m workerAnnounced) handle(c *control, now time.Time) {
	c.applyWorkerAnnouncement(m.announcement, m.receivedAt, now)
}

func (m exchangeReceived) handle(c *control, now time.Time) {
	c.handleRosterChange(c.peering.roster.RecordContact(m.request.From, now))
	for _, a := range m.request.Leaving {
		c.applyReceivedAnnouncement(a, now, now)
	}
	c.receiveQuotas(m.request.QuotaTransfers, m.request.QuotaRequests)
	c.receiveGossip(m.request.From.ID, m.request.Interference, now)
	m.reply <- c.respond(&m.request, now)
}

// respond returns the response to an exchange request, which contains what the sender
// of the request lacks.
func (c *control) respond(req *peer.ExchangeRequest, now time.Time) peer.ExchangeResponse {
	p := &c.peering
	c.applyShares()
	resp := peer.ExchangeResponse{From: c.self,
		Report:    p.roster.Report(c.endpoints.OverLimit()),
		Endpoints: p.endpointFeed.DeltaSince(req.Endpoints, refreshWindow, now),
		Workers:   p.workerFeed.DeltaSince(req.Workers, refreshWindow, now),
	}
	if c.config != nil {
		resp.Revision = c.config.Revision
		if req.Revision < resp.Revision {
			resp.Config = c.config
		}
	}
	if req.Version != p.roster.Version() {
		resp.Roster = p.roster.Rows(now)
	}
	resp.QuotaTransfers, resp.QuotaRequests = c.localQuotas()
	return resp
}
