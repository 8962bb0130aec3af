package job

import (
	"cmp"
	"slices"
	"time"
)

// adviceWish is a candidate that needs a ticket for one of the workers that suit it.
type adviceWish struct {
	*candidate
	suits func(*workerRow) bool
}

// wishAdvice adds the wish of a candidate with waiting tasks for tickets. If all of them are
// suspects of crashes, these are for workers that may be isolated for them.
func (c *Cell) wishAdvice(k *candidate, now time.Time) {
	if !k.queue.RequiresTicket || c.openAdvice >= maxOpenAdvice {
		return
	}
	suits := func(w *workerRow) bool { return c.isUsable(w, k, now) }
	if c.isolation.crashed[k.job.ID] {
		if x := c.suspectsOf(k, now); len(x.tasks) == k.step.waiting {
			suits = func(w *workerRow) bool { return c.mayIsolate(w, &x, now) }
		}
	}
	c.adviceWishes = append(c.adviceWishes, adviceWish{k, suits})
}

// requestAdvice adds requests to the advisor for the wishes of this tick: first for the steps
// whose results have a value, and of these for those with the fewest answers, since the others
// may be denied everywhere.
func (c *Cell) requestAdvice(now time.Time) {
	wishes := c.adviceWishes
	c.adviceWishes = nil
	if len(wishes) == 0 || c.openAdvice >= maxOpenAdvice {
		return
	}
	slices.SortStableFunc(wishes, func(x, y adviceWish) int {
		return cmp.Or(cmp.Compare(boolRank(x.timeliness == tooLate), boolRank(y.timeliness == tooLate)),
			cmp.Compare(x.step.advice.answers, y.step.advice.answers))
	})
	for i := range wishes {
		k := &wishes[i]
		a := &k.step.advice
		if a.open || now.Before(a.retryAt) || a.deniedEverywhere && a.incarnations == c.incarnations && now.Sub(a.surveyedAt) < deniedInterval {
			continue
		}
		a.incarnations, a.surveyedAt = c.incarnations, now
		workers := c.workersToAsk(k, now)
		if len(workers) == 0 {
			a.retryAt = now.Add(blockedRetryInterval)
			continue
		}
		req := AdvisorRequest{Step: stepName(k.job, k.occ, k.number)}
		for _, x := range workers {
			req.Workers = append(req.Workers, x.worker.ID)
			req.incarnations = append(req.incarnations, x.worker.Incarnation)
		}
		a.open = true
		c.advisorRequests = append(c.advisorRequests, req)
		if c.openAdvice++; c.openAdvice >= maxOpenAdvice {
			return
		}
	}
}

// allowedWorkers holds the IDs of the workers that the advisor has allowed for any step of a
// queue, by queue. The policy is one of the queue, so they are the most promising for its
// other steps.
type allowedWorkers struct {
	byQueue map[string]map[string]bool
	len     int
}

// maxAllowedWorkers limits the entries of allowedWorkers: a deployment may have a thousand queues
// and a thousand workers.
const maxAllowedWorkers = 1 << 16

// add adds a worker. If there is no room for it, all earlier ones are dropped.
func (a *allowedWorkers) add(queue, worker string) {
	if a.byQueue[queue][worker] {
		return
	}
	if a.byQueue == nil || a.len >= maxAllowedWorkers {
		a.byQueue, a.len = map[string]map[string]bool{}, 0
	}
	if a.byQueue[queue] == nil {
		a.byQueue[queue] = map[string]bool{}
	}
	a.byQueue[queue][worker] = true
	a.len++
}

// Additions to the score of a worker that the step, or another step of its queue, may run on.
// They outweigh free processors, but not data elsewhere or a slow worker.
const (
	allowedBonus      = 1 << 19
	queueAllowedBonus = 1 << 18
)

// workerToAsk is a worker that a request may name.
type workerToAsk struct {
	scoredWorker
	hasRoom bool
}

