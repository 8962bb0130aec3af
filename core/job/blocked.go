package job

import "time"

// allWorkers is the version before that of any worker.
const allWorkers = -1

// blockedRetryInterval is how often a blocked step is compared with all workers. Some
// conditions change with time alone, such as the pause of a worker that failed runs
// and the limit of a wait for a worker without interference.
const blockedRetryInterval = 100 * time.Millisecond

// blockedStep tells which workers may have become suitable for a step since no
// worker was. With more work than room, tens of steps wait for a worker while
// workers send more than a thousand reports a second. Comparing each step with each
// worker after each report took the owner's whole processor, and every start and
// every end waited for it. A step is compared with the workers that have changed.
type blockedStep struct {
	// version is that of the cell when no worker was suitable for the step.
	version int64
	// comparedAt is when the step was last compared with all workers. It is zero if
	// that must be done next.
	comparedAt time.Time
}

// since returns the version since which workers must have changed to be compared
// with the step.
func (b *blockedStep) since(now time.Time) int64 {
	if b.comparedAt.IsZero() || now.Sub(b.comparedAt) >= blockedRetryInterval {
		return allWorkers
	}
	return b.version
}

// record records that none of the workers changed since the given version is
// suitable.
func (b *blockedStep) record(version, since int64, now time.Time) {
	b.version = version
	if since == allWorkers {
		b.comparedAt = now
	}
}

// markChanged records that w may have become suitable for blocked steps.
func (c *Cell) markChanged(w *workerRow) {
	c.version++
	w.version = c.version
}
