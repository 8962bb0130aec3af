package job

import "time"

// rateWeight is the weight of a new observation in a moving average; about
// the last ten runs count.
const rateWeight = 0.1

// rates learns how long tasks take beside their estimates.
type rates struct{ byQueue map[string]float64 }

func newRates() rates { return rates{map[string]float64{}} }

// observe takes in the end of a run.
func (r rates) observe(j *jobRow, s *stepRow, t *taskRow, how Outcome, now time.Time) {
	if how != EndDone || s.spec.Estimate <= 0 || t.checkpoint != "" && !s.spec.Checkpoints {
		return
	}
	ratio := float64(now.Sub(t.ordered)) / float64(s.spec.Estimate)
	old, ok := r.byQueue[j.Queue]
	if !ok {
		old = 1
	}
	r.byQueue[j.Queue] = old + rateWeight*(ratio-old)
}

// estimate returns how long a task of s takes.
func (r rates) estimate(j *jobRow, s *stepRow) time.Duration {
	if ratio, ok := r.byQueue[j.Queue]; ok {
		return time.Duration(float64(s.spec.Estimate) * ratio)
	}
	return s.spec.Estimate
}

// remaining returns the longest chain of work that is left of o.
func (r rates) remaining(j *jobRow, o *occurrenceRow) time.Duration {
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
