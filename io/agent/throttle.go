package agent

import (
	"time"

	"rosemarygap/core/job"
)

// Shares of throttling, in percent.
const (
	fullShare = 100
	// unknownShare stands for what a run was told without an answer.
	unknownShare = -1
	// minShare is the least share above nothing.
	minShare = 5
	// raiseStep is how much shares grow with a look while no image is known
	// to be a culprit.
	raiseStep = 34
	// culpritWeight is the part of the largest pressure from which on an image
	// stops at an alarm.
	culpritWeight = 0.5
	// leastKept is the least that one cut leaves of a share.
	leastKept = 0.25
)

const (
	// priorPressure is what one processor of any image is taken to add to what
	// is learnt of it; harmful images add about 0.08.
	priorPressure = 0.015
	// lookInterval is the least time between two looks.
	lookInterval = 350 * time.Millisecond
	// settleTime is how long a cut takes to show: an order works from 100 ms
	// on, and figures cover the last half second.
	settleTime = 750 * time.Millisecond
	// stopAfter is how long a serving task may be at the limit before all
	// filling tasks stop: 4 s count as harm, and figures and orders lag by up
	// to 1.4 s.
	stopAfter = 1500 * time.Millisecond
)

// throttle limits the filling tasks beside serving ones on one worker, each
// image by itself.
type throttle struct {
	shares map[string]int
	// looked is the time of the newest look, cut that of the newest cut.
	looked, cut time.Time
	// overSince is when the busiest serving task reached the limit, or zero.
	overSince time.Time
	// sent is the share that each filling run was last told.
	sent map[runKey]int
	// pressures are what the owner has learnt: the utilization that one
	// processor of a filling image adds to a serving image.
	pressures map[string]map[string]float64
	sharing   bool
}

func newThrottle() throttle {
	return throttle{shares: map[string]int{}, sent: map[runKey]int{}}
}

// command tells a run its share.
type command struct {
	runKey
	share int
}

// figures are what one look at a worker shows.
type figures struct {
	// busy is the utilization of the busiest serving task of each image.
	busy map[string]float64
	// used is in processors by filling image.
	used map[string]float64
}

func figuresOf(running []job.Run, traits map[string]job.TaskTraits) figures {
	f := figures{map[string]float64{}, map[string]float64{}}
	for _, r := range running {
		t := traits[r.Task]
		switch {
		case t.TailTarget > 0:
			f.busy[t.Image] = max(f.busy[t.Image], r.Utilization(t.TailTarget))
		case t.BestEffort:
			f.used[t.Image] += r.ProcessorUse()
		}
	}
	return f
}

// worst returns the busiest serving image.
func (f *figures) worst() (image string, busy float64) {
	for i, b := range f.busy {
		if b > busy || b == busy && i < image {
			image, busy = i, b
		}
	}
	return image, busy
}

// look takes in the figures of a worker and returns what to tell which runs.
func (t *throttle) look(running []job.Run, traits map[string]job.TaskTraits, now time.Time) []command {
	f := figuresOf(running, traits)
	t.sharing = len(f.used) > 0 && len(f.busy) > 0
	if len(f.busy) == 0 {
		clear(t.shares)
	} else if now.Sub(t.looked) >= lookInterval {
		t.looked = now
		t.adjust(f, now)
	}
	return t.commands(running, traits)
}

// holds reports whether a run may be below its full share.
func (t *throttle) holds(k runKey) bool {
	share, ok := t.sent[k]
	return ok && share != fullShare
}

func (t *throttle) share(image string) int {
	if s, ok := t.shares[image]; ok {
		return s
	}
	return fullShare
}

// adjust brings the busiest serving task to the limit. Load: a feed whose load
// rises while builds work beside it; those images that strain it give way by
// just what is needed, the others work on.
func (t *throttle) adjust(f figures, now time.Time) {
	image, busy := f.worst()
	if busy <= job.UtilizationLimit {
		t.overSince = time.Time{}
	} else if t.overSince.IsZero() {
		t.overSince = now
	}
	switch {
	case busy > job.UtilizationLimit && now.Sub(t.overSince) >= stopAfter:
		for image := range f.used {
			t.set(image, 0)
		}
	case now.Sub(t.cut) < settleTime:
	case busy > job.UtilizationLimit:
		t.cut = now
		t.lower(f, image, busy)
	case busy < job.UtilizationResume:
		t.raise(f)
	}
}

// lower takes the excess off the images that press on the serving image.
func (t *throttle) lower(f figures, serving string, busy float64) {
	excess := busy - job.UtilizationResume
	learnt := t.pressures[serving]
	largest := t.largest(learnt, f)
	// Images give way in proportion to what a processor of theirs adds.
	weights := map[string]float64{}
	total := 0.0
	for image, used := range f.used {
		pressure := learnt[image] + priorPressure
		weights[image] = pressure / largest
		total += pressure * used * weights[image]
	}
	if total == 0 {
		return
	}
	for image, weight := range weights {
		keep := max(leastKept, 1-weight*excess/total)
		if busy > job.UtilizationCritical && weight >= culpritWeight {
			keep = 0
		}
		t.set(image, int(float64(t.share(image))*keep))
	}
}

// largest returns the largest pressure of one processor of the images in use.
func (t *throttle) largest(learnt map[string]float64, f figures) float64 {
	largest := 0.0
	for image := range f.used {
		largest = max(largest, learnt[image]+priorPressure)
	}
	return largest
}

// raise gives throttled images part of the room that every serving image
// leaves them.
func (t *throttle) raise(f figures) {
	for image, share := range t.shares {
		more := float64(raiseStep)
		for serving, busy := range f.busy {
			p := t.pressures[serving][image]
			if used := f.used[image]; p > 0 && used > 0 && share > 0 {
				// The processors that a share gives are proportional to it.
				perShare := p * used / float64(share)
				more = min(more, (job.UtilizationResume-busy)/perShare)
			}
		}
		t.set(image, share+max(int(more), 1))
	}
}

func (t *throttle) set(image string, share int) {
	switch {
	case share >= fullShare:
		delete(t.shares, image)
	case share < minShare:
		t.shares[image] = 0
	default:
		t.shares[image] = share
	}
}

func (t *throttle) commands(running []job.Run, traits map[string]job.TaskTraits) []command {
	var out []command
	there := map[runKey]bool{}
	for _, r := range running {
		k := runKey{r.Task, r.Run}
		if !traits[r.Task].BestEffort {
			continue
		}
		there[k] = true
		sent, ok := t.sent[k]
		if !ok {
			sent = fullShare
		}
		if share := t.share(traits[r.Task].Image); sent != share {
			out = append(out, command{k, share})
			t.sent[k] = share
		}
	}
	for k := range t.sent {
		if !there[k] {
			delete(t.sent, k)
		}
	}
	return out
}
