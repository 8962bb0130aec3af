package fleet

import "time"

// maxDrainDelay is the time after an acknowledged heartbeat that says draining within
// which the last start must have reached the worker.
const maxDrainDelay = 2 * time.Second

// RecordDraining records that an agent has acknowledged a heartbeat that says that the
// worker is draining.
func (l *Ledger) RecordDraining(worker string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.drainingSince[worker]; !ok {
		l.drainingSince[worker] = time.Now()
	}
}

// RecordNotDraining records that the worker is about to be ready, or to begin an
// incarnation of which no agent has acknowledged a heartbeat.
func (l *Ledger) RecordNotDraining(worker string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.drainingSince, worker)
}

// CheckDraining checks a start whose order reached the worker at arrived. It judges only
// agents in touch: an agent that was paused may send what it had decided before, and one
// that was restarted does not know what its predecessor acknowledged.
func (l *Ledger) CheckDraining(worker, agent, task string, arrived time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	since, ok := l.drainingSince[worker]
	if !ok || !l.inTouch(arrived, agent) {
		return
	}
	if late := arrived.Sub(since); late > maxDrainDelay {
		l.addViolation("worker %s starts %s %v after its heartbeat that says draining was acknowledged", worker, task, late)
	}
}

// JudgeDraining counts a time of draining that is long enough for CheckDraining to apply.
func (l *Ledger) JudgeDraining(worker, agent string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	since, ok := l.drainingSince[worker]
	if now := time.Now(); ok && now.Sub(since) > maxDrainDelay && l.inTouch(now, agent) {
		l.judged["draining"]++
	}
}
