package worker

import (
	"math"
	"time"
)

// claim keeps one worker free for a job that smaller jobs keep out.
type claim struct {
	job, worker string
	since       time.Time
}

// keptFrom reports whether w is kept free for another job. Urgent jobs pass.
func (c *Cell) keptFrom(w *workerRow, j *JobRow) bool {
	return c.claim.worker == w.id && c.claim.job != j.ID && !c.classes[j.Class]
}

// refreshClaim drops a claim whose job or worker no longer needs it.
func (c *Cell) refreshClaim(now time.Time) {
	j, w := c.jobs.Get(c.claim.job), c.workers.Get(c.claim.worker)
	if j == nil || j.State != Queued || j.Cancelling || w == nil || w.lost || c.draining[w.id] ||
		now.Sub(c.claim.since) > claimLife {
		c.claim = claim{}
	}
}

// chooseClaim keeps the least committed worker that could hold the oldest
// job, if that job has waited long.
func (c *Cell) chooseClaim(p *pass) {
	j := p.oldest
	if j == nil || c.claim.job != "" || p.now.Sub(j.Submitted) < claimAfter {
		return
	}
	size := c.size(&j.Job)
	best, bestPart := "", 0.0
	for _, l := range p.rooms.leaves {
		if !size.Fits(l.worker.capacity) || !c.admits(l.worker, &j.Job) {
			continue
		}
		if math.IsInf(c.ranker.Cost(&j.Job, size, p.waited(j), l.candidate()), 1) {
			continue
		}
		part := dominant(l.worker.used, l.worker.capacity)
		if best == "" || part < bestPart {
			best, bestPart = l.worker.id, part
		}
	}
	if best != "" {
		c.claim = claim{j.ID, best, p.now}
	}
}

// dominant returns the largest share that used has of any dimension of all.
func dominant(used, all Resources) float64 {
	return max(share(used.Processors, all.Processors), share(used.Memory, all.Memory),
		share(used.Accelerators, all.Accelerators), share(used.Slots, all.Slots))
}

func share[N int | int64](used, all N) float64 {
	if all <= 0 {
		return 0
	}
	return float64(used) / float64(all)
}
