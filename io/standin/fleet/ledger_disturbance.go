package fleet

import "time"

// contactTime is for how long nothing must have been injected at a process, its links or
// the store before the ledger judges how soon the process acts. It covers the time-outs of
// the calls of a process, which are at most 1.5 s, and the call after them.
const contactTime = 3 * time.Second

// Names of disturbances that concern all processes.
const (
	storeName   = "store"
	machineName = "machine"
)

// disturbances is what the ledger knows of the injected faults, by the name of the
// process, of the store, or of the machine.
type disturbances struct {
	open    map[string]int
	endedAt map[string]time.Time
}

func newDisturbances() disturbances {
	return disturbances{open: map[string]int{}, endedAt: map[string]time.Time{}}
}

// Disturb records that a fault is about to be injected at each named process, its links or
// worker, or at the store. The caller calls end when the fault has ended.
func (l *Ledger) Disturb(names ...string) (end func()) {
	return l.record(names, &l.disturbances, &l.faults)
}

// Plan records that each named process is about to be restarted as planned. The caller
// calls end when it has started again.
func (l *Ledger) Plan(names ...string) (end func()) { return l.record(names, &l.disturbances) }

// RecordFault records a fault of a worker that no test injects.
func (l *Ledger) RecordFault(agent string) { l.record([]string{agent}, &l.faults)() }

// record records the beginning of a disturbance of the named processes in the given
// tables, and its end when end is called.
func (l *Ledger) record(names []string, tables ...*disturbances) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, d := range tables {
		for _, n := range names {
			d.open[n]++
		}
	}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, d := range tables {
			for _, n := range names {
				d.open[n]--
				d.endedAt[n] = time.Now()
			}
		}
	}
}

// InTouch reports whether the named processes were in touch at the given time.
func (l *Ledger) InTouch(at time.Time, names ...string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inTouch(at, names...)
}

// inTouch reports whether neither the named processes, nor the store or the machine, were
// disturbed in the contactTime before at, or since. The caller holds mu.
func (l *Ledger) inTouch(at time.Time, names ...string) bool {
	return l.disturbances.calm(at, names...)
}

// calm reports the same for the disturbances in d.
func (d *disturbances) calm(at time.Time, names ...string) bool {
	for _, n := range append([]string{storeName, machineName}, names...) {
		if d.open[n] > 0 || at.Sub(d.endedAt[n]) < contactTime {
			return false
		}
	}
	return true
}
