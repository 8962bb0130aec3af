package history

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	coreplatform "rosemarygap/core/platform"
	"rosemarygap/core/status"
	core "rosemarygap/core/worker"
	"rosemarygap/io/platform"
)

// Periods of an owner in the world.
const (
	ownerTTL  = 3 * time.Second
	ownerTick = 250 * time.Millisecond
)

// owner is an entry process as far as one cell is concerned.
type owner struct {
	process
	w            *Simulation
	id, instance string
	store        faulty
	timing       core.Timings

	lease      string
	registring bool
	due        time.Time

	driver    *core.Driver
	journal   *platform.Journal[core.Record, core.Snapshot]
	bound     string
	acquiring bool
	retry     time.Time
}

func (w *Simulation) StartOwner(id string) {
	w.nonces++
	o := &owner{process: process{rate: w.rate(), seen: w.now}, w: w, id: id,
		instance: fmt.Sprint(w.nonces), timing: w.timing}
	o.store = faulty{w.store, w, o}
	w.owners = append(w.owners, o)
	w.to(&o.process, 0, o.tick)
}

func (o *owner) now() time.Time { return epoch.Add(o.clock(o.w.now, false)) }

// call has an effect at the store, and hands the result to the owner later.
func (o *owner) call(effect func(ctx context.Context) (then func())) {
	o.w.after(o.w.delay()+o.w.slow, func() {
		then := effect(context.Background())
		o.w.to(&o.process, o.w.delay()+o.w.slow, then)
	})
}

func (o *owner) tick() {
	now := o.now()
	o.register(now)
	o.compete(now)
	o.drive(now)
	o.w.to(&o.process, ownerTick, o.tick)
}

func (o *owner) register(now time.Time) {
	proof := o.driver != nil && o.driver.Cell.NeedsVerification()
	if o.registring || now.Before(o.due) && !proof {
		return
	}
	o.registring = true
	if o.driver != nil {
		o.driver.Cell.VerifyBegin()
	}
	lease := o.lease
	o.call(func(ctx context.Context) func() {
		held, err := lease, error(nil)
		if lease == "" {
			held, err = o.store.Grant(ctx, ownerTTL)
		} else {
			err = o.store.KeepAlive(ctx, lease)
		}
		return func() { o.registered(held, now, err) }
	})
}

func (o *owner) registered(lease string, began time.Time, err error) {
	o.registring = false
	o.due = o.now().Add(ownerTTL / 3)
	switch {
	case err == nil:
		o.lease = lease
		if o.driver != nil && o.bound == lease {
			o.driver.Cell.VerifyEnd(began)
		}
	case errors.Is(err, status.ErrLeaseExpired):
		o.lease, o.due = "", o.now()
	}
}

// compete looks who owns the cell, as a watch does, and claims it.
func (o *owner) compete(now time.Time) {
	if o.store.unreachable() || o.w.lossy() {
		return
	}
	o.timing = o.w.timing
	e, err := o.w.store.Get(context.Background(), coreplatform.OwnerKey(0))
	var other coreplatform.Owner
	if err == nil && json.Unmarshal(e.Value, &other) == nil && other.Entry != o.id {
		if o.driver != nil && other.Epoch > o.driver.Cell.Epoch() {
			o.stepDown()
		}
		return
	}
	if o.lease == "" || o.acquiring || now.Before(o.retry) || o.driver != nil && o.bound == o.lease {
		return
	}
	o.acquiring = true
	o.claim(o.lease)
}

func (o *owner) claim(lease string) {
	self := coreplatform.Owner{Entry: o.id, Instance: o.instance}
	o.call(func(ctx context.Context) func() {
		n, err := platform.ClaimOwnership(ctx, o.store, 0, self, lease)
		return func() {
			if err != nil {
				o.failed()
				return
			}
			o.open(n, lease)
		}
	})
}

func (o *owner) failed() {
	o.acquiring = false
	o.retry = o.now().Add(time.Second)
}

func (o *owner) open(n int64, lease string) {
	j := platform.NewJournal[core.Record, core.Snapshot](o.store, 0, o.w.slots)
	build := func() *core.Driver {
		return core.NewDriver(core.NewCell(0, o.timing), o.id, o.nonce)
	}
	o.call(func(ctx context.Context) func() {
		d, err := platform.OpenCell(ctx, j, n, build, o.now)
		return func() {
			if err != nil {
				o.failed()
				return
			}
			if o.driver != nil {
				d.Cell.InheritLeaseBounds(o.driver.Cell)
			}
			o.stepDown()
			o.acquiring = false
			o.driver, o.journal, o.bound = d, j, lease
		}
	})
}

func (o *owner) nonce() string {
	o.w.nonces++
	return fmt.Sprint(o.w.nonces)
}

func (o *owner) stepDown() {
	if o.driver != nil {
		o.driver.Close(status.ErrNotOwner)
	}
	o.driver = nil
}

func (o *owner) drive(now time.Time) {
	d, j := o.driver, o.journal
	if d == nil {
		return
	}
	d.Cell.SetTimings(o.timing, now)
	for _, v := range o.w.vms {
		if v == o.w.CurrentVM(v.id) {
			d.Cell.RegisterWorker(v.id, "kelowna", "rack-1", v.addr, now)
		}
	}
	var ring core.JournalSpace
	if !d.IsWriting() {
		ring = core.JournalSpace{SnapshotDue: j.SnapshotDue(), Full: j.Full()}
	}
	work := d.Tick(now, ring)
	switch {
	case work.Append != nil:
		o.call(func(ctx context.Context) func() {
			err := j.Append(ctx, *work.Append)
			return func() { o.appended(d, err) }
		})
	case work.Snapshot != nil:
		o.call(func(ctx context.Context) func() {
			err := j.WriteSnapshot(ctx, d.Cell.Epoch(), *work.Snapshot)
			return func() { d.HandleSnapshotResult(err) }
		})
	}
	for _, cmd := range work.Commands {
		o.w.send(o, d, cmd)
	}
}

func (o *owner) appended(d *core.Driver, err error) {
	if _, deposed := d.HandleAppendResult(err); deposed && o.driver == d {
		o.stepDown()
	}
}

func (o *owner) answered(d *core.Driver, cmd core.Command, r *core.Report, err error) {
	if d.HandleLeaseResult(cmd, r, err, o.now()) && o.driver == d {
		o.stepDown()
	}
}
