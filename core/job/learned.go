package job

import (
	"reflect"
	"time"
)

// learnedCheckInterval is how often changed learned parameters are written. The
// interference between two images is learned within some seconds.
const learnedCheckInterval = 2 * time.Second

// maxStoredRatio is the highest ratio of a run time to its estimate that an owner
// restores. Above it, an estimate could overflow.
const maxStoredRatio = 1000

// LearnedParameters are the parameters that an owner has learned and that its
// successor would have to learn again. They only improve placement, so losing
// them is harmless.
type LearnedParameters struct {
	// Interference is the utilization that one processor of a best-effort
	// image adds to a serving image, by serving and best-effort image.
	Interference map[string]map[string]float64 `json:"pressures,omitempty"`
	// RunTimeRatios are ratios of run times to their estimates, by queue.
	RunTimeRatios map[string]float64 `json:"rates,omitempty"`
}

// learnedParameters returns the current learned parameters.
func (c *Cell) learnedParameters() LearnedParameters {
	l := LearnedParameters{map[string]map[string]float64{}, map[string]float64{}}
	for serving, r := range c.interference.byServing {
		if effects := r.effectsByImage(); len(effects) > 0 {
			l.Interference[serving] = effects
		}
	}
	for queue, ratio := range c.runTimeRatios.byQueue {
		l.RunTimeRatios[queue] = ratio
	}
	return l
}

// LoadLearned restores the parameters that an earlier owner learned.
func (c *Cell) LoadLearned(l LearnedParameters) {
	for serving, effects := range l.Interference {
		c.interference.regressionOf(serving).restore(effects)
	}
	for queue, ratio := range l.RunTimeRatios {
		if ratio > 0 && ratio <= maxStoredRatio {
			c.runTimeRatios.byQueue[queue] = ratio
		}
	}
	c.storedLearned = c.learnedParameters()
}

// addLearnedWrite adds the learned parameters to w if they have changed.
func (c *Cell) addLearnedWrite(w *Writes, entries *int, now time.Time) {
	if *entries < 1 || now.Sub(c.learnedCheckedAt) < learnedCheckInterval {
		return
	}
	c.learnedCheckedAt = now
	if l := c.learnedParameters(); !reflect.DeepEqual(l, c.storedLearned) {
		c.storedLearned = l
		w.Learned = &l
		*entries--
	}
}
