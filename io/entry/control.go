package entry

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"rosemarygap/core/endpoint"
	"rosemarygap/core/entry"
	"rosemarygap/core/event"
	"rosemarygap/core/latency"
	"rosemarygap/core/operator"
	"rosemarygap/core/peer"
	coreplatform "rosemarygap/core/platform"
	"rosemarygap/core/status"
	"rosemarygap/core/table"
	iopeer "rosemarygap/io/peer"
	"rosemarygap/io/platform"
	"rosemarygap/io/worker"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
)

// Periods used before the first configuration, and sizes of queues.
const (
	defaultTick = 250 * time.Millisecond
	defaultTTL  = 2 * time.Second
	mailboxSize = 1024
)

// message is what other goroutines send to the control goroutine.
type message interface {
	handle(c *control, now time.Time)
}

// control owns all control state of an entry.
type control struct {
	opts  Options
	log   hclog.Logger
	store platform.Store
	peers *iopeer.Client
	// exchange asks another entry for what it knows.
	exchange func(context.Context, netip.AddrPort, peer.ExchangeRequest) (peer.ExchangeResponse, error)
	workers  *worker.Client
	latency  *latency.Recorder
	judge    *latency.TargetChecker
	claims   *iopeer.ClaimManager

	mailbox chan message
	results chan message
	// ended is closed when the control goroutine takes no more messages.
	ended chan struct{}
	// running counts the goroutines that still owe a result.
	running   int
	published atomic.Pointer[entry.Snapshot]

	self peer.Member
	// instance tells this process from an earlier one of the same name.
	instance string
	config   *operator.AcceptedConfig
	// unusable is the revision that was refused last; every exchange offers
	// it again.
	unusable  int64
	endpoints *endpoint.Membership
	notices   *table.Table[string, heardWorker]
	members   *table.Table[string, peer.Member]
	owners    *table.Table[int, coreplatform.Owner]
	// lapsed are the latest owners of cells whose registration lapsed.
	lapsed  *table.Table[int, coreplatform.Owner]
	cells   *table.Table[int, cellRun]
	peering peering

	interference interferenceState
	registration registration
	reading      reading
	watching     bool
	watched      int64
	storeDown    time.Time
	stopping     bool
	dirty        bool
}

// heardWorker is a worker's announcement and when it was made.
type heardWorker struct {
	notice peer.WorkerAnnouncement
	made   time.Time
}

func newControl(o Options, l hclog.Logger, s platform.Store) *control {
	c := &control{
		opts:     o,
		log:      l,
		store:    s,
		peers:    iopeer.NewClient(),
		workers:  worker.NewClient(),
		latency:  latency.NewRecorder(),
		judge:    latency.NewTargetChecker(),
		mailbox:  make(chan message, mailboxSize),
		results:  make(chan message, mailboxSize),
		ended:    make(chan struct{}),
		notices:  table.New[string, heardWorker](),
		members:  table.New[string, peer.Member](),
		owners:   table.New[int, coreplatform.Owner](),
		lapsed:   table.New[int, coreplatform.Owner](),
		cells:    table.New[int, cellRun](),
		instance: uuid.NewString(),

		interference: newInterferenceState(),
		self: peer.Member{ID: o.ID, Zone: o.Zone, Address: o.PeerListen,
			Operator: o.OperatorListen, Incarnation: time.Now().UnixNano()},
	}
	c.exchange = c.peers.Exchange
	c.peering = newPeering(c.self, time.Now())
	c.endpoints = endpoint.NewMembership(defaultTTL,
		endpoint.WithSendLease(&c.peering.gate), endpoint.WithShare(c.peering.roster.Share))
	c.claims = iopeer.NewClaimManager(c.self, s, o.LeaseTTL)
	c.published.Store(entry.EmptySnapshot())
	return c
}

// run is the control goroutine. When ctx ends it hands everything over.
func (c *control) run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	t := time.NewTicker(c.tickPeriod())
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			c.handOver(work, cancel)
			close(c.ended)
			return nil
		case m := <-c.mailbox:
			c.handle(m)
		case m := <-c.results:
			c.running--
			c.handle(m)
		case <-t.C:
			c.tick(work, time.Now())
			t.Reset(c.tickPeriod())
		}
		c.publishIfDirty(time.Now())
	}
}

// handle looks at the clock before each message, so that nothing is done with
// what was known before a pause of the process.
func (c *control) handle(m message) {
	now := time.Now()
	c.tickRoster(now)
	m.handle(c, now)
}

