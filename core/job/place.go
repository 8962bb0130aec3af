package job

import (
	"cmp"
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
	job      *jobRow
	occ      *occurrenceRow
	step     *stepRow
	priority int
	prospect prospect
	// due is when the job misses its objective.
	due time.Time
}

// compare orders candidates: what can still be worth something first, then
// by priority, then on-time before late, then the earliest objective. Load:
// a burst of builds beside proofs; proofs are small and go first, and builds
// that have missed their objective do not make the others miss theirs.
func (a *candidate) compare(b *candidate) int {
	return cmp.Or(
		cmp.Compare(boolRank(a.prospect == hopeless), boolRank(b.prospect == hopeless)),
		cmp.Compare(a.priority, b.priority),
		cmp.Compare(a.prospect, b.prospect),
		a.due.Compare(b.due),
		cmp.Compare(a.job.ID, b.job.ID),
		cmp.Compare(a.occ.number, b.occ.number))
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

// candidates returns all steps with tasks that could start, in order.
func (c *Cell) candidates(now time.Time) []candidate {
	settled := c.settled(now)
	var out []candidate
	for _, j := range c.jobs.All {
		q := c.queues[j.Queue]
		if j.state.Final() || q == nil || !settled && !j.fresh {
			continue
		}
		for _, o := range j.occurrences {
			out = c.appendCandidates(out, j, o, q, now)
		}
	}
	slices.SortFunc(out, func(a, b candidate) int { return a.compare(&b) })
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
		out = append(out, candidate{j, o, s, q.Priority, p, due})
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
	if j.Steps[0].Lasting {
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
		if k.step.spec.Gang {
			c.placeGang(&k, now)
			continue
		}
		for i := range k.step.tasks {
			t := &k.step.tasks[i]
			if t.state != taskWaiting || now.Before(t.notBefore) {
				continue
			}
			w := c.choose(&k, t, now)
			if w == nil {
				break
			}
			c.assign(k.job, k.step, t, w, now)
		}
	}
}

// patience is how long a filling task waits for a worker whose serving tasks
// it does not strain: beside those that it does, it would be throttled to less
// than half, which costs as much time.
const patience = 1500 * time.Millisecond

// choose returns the best worker that t fits on, or nil. Load: builds of an
// image that harms some feeds, while the workers without these feeds are full.
func (c *Cell) choose(k *candidate, t *taskRow, now time.Time) *workerRow {
	var best *workerRow
	var bestScore int
	strains, others := false, false
	for _, w := range c.workers.All {
		if !c.usable(w, k, now) {
			continue
		}
		harmful := c.strains(w, k.step.spec)
		others = others || !harmful
		if !w.fits(k.step.spec) || !w.spreads(k.step.spec, t.name) {
			continue
		}
		if s := c.score(w, k, t); best == nil || s > bestScore {
			best, bestScore, strains = w, s, harmful
		}
	}
	if strains && others {
		if t.waits.IsZero() {
			t.waits = now
		}
		if now.Sub(t.waits) < patience {
			return nil
		}
	}
	return best
}

// strains reports whether a task like s would strain serving tasks of w.
func (c *Cell) strains(w *workerRow, s *Step) bool {
	if !s.Fills || w.serving == 0 {
		return false
	}
	excess, added := c.strain(w, s)
	return excess > 0 && added > slightPressure
}

// usable reports whether w may get tasks of the candidate at all.
func (c *Cell) usable(w *workerRow, k *candidate, now time.Time) bool {
	q := c.queues[k.job.Queue]
	switch {
	case !w.listed, w.ended, w.Draining, w.unreachable > 0, w.foreign > 0:
		return false
	case now.Sub(w.heard) > silentLimit, w.Service != q.Service:
		return false
	case k.step.spec.Label != "" && !slices.Contains(w.Labels, k.step.spec.Label):
		return false
	}
	return w.health.usable(len(w.tasks), now)
}

// servingUse is the share of their reserved processors, in percent, that
// serving tasks are taken to use; the sheets give 48%.
const servingUse = 50

// leftover returns the processors that no task of w is taken to use.
func (w *workerRow) leftover() int {
	return w.Capacity.Processors - (w.used.Processors - w.serving) - w.serving*servingUse/100 - w.filling
}

// fits reports whether the worker has room for one more task like s.
func (w *workerRow) fits(s *Step) bool {
	need := s.Need
	if s.Fills {
		if w.leftover() < need.Processors {
			return false
		}
		need.Processors = 0
	}
	need.Slots = 0
	return w.used.Plus(need).Fits(w.Capacity.Max(Resources{Slots: w.used.Slots}))
}

// spreads reports whether w may run one more task of the step.
func (w *workerRow) spreads(s *Step, name Task) bool {
	if s.MaxPerWorker == 0 {
		return true
	}
	n := 0
	for other := range w.tasks {
		if other.Job == name.Job && other.Occurrence == name.Occurrence && other.Step == name.Step {
			n++
		}
	}
	return n < s.MaxPerWorker
}

// slightPressure is the added utilization that counts as none.
const slightPressure = 0.04

// Weights of a worker's score, in thousandths of a processor.
const (
	// farPenalty outweighs any difference in room: a task away from its data
	// takes half as long again or more.
	farPenalty = 1 << 20
	// slowPenalty keeps tasks off slow workers while others have room.
	slowPenalty = 1 << 20
	// failedPenalty keeps a task off the worker that it failed on.
	failedPenalty = 1 << 21
	// strainPenalty is what a utilization above the limit by one costs: it
	// outweighs all room on a worker from an excess of 0.1.
	strainPenalty = 1 << 19
	// pressureWeight is what added utilization by one costs.
	pressureWeight = 1 << 17
	// imageWeight brings serving tasks of one image together, so that filling
	// tasks find workers whose serving images they do not disturb.
	imageWeight = 1 << 15
)

// score ranks workers that a task fits on; the highest is best.
func (c *Cell) score(w *workerRow, k *candidate, t *taskRow) int {
	s := k.step.spec
	score := w.leftover()
	switch {
	case s.TailTarget > 0:
		serving, _ := w.beside(c)
		score = w.serving - w.filling
		for k, n := range serving {
			if k.image == s.Image {
				score += n * imageWeight
			} else {
				score -= n * imageWeight
			}
		}
	case s.Fills && w.serving > 0:
		excess, added := c.strain(w, s)
		score -= int(added * pressureWeight)
		if added > slightPressure {
			score -= int(max(0, excess) * strainPenalty)
		}
	}
	if s.Rack != "" && !slices.Contains(w.Labels, s.Rack) {
		score -= farPenalty
	}
	if slices.Contains(t.failedOn, w.ID) {
		score -= failedPenalty
	}
	if w.pace.slow() {
		score -= slowPenalty
	}
	return score
}

// placeGang starts all members of a gang, or none.
func (c *Cell) placeGang(k *candidate, now time.Time) {
	s := k.step
	if s.waiting < len(s.tasks) {
		return
	}
	var placed []*taskRow
	for i := range s.tasks {
		t := &s.tasks[i]
		w := c.choose(k, t, now)
		if w == nil || now.Before(t.notBefore) {
			break
		}
		c.place(s, t, w, 0, now)
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
			c.assign(k.job, s, t, w, now)
		}
	}
}
