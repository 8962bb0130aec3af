package job

import (
	"slices"
	"time"
)

// lateFactor is how many times its objective a job may take and still be
// worth something.
const lateFactor = 3

// prospect tells what a job can still be worth.
type prospect int

const (
	onTime prospect = iota
	late
	hopeless
)

// candidate is a step with tasks that could start.
type candidate struct {
	job  *jobRow
	occ  *occurrenceRow
	step *stepRow
	// number is that of the step.
	number   int
	queue    *Queue
	prospect prospect
	// due is when the job misses its objective.
	due time.Time
	// patience is how long its filling tasks wait for a calm worker.
	patience time.Duration
}

// candidates returns all steps with tasks that could start, in order.
func (c *Cell) candidates(now time.Time) []candidate {
	settled := c.settled(now)
	var out []candidate
	for _, j := range c.jobs.All {
		q := c.queueOf(j)
		if j.state.IsFinal() || q == nil || !settled && !j.fresh {
			continue
		}
		for _, o := range j.occurrences {
			out = c.appendCandidates(out, j, o, q, now)
		}
	}
	if len(out) > 0 {
		c.setPatience(out)
	}
	slices.SortFunc(out, func(a, b candidate) int { return c.policy.compare(&a, &b) })
	return out
}

func (c *Cell) appendCandidates(out []candidate, j *jobRow, o *occurrenceRow, q *Queue, now time.Time) []candidate {
	var due time.Time
	var p prospect
	computed := false
	for i := range o.steps {
		s := &o.steps[i]
		if s.waiting == 0 || !o.ready(i) {
			continue
		}
		if !computed {
			due, p = c.prospects(j, o, q, now)
			computed = true
		}
		out = append(out, candidate{job: j, occ: o, step: s, number: i, queue: q, prospect: p, due: due})
	}
	return out
}

// prospects returns when o misses its objective and what it can be worth.
func (c *Cell) prospects(j *jobRow, o *occurrenceRow, q *Queue, now time.Time) (time.Time, prospect) {
	begin := j.Accepted
	if !o.due.IsZero() {
		begin = o.due
	}
	objective := time.Duration(q.Stretch*float64(j.chain)) + q.Target
	due := begin.Add(objective)
	if j.Steps[0].LongRunning {
		return due, onTime
	}
	finish := now.Add(c.rates.remaining(j, o))
	switch {
	case !finish.After(due):
		return due, onTime
	case !finish.After(begin.Add(lateFactor * objective)):
		return due, late
	default:
		return due, hopeless
	}
}

// placeAll starts what fits, in order.
func (c *Cell) placeAll(now time.Time) {
	for _, k := range c.candidates(now) {
		if !c.advised(&k, now) {
			continue
		}
		if k.step.spec.Gang {
			c.placeGang(&k, now)
			continue
		}
		var options []option
		for i := range k.step.tasks {
			t := &k.step.tasks[i]
			if t.state != taskWaiting || now.Before(t.notBefore) {
				continue
			}
			if options == nil {
				options = c.options(&k, "", now)
			}
			o := choose(options, &k, t, now)
			if o == nil {
				break
			}
			t.ticket = k.step.advice.tickets[o.worker.ID]
			c.assign(k.job, k.step, t, o.worker, now)
			c.rate(o, k.step.spec)
		}
	}
}

// placeGang starts all members of a gang, or none; on one rack if that
// matters and one has room.
func (c *Cell) placeGang(k *candidate, now time.Time) {
	if k.step.waiting < len(k.step.tasks) {
		return
	}
	if k.step.spec.SameRack {
		for _, rack := range c.racks() {
			if c.placeWhole(k, rack, now) {
				return
			}
		}
	}
	c.placeWhole(k, "", now)
}

// placeWhole starts all members of a gang on workers with the label rack, or
// on any if that is empty, and reports whether it did.
func (c *Cell) placeWhole(k *candidate, rack string, now time.Time) bool {
	s := k.step
	options := c.options(k, rack, now)
	var placed []*taskRow
	for i := range s.tasks {
		t := &s.tasks[i]
		o := choose(options, k, t, now)
		if o == nil || now.Before(t.notBefore) {
			break
		}
		c.place(s, t, o.worker, 0, now)
		c.rate(o, s.spec)
		placed = append(placed, t)
	}
	whole := len(placed) == len(s.tasks)
	var starts int64
	for i := range s.tasks {
		starts = max(starts, s.tasks[i].starts)
	}
	for _, t := range placed {
		w := t.worker
		c.release(s, t)
		if whole {
			// All members share the number of the gang's run.
			t.starts = starts
			t.ticket = s.advice.tickets[w.ID]
			c.assign(k.job, s, t, w, now)
		}
	}
	return whole
}
