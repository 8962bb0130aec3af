package job

import "cmp"

// policy is how a cell orders what waits, and whether it learns. Only tests
// and measurements choose another than the default: the others are baselines.
type policy struct {
	compare func(a, b *candidate) int
	learns  bool
}

// Option changes the policy of a cell.
type Option func(*Cell)

// WithArrivalOrder starts what came first first, whatever its queue: the
// baseline of first come, first served.
func WithArrivalOrder() Option { return func(c *Cell) { c.policy.compare = byArrival } }

// WithStrictPriority starts what is more urgent first and looks at no
// objective: the baseline of strict priority.
func WithStrictPriority() Option { return func(c *Cell) { c.policy.compare = byPriority } }

// WithoutLearning takes estimates, workers and pairs of images as they claim
// to be.
func WithoutLearning() Option { return func(c *Cell) { c.policy.learns = false } }

// byWorth orders candidates: what can still be worth something first, then by
// priority, then on-time before late, then the earliest objective. Load: a
// burst of builds beside proofs; proofs are small and go first, and builds that
// have missed their objective do not make the others miss theirs.
func byWorth(a, b *candidate) int {
	return cmp.Or(
		cmp.Compare(boolRank(a.prospect == hopeless), boolRank(b.prospect == hopeless)),
		cmp.Compare(a.queue.Priority, b.queue.Priority),
		cmp.Compare(a.prospect, b.prospect),
		a.due.Compare(b.due),
		byArrival(a, b))
}

func byPriority(a, b *candidate) int {
	return cmp.Or(cmp.Compare(a.queue.Priority, b.queue.Priority), byArrival(a, b))
}

func byArrival(a, b *candidate) int {
	return cmp.Or(
		a.job.Accepted.Compare(b.job.Accepted),
		cmp.Compare(a.job.ID, b.job.ID),
		cmp.Compare(a.occ.number, b.occ.number))
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}
