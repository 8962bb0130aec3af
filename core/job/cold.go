package job

import "time"

// MaxColdLeft is the longest time for which a worker can still be cold. Workers are
// cold for seconds; a higher value is an error of the worker and counts as 0.
const MaxColdLeft = 10 * time.Minute

// Parameters of the speed of cold workers. A worker is cold while its heartbeats say
// so: for some seconds after its start, its caches are empty and it works at a share
// of its speed.
const (
	// priorColdFactor is by how much tasks are assumed to take longer on a cold worker
	// before any has made progress on one.
	priorColdFactor = 2.0
	// maxColdFactor limits the learned factor. Reports have a resolution of one
	// percent, so the progress of a long task on a cold worker may look like none.
	maxColdFactor = 8.0
	// coldSpeedWeight is the weight of a new sample in the moving average. All cold
	// workers give samples to one average, so about the last 50 samples count.
	coldSpeedWeight = 0.02
)

// coldSpeed learns the speed of cold workers as a share of the expected speed.
type coldSpeed struct {
	// average is 0 before the first sample.
	average float64
}

// observe adds the speed of a task whose time on its worker was all cold.
func (s *coldSpeed) observe(speed float64) {
	if s.average == 0 {
		s.average = 1 / priorColdFactor
	}
	s.average += coldSpeedWeight * (min(max(speed, 1/maxColdFactor), 1) - s.average)
}

// factor returns by how much tasks take longer on cold workers, between 1 and
// maxColdFactor.
func (s *coldSpeed) factor() float64 {
	if s.average == 0 {
		return priorColdFactor
	}
	return 1 / s.average
}

// isCold reports whether the worker is cold.
func (w *workerRow) isCold(now time.Time) bool { return now.Before(w.coldUntil) }

// wasColdSince reports whether the worker was cold at any time since t.
func (w *workerRow) wasColdSince(t time.Time) bool { return t.Before(w.coldUntil) }

// setColdLeft records for how long the worker is still cold.
func (c *Cell) setColdLeft(w *workerRow, left time.Duration, now time.Time) {
	if left > MaxColdLeft {
		left = 0
	}
	switch {
	case left <= 0 && w.isCold(now):
		w.coldUntil = now
		return
	case left <= 0:
		return
	case !w.isCold(now):
		w.coldSince = now
	}
	w.coldUntil = now.Add(left)
	c.coldUntil = Later(c.coldUntil, w.coldUntil)
	if !w.coldLogged {
		w.coldLogged = true
		c.logCold(EventCold, w, now)
	}
}

// logWarmWorkers logs the workers that are no longer cold.
func (c *Cell) logWarmWorkers(now time.Time) {
	if c.coldUntil.IsZero() {
		return
	}
	for _, w := range c.workers.All {
		if w.coldLogged && !w.isCold(now) {
			w.coldLogged = false
			c.logCold(EventWarm, w, now)
		}
	}
}

func (c *Cell) logCold(kind EventKind, w *workerRow, now time.Time) {
	c.logEvent(kind, nil, w, "", now)
	e := &c.events[len(c.events)-1]
	e.ColdLeft, e.Slowdown = max(0, w.coldUntil.Sub(now)), c.coldSpeed.factor()
}

// coldTime returns how long a task takes on w that takes d on a warm worker. While w is
// cold, the task proceeds at a share of the speed.
func (c *Cell) coldTime(w *workerRow, d time.Duration, now time.Time) time.Duration {
	left := w.coldUntil.Sub(now)
	if left <= 0 {
		return d
	}
	factor := c.coldSpeed.factor()
	return min(times(d, factor), left+d-times(left, 1/factor))
}

func times(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
