package process

import "runtime/debug"

// Shares of the memory limit, in percent, that the collector keeps below: the
// rest is for stacks, connections' buffers and unread bytes.
const memoryShare = 60

// LimitMemory makes the collector keep the heap well below limit MiB. Zero
// means no limit.
func LimitMemory(limit int64) {
	if limit > 0 {
		debug.SetMemoryLimit(limit << 20 * memoryShare / 100)
	}
}
