// Package history simulates one cell in virtual time for property tests. The
// simulation has owners that run the production core.Driver, worker engines, the
// fake of the store, an unreliable network and inaccurate clocks.
//
// Invariant: everything happens in events of one queue, in the order of simulated
// time. Simulations with the same seed and the same calls run identically.
package history

import (
	"container/heap"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	"rosemarygap/core/status"
	core "rosemarygap/core/worker"
	"rosemarygap/io/platform"
	standin "rosemarygap/io/standin/platform"
	"rosemarygap/io/standin/worker"
)

// simulationStart is the wall-clock time at which every simulation begins.
var simulationStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// scheduledEvent is a function to run at a point in simulated time. Events at
// the same time run in the order in which they were scheduled.
type scheduledEvent struct {
	at  time.Duration
	seq int
	run func()
}

// eventQueue implements heap.Interface.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// process is a simulated process with its own clock, which runs at clockRate
// relative to simulated time.
type process struct {
	clockRate float64
	dead      bool
	frozen    bool
	// localTime is the reading of the clock at the simulated time readAt.
	localTime, readAt time.Duration
	// inbox holds the deliveries that arrived while the process was frozen.
	inbox []func()
}

// readClock updates the clock of the process to the simulated time now and
// returns its reading. The clock of a frozen process advances only if
// evenIfFrozen is true.
func (p *process) readClock(now time.Duration, evenIfFrozen bool) time.Duration {
	if !p.frozen || evenIfFrozen {
		p.localTime += time.Duration(float64(now-p.readAt) * p.clockRate)
	}
	p.readAt = now
	return p.localTime
}

// Simulation holds the owners and workers of one cell, the store, and the
// messages between them. Its times are durations since simulationStart.
type Simulation struct {
	fatalf func(format string, args ...any)
	rng    *rand.Rand
	now    time.Duration
	seq    int
	events eventQueue

	store      *standin.Store
	storeDown  bool
	storeDelay time.Duration
	// faultRate is the probability of a long message delay and of a duplicated
	// command. A third of it is the probability of a loss.
	faultRate float64
	cutLinks  map[string]bool
	owners    []*owner
	vms       []*vm
	timings   core.Timings

	// durable is the state of the cell according to the durable records.
	durable        *core.Cell
	lastJournalSeq int64
	nonceCount     int
	vmCount        int
	// succeeded maps each attempt that ended on its worker to whether it
	// succeeded there.
	succeeded map[string]bool
	// journalSlots is the number of keys in the ring of the journal.
	journalSlots int
	// failuresAllowed is true if attempts may fail.
	failuresAllowed bool

	checkRunning func(sim *Simulation)
	checkRecord  func(sim *Simulation, r core.Record)
}

// schedule runs fn after the delay d.
func (sim *Simulation) schedule(d time.Duration, fn func()) {
	sim.seq++
	heap.Push(&sim.events, scheduledEvent{sim.now + d, sim.seq, fn})
}

// deliver runs fn in the process p after the delay d. If p is frozen by then, fn
// runs after p resumes; if p is dead, fn never runs.
func (sim *Simulation) deliver(p *process, d time.Duration, fn func()) {
	sim.schedule(d, func() {
		switch {
		case p.dead:
		case p.frozen:
			p.inbox = append(p.inbox, fn)
		default:
			fn()
		}
	})
}

// Run advances simulated time by d and checks the invariants after every event.
func (sim *Simulation) Run(d time.Duration) {
	end := sim.now + d
	for len(sim.events) > 0 && sim.events[0].at <= end {
		e := heap.Pop(&sim.events).(scheduledEvent)
		sim.now = e.at
		e.run()
		sim.checkRunning(sim)
	}
	sim.now = end
	sim.checkRunning(sim)
}

// Freeze stops the process p until Resume.
func (sim *Simulation) Freeze(p *process) {
	p.readClock(sim.now, true)
	p.frozen = true
}

// Resume lets the frozen process p continue. Its deferred deliveries arrive in
// random order. If clockAdvanced is false, the clock of p stood still while p was
// frozen.
func (sim *Simulation) Resume(p *process, clockAdvanced bool) {
	p.readClock(sim.now, clockAdvanced)
	p.frozen = false
	deferred := p.inbox
	p.inbox = nil
	sim.rng.Shuffle(len(deferred), func(i, j int) { deferred[i], deferred[j] = deferred[j], deferred[i] })
	for _, fn := range deferred {
		sim.deliver(p, time.Duration(sim.rng.IntN(50))*time.Millisecond, fn)
	}
}

// drawDelay returns a random message delay. Most delays are short, but some are
// far longer than any timeout.
func (sim *Simulation) drawDelay() time.Duration {
	ms := 1 + sim.rng.IntN(4)
	switch x := sim.rng.Float64(); {
	case x < sim.faultRate/10:
		ms = sim.rng.IntN(30_000)
	case x < sim.faultRate/2:
		ms = sim.rng.IntN(8000)
	case x < sim.faultRate:
		ms = sim.rng.IntN(1500)
	}
	return time.Duration(ms) * time.Millisecond
}

