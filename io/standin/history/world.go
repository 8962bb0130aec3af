// Package history is a small world in virtual time for property tests of a
// cell: owners with the product's own drive loop, worker engines, the store's
// stand-in, and messages and clocks that fail.
//
// Invariant: nothing happens but by the agenda, in the order of true time; a
// world with the same seed and the same calls runs the same way.
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

// epoch is the true time at which every world begins.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// happening is something due at a point in true time.
type happening struct {
	at  time.Duration
	seq int
	do  func()
}

type agenda []happening

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(happening)) }
func (a *agenda) Pop() any {
	old := *a
	h := old[len(old)-1]
	*a = old[:len(old)-1]
	return h
}

// process has a clock of its own, and may be frozen or dead.
type process struct {
	rate   float64
	dead   bool
	frozen bool
	// active is its clock at the true time seen.
	active, seen time.Duration
	inbox        []func()
}

// clock brings the process's clock up to date. While it is frozen the clock
// goes on only if running is true.
func (p *process) clock(now time.Duration, running bool) time.Duration {
	if !p.frozen || running {
		p.active += time.Duration(float64(now-p.seen) * p.rate)
	}
	p.seen = now
	return p.active
}

// World holds owners and workers of one cell, the store, and the messages
// between them, in true time.
type Simulation struct {
	fail   func(format string, args ...any)
	rng    *rand.Rand
	now    time.Duration
	seq    int
	agenda agenda

	store  *standin.Store
	down   bool
	slow   time.Duration
	noise  float64
	cuts   map[string]bool
	owners []*owner
	vms    []*vm
	timing core.Timings

	journal *core.Cell
	last    int64
	nonces  int
	vmCount int
	// done tells how attempts ended on their workers.
	done map[string]bool
	// slots is the size of the journal's ring.
	slots int
	// failures is true if attempts may fail.
	failures bool

	checkRunning func(w *Simulation)
	checkRecord  func(w *Simulation, r core.Record)
}

func (w *Simulation) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.agenda, happening{w.now + d, w.seq, do})
}

// to delivers do to p after d, or once p wakes, unless it is dead.
func (w *Simulation) to(p *process, d time.Duration, do func()) {
	w.after(d, func() {
		switch {
		case p.dead:
		case p.frozen:
			p.inbox = append(p.inbox, do)
		default:
			do()
		}
	})
}

// Run lets true time pass and checks the invariants at every instant at which
// something happens.
func (w *Simulation) Run(d time.Duration) {
	end := w.now + d
	for len(w.agenda) > 0 && w.agenda[0].at <= end {
		h := heap.Pop(&w.agenda).(happening)
		w.now = h.at
		h.do()
		w.checkRunning(w)
	}
	w.now = end
	w.checkRunning(w)
}

func (w *Simulation) Freeze(p *process) {
	p.clock(w.now, true)
	p.frozen = true
}

func (w *Simulation) Resume(p *process, clockWentOn bool) {
	p.clock(w.now, clockWentOn)
	p.frozen = false
	late := p.inbox
	p.inbox = nil
	w.rng.Shuffle(len(late), func(i, j int) { late[i], late[j] = late[j], late[i] })
	for _, do := range late {
		w.to(p, time.Duration(w.rng.IntN(50))*time.Millisecond, do)
	}
}

// delay draws how long a message takes: mostly little, now and then far
// longer than any time limit.
func (w *Simulation) delay() time.Duration {
	ms := 1 + w.rng.IntN(4)
	switch x := w.rng.Float64(); {
	case x < w.noise/10:
		ms = w.rng.IntN(30_000)
	case x < w.noise/2:
		ms = w.rng.IntN(8000)
	case x < w.noise:
		ms = w.rng.IntN(1500)
	}
	return time.Duration(ms) * time.Millisecond
}

func (w *Simulation) lossy() bool { return w.rng.Float64() < w.noise/3 }

func pair(a, b string) string { return a + "/" + b }

// vm is a worker VM. Its clock goes on while it is frozen, as Clock does.
type vm struct {
	process
	id     string
	addr   netip.AddrPort
	engine *worker.Engine
	// checked is the number of executions that were looked at.
	checked int
}

// NewJob returns a job of the stand-in's work that takes size quarters of a
// worker.
func NewJob(id string, work worker.TaskSpec, size int) core.Job {
	return core.Job{ID: id, Payload: work.Payload(),
		Need: core.Resources{Processors: 500 * size, Memory: int64(512 * size), Slots: 1}}
}

// capacity is what each worker has.
var capacity = core.Resources{Processors: 2000, Memory: 2048, Slots: 4}

func (w *Simulation) StartVM(id string, a netip.AddrPort) *vm {
	w.vmCount++
	v := &vm{process: process{rate: w.rate(), seen: w.now}, id: id, addr: a}
	v.engine = worker.NewEngine(id, int64(w.vmCount), capacity)
	w.vms = append(w.vms, v)
	return v
}

// rate draws a clock that is right, or off by as much as it may be.
func (w *Simulation) rate() float64 { return []float64{0.99, 1, 1.01}[w.rng.IntN(3)] }

// Current returns the newest incarnation of a worker.
func (w *Simulation) CurrentVM(id string) *vm {
	var found *vm
	for _, v := range w.vms {
		if v.id == id {
			found = v
		}
	}
	return found
}

// Restart replaces a worker. At its old address the old incarnation is dead;
// at a new address it may go on, and its endings are not confirmed.
func (w *Simulation) RestartVM(id string, moved bool) {
	v := w.CurrentVM(id)
	a := v.addr
	if moved {
		a = netip.AddrPortFrom(a.Addr().Next(), a.Port())
	} else {
		v.dead = true
	}
	w.StartVM(id, a)
}