// compare orders the workers with the most promising first.
func (x workerToAsk) compare(y workerToAsk) int {
	return cmp.Or(cmp.Compare(boolRank(y.hasRoom), boolRank(x.hasRoom)), cmp.Compare(y.score, x.score))
}

// survey is what is known about the workers that suit a wish.
type survey struct {
	// ask are the workers without a valid ticket that are not denied; withRoom of them have
	// room for a task.
	ask      []workerToAsk
	withRoom int
	// ticketed are the workers with a valid ticket, which have room for ready tasks.
	ticketed, ready int
	denied          int
}

// surveyWorkers returns the survey for a wish that needs room for the given number of tasks.
func (c *Cell) surveyWorkers(k *adviceWish, needed int, now time.Time) survey {
	r := c.newScorer(k.candidate, now)
	var out survey
	for _, w := range c.workers.All {
		if !k.suits(w) {
			continue
		}
		p := k.step.advice.permission(w, now)
		if p == denied {
			out.denied++
			continue
		}
		x := workerToAsk{scoredWorker: scoredWorker{worker: w}}
		r.setScore(&x.scoredWorker)
		fit := 0
		if !x.interferes {
			fit = c.fit(w, k.candidate, needed, now)
		}
		if p == ticketValid {
			out.ticketed++
			out.ready += fit
			continue
		}
		if x.hasRoom = fit > 0; x.hasRoom {
			out.withRoom++
		}
		if p == ticketExpired {
			x.score += allowedBonus
		} else if c.allowedWorkers.byQueue[k.job.Queue][w.ID] {
			x.score += queueAllowedBonus
		}
		out.ask = append(out.ask, x)
	}
	return out
}

// workersToAsk returns the workers that the next request for the step of a wish names. There
// are none while enough workers have room and a ticket. While no other worker has
// room, a few tickets for workers without room are kept, so that a task can start as soon as
// there is room.
func (c *Cell) workersToAsk(k *adviceWish, now time.Time) []workerToAsk {
	a := &k.step.advice
	needed := 1
	if k.step.spec.Gang {
		needed = k.step.waiting
	}
	limit := k.queue.AdvisorTiming.maxWorkers()
	kept := min(max(minAdviceWorkers, needed), limit)
	most := min(kept<<min(a.answers, 4), limit)
	v := c.surveyWorkers(k, needed, now)
	a.deniedEverywhere = v.denied > 0 && v.ticketed == 0 && len(v.ask) == 0
	switch {
	case v.ready >= needed:
		return nil
	case v.withRoom > 0:
		most = min(most, v.withRoom)
	default:
		most = min(most, max(0, kept-v.ticketed))
	}
	slices.SortStableFunc(v.ask, workerToAsk.compare)
	return v.ask[:min(len(v.ask), most)]
}

// maxWorkers returns how many workers a request may name: the advisor has to answer while the
// first tickets are valid, and other steps wait for it meanwhile.
func (t *AdvisorTiming) maxWorkers() int {
	longest := maxAdviceTime
	if t.TicketTTL > 0 {
		longest = min(longest, t.TicketTTL/2)
	}
	if t.PerWorker <= 0 {
		return maxAdviceWorkers
	}
	return int(min(max(1, (longest-t.PerCall)/t.PerWorker), maxAdviceWorkers))
}

// fit returns how many further tasks of the candidate's step w has room for beside what is
// claimed, up to most.
func (c *Cell) fit(w *workerRow, k *candidate, most int, now time.Time) int {
	s := k.step.spec
	limit := c.rampOf(w, now)
	left := w.room().minus(c.claims[w])
	if s.MaxPerWorker > 0 {
		most = min(most, s.MaxPerWorker-w.tasksOf(k.job.ID, k.occ.number, k.number))
	}
	n := 0
	for n < most && left.fits(w, s, k.roomPriority()) && limit.allows(w, s) {
		left = left.minus(roomFor(s))
		n++
	}
	return n
}
