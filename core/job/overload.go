package job

import "time"

// interferenceMaxAge is how old the predicted interference on a worker may be. It changes
// with each report of any worker that runs tasks of the same images, by little within this
// time.
const interferenceMaxAge = 50 * time.Millisecond

// servingInterference is the utilization that the best-effort tasks on a worker are
// predicted to add to the serving tasks of a job and image there.
type servingInterference struct {
	servingJob
	added float64
}

// predictedInterference holds the predictions for the serving tasks of a worker.
type predictedInterference struct {
	at      time.Time
	serving []servingInterference
}

// servingInterferences returns the predictions for the serving tasks of w. It keeps
// them until they are too old or the tasks of w change: under overload, many steps
// are compared with each worker many times a second.
func (c *Cell) servingInterferences(w *workerRow, now time.Time) []servingInterference {
	p := &w.predicted
	if !p.at.IsZero() && now.Sub(p.at) < interferenceMaxAge {
		return p.serving
	}
	p.at, p.serving = now, p.serving[:0]
	scale := InterferenceScale(w.Capacity)
	for k := range w.servingTasks {
		p.serving = append(p.serving, servingInterference{k, c.interference.predict(k.image, w.bestEffortByImage) / scale})
	}
	return p.serving
}

// scorer sets the scores of workers for one more task of a step.
type scorer struct {
	cell *Cell
	step *Step
	now  time.Time
	// runTime is the expected run time of a task on a worker of the expected speed.
	runTime time.Duration
	// timed is true if the expected ends on the workers are computed.
	timed bool
	// byEnd is true if workers are chosen by the expected end of the task.
	byEnd bool
	// rack are the workers in the rack of the step's data, and spread is where its
	// tasks run; both are nil until they are needed.
	rack   []*workerRow
	spread *stepSpread
	// rooms are the rooms in that rack for which tasks may wait; it is nil until it is
	// needed, and after a start.
	rooms *rackRooms
	// increases is the utilization that the task adds on a worker of the reference
	// size, by serving image.
	increases map[string]float64
	// loads is the highest load of each serving job while a task of the step is expected
	// to run.
	loads map[string]float64
}

func (c *Cell) newScorer(k *candidate, now time.Time) *scorer {
	runTime := c.runTimeRatios.estimate(k.job, k.step)
	if runTime <= 0 {
		runTime = assumedTaskTime
	}
	byEnd := c.usesExpectedEnd(k.step.spec)
	return &scorer{cell: c, step: k.step.spec, now: now, runTime: runTime, byEnd: byEnd,
		timed: byEnd || now.Before(c.coldUntil) && !k.step.spec.LongRunning, increases: map[string]float64{}, loads: map[string]float64{}}
}

// increase returns the utilization that a task of the step adds to a serving image on a
// worker of the reference size.
func (r *scorer) increase(image string) float64 {
	v, ok := r.increases[image]
	if !ok {
		one := usage{r.step.Image: float64(r.step.Need.Processors) / processorUnit}
		v = r.cell.interference.regressionOf(image).predict(one, placementDeviations)
		r.increases[image] = v
	}
	return v
}

// load returns the highest load of a serving job while a task of the step is expected to
// run.
func (r *scorer) load(job string) float64 {
	v, ok := r.loads[job]
	if !ok {
		l := r.cell.interference.loadOf(job)
		if v = l.peak; r.cell.policy.forecastsLoad {
			v = l.highestUntil(r.now.Add(r.runTime), r.now)
		}
		r.loads[job] = v
	}
	return v
}

// predictOverload returns by how much the utilization of a serving task of w would
// exceed placementUtilizationLimit beside one more task of the step, and how much
// utilization the task would add: both are maxima over the serving tasks.
func (r *scorer) predictOverload(w *workerRow) (excess, added float64) {
	scale := InterferenceScale(w.Capacity)
	for _, u := range r.cell.servingInterferences(w, r.now) {
		increase := r.increase(u.image) / scale
		excess, added = max(excess, r.load(u.job)+u.added+increase-placementUtilizationLimit), max(added, increase)
	}
	return excess, added
}