// send carries a command to whatever VM has the address, and the answer back.
func (w *Simulation) send(o *owner, d *core.Driver, cmd core.Command) {
	open := true
	answer := func(r *core.Report, err error) {
		if open {
			open = false
			o.answered(d, cmd, r, err)
		}
	}
	w.to(&o.process, time.Second, func() { answer(nil, status.ErrUnreachable) })
	arrive := func() { w.receive(o, cmd, answer) }
	if !w.lossy() {
		w.after(w.delay(), arrive)
	}
	if w.rng.Float64() < w.noise {
		w.after(time.Duration(w.rng.IntN(6000))*time.Millisecond, arrive)
	}
}

func (w *Simulation) receive(o *owner, cmd core.Command, answer func(*core.Report, error)) {
	for _, v := range w.vms {
		if v.dead || v.addr != cmd.Address || w.cuts[pair(o.id, v.id)] {
			continue
		}
		w.to(&v.process, 0, func() {
			r, err := v.engine.HandleLease(cmd.Lease, v.clock(w.now, true))
			if w.lossy() || w.cuts[pair(o.id, v.id)] {
				return
			}
			w.to(&o.process, w.delay(), func() { answer(&r, err) })
		})
	}
}

// faulty is the store as one owner sees it.
type faulty struct {
	*standin.Store
	w *Simulation
	o *owner
}

func (f faulty) unreachable() bool {
	return f.w.down || f.w.cuts[pair(f.o.id, "store")]
}

func (f faulty) Get(ctx context.Context, key string) (platform.Entry, error) {
	if f.unreachable() || f.w.lossy() {
		return platform.Entry{}, status.ErrStoreUnavailable
	}
	return f.Store.Get(ctx, key)
}

// Put may lose the answer, or take effect long after it was given up.
func (f faulty) Put(ctx context.Context, p platform.Write) (int64, error) {
	switch {
	case f.unreachable():
		return 0, status.ErrStoreUnavailable
	case f.w.lossy():
		f.w.after(f.w.delay(), func() { _, _ = f.w.put(ctx, p) })
		return 0, status.ErrStoreUnavailable
	}
	rev, err := f.w.put(ctx, p)
	if f.w.lossy() {
		return 0, status.ErrStoreUnavailable
	}
	return rev, err
}

func (f faulty) Grant(ctx context.Context, ttl time.Duration) (string, error) {
	if f.unreachable() || f.w.lossy() {
		return "", status.ErrStoreUnavailable
	}
	return f.Store.Grant(ctx, ttl)
}

func (f faulty) KeepAlive(ctx context.Context, lease string) error {
	if f.unreachable() || f.w.lossy() {
		return status.ErrStoreUnavailable
	}
	return f.Store.KeepAlive(ctx, lease)
}

// put writes, and applies a journal entry to the world's own tables at the
// instant at which it is durable.
func (w *Simulation) put(ctx context.Context, p platform.Write) (int64, error) {
	rev, err := w.store.Put(ctx, p)
	if err != nil || !strings.HasPrefix(p.Key, "cells/0/log/") {
		return rev, err
	}
	var b core.Batch
	if err := json.Unmarshal(p.Value, &b); err != nil {
		w.fail("journal entry: %v", err)
	}
	if b.Seq != w.last+1 {
		w.fail("sequence %d by %s after %d", b.Seq, b.Owner, w.last)
	}
	w.last = b.Seq
	for _, r := range b.Records {
		w.checkRecord(w, r)
		w.journal.Apply(r)
	}
	return rev, nil
}

// New returns a world of two owners and n workers. Running is called at every
// instant at which something happens, record before each durable record.
func New(seed uint64, n int, fail func(string, ...any), running func(*Simulation), record func(*Simulation, core.Record)) *Simulation {
	w := &Simulation{fail: fail, rng: rand.New(rand.NewPCG(seed, 1)), cuts: make(map[string]bool),
		done: make(map[string]bool), slots: 12,
		timing: core.Timings{Grant: 4 * time.Second, Hold: 20 * time.Second}}
	w.store = standin.NewStore(standin.WithClock(func() time.Time { return epoch.Add(w.now) }))
	w.journal = core.NewCell(0, w.timing)
	w.checkRunning, w.checkRecord = running, record
	for i := range n {
		w.StartVM(fmt.Sprintf("worker-%d", i), netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i), 0, 1}), 80))
	}
	for i := range 2 {
		w.StartOwner(fmt.Sprintf("entry-%d", i))
	}
	return w
}

// Lapse ends an owner's registration in the store.
func (w *Simulation) ExpireLease(o *owner) {
	if err := w.store.Revoke(context.Background(), o.lease); err != nil {
		w.fail("revoke: %v", err)
	}
}

// Isolate cuts the owner of the cell from all but one worker, and all others
// from that one: the trace in which two believe that they own it. It returns
// the owner, or nil.
func (w *Simulation) PartitionOwner(id string) *owner {
	var found *owner
	for _, o := range w.owners {
		old := o.driver != nil && !o.dead
		w.cuts[pair(o.id, "store")] = old
		for _, v := range w.vms {
			w.cuts[pair(o.id, v.id)] = old == (v.id != id)
		}
		if old {
			found = o
		}
	}
	return found
}

// Stutter freezes an owner many times for a moment each; its clock stands
// still meanwhile.
func (w *Simulation) PauseRepeatedly(o *owner, n int) {
	for range n {
		if o == nil || o.dead || o.frozen {
			return
		}
		w.Freeze(&o.process)
		w.Run(time.Duration(w.rng.IntN(400)) * time.Millisecond)
		w.Resume(&o.process, false)
		w.Run(300 * time.Millisecond)
	}
}
