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
	raiseStep = 15
	// raiseBelow, lowerAbove and cutAbove are shares of the tail target.
	raiseBelow = 60
	lowerAbove = 80
	cutAbove   = 100
	// minShare is the least share above nothing.
	minShare = 8
)

// lookInterval is the least time between two changes: a worker's figures
// cover the last half second.
const lookInterval = 350 * time.Millisecond

// throttle limits the filling tasks beside serving ones on one worker.
type throttle struct {
	share   int
	changed time.Time
	// sent is the share that each filling run was last told.
	sent    map[runKey]int
	sharing bool
}

func newThrottle() throttle { return throttle{share: fullShare, sent: map[runKey]int{}} }

// command tells a run its share.
type command struct {
	runKey
	share int
}

// look takes in the figures of a worker and returns what to tell which runs.
func (t *throttle) look(running []job.Run, traits map[string]job.Traits, now time.Time) []command {
	worst, filling, serving := 0, 0, 0
	for _, r := range running {
		tr := traits[r.Task]
		switch {
		case tr.TailTarget > 0:
			serving++
			tail := time.Duration(r.Load) * time.Millisecond
			worst = max(worst, int(tail*fullShare/tr.TailTarget))
		case tr.Fills:
			filling++
		}
	}
	t.sharing = filling > 0 && serving > 0
	if serving == 0 {
		t.share = fullShare
	} else if now.Sub(t.changed) >= lookInterval {
		t.adjust(worst, now)
	}
	return t.commands(running, traits)
}

// adjust lowers the share quickly and raises it slowly.
func (t *throttle) adjust(worst int, now time.Time) {
	t.changed = now
	switch {
	case worst > cutAbove:
		t.share /= 4
	case worst > lowerAbove:
		t.share = t.share * 6 / 10
	case worst < raiseBelow:
		t.share = min(fullShare, t.share+raiseStep)
	}
	if t.share < minShare {
		t.share = 0
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
		if sent != t.share {
			out = append(out, command{k, t.share})
			t.sent[k] = t.share
		}
	}
	for k := range t.sent {
		if !there[k] {
			delete(t.sent, k)
		}
	}
	return out
}
