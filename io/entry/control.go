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

// Timings in use before the first configuration, and the capacity of the queues of
// the control goroutine.
const (
	defaultTick   = 250 * time.Millisecond
	defaultTTL    = 2 * time.Second
	queueCapacity = 1024
)

// message is a message to the control goroutine, which calls its handle method.
type message interface {
	handle(c *control, now time.Time)
}

// control contains all control state of an entry. The control goroutine owns it.
type control struct {
	opts  Options
	log   hclog.Logger
	store platform.Store
	peers *iopeer.Client
	// exchange sends an exchange request to another entry. Tests replace it.
	exchange      func(context.Context, netip.AddrPort, peer.ExchangeRequest) (peer.ExchangeResponse, error)
	workers       *worker.Client
	latency       *latency.Recorder
	targetChecker *latency.TargetChecker
	claims        *iopeer.ClaimManager

	mailbox chan message
	results chan message
	// stopped is closed when the control goroutine accepts no more messages.
	stopped chan struct{}
	// pendingResults is the number of goroutines whose result has not been received.
	pendingResults int
	published      atomic.Pointer[entry.Snapshot]

	self peer.Member
	// instance distinguishes this process from earlier ones with the same entry id.
	instance string
	config   *operator.AcceptedConfig
	// rejectedRevision is the revision of the last invalid configuration. It is
	// remembered because every exchange delivers that configuration again.
	rejectedRevision int64
	endpoints        *endpoint.Membership
	announcedWorkers *table.Table[string, announcedWorker]
	members          *table.Table[string, peer.Member]
	owners           *table.Table[int, coreplatform.Owner]
	// lastOwners contains, by cell, the last owner whose ownership expired in the store.
	lastOwners *table.Table[int, coreplatform.Owner]
	cells      *table.Table[int, localCell]
	peering    peering

	interference   interferenceState
	registration   registration
	memberRead     memberRead
	watching       bool
	watchRevision  int64
	storeDownSince time.Time
	stopping       bool
	dirty          bool
}

// announcedWorker is a worker's latest announcement and the time at which it was made.
type announcedWorker struct {
	announcement peer.WorkerAnnouncement
	announcedAt  time.Time
}

func newControl(o Options, l hclog.Logger, s platform.Store) *control {
	c := &control{
		opts:             o,
		log:              l,
		store:            s,
		peers:            iopeer.NewClient(),
		workers:          worker.NewClient(),
		latency:          latency.NewRecorder(),
		targetChecker:    latency.NewTargetChecker(),
		mailbox:          make(chan message, queueCapacity),
		results:          make(chan message, queueCapacity),
		stopped:          make(chan struct{}),
		announcedWorkers: table.New[string, announcedWorker](),
		members:          table.New[string, peer.Member](),
		owners:           table.New[int, coreplatform.Owner](),
		lastOwners:       table.New[int, coreplatform.Owner](),
		cells:            table.New[int, localCell](),
		instance:         uuid.NewString(),

		interference: newInterferenceState(),
		self: peer.Member{ID: o.ID, Zone: o.Zone, Address: o.PeerListen,
			Operator: o.OperatorListen, Incarnation: time.Now().UnixNano()},
	}
	c.exchange = c.peers.Exchange
	c.peering = newPeering(c.self, time.Now())
	c.endpoints = endpoint.NewMembership(defaultTTL,
		endpoint.WithSendLease(&c.peering.sendLease), endpoint.WithShare(c.peering.roster.Share))
	c.claims = iopeer.NewClaimManager(c.self, s, o.LeaseTTL)
	c.published.Store(entry.EmptySnapshot())
	return c
}

// run is the main loop of the control goroutine. When ctx is done, it shuts down and
// returns.
func (c *control) run(ctx context.Context) error {
	workCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	t := time.NewTicker(c.tickPeriod())
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			c.shutDown(workCtx, cancel)
			close(c.stopped)
			return nil
		case m := <-c.mailbox:
			c.handle(m)
		case m := <-c.results:
			c.pendingResults--
			c.handle(m)
		case <-t.C:
			c.tick(workCtx, time.Now())
			t.Reset(c.tickPeriod())
		}
		c.publishIfDirty(time.Now())
	}
}

// handle processes one message. It updates the roster to the current time first, so
// that the message isn't processed with shares from before a pause of the process.
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

