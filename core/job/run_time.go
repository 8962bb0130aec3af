package job

import "time"

// runTimeRatioWeight is the weight of a new sample in the moving average, which
// covers about the last ten runs.
const runTimeRatioWeight = 0.1

// runTimeRatios learns the ratios of run times to estimates.
type runTimeRatios struct{ byQueue map[string]float64 }

func newRunTimeRatios() runTimeRatios { return runTimeRatios{map[string]float64{}} }

// observe adds the run time of a run that succeeded and did the whole task.
// factor is by which factor the task took longer on its worker than expected.
func (r runTimeRatios) observe(j *jobRow, s *stepRow, t *taskRow, outcome Outcome, factor float64, now time.Time) {
	if outcome != EndDone || s.spec.Estimate <= 0 || t.partial {
		return
	}
	ratio := float64(now.Sub(t.orderedAt)) / (float64(s.spec.Estimate) * factor)
	old, ok := r.byQueue[j.Queue]
	if !ok {
		old = 1
	}
	r.byQueue[j.Queue] = old + runTimeRatioWeight*(ratio-old)
}

// estimate returns the expected run time of a task of s.
func (r runTimeRatios) estimate(j *jobRow, s *stepRow) time.Duration {
	return r.expected(j.Queue, s.spec)
}

// expected returns the expected run time of a task of s in a job of queue.
func (r runTimeRatios) expected(queue string, s *Step) time.Duration {
	if ratio, ok := r.byQueue[queue]; ok {
		return time.Duration(float64(s.Estimate) * ratio)
	}
	return s.Estimate
}

// remaining returns the critical path of the remaining work of o.
func (r runTimeRatios) remaining(j *jobRow, o *occurrenceRow) time.Duration {
	var longest time.Duration
	ends := make([]time.Duration, len(o.steps))
	for i := range o.steps {
		s := &o.steps[i]
		var begin time.Duration
		for _, a := range s.spec.After {
			begin = max(begin, ends[a])
		}
		ends[i] = begin
		if s.done < len(s.tasks) {
			ends[i] += r.estimate(j, s)
		}
		longest = max(longest, ends[i])
	}
	return longest
}
