package fleet

import (
	"fmt"
	"syscall"
	"time"
)

// injectFault injects a random fault and schedules its end. The parameter at is
// the time since the start of the fault phase.
func (r *testRun) injectFault(at time.Duration) {
	p := r.schedulers[r.randIntN(len(r.schedulers))]
	a := r.agents[r.randIntN(len(r.agents))]
	target := p
	if r.randIntN(2) == 0 {
		target = a
	}
	length := time.Duration(300+r.randIntN(2700)) * time.Millisecond
	name := ""
	switch r.randIntN(16) {
	case 0:
		name = "kill " + target.name
		r.disturb(length/2, func() { target.signal(syscall.SIGKILL) }, func() { r.start(target) }, target.name)
	case 1:
		name = "pause " + target.name
		r.disturb(length, func() { target.signal(syscall.SIGSTOP) }, func() { target.signal(syscall.SIGCONT) }, target.name)
	case 2:
		name = "stop " + target.name
		r.disturb(length+4*time.Second, func() { target.signal(syscall.SIGTERM) }, func() { r.start(target) }, target.name)
	case 3:
		name = "reload " + target.name
		r.disturbOnce(func() { target.signal(syscall.SIGHUP) }, target.name)
	case 4:
		name = "kill all schedulers"
		for _, s := range r.schedulers {
			r.disturb(length/2, func() { s.signal(syscall.SIGKILL) }, func() { r.start(s) }, s.name)
		}
	case 5:
		name = "kill all"
		for _, s := range append(r.schedulers[:3:3], r.agents...) {
			r.disturb(length/2, func() { s.signal(syscall.SIGKILL) }, func() { r.start(s) }, s.name)
		}
	case 6:
		name = "store down"
		r.disturbStore(length, StoreFaults{Down: true})
	case 7:
		name = "store slow"
		r.disturbStore(length, StoreFaults{Delay: 100 * time.Millisecond})
	case 8:
		name = "store drops responses"
		r.disturbStore(length, StoreFaults{DropResponseEvery: 3})
	case 9:
		name = "store compacts its history"
		r.disturbOnce(r.store.Compact, storeName)
	case 10:
		f := []LinkFaults{{Refuse: true}, {Delay: 150 * time.Millisecond}, {DropResponses: true}, {DropRequests: true}}[r.randIntN(4)]
		name = fmt.Sprintf("store link of %s %+v", target.name, f)
		set := func(f LinkFaults) { target.toStore.SetFaults(f); target.toStore.ResetConnections() }
		r.disturb(length, func() { set(f) }, func() { set(LinkFaults{}) }, target.name)
	case 11:
		name = "open store connections of " + target.name + " drop all data"
		r.disturbOnce(target.toStore.BlackholeOpenConnections, target.name)
	case 12:
		name = "worker link of " + a.name + " goes silent or is reset"
		r.disturbOnce(a.toWorker.BlackholeOpenConnections, a.name)
		if r.randIntN(2) == 0 {
			a.toWorker.ResetConnections()
		}
	case 13:
		name = "crash of the worker of " + a.name
		r.disturbOnce(a.worker.Crash, a.name)
	case 14:
		name = "unreachable worker of " + a.name
		r.disturb(length, func() { a.worker.SetFaults(true, 0) }, func() { a.worker.SetFaults(false, 0) }, a.name)
	case 15:
		name = "dropped responses of the worker of " + a.name
		r.disturb(length, func() { a.worker.SetFaults(false, 4) }, func() { a.worker.SetFaults(false, 0) }, a.name)
	}
	r.logFault(at, name, length)
}

// disturb begins a fault and ends it after the given time. The ledger knows the named
// processes, or the store, as disturbed in between.
func (r *testRun) disturb(length time.Duration, begin, end func(), names ...string) {
	ended := r.ledger.Disturb(names...)
	begin()
	r.runLater(length, func() { end(); ended() })
}

// disturbOnce injects a fault that has no end.
func (r *testRun) disturbOnce(inject func(), names ...string) {
	ended := r.ledger.Disturb(names...)
	inject()
	ended()
}

func (r *testRun) disturbStore(length time.Duration, f StoreFaults) {
	r.disturb(length, func() { r.setStoreFaults(f) }, func() { r.setStoreFaults(StoreFaults{}) }, storeName)
}

func (r *testRun) silence(a *process, length time.Duration) {
	r.disturb(length, func() { a.worker.SetSilent(true) }, func() { a.worker.SetSilent(false) }, a.name)
}

// setStoreFaults replaces the faults of the store and tells the ledger.
func (r *testRun) setStoreFaults(f StoreFaults) {
	r.ledger.RecordStoreFault(f != StoreFaults{})
	r.store.SetFaults(f)
}

func (r *testRun) logFault(at time.Duration, name string, length time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faultLog = append(r.faultLog, fmt.Sprintf("%5.2f s  %s (%s)", at.Seconds(), name, length))
}

// silenceWorkers makes one worker or all workers leave orders unanswered for some
// seconds.
func (r *testRun) silenceWorkers(at time.Duration) {
	length := time.Duration(1000+r.randIntN(5000)) * time.Millisecond
	a := r.agents[r.randIntN(len(r.agents))]
	switch r.randIntN(3) {
	case 0:
		r.silence(a, length)
		r.logFault(at, "worker of "+a.name+" answers no orders", length)
	case 1:
		r.disturb(length, func() { a.worker.SetFaults(false, 1) }, func() { a.worker.SetFaults(false, 0) }, a.name)
		r.logFault(at, "worker of "+a.name+" drops all responses", length)
	case 2:
		for _, a := range r.agents {
			r.silence(a, length)
		}
		r.logFault(at, "no worker answers orders", length)
	}
}
