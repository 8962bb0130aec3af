package job

import (
	"reflect"
	"time"
)

// lessonsEvery is how often what an owner has learnt is stored; pairs of
// images are learnt within some seconds.
const lessonsEvery = 2 * time.Second

// Lessons are what an owner has learnt and its successor would have to learn
// again. They decide only where tasks run best, so losing them is no harm.
type LearnedParameters struct {
	// Pressures are the effects of filling images by serving image.
	Interference map[string]map[string]float64 `json:"pressures,omitempty"`
	// Rates are run times as shares of their estimates, by queue.
	RunTimeRatios map[string]float64 `json:"rates,omitempty"`
}

// lessons returns what was learnt so far.
func (c *Cell) lessons() LearnedParameters {
	l := LearnedParameters{map[string]map[string]float64{}, map[string]float64{}}
	for serving, r := range c.pressure.byServing {
		if known := r.known(); len(known) > 0 {
			l.Interference[serving] = known
		}
	}
	for queue, rate := range c.rates.byQueue {
		l.RunTimeRatios[queue] = rate
	}
	return l
}

// Learn takes in the lessons of an earlier owner.
func (c *Cell) LoadLearned(l LearnedParameters) {
	for serving, effects := range l.Interference {
		c.pressure.of(serving).restore(effects)
	}
	for queue, rate := range l.RunTimeRatios {
		c.rates.byQueue[queue] = rate
	}
	c.stored = c.lessons()
}

// dueLessons adds the lessons to a write if they have changed.
func (c *Cell) dueLessons(w *Writes, entries *int, now time.Time) {
	if *entries < 1 || now.Sub(c.taught) < lessonsEvery {
		return
	}
	c.taught = now
	if l := c.lessons(); !reflect.DeepEqual(l, c.stored) {
		c.stored = l
		w.Learned = &l
		*entries--
	}
}
