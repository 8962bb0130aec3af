// Package clocktest makes times for tests as a VM reads them that was suspended.
package clocktest

import (
	"time"
	"unsafe"
)

// monotonicTime has the layout of a time.Time that has a monotonic reading. Package
// time has no function that changes one of its two readings alone.
type monotonicTime struct {
	wall      uint64
	monotonic int64
	_         *time.Location
}

// AfterSuspension returns the time at which a VM that was suspended for d at t goes on:
// its monotonic clock stood still, its wall clock went on. It panics unless t is from
// time.Now.
func AfterSuspension(t time.Time, d time.Duration) time.Time {
	out := t.Add(d)
	(*monotonicTime)(unsafe.Pointer(&out)).monotonic -= int64(d)
	if out.Sub(t) != 0 || out.Round(0).Sub(t.Round(0)) != d {
		panic("time without a monotonic reading, or of an unknown layout")
	}
	return out
}
