package fleet

import "time"

// maxConfigurationDelay is the time after a configuration was written within which it is
// in force at each scheduler in touch.
const maxConfigurationDelay = 2 * time.Second

// RecordConfiguration records that a version of the configuration has been written.
func (l *Ledger) RecordConfiguration(version int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writtenAt[version] = time.Now()
}

// CheckConfiguration checks whether a scheduler knew a queue that was added by a version
// when it was asked. The scheduler must have been in touch from then until now, as it may
// have read the request later than it was sent.
func (l *Ledger) CheckConfiguration(scheduler string, version int64, known bool, asked time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	late := asked.Sub(l.writtenAt[version])
	if late < maxConfigurationDelay || !l.inTouch(asked, scheduler) {
		return
	}
	l.judged["configurations"]++
	if !known {
		l.addViolation("scheduler %s does not know version %d of the configuration %v after it was written", scheduler, version, late)
	}
}
