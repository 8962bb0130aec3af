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
		target.signal(syscall.SIGKILL)
		r.runLater(length/2, func() { r.start(target) })
	case 1:
		name = "pause " + target.name
		target.signal(syscall.SIGSTOP)
		r.runLater(length, func() { target.signal(syscall.SIGCONT) })
	case 2:
		name = "stop " + target.name
		target.signal(syscall.SIGTERM)
		r.runLater(length+4*time.Second, func() { r.start(target) })
	case 3:
		name = "reload " + target.name
		target.signal(syscall.SIGHUP)
	case 4:
		name = "kill all schedulers"
		for _, s := range r.schedulers {
			s.signal(syscall.SIGKILL)
			r.runLater(length/2, func() { r.start(s) })
		}
	case 5:
		name = "kill all"
		for _, s := range append(r.schedulers[:3:3], r.agents...) {
			s.signal(syscall.SIGKILL)
			r.runLater(length/2, func() { r.start(s) })
		}
	case 6:
		name = "store down"
		r.setStoreFaults(StoreFaults{Down: true})
		r.runLater(length, func() { r.setStoreFaults(StoreFaults{}) })
	case 7:
		name = "store slow"
		r.setStoreFaults(StoreFaults{Delay: 100 * time.Millisecond})
		r.runLater(length, func() { r.setStoreFaults(StoreFaults{}) })
	case 8:
		name = "store drops responses"
		r.setStoreFaults(StoreFaults{DropResponseEvery: 3})
		r.runLater(length, func() { r.setStoreFaults(StoreFaults{}) })
	case 9:
		name = "store compacts its history"
		r.store.Compact()
	case 10:
		f := []LinkFaults{{Refuse: true}, {Delay: 150 * time.Millisecond}, {DropResponses: true}, {DropRequests: true}}[r.randIntN(4)]
		name = fmt.Sprintf("store link of %s %+v", target.name, f)
		target.toStore.SetFaults(f)
		target.toStore.ResetConnections()
		r.runLater(length, func() { target.toStore.SetFaults(LinkFaults{}); target.toStore.ResetConnections() })
	case 11:
		name = "open store connections of " + target.name + " drop all data"
		target.toStore.BlackholeOpenConnections()
	case 12:
		name = "worker link of " + a.name + " goes silent or is reset"
		a.toWorker.BlackholeOpenConnections()
		if r.randIntN(2) == 0 {
			a.toWorker.ResetConnections()
		}
	case 13:
		name = "crash of the worker of " + a.name
		a.worker.Crash()
	case 14:
		name = "unreachable worker of " + a.name
		a.worker.SetFaults(true, 0)
		r.runLater(length, func() { a.worker.SetFaults(false, 0) })
	case 15:
		name = "dropped responses of the worker of " + a.name
		a.worker.SetFaults(false, 4)
		r.runLater(length, func() { a.worker.SetFaults(false, 0) })
	}
	r.logFault(at, name, length)
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
		a.worker.SetSilent(true)
		r.runLater(length, func() { a.worker.SetSilent(false) })
		r.logFault(at, "worker of "+a.name+" answers no orders", length)
	case 1:
		a.worker.SetFaults(false, 1)
		r.runLater(length, func() { a.worker.SetFaults(false, 0) })
		r.logFault(at, "worker of "+a.name+" drops all responses", length)
	case 2:
		for _, a := range r.agents {
			a.worker.SetSilent(true)
			r.runLater(length, func() { a.worker.SetSilent(false) })
		}
		r.logFault(at, "no worker answers orders", length)
	}
}
