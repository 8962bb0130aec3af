package agent

import (
	"time"

	"rosemarygap/core/job"
)

// Shares and thresholds of throttling, in percent.
const (
	fullShare = 100
	// unknownShare stands for what a run was told without an answer.
	unknownShare = -1
	// raiseStep is how much a share grows with each look below raiseBelow, so
	// that it takes some seconds from nothing to full.
	raiseStep = 20
	// raiseBelow, lowerAbove and cutAbove are shares of the tail target.
	raiseBelow = 70
	lowerAbove = 85
	cutAbove   = 100
	// minShare is the least share above nothing.
	minShare = 8
)

// culpritShare is the part of the largest pressure from which on an image is
// throttled with the one that causes it.
const culpritShare = 0.3

// knownPressure is the pressure of one processor from which on an image is
// taken to be a culprit.
const knownPressure = 0.04

// lookInterval is the least time between two changes: a worker's figures
// cover the last half second.
const lookInterval = 350 * time.Millisecond

// throttle limits the filling tasks beside serving ones on one worker, each
// image by itself.
type throttle struct {
	shares  map[string]int
	changed time.Time
	// sent is the share that each filling run was last told.
	sent map[runKey]int
	// pressures are what the owner has learnt of the images.
	pressures map[string]float64
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
	// worst is the longest tail as a share of its target, in percent.
	worst int
	// serving counts serving tasks; used is in thousandths of a processor.
	serving int
	used    map[string]int
}

func figuresOf(running []job.Run, traits map[string]job.Traits) figures {
	f := figures{used: map[string]int{}}
	for _, r := range running {
		t := traits[r.Task]
		switch {
		case t.TailTarget > 0:
			f.serving++
			tail := time.Duration(r.Load) * time.Millisecond
			f.worst = max(f.worst, int(tail*fullShare/t.TailTarget))
		case t.Fills:
			f.used[t.Image] += r.Load
		}
	}
	return f
}

// look takes in the figures of a worker and returns what to tell which runs.
func (t *throttle) look(running []job.Run, traits map[string]job.Traits, now time.Time) []command {
	f := figuresOf(running, traits)
	t.sharing = len(f.used) > 0 && f.serving > 0
	if f.serving == 0 {
		clear(t.shares)
	} else if now.Sub(t.changed) >= lookInterval {
		t.adjust(f, now)
	}
	return t.commands(running, traits)
}

func (t *throttle) share(image string) int {
	if s, ok := t.shares[image]; ok {
		return s
	}
	return fullShare
}

// adjust lowers the shares of the culprits quickly and raises all slowly.
func (t *throttle) adjust(f figures, now time.Time) {
	t.changed = now
	switch {
	case f.worst > cutAbove:
		for _, image := range t.culprits(f) {
			t.set(image, t.share(image)/4)
		}
	case f.worst > lowerAbove:
		for _, image := range t.culprits(f) {
			t.set(image, t.share(image)*6/10)
		}
	case f.worst < raiseBelow:
		for image := range t.shares {
			t.set(image, t.share(image)+raiseStep)
		}
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

// culprits returns the images that cause most of the pressure, or all while
// none is known to.
func (t *throttle) culprits(f figures) []string {
	largest := 0.0
	for image, used := range f.used {
		if t.pressures[image] >= knownPressure {
			largest = max(largest, t.pressures[image]*float64(used))
		}
	}
	var out []string
	for image, used := range f.used {
		if largest == 0 || t.pressures[image]*float64(used) >= culpritShare*largest {
			out = append(out, image)
		}
	}
	return out
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
