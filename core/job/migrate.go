package job

import (
	"cmp"
	"slices"
	"time"
)

// Parameters of moving throttled tasks.
const (
	// speedWeight is the weight of one look at a task's speed; looks are half
	// a second apart, so about the last second and a half counts.
	speedWeight = 0.35
	// minSpeedLook is the least time between two looks at a task's speed.
	minSpeedLook = 350 * time.Millisecond
	// settleTime is how long a task runs before it may be moved: a throttle
	// swings within a second.
	settleTime = 1200 * time.Millisecond
	// leastSpeed is the speed, as a share of a task per second, below which a
	// task counts as standing still: reports tell whole percents.
	leastSpeed = 0.01
	// migrateGain is how many times longer the rest must take where the task
	// is than elsewhere, as for tasks on slow workers: see moveGain.
	migrateGain = moveGain
	// maxMigrations bounds the moves of one task: each costs a stop of up to
	// 400 ms and a restore of up to 600 ms on the sheets.
	maxMigrations = 2
	// workersPerMigration bounds the moves under way to one for as many
	// workers: the room that they will take is not reserved yet.
	workersPerMigration = 4
)

// progress is how fast a filling task comes on.
type progress struct {
	percent int
	at      time.Time
	// speed is the recent speed, best the highest one without a throttle, as
	// shares of the task per second; 0 means unknown.
	speed, best float64
	// migrations counts the moves because of a throttle.
	migrations int
	migrating  bool
}

// restart forgets what was seen of an earlier run.
func (p *progress) restart() { *p = progress{best: p.best, migrations: p.migrations} }

// observe takes in how far the task has come.
func (p *progress) observe(percent int, throttled bool, now time.Time) {
	if p.at.IsZero() {
		p.percent, p.at = percent, now
		return
	}
	d := now.Sub(p.at)
	if d < minSpeedLook {
		return
	}
	v := float64(percent-p.percent) / fullPercent / d.Seconds()
	if p.speed == 0 {
		p.speed = v
	}
	p.speed += speedWeight * (v - p.speed)
	if !throttled {
		p.best = max(p.best, v)
	}
	p.percent, p.at = percent, now
}

// migrate moves throttled tasks to workers whose serving tasks they do not
// strain. A stop saves the work of a task with checkpoints. Load: builds of an
// image that harms the feeds of most workers, of which some were placed before
// that was known, or before the feeds came; one such task makes its step late.
func (c *Cell) migrate(now time.Time) {
	under := 0
	var found []migration
	for _, w := range c.workers.All {
		if !w.inTouch(now) {
			continue
		}
		for _, t := range w.tasks {
			if t.progress.migrating {
				under++
			} else if gain := c.migrationGain(w, t, now); gain > 0 {
				found = append(found, migration{t, gain})
			}
		}
	}
	slices.SortFunc(found, func(a, b migration) int {
		return cmp.Or(cmp.Compare(b.gain, a.gain), compareTasks(a.task.name, b.task.name))
	})
	free := max(0, 1+c.workers.Len()/workersPerMigration-under)
	for _, m := range found[:min(len(found), free)] {
		m.task.progress.migrations++
		m.task.progress.migrating = true
		c.stop(m.task, reasonThrottled, now)
	}
}

// migration is a task that should move, and how much sooner it would end.
type migration struct {
	task *taskRow
	gain time.Duration
}

// reasonThrottled is the reason of moves of throttled tasks.
const reasonThrottled = "throttled"

// migrationGain returns how much sooner t would end on another worker; 0 if it
// should stay.
func (c *Cell) migrationGain(w *workerRow, t *taskRow, now time.Time) time.Duration {
	p := &t.progress
	if !t.spec.BestEffort || t.spec.LongRunning || p.at.IsZero() || p.migrations >= maxMigrations || now.Sub(t.ordered) < settleTime {
		return 0
	}
	k, ok := c.movable(t)
	if !ok {
		return 0
	}
	left := float64(fullPercent-t.percent) / fullPercent
	full := p.best
	if promised := c.rates.estimate(k.job, k.step); full == 0 && promised > 0 {
		full = 1 / promised.Seconds()
	}
	if full <= 0 {
		return 0
	}
	again := 1.0
	if t.spec.Checkpoints {
		again = left
	}
	here := seconds(left / max(p.speed, leastSpeed))
	there := restoreTime + seconds(again/full)
	if float64(here) < migrateGain*float64(there) {
		return 0
	}
	if !c.roomElsewhere(w, &k, t, true, now) {
		return 0
	}
	return here - there
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
