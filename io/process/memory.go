package process

import "runtime/debug"

// memoryLimitPercent is the percentage of the memory limit of the process that
// is the soft memory limit of the Go runtime. The rest is a reserve for stacks,
// connection buffers and unread data, which garbage collection cannot free.
const memoryLimitPercent = 60

// LimitMemory sets the soft memory limit of the Go runtime to
// memoryLimitPercent of limit, which is in MiB. A limit of 0 means no limit.
func LimitMemory(limit int64) {
	if limit > 0 {
		debug.SetMemoryLimit(limit << 20 * memoryLimitPercent / 100)
	}
}