func (c *control) tickPeriod() time.Duration {
	if c.config == nil {
		return defaultTick
	}
	return c.config.Document.Timings.Tick.Std()
}

// tick runs every system once.
func (c *control) tick(ctx context.Context, now time.Time) {
	c.tickRoster(now)
	if c.endpoints.Expire(c.published.Load().Endpoints, now) {
		c.dirty = true
	}
	c.tickRegistration(ctx, now)
	c.tickReading(ctx)
	c.tickWatch(ctx)
	c.tickExchange(ctx, now)
	c.tickOwnership(ctx, now)
	c.tickInterference(now)
	c.tickCells(ctx, now)
	c.tickTargets(now)
}

// start runs f in a goroutine whose result the control goroutine handles.
func (c *control) start(ctx context.Context, f func(ctx context.Context) message) {
	c.running++
	go func() { c.results <- f(ctx) }()
}

// send delivers m to the control goroutine.
func (c *control) send(ctx context.Context, m message) error {
	select {
	case c.mailbox <- m:
		return nil
	case <-ctx.Done():
		return status.ErrStopping
	}
}

func (c *control) publishIfDirty(now time.Time) {
	if !c.dirty {
		return
	}
	c.dirty = false
	old := c.published.Load()
	s := &entry.Snapshot{
		Config:    c.config,
		Endpoints: c.endpoints.View(now),
		Members:   c.memberList(),
		Owners:    make(map[int]coreplatform.Owner, c.owners.Len()),
		HasShares: c.peering.sharing,
		Stopping:  c.stopping,
		Advice:    c.interference.advised,
	}
	for cell, o := range c.owners.All {
		s.Owners[cell] = *o
	}
	c.published.Store(s)
	c.logEndpoints(old.Endpoints, s.Endpoints)
}

func (c *control) memberList() []peer.Member {
	out := make([]peer.Member, 0, c.members.Len())
	for _, m := range c.members.All {
		out = append(out, *m)
	}
	return out
}

// logEndpoints logs which endpoints came and went between two views.
func (c *control) logEndpoints(old, now *endpoint.View) {
	for _, s := range now.Services() {
		for _, a := range missing(now.Candidates(s), old.Candidates(s)) {
			event.EndpointAdded.Emit(c.log, event.Endpoint(a.ID),
				event.Service(s), event.Address(a.Address))
		}
	}
	for _, s := range old.Services() {
		for _, a := range missing(old.Candidates(s), now.Candidates(s)) {
			event.EndpointRemoved.Emit(c.log, event.Endpoint(a.ID),
				event.Service(s), event.State(string(a.State)))
		}
	}
}

// missing returns the candidates of a that b lacks.
func missing(a, b []endpoint.Candidate) []endpoint.Candidate {
	in := make(map[string]bool, len(b))
	for i := range b {
		in[b[i].ID] = true
	}
	var out []endpoint.Candidate
	for i := range a {
		if !in[a[i].ID] {
			out = append(out, a[i])
		}
	}
	return out
}

// noteStore logs when the store stops or starts to answer.
func (c *control) noteStore(err error, now time.Time) {
	if err != nil && status.CodeOf(err) == status.ErrStoreUnavailable.Code() {
		if c.storeDown.IsZero() {
			c.storeDown = now
			event.StoreUnavailable.Emit(c.log, event.Reason(status.CodeOf(err)))
		}
		return
	}
	if !c.storeDown.IsZero() {
		event.StoreAvailable.Emit(c.log, event.Elapsed(now.Sub(c.storeDown)))
		c.storeDown = time.Time{}
	}
}

// handOver ends all work and revokes the lease, so that the other entries
// take this one's cells over at once.
func (c *control) handOver(work context.Context, cancel context.CancelFunc) {
	c.stopping = true
	c.settleAppends()
	if c.registration.lease != "" {
		limit, done := context.WithTimeout(work, time.Second)
		c.claims.Leave(limit)
		_ = c.store.Revoke(limit, c.registration.lease)
		done()
	}
	c.closeCells()
	cancel()
	for c.running > 0 {
		m := <-c.results
		c.running--
		m.handle(c, time.Now())
	}
	c.peers.Close()
	c.workers.Close()
	c.claims.Close()
}

// settleLimit bounds the wait for journal writes at a planned stop.
const settleLimit = 3 * time.Second

// settleAppends waits until no journal write is under way.
func (c *control) settleAppends() {
	limit := time.NewTimer(settleLimit)
	defer limit.Stop()
	for c.appending() {
		select {
		case m := <-c.results:
			c.running--
			m.handle(c, time.Now())
		case <-limit.C:
			return
		}
	}
}
