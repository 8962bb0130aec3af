package fleet

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"testing"
	"time"
)

// What the workers of a seed of TestSoakDepartures do, by the remainder of the seed.
const (
	leavingWorkers = 1 << iota
	lateRenewals
	unorderedEnds
)

var endTroubles = []int{unorderedEnds, leavingWorkers | lateRenewals | unorderedEnds, leavingWorkers, lateRenewals}

func endTrouble(seed uint64) int { return endTroubles[seed%uint64(len(endTroubles))] }

// TestSoakDepartures is TestSoak with workers that leave as planned, carry out renewals late,
// or list their ended runs in any order, while schedulers are restarted: an end that a worker
// has listed must not be lost.
func TestSoakDepartures(t *testing.T) {
	if *earlierBuild != "" {
		t.Skip("the processes of an earlier build may lose ends")
	}
	runSeeds(t, nil, departures)
}

// shuffleEnds lets every second worker list its ended runs in any order, if the seed says so.
func (r *testRun) shuffleEnds(seed uint64) {
	if endTrouble(seed)&unorderedEnds == 0 {
		return
	}
	for n, a := range r.agents {
		if n%2 == 0 {
			a.worker.ShuffleEnds(rand.New(rand.NewPCG(seed, uint64(shuffles+n))))
		}
	}
}

// randMillis returns a random time of least to most milliseconds.
func (r *testRun) randMillis(least, most int) time.Duration {
	return time.Duration(least+r.randIntN(most-least)) * time.Millisecond
}

// loseEnds begins what the seed asks for, and restarts schedulers around it.
func (r *testRun) loseEnds(seed uint64, start time.Time) {
	if kind := endTrouble(seed); kind&leavingWorkers != 0 && r.randIntN(3) > 0 {
		r.depart(start)
	} else if kind&lateRenewals != 0 {
		r.delayRenewals(start)
	} else if r.randIntN(2) == 0 {
		r.runLater(0, func() { r.restartSchedulers(start) })
	}
}

// depart lets one worker or several leave. Schedulers are often restarted as the last task of
// the first one ends.
func (r *testRun) depart(start time.Time) {
	drain := r.randMillis(100, 2000)
	for n := range 1 + r.randIntN(3) {
		a := r.agents[r.randIntN(len(r.agents))]
		d := Departure{Drain: drain + r.randMillis(0, 500), AfterLastEnd: r.randMillis(0, 300), Away: r.randMillis(200, 1200), Notice: r.randMillis(0, 300)}
		if n == 0 && r.randIntN(3) > 0 {
			d.Leaving = func() { r.runLater(0, func() { r.restartSchedulers(start) }) }
		}
		r.logFault(time.Since(start), fmt.Sprintf("worker of %s leaves %v after its last end", a.name, d.AfterLastEnd), d.Drain)
		r.faults.Go(func() { a.worker.Depart(r.ctx, d) })
	}
}

// delayRenewals lets a worker carry out renewals late, some of them on its next incarnation.
// Schedulers are often restarted as these take effect.
func (r *testRun) delayRenewals(start time.Time) {
	a := r.agents[r.randIntN(len(r.agents))]
	length := r.randMillis(200, 1500)
	r.disturb(length, func() { a.worker.SetLateRenewals(2) }, func() {
		a.worker.Crash()
		a.worker.SetLateRenewals(0)
	}, a.name)
	r.logFault(time.Since(start), "renewals of the worker of "+a.name+" take effect late, and it crashes", length)
	if r.randIntN(2) == 0 {
		r.runLater(length+lateDelay-r.randMillis(0, 1000), func() { r.restartSchedulers(start) })
	}
}

// restartSchedulers restarts the owner and others soon after, mostly as planned.
func (r *testRun) restartSchedulers(start time.Time) {
	kills := r.randIntN(8) == 0
	for n := range 1 + r.randIntN(len(r.schedulers)) {
		p := r.schedulers[r.randIntN(len(r.schedulers))]
		if owner := r.findOwner(); n == 0 && owner != nil {
			p = owner
		}
		switch {
		case kills:
			r.disturb(r.randMillis(150, 1000), func() { p.signal(syscall.SIGKILL) }, func() { r.start(p) }, p.name)
			r.logFault(time.Since(start), "kill "+p.name, 0)
		case r.randIntN(8) == 0:
			p.signal(syscall.SIGHUP)
			r.logFault(time.Since(start), "reload "+p.name, 0)
		default:
			r.restart(p)
			r.logFault(time.Since(start), "restart "+p.name, 0)
		}
		time.Sleep(r.randMillis(0, 400))
	}
}

// restart ends the process of p as planned and starts it again. A fault may end and start it
// before.
func (r *testRun) restart(p *process) {
	restarted, starts := r.ledger.Plan(p.name), p.startCount()
	p.signal(syscall.SIGTERM)
	r.faults.Go(func() {
		for p.running() && p.startCount() == starts && r.ctx.Err() == nil {
			time.Sleep(20 * time.Millisecond)
		}
		r.startAs(p, r.ledger.Plan)
		restarted()
	})
}
