package job

import "time"

// Age returns how long before now the time t was. Unlike now.Sub(t), it counts the time
// in which the VM was suspended, which the monotonic clock leaves out. A step of the
// wall clock can make the age too high, but not too low.
func Age(t, now time.Time) time.Duration {
	return max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
}

// Later returns the later of two times.
func Later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
