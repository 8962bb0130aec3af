package process

import "runtime/debug"

// heapLimitPercent is the percentage of the memory limit that the garbage
// collector may use. The rest is for stacks, connection buffers and unread
// data.
const heapLimitPercent = 60

// LimitMemory sets the memory limit of the garbage collector to
// heapLimitPercent of limit, which is in MiB. A limit of 0 means no limit.
func LimitMemory(limit int64) {
	if limit > 0 {
		debug.SetMemoryLimit(limit << 20 * heapLimitPercent / 100)
	}
}
