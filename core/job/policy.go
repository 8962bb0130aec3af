package job

import "cmp"

// policy determines in which order a cell places candidates, and whether it
// learns and reserves room. Policies other than the default are baselines for tests and
// measurements.
type policy struct {
	compare  func(a, b *candidate) int
	learns   bool
	reserves bool
	// forecastsLoad is false if serving load is judged by its recent peak alone.
	forecastsLoad bool
	// movesThrottled is true if throttled tasks are moved to other workers.
	movesThrottled bool
}

// Option sets the policy of a cell, or what it takes into account.
type Option func(*Cell)

// WithArrivalOrder orders jobs by their time of acceptance, whatever their
// queue. It is the baseline of first come, first served.
func WithArrivalOrder() Option { return func(c *Cell) { c.policy.compare = byArrival } }

// WithStrictPriority orders jobs by the priority of their queue and ignores
// latency objectives. It is the baseline of strict priority.
func WithStrictPriority() Option { return func(c *Cell) { c.policy.compare = byPriority } }

// WithoutLearning disables learning: estimates are taken as given, workers as
// healthy and of the expected speed, and the interference of each image as
// priorEffect.
func WithoutLearning() Option { return func(c *Cell) { c.policy.learns = false } }

// WithoutReservations disables the reservation of room for steps that wait for it.
func WithoutReservations() Option { return func(c *Cell) { c.policy.reserves = false } }

// WithoutLoadForecast judges the load of serving tasks by its recent peak, also if it
// swings regularly.
func WithoutLoadForecast() Option { return func(c *Cell) { c.policy.forecastsLoad = false } }

// WithoutMoves leaves throttled tasks where they are.
func WithoutMoves() Option { return func(c *Cell) { c.policy.movesThrottled = false } }

// WithDeadlines orders jobs of equal priority and timeliness by deadline, also when
// there is more work than room. It is the baseline of earliest deadline first.
func WithDeadlines() Option { return func(c *Cell) { c.policy.compare = byDeadline } }

// WithDensity orders jobs of equal priority and timeliness by their value for each
// processor second of remaining work, also when there is room. It is the baseline of
// highest density first.
func WithDensity() Option { return func(c *Cell) { c.policy.compare = byDensity } }

// byTimelinessAndPriority orders candidates: those that are not too late first,
// then by priority, then on-time before late ones. In a burst of batch jobs, small
// urgent jobs still go first, and batch jobs that are too late do not make others
// miss their objectives. Candidates that are equal in that are ordered by density
// while processors are scarce, and otherwise by deadline: in deadline order, all
// jobs of a burst become late together.
func byTimelinessAndPriority(a, b *candidate) int {
	if a.scarce {
		return byDensity(a, b)
	}
	return byDeadline(a, b)
}

func byTimeliness(a, b *candidate) int {
	return cmp.Or(
		cmp.Compare(boolRank(a.timeliness == tooLate), boolRank(b.timeliness == tooLate)),
		cmp.Compare(a.queue.Priority, b.queue.Priority),
		cmp.Compare(a.timeliness, b.timeliness))
}

func byDeadline(a, b *candidate) int {
	return cmp.Or(byTimeliness(a, b), a.deadline.Compare(b.deadline), byArrival(a, b))
}

func byDensity(a, b *candidate) int {
	return cmp.Or(byTimeliness(a, b), cmp.Compare(b.density, a.density), a.deadline.Compare(b.deadline), byArrival(a, b))
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
