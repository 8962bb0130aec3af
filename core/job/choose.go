package job

import (
	"slices"
	"time"
)

// How long a filling task waits for a worker whose serving tasks it does not
// strain. Beside those that it does, it would be throttled to less than half,
// and would hold up what is there. Load: feeds on most workers, and builds of
// which half of the images harm any one feed.
const (
	// patience applies while other tasks of the job are at work, or while the
	// workers are crowded: longer than builds of the sheets take.
	patience = 20 * time.Second
	// idlePatience applies to a job of which nothing is at work, though there
	// is room: such a job may stand still for 3 s at most.
	idlePatience = 1500 * time.Millisecond
	// crowdedLeftover is the share of all processors, in percent, below which
	// the workers are crowded: the sheets allow an idle job to wait while half
	// of them are in use, and what tasks use is known within a tenth.
	crowdedLeftover = 40
)

// crowded reports whether most processors are in use.
func (c *Cell) crowded() bool {
	left, all := 0, 0
	for _, w := range c.workers.All {
		left += max(0, w.leftover())
		all += w.Capacity.Processors
	}
	return left*fullPercent < all*crowdedLeftover
}

// setPatience sets how long the filling tasks of the candidates wait.
func (c *Cell) setPatience(all []candidate) {
	crowded := c.crowded()
	for i := range all {
		all[i].patience = idlePatience
		if crowded || all[i].busy() {
			all[i].patience = patience
		}
	}
}

// option is a worker that tasks of a step may run on.
type option struct {
	worker *workerRow
	// score ranks the options; the highest is best.
	score int
	// harmful is true if a task of the step would strain serving tasks there.
	harmful bool
}

// options returns the usable workers for tasks of the candidate's step, only
// those with the label rack unless that is empty.
func (c *Cell) options(k *candidate, rack string, now time.Time) []option {
	out := make([]option, 0, c.workers.Len())
	for _, w := range c.workers.All {
		if !c.usable(w, k, now) || rack != "" && !slices.Contains(w.Labels, rack) {
			continue
		}
		o := option{worker: w}
		c.rate(&o, k.step.spec)
		out = append(out, o)
	}
	return out
}

// racks returns the racks of the cell's workers in order. A worker's labels
// are its kind and its rack.
func (c *Cell) racks() []string {
	var out []string
	for _, w := range c.workers.All {
		if n := len(w.Labels); n > 0 && !slices.Contains(out, w.Labels[n-1]) {
			out = append(out, w.Labels[n-1])
		}
	}
	slices.Sort(out)
	return out
}

// choose returns the best option that t fits on, or nil. Load: builds of an
// image that harms some feeds, while the workers without these feeds are full.
func choose(options []option, k *candidate, t *taskRow, now time.Time) *option {
	var best *option
	bestScore := 0
	for i := range options {
		o := &options[i]
		if k.queue.RequiresTicket && k.step.advice.tickets[o.worker.ID] == "" {
			continue
		}
		if !o.worker.fits(k.step.spec, k.queue.Priority) || !o.worker.spreads(k.step.spec, t.name) || !o.worker.open(now) {
			continue
		}
		score := o.score
		if slices.Contains(t.failedOn, o.worker.ID) {
			score -= failedPenalty
		}
		if best == nil || score > bestScore {
			best, bestScore = o, score
		}
	}
	if best != nil && best.harmful {
		if t.waits.IsZero() {
			t.waits = now
		}
		if now.Sub(t.waits) < k.patience {
			return nil
		}
	}
	return best
}

// busy reports whether tasks of the candidate's job are at work.
func (k *candidate) busy() bool {
	for i := range k.occ.steps {
		s := &k.occ.steps[i]
		if s.done+s.waiting < len(s.tasks) {
			return true
		}
	}
	return false
}

// inTouch reports whether what is known of w is of now.
func (w *workerRow) inTouch(now time.Time) bool {
	return w.listed && w.unreachable == 0 && now.Sub(w.heard) <= silentLimit
}

// usable reports whether w may get tasks of the candidate at all.
func (c *Cell) usable(w *workerRow, k *candidate, now time.Time) bool {
	switch {
	case !w.inTouch(now), w.ended, w.Draining, w.foreign > 0, w.Service != k.queue.Service:
		return false
	case k.step.spec.Label != "" && !slices.Contains(w.Labels, k.step.spec.Label):
		return false
	}
	return w.open(now)
}

// servingUse is the share of their reserved processors, in percent, that
// serving tasks are taken to use; the sheets give 48%.
const servingUse = 50

// leftover returns the processors that no task of w is taken to use.
func (w *workerRow) leftover() int {
	return w.Capacity.Processors - (w.used.Processors - w.serving) - w.serving*servingUse/100 - w.filling
}

// urgentReserve is the room on each worker that less urgent tasks leave, in
// thousandths of a processor: two or three proofs. Load: batch tasks that have
// taken all room when proofs with a second of slack come.
const urgentReserve = 700

// fits reports whether the worker has room for one more task like s.
func (w *workerRow) fits(s *Step, priority int) bool {
	need := s.Need
	if priority > 0 && !s.BestEffort {
		need.Processors += min(urgentReserve, max(0, w.Capacity.Processors-need.Processors))
	}
	if s.BestEffort {
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

// rate sets the score of an option for one more task like s.
func (c *Cell) rate(o *option, s *Step) {
	w := o.worker
	o.score, o.harmful = w.leftover(), false
	switch {
	case s.TailTarget > 0:
		o.score = w.serving - w.filling
		for k, n := range w.serves {
			if k.image == s.Image {
				o.score += n * imageWeight
			} else {
				o.score -= n * imageWeight
			}
		}
	case s.BestEffort && w.serving > 0:
		excess, added := c.strain(w, s)
		o.score -= int(added * pressureWeight)
		if added > slightPressure {
			o.score -= int(max(0, excess) * strainPenalty)
			o.harmful = excess > 0
		}
	}
	if s.Rack != "" && !slices.Contains(w.Labels, s.Rack) {
		o.score -= farPenalty
	}
	if w.pace.slow() {
		o.score -= slowPenalty
	}
}
