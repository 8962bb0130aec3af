package job

// The value of a job that meets its latency objective is baseValue plus the rest in
// proportion to its work, relative to the mean work of its queue's jobs, and at most
// maxValue.
const (
	baseValue = 0.3
	maxValue  = 4
)

// meanWorkWeight is the weight of a new job in the mean work of its queue's jobs.
const meanWorkWeight = 0.05

// processorSeconds returns the estimated work of n tasks of s.
func processorSeconds(s *Step, n int) float64 {
	return float64(n) * float64(s.Need.Processors) / processorUnit * s.Estimate.Seconds()
}

// work returns the estimated work of one occurrence of the job.
func (j *Job) work() float64 {
	sum := 0.0
	for i := range j.Steps {
		sum += processorSeconds(&j.Steps[i], j.Steps[i].Tasks)
	}
	return sum
}

// meanWork learns the mean work of the jobs of each queue.
type meanWork map[string]float64

// observe adds a job.
func (m meanWork) observe(queue string, work float64) {
	old, ok := m[queue]
	if !ok {
		old = work
	}
	m[queue] = old + meanWorkWeight*(work-old)
}

// density returns the value of an occurrence for each processor second that
// completes it.
func (c *Cell) density(j *jobRow, o *occurrenceRow) float64 {
	if j.work <= 0 || c.meanWork[j.Queue] <= 0 {
		return 0
	}
	value := min(maxValue, baseValue+(1-baseValue)*j.work/c.meanWork[j.Queue])
	remaining := 0.0
	for i := range o.steps {
		s := &o.steps[i]
		remaining += processorSeconds(s.spec, len(s.tasks)-s.done)
	}
	return value / max(remaining, minRemainingWork)
}

// minRemainingWork is the least remaining work, in processor seconds, by which
// densities are computed.
const minRemainingWork = 0.1
