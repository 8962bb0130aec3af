package worker

import (
	"math"
	"time"
)

// reservation reserves one worker for a job that would otherwise never find room
// because smaller jobs take it first.
type reservation struct {
	job, worker string
	since       time.Time
}

// isReservedForOther reports whether w is reserved for a job other than j. Urgent
// jobs ignore reservations.
func (c *Cell) isReservedForOther(w *workerRow, j *JobRow) bool {
	return c.reservation.worker == w.id && c.reservation.job != j.ID && !c.urgentClasses[j.Class]
}

// expireReservation removes the reservation if it is too old, or if its job is no
// longer queued or its worker no longer available.
func (c *Cell) expireReservation(now time.Time) {
	j, w := c.jobs.Get(c.reservation.job), c.workers.Get(c.reservation.worker)
	if j == nil || j.State != Queued || j.Cancelling || w == nil || w.lost || c.closedWorkers[w.id] ||
		now.Sub(c.reservation.since) > maxReservation {
		c.reservation = reservation{}
	}
}

// chooseReservation reserves, for the oldest unplaced job, the least utilized
// worker that could hold it, if the job has waited for reservationDelay.
func (c *Cell) chooseReservation(p *placementPass) {
	j := p.oldestUnplaced
	if j == nil || c.reservation.job != "" || p.now.Sub(j.Submitted) < reservationDelay {
		return
	}
	size := c.reservedSize(&j.Job)
	best, bestShare := "", 0.0
	for _, l := range p.rooms.leaves {
		if !size.Fits(l.worker.capacity) || !c.admits(l.worker, &j.Job) {
			continue
		}
		if math.IsInf(c.ranker.Cost(&j.Job, size, p.refusedFor(j), l.candidate()), 1) {
			continue
		}
		share := dominantShare(l.worker.reserved, l.worker.capacity)
		if best == "" || share < bestShare {
			best, bestShare = l.worker.id, share
		}
	}
	if best != "" {
		c.reservation = reservation{j.ID, best, p.now}
	}
}

// dominantShare returns the largest share of used in total over all dimensions.
func dominantShare(used, total Resources) float64 {
	return max(usedShare(used.Processors, total.Processors), usedShare(used.Memory, total.Memory),
		usedShare(used.Accelerators, total.Accelerators), usedShare(used.Slots, total.Slots))
}

func usedShare[N int | int64](used, total N) float64 {
	if total <= 0 {
		return 0
	}
	return float64(used) / float64(total)
}