// drawLoss randomly reports whether a message is lost.
func (sim *Simulation) drawLoss() bool { return sim.rng.Float64() < sim.faultRate/3 }

// linkKey returns the key of the connection between a and b in cutLinks.
func linkKey(a, b string) string { return a + "/" + b }

// vm is a worker VM. Its clock advances while the VM is frozen, as worker.Clock
// does.
type vm struct {
	process
	id     string
	addr   netip.AddrPort
	engine *worker.Engine
	// checkedRuns is the number of ended executions already checked.
	checkedRuns int
}

// NewJob returns a job whose tasks run as spec describes. The job needs size
// quarters of the capacity of a worker.
func NewJob(id string, spec worker.TaskSpec, size int) core.Job {
	return core.Job{ID: id, Payload: spec.Payload(),
		Need: core.Resources{Processors: 500 * size, Memory: int64(512 * size), Slots: 1}}
}

// workerCapacity is the capacity of each worker.
var workerCapacity = core.Resources{Processors: 2000, Memory: 2048, Slots: 4}

// StartVM starts a new incarnation of the worker id at the address a.
func (sim *Simulation) StartVM(id string, a netip.AddrPort) *vm {
	sim.vmCount++
	v := &vm{process: process{clockRate: sim.drawClockRate(), readAt: sim.now}, id: id, addr: a}
	v.engine = worker.NewEngine(id, int64(sim.vmCount), workerCapacity)
	sim.vms = append(sim.vms, v)
	return v
}

// drawClockRate returns the rate of an accurate clock, or of one with the largest
// permitted error of 1%.
func (sim *Simulation) drawClockRate() float64 { return []float64{0.99, 1, 1.01}[sim.rng.IntN(3)] }

// CurrentVM returns the newest incarnation of a worker.
func (sim *Simulation) CurrentVM(id string) *vm {
	var found *vm
	for _, v := range sim.vms {
		if v.id == id {
			found = v
		}
	}
	return found
}

// RestartVM starts a new incarnation of a worker. If the worker keeps its address,
// the old incarnation dies. If the worker moves to a new address, the old
// incarnation may keep running, but the owners no longer send messages to it, so
// they do not confirm its results.
func (sim *Simulation) RestartVM(id string, moved bool) {
	v := sim.CurrentVM(id)
	a := v.addr
	if moved {
		a = netip.AddrPortFrom(a.Addr().Next(), a.Port())
	} else {
		v.dead = true
	}
	sim.StartVM(id, a)
}

// send delivers a command to every VM at the address cmd.Address, and delivers the
// first response to the owner. The owner gives up after a second. The command may
// be lost or duplicated.
func (sim *Simulation) send(o *owner, d *core.Driver, cmd core.Command) {
	awaiting := true
	respond := func(r *core.Report, err error) {
		if awaiting {
			awaiting = false
			o.handleLeaseResult(d, cmd, r, err)
		}
	}
	sim.deliver(&o.process, time.Second, func() { respond(nil, status.ErrUnreachable) })
	arrive := func() { sim.receive(o, cmd, respond) }
	if !sim.drawLoss() {
		sim.schedule(sim.drawDelay(), arrive)
	}
	if sim.rng.Float64() < sim.faultRate {
		sim.schedule(time.Duration(sim.rng.IntN(6000))*time.Millisecond, arrive)
	}
}

// receive processes a command at every VM at the address cmd.Address. Each
// response may be lost.
func (sim *Simulation) receive(o *owner, cmd core.Command, respond func(*core.Report, error)) {
	for _, v := range sim.vms {
		if v.dead || v.addr != cmd.Address || sim.cutLinks[linkKey(o.id, v.id)] {
			continue
		}
		sim.deliver(&v.process, 0, func() {
			r, err := v.engine.HandleLease(cmd.Lease, v.readClock(sim.now, true))
			if sim.drawLoss() || sim.cutLinks[linkKey(o.id, v.id)] {
				return
			}
			sim.deliver(&o.process, sim.drawDelay(), func() { respond(&r, err) })
		})
	}
}

// faultyStore is the store as one owner reaches it. Calls of Get, Put, Grant and
// KeepAlive fail while the store is down or the link of the owner to the store is
// cut, and otherwise at random. The other calls have no faults.
type faultyStore struct {
	*standin.Store
	sim   *Simulation
	owner *owner
}

func (f faultyStore) isUnreachable() bool {
	return f.sim.storeDown || f.sim.cutLinks[linkKey(f.owner.id, "store")]
}

