package fleet

import "time"

// outerDelay is the time by which the bound on evacuations is longer if the store was
// disturbed during the evacuation.
const outerDelay = 6 * time.Second

// zoneRecords is what the ledger knows of availability zones.
type zoneRecords struct {
	// starts counts the starts in each zone.
	starts map[string]int
	// evacuated holds the evacuations that are in force.
	evacuated map[string]evacuationRecord
	// storeFaulty is true while the store is down, slow or loses answers, and
	// storeFaultyUntil is when it last was.
	storeFaulty      bool
	storeFaultyUntil time.Time
}

// evacuationRecord is an evacuation and the time after it from which on no start may
// arrive.
type evacuationRecord struct {
	acknowledgedAt time.Time
	bound          time.Duration
}

func newZoneRecords() zoneRecords {
	return zoneRecords{starts: map[string]int{}, evacuated: map[string]evacuationRecord{}}
}

// RecordEvacuation records that the evacuation of a zone was acknowledged.
func (l *Ledger) RecordEvacuation(zone string, bound time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.zones.evacuated[zone] = evacuationRecord{time.Now(), bound}
}

// RecordReopening records that the evacuation of a zone is about to end.
func (l *Ledger) RecordReopening(zone string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.zones.evacuated, zone)
}

// RecordStoreFault records whether the store is down, slow or loses answers.
func (l *Ledger) RecordStoreFault(faulty bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.zones.storeFaulty && !faulty {
		l.zones.storeFaultyUntil = time.Now()
	}
	l.zones.storeFaulty = faulty
}

// RecordZoneOfStart records and checks a start on a worker in a zone, whose order
// reached the worker at arrived.
func (l *Ledger) RecordZoneOfStart(zone, worker, task string, arrived time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.zones.starts[zone]++
	e, ok := l.zones.evacuated[zone]
	if !ok || l.zones.storeFaulty {
		return
	}
	bound := e.bound
	if l.zones.storeFaultyUntil.After(e.acknowledgedAt) {
		bound += outerDelay
	}
	if late := arrived.Sub(e.acknowledgedAt); late > bound {
		l.addViolation("worker %s starts %s %v after the evacuation of its zone %s was acknowledged", worker, task, late, zone)
	}
}

// StartsIn returns the number of starts in a zone.
func (l *Ledger) StartsIn(zone string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.zones.starts[zone]
}
