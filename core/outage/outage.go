// Package outage decides whether a process is cut off from a service that it calls.
//
// Load pattern: a service that turns some of its callers away, or is cut off from
// them, for seconds, while a process receives tens of requests a second that need it.
// A process that finds out anew with each request lets each one wait for a timeout
// and then cannot say whether it took effect. A process that knows that it is cut
// off can refuse the request or pass it on before anything is sent.
//
// The package does no I/O and takes the time as an argument.
package outage

import (
	"sync"
	"time"
)

// Thresholds of a Detector.
const (
	// minFailures is the number of failed calls in a row before a process counts as
	// cut off: one call may fail because its connection was reset.
	minFailures = 2
	// minDuration is the least time from the first to the last of these calls.
	// Calls that fail together, such as those on one connection, are one failure.
	minDuration = 150 * time.Millisecond
)

// Detector decides by the outcomes of all calls to a service. The zero value is
// ready for use, by several goroutines.
type Detector struct {
	mu       sync.Mutex
	failures int
	// firstFailure and lastFailure are the times of the failed calls since the last
	// one that succeeded.
	firstFailure, lastFailure time.Time
}

// Observe records the outcome of a call that ended at now. Any answer of the service
// counts as a success, unless it says that the service did nothing.
func (d *Detector) Observe(success bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if success {
		d.failures = 0
		return
	}
	if d.failures == 0 {
		d.firstFailure = now
	}
	d.failures++
	d.lastFailure = now
}

// CutOff reports whether the process is cut off.
func (d *Detector) CutOff() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.failures >= minFailures && d.lastFailure.Sub(d.firstFailure) >= minDuration
}