// tick runs all periodic work once.
func (c *control) tick(ctx context.Context, now time.Time) {
	c.tickRoster(now)
	if c.endpoints.Expire(c.published.Load().Endpoints, now) {
		c.dirty = true
	}
	c.tickRegistration(ctx, now)
	c.tickMemberRead(ctx)
	c.tickWatch(ctx)
	c.tickExchange(ctx, now)
	c.tickOwnership(ctx, now)
	c.tickInterference(now)
	c.tickCells(ctx, now)
	c.tickTargets(now)
}

// start runs f in a new goroutine. The control goroutine handles the message that f
// returns.
func (c *control) start(ctx context.Context, f func(ctx context.Context) message) {
	c.pendingResults++
	go func() { c.results <- f(ctx) }()
}

// send sends m to the control goroutine. It returns status.ErrStopping if ctx is done
// first.
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
		Config:          c.config,
		Endpoints:       c.endpoints.View(now),
		Members:         c.memberList(),
		Owners:          make(map[int]coreplatform.Owner, c.owners.Len()),
		HasShares:       c.peering.hasShares,
		Stopping:        c.stopping,
		EndpointWeights: c.interference.weights,
	}
	for cell, o := range c.owners.All {
		s.Owners[cell] = *o
	}
	c.published.Store(s)
	c.logEndpointChanges(old.Endpoints, s.Endpoints)
}

func (c *control) memberList() []peer.Member {
	out := make([]peer.Member, 0, c.members.Len())
	for _, m := range c.members.All {
		out = append(out, *m)
	}
	return out
}

// logEndpointChanges logs the endpoints that were added or removed between two views.
func (c *control) logEndpointChanges(before, after *endpoint.View) {
	for _, s := range after.Services() {
		for _, a := range difference(after.Candidates(s), before.Candidates(s)) {
			event.EndpointAdded.Emit(c.log, event.Endpoint(a.ID),
				event.Service(s), event.Address(a.Address))
		}
	}
	for _, s := range before.Services() {
		for _, a := range difference(before.Candidates(s), after.Candidates(s)) {
			event.EndpointRemoved.Emit(c.log, event.Endpoint(a.ID),
				event.Service(s), event.State(string(a.State)))
		}
	}
}

// difference returns the candidates of a that are not in b.
func difference(a, b []endpoint.Candidate) []endpoint.Candidate {
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

// recordStoreResult records the result of a call to the store, and logs when the
// store becomes unavailable or available.
func (c *control) recordStoreResult(err error, now time.Time) {
	if err != nil && status.CodeOf(err) == status.ErrStoreUnavailable.Code() {
		if c.storeDownSince.IsZero() {
			c.storeDownSince = now
			event.StoreUnavailable.Emit(c.log, event.Reason(status.CodeOf(err)))
		}
		return
	}
	if !c.storeDownSince.IsZero() {
		event.StoreAvailable.Emit(c.log, event.Elapsed(now.Sub(c.storeDownSince)))
		c.storeDownSince = time.Time{}
	}
}

// shutDown ends all work and revokes the lease of the registration, so that the other
// entries can acquire the cells of this one immediately.
func (c *control) shutDown(workCtx context.Context, cancel context.CancelFunc) {
	c.stopping = true
	c.waitForAppends()
	if c.registration.lease != "" {
		leaveCtx, cancelLeave := context.WithTimeout(workCtx, time.Second)
		c.claims.Leave(leaveCtx)
		_ = c.store.Revoke(leaveCtx, c.registration.lease)
		cancelLeave()
	}
	c.closeCells()
	cancel()
	for c.pendingResults > 0 {
		m := <-c.results
		c.pendingResults--
		m.handle(c, time.Now())
	}
	c.peers.Close()
	c.workers.Close()
	c.claims.Close()
}

// appendWaitLimit limits the wait for journal writes at a graceful shutdown.
const appendWaitLimit = 3 * time.Second

// waitForAppends waits until no journal write is in progress, for at most
// appendWaitLimit.
func (c *control) waitForAppends() {
	limit := time.NewTimer(appendWaitLimit)
	defer limit.Stop()
	for c.hasPendingAppend() {
		select {
		case m := <-c.results:
			c.pendingResults--
			m.handle(c, time.Now())
		case <-limit.C:
			return
		}
	}
}
