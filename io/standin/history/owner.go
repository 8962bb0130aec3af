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

const (
	ownerLeaseTTL     = 3 * time.Second
	ownerTickInterval = 250 * time.Millisecond
)

// owner simulates the part of an entry process that competes for the ownership of
// one cell and runs its driver.
type owner struct {
	process
	sim          *Simulation
	id, instance string
	store        faultyStore
	timings      core.Timings

	// lease is the id of the current lease in the store, or empty.
	lease    string
	renewing bool
	renewAt  time.Time

	// driver is nil unless the process believes that it owns the cell.
	driver  *core.Driver
	journal *platform.Journal[core.Record, core.Snapshot]
	// claimLease is the lease to which the ownership of the cell is bound.
	claimLease string
	claiming   bool
	retryAt    time.Time
}

// StartOwner starts an entry process that competes for the cell.
func (sim *Simulation) StartOwner(id string) {
	sim.nonceCount++
	o := &owner{process: process{clockRate: sim.drawClockRate(), readAt: sim.now}, sim: sim, id: id,
		instance: fmt.Sprint(sim.nonceCount), timings: sim.timings}
	o.store = faultyStore{sim.store, sim, o}
	sim.owners = append(sim.owners, o)
	sim.deliver(&o.process, 0, o.tick)
}

func (o *owner) now() time.Time { return simulationStart.Add(o.readClock(o.sim.now, false)) }

// callStore runs effect at the store after a delay, and the function that effect
// returns in the process of the owner after another delay.
func (o *owner) callStore(effect func(ctx context.Context) (then func())) {
	o.sim.schedule(o.sim.drawDelay()+o.sim.storeDelay, func() {
		then := effect(context.Background())
		o.sim.deliver(&o.process, o.sim.drawDelay()+o.sim.storeDelay, then)
	})
}

func (o *owner) tick() {
	now := o.now()
	o.renewLease(now)
	o.campaign(now)
	o.runDriver(now)
	o.sim.deliver(&o.process, ownerTickInterval, o.tick)
}

// renewLease obtains or extends the lease when it is due, or when the cell needs
// a verification of ownership.
func (o *owner) renewLease(now time.Time) {
	needsVerification := o.driver != nil && o.driver.Cell.NeedsVerification()
	if o.renewing || now.Before(o.renewAt) && !needsVerification {
		return
	}
	o.renewing = true
	if o.driver != nil {
		o.driver.Cell.VerifyBegin()
	}
	lease := o.lease
	o.callStore(func(ctx context.Context) func() {
		id, err := lease, error(nil)
		if lease == "" {
			id, err = o.store.Grant(ctx, ownerLeaseTTL)
		} else {
			err = o.store.KeepAlive(ctx, lease)
		}
		return func() { o.handleRenewal(id, now, err) }
	})
}

func (o *owner) handleRenewal(lease string, began time.Time, err error) {
	o.renewing = false
	o.renewAt = o.now().Add(ownerLeaseTTL / 3)
	switch {
	case err == nil:
		o.lease = lease
		if o.driver != nil && o.claimLease == lease {
			o.driver.Cell.VerifyEnd(began)
		}
	case errors.Is(err, status.ErrLeaseExpired):
		o.lease, o.renewAt = "", o.now()
	}
}

// campaign reads the owner of the cell, as a watch of the owner key would do. It
// steps down if another process has a later epoch, and claims the cell if no
// other process owns it.
func (o *owner) campaign(now time.Time) {
	if o.store.isUnreachable() || o.sim.drawLoss() {
		return
	}
	o.timings = o.sim.timings
	e, err := o.sim.store.Get(context.Background(), coreplatform.OwnerKey(0))
	var current coreplatform.Owner
	if err == nil && json.Unmarshal(e.Value, &current) == nil && current.Entry != o.id {
		if o.driver != nil && current.Epoch > o.driver.Cell.Epoch() {
			o.stepDown()
		}
		return
	}
	if o.lease == "" || o.claiming || now.Before(o.retryAt) || o.driver != nil && o.claimLease == o.lease {
		return
	}
	o.claiming = true
	o.claim(o.lease)
}

func (o *owner) claim(lease string) {
	self := coreplatform.Owner{Entry: o.id, Instance: o.instance}
	o.callStore(func(ctx context.Context) func() {
		epoch, err := platform.ClaimOwnership(ctx, o.store, 0, self, lease)
		return func() {
			if err != nil {
				o.retryClaimLater()
				return
			}
			o.openCell(epoch, lease)
		}
	})
}

func (o *owner) retryClaimLater() {
	o.claiming = false
	o.retryAt = o.now().Add(time.Second)
}

// openCell opens the given epoch of the cell and, on success, replaces the driver
// of an earlier epoch.
func (o *owner) openCell(epoch int64, lease string) {
	j := platform.NewJournal[core.Record, core.Snapshot](o.store, 0, o.sim.journalSlots)
	build := func() *core.Driver {
		return core.NewDriver(core.NewCell(0, o.timings), o.id, o.nonce)
	}
	o.callStore(func(ctx context.Context) func() {
		d, err := platform.OpenCell(ctx, j, epoch, build, o.now)
		return func() {
			if err != nil {
				o.retryClaimLater()
				return
			}
			if o.driver != nil {
				d.Cell.InheritLeaseBounds(o.driver.Cell)
			}
			o.stepDown()
			o.claiming = false
			o.driver, o.journal, o.claimLease = d, j, lease
		}
	})
}

func (o *owner) nonce() string {
	o.sim.nonceCount++
	return fmt.Sprint(o.sim.nonceCount)
}

func (o *owner) stepDown() {
	if o.driver != nil {
		o.driver.Close(status.ErrNotOwner)
	}
	o.driver = nil
}

// runDriver advances the driver and performs the I/O that it asks for.
func (o *owner) runDriver(now time.Time) {
	d, j := o.driver, o.journal
	if d == nil {
		return
	}
	d.Cell.SetTimings(o.timings, now)
	for _, v := range o.sim.vms {
		if v == o.sim.CurrentVM(v.id) {
			d.Cell.RegisterWorker(v.id, "kelowna", "rack-1", v.addr, now)
		}
	}
	var space core.JournalSpace
	if !d.IsWriting() {
		space = core.JournalSpace{SnapshotDue: j.SnapshotDue(), Full: j.Full()}
	}
	result := d.Tick(now, space)
	switch {
	case result.Append != nil:
		o.callStore(func(ctx context.Context) func() {
			err := j.Append(ctx, *result.Append)
			return func() { o.handleAppendResult(d, err) }
		})
	case result.Snapshot != nil:
		o.callStore(func(ctx context.Context) func() {
			err := j.WriteSnapshot(ctx, d.Cell.Epoch(), *result.Snapshot)
			return func() { d.HandleSnapshotResult(err) }
		})
	}
	for _, cmd := range result.Commands {
		o.sim.send(o, d, cmd)
	}
}

func (o *owner) handleAppendResult(d *core.Driver, err error) {
	if _, deposed := d.HandleAppendResult(err); deposed && o.driver == d {
		o.stepDown()
	}
}

func (o *owner) handleLeaseResult(d *core.Driver, cmd core.Command, r *core.Report, err error) {
	if d.HandleLeaseResult(cmd, r, err, o.now()) && o.driver == d {
		o.stepDown()
	}
}