func (f faultyStore) Get(ctx context.Context, key string) (platform.KeyValue, error) {
	if f.isUnreachable() || f.sim.drawLoss() {
		return platform.KeyValue{}, status.ErrStoreUnavailable
	}
	return f.Store.Get(ctx, key)
}

// Put implements platform.Store. The response may be lost, and a write that was
// reported as failed may take effect much later.
func (f faultyStore) Put(ctx context.Context, p platform.Write) (int64, error) {
	switch {
	case f.isUnreachable():
		return 0, status.ErrStoreUnavailable
	case f.sim.drawLoss():
		f.sim.schedule(f.sim.drawDelay(), func() { _, _ = f.sim.put(ctx, p) })
		return 0, status.ErrStoreUnavailable
	}
	rev, err := f.sim.put(ctx, p)
	if f.sim.drawLoss() {
		return 0, status.ErrStoreUnavailable
	}
	return rev, err
}

func (f faultyStore) Grant(ctx context.Context, ttl time.Duration) (string, error) {
	if f.isUnreachable() || f.sim.drawLoss() {
		return "", status.ErrStoreUnavailable
	}
	return f.Store.Grant(ctx, ttl)
}

func (f faultyStore) KeepAlive(ctx context.Context, lease string) error {
	if f.isUnreachable() || f.sim.drawLoss() {
		return status.ErrStoreUnavailable
	}
	return f.Store.KeepAlive(ctx, lease)
}

// put writes to the store. It checks the records of a journal entry and applies
// them to sim.durable at the instant at which the entry becomes durable.
func (sim *Simulation) put(ctx context.Context, p platform.Write) (int64, error) {
	rev, err := sim.store.Put(ctx, p)
	if err != nil || !strings.HasPrefix(p.Key, "cells/0/log/") {
		return rev, err
	}
	var b core.Batch
	if err := json.Unmarshal(p.Value, &b); err != nil {
		sim.fatalf("invalid journal entry: %v", err)
	}
	if b.Seq != sim.lastJournalSeq+1 {
		sim.fatalf("journal entry with sequence number %d by %s follows %d", b.Seq, b.Owner, sim.lastJournalSeq)
	}
	sim.lastJournalSeq = b.Seq
	for _, r := range b.Records {
		sim.checkRecord(sim, r)
		sim.durable.Apply(r)
	}
	return rev, nil
}

// New returns a simulation with two owners and the given number of workers. It
// reports failures to fatalf. The function checkRunning is called after every
// event and at the end of Run, and checkRecord before each durable record is
// applied.
func New(seed uint64, workers int, fatalf func(string, ...any), checkRunning func(*Simulation), checkRecord func(*Simulation, core.Record)) *Simulation {
	sim := &Simulation{fatalf: fatalf, rng: rand.New(rand.NewPCG(seed, 1)), cutLinks: make(map[string]bool),
		succeeded: make(map[string]bool), journalSlots: 12,
		timings: core.Timings{Grant: 4 * time.Second, Hold: 20 * time.Second}}
	sim.store = standin.NewStore(standin.WithClock(func() time.Time { return simulationStart.Add(sim.now) }))
	sim.durable = core.NewCell(0, sim.timings)
	sim.checkRunning, sim.checkRecord = checkRunning, checkRecord
	for i := range workers {
		sim.StartVM(fmt.Sprintf("worker-%d", i), netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i), 0, 1}), 80))
	}
	for i := range 2 {
		sim.StartOwner(fmt.Sprintf("entry-%d", i))
	}
	return sim
}

// ExpireLease revokes the lease of an owner in the store, which has the effect of an
// expiry.
func (sim *Simulation) ExpireLease(o *owner) {
	if err := sim.store.Revoke(context.Background(), o.lease); err != nil {
		sim.fatalf("cannot revoke lease: %v", err)
	}
}

// PartitionOwner cuts the current owner of the cell from the store and from all
// workers except workerID, and cuts all other owners from workerID. It restores all
// other links. In this situation two processes can believe that they own the cell.
// PartitionOwner returns the current owner, or nil.
func (sim *Simulation) PartitionOwner(workerID string) *owner {
	var found *owner
	for _, o := range sim.owners {
		isOwner := o.driver != nil && !o.dead
		sim.cutLinks[linkKey(o.id, "store")] = isOwner
		for _, v := range sim.vms {
			sim.cutLinks[linkKey(o.id, v.id)] = isOwner == (v.id != workerID)
		}
		if isOwner {
			found = o
		}
	}
	return found
}

// PauseRepeatedly freezes an owner n times for up to 400 ms each. The clock of
// the owner stands still in these pauses.
func (sim *Simulation) PauseRepeatedly(o *owner, n int) {
	for range n {
		if o == nil || o.dead || o.frozen {
			return
		}
		sim.Freeze(&o.process)
		sim.Run(time.Duration(sim.rng.IntN(400)) * time.Millisecond)
		sim.Resume(&o.process, false)
		sim.Run(300 * time.Millisecond)
	}
}
