package fleet

import (
	"time"

	"rosemarygap/core/job"
)

// listedDelay is the time after which a listed end counts as taken note of, unless a fault
// was near.
const listedDelay = 100 * time.Millisecond

// endRecords is what the ledger knows of the successful ends that workers have listed.
type endRecords struct {
	// schedulers are the processes whose faults may keep an end from being taken note of.
	schedulers []string
	// listed are the runs whose ends were listed, with false if the lease of the worker
	// ended before the end was acknowledged.
	listed map[runName]bool
	// notedAt is when the end of a task was first taken note of by having been listed.
	notedAt map[string]time.Time
}

func newEndRecords() endRecords {
	return endRecords{listed: map[runName]bool{}, notedAt: map[string]time.Time{}}
}

// SetSchedulers sets the names of the schedulers.
func (l *Ledger) SetSchedulers(names ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ends.schedulers = names
}

// RecordListed records that a worker lists ended runs to its agent.
func (l *Ledger) RecordListed(agent string, ended []job.End) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range ended {
		run := runName{e.Task, e.Run}
		if _, ok := l.ends.listed[run]; ok || e.Outcome != job.EndDone {
			continue
		}
		l.ends.listed[run] = true
		time.AfterFunc(listedDelay, func() { l.noteListed(agent, run) })
	}
}

// RecordLapse records that the lease of a worker has ended before ends were acknowledged.
func (l *Ledger) RecordLapse(ended []job.End) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range ended {
		l.ends.listed[runName{e.Task, e.Run}] = false
	}
}

// noteListed takes note of an end that was listed listedDelay ago. That the worker has left
// since, or that schedulers are restarted as planned, does not matter.
func (l *Ledger) noteListed(agent string, run runName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if _, ok := l.ends.notedAt[run.task]; ok || !l.ends.listed[run] || !l.faults.calm(now, append([]string{agent}, l.ends.schedulers...)...) {
		return
	}
	l.ends.notedAt[run.task] = now
	l.judged["listed ends"]++
}

// CheckListedEnd checks a start, whose order reached the worker at arrived from an agent, if
// the agent was in touch.
func (l *Ledger) CheckListedEnd(worker, agent, task string, arrived time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, ok := l.ends.notedAt[task]
	if late := arrived.Sub(at); ok && late > maxStartAfterEnd && l.inTouch(arrived, agent) {
		l.addViolation("worker %s starts %s %v after its listed end was taken note of", worker, task, late)
	}
}

// RecordDeparture records that a worker has left as planned.
func (l *Ledger) RecordDeparture() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.judged["departures"]++
}
