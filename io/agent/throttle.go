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
	raiseStep = 20
	// blindCut is what is left of all shares then.
	blindCut = 50
)

const (
	// knownPressure is the part of the excess that the learnt pressures must
	// explain for only their images to be throttled.
	knownPressure = 0.5
	// lookInterval is the least time between two changes: a worker's figures
	// cover the last half second.
	lookInterval = 350 * time.Millisecond
)

// throttle limits the filling tasks beside serving ones on one worker, each
// image by itself.
type throttle struct {
	shares  map[string]int
	changed time.Time
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

func figuresOf(running []job.Run, traits map[string]job.Traits) figures {
	f := figures{map[string]float64{}, map[string]float64{}}
	for _, r := range running {
		t := traits[r.Task]
		switch {
		case t.TailTarget > 0:
			tail := time.Duration(r.Load) * time.Millisecond
			f.busy[t.Image] = max(f.busy[t.Image], job.Busy(float64(tail)/float64(t.TailTarget)))
		case t.Fills:
			f.used[t.Image] += float64(r.Load) / 1000
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
func (t *throttle) look(running []job.Run, traits map[string]job.Traits, now time.Time) []command {
	f := figuresOf(running, traits)
	t.sharing = len(f.used) > 0 && len(f.busy) > 0
	if len(f.busy) == 0 {
		clear(t.shares)
	} else if now.Sub(t.changed) >= lookInterval {
		t.changed = now
		t.adjust(f)
	}
	return t.commands(running, traits)
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
func (t *throttle) adjust(f figures) {
	image, busy := f.worst()
	switch {
	case busy > job.BusyLimit:
		t.lower(f, image, busy-job.BusyLimit)
	case busy < job.BusyCalm:
		t.raise(f)
	}
}

// lower takes the excess off the images that press on the serving image.
func (t *throttle) lower(f figures, serving string, excess float64) {
	pressure := t.pressures[serving]
	total := 0.0
	for image, used := range f.used {
		total += pressure[image] * used
	}
	if total < knownPressure*excess {
		for image := range f.used {
			t.set(image, t.share(image)*blindCut/fullShare)
		}
		return
	}
	keep := max(0, 1-excess/total)
	for image, used := range f.used {
		if pressure[image]*used > 0 {
			t.set(image, int(float64(t.share(image))*keep))
		}
	}
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
				more = min(more, (job.BusyCalm-busy)/perShare)
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

func (t *throttle) commands(running []job.Run, traits map[string]job.Traits) []command {
	var out []command
	there := map[runKey]bool{}
	for _, r := range running {
		k := runKey{r.Task, r.Run}
		if !traits[r.Task].Fills {
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
