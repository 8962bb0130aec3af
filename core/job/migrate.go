package job

import (
	"cmp"
	"slices"
	"time"
)

// Parameters of the migration of throttled tasks.
const (
	// taskSpeedWeight is the weight of a new sample in the moving average of a
	// task's speed. Samples are half a second apart, so the average covers
	// about the last 1.5 s.
	taskSpeedWeight = 0.35
	// minSpeedInterval is the minimum time between two samples of a task's
	// speed.
	minSpeedInterval = 350 * time.Millisecond
	// minRunTimeBeforeMove is how long a task must run before it may be moved.
	// A throttle varies within a second, so a shorter run may show only a brief
	// throttle.
	minRunTimeBeforeMove = 1200 * time.Millisecond
	// minTaskSpeed is the lowest speed, as a share of a task per second, that
	// estimates use: reports have a resolution of one percent.
	minTaskSpeed = 0.01
	// minMigrationRatio is how many times longer the rest of the task must
	// take on its current worker than elsewhere. It equals minMoveRatio, the
	// ratio for tasks on slow workers.
	minMigrationRatio = minMoveRatio
	// maxMigrations limits the migrations of one task. On the platform, each
	// migration takes up to 400 ms to stop the task and up to 600 ms to
	// restore it.
	maxMigrations = 2
	// workersPerMigration is the number of workers for each concurrent
	// migration beyond the first. It limits concurrent migrations because the
	// capacity that a migrating task will take is not reserved yet.
	workersPerMigration = 4
)

// taskSpeed tracks the speed of a best-effort task.
type taskSpeed struct {
	percent int
	at      time.Time
	// current is the moving average of the speed and best the highest speed
	// without a throttle, as shares of the task per second; 0 means unknown.
	current, best float64
	// migrations counts the migrations because of a throttle.
	migrations int
	migrating  bool
	// slowMoves counts the moves because of slow workers.
	slowMoves int
}

// reset discards the samples of an earlier run.
func (s *taskSpeed) reset() {
	*s = taskSpeed{best: s.best, migrations: s.migrations, slowMoves: s.slowMoves}
}

// observe adds a sample of how much of the task is done.
func (s *taskSpeed) observe(percent int, throttled bool, now time.Time) {
	if s.at.IsZero() {
		s.percent, s.at = percent, now
		return
	}
	elapsed := now.Sub(s.at)
	if elapsed < minSpeedInterval {
		return
	}
	speed := float64(percent-s.percent) / fullPercent / elapsed.Seconds()
	if s.current == 0 {
		s.current = speed
	}
	s.current += taskSpeedWeight * (speed - s.current)
	if !throttled {
		s.best = max(s.best, speed)
	}
	s.percent, s.at = percent, now
}

// moveThrottledTasks migrates throttled tasks to workers where they do not
// interfere with serving tasks. A stop saves the work of a task with
// checkpoints. Batch jobs whose image interferes with the serving tasks on most
// workers need migrations: some of their tasks are placed before the
// interference is known or before the serving tasks start, and a single
// throttled task makes its step late.
func (c *Cell) moveThrottledTasks(now time.Time) {
	if !c.policy.movesThrottled {
		return
	}
	moving := 0
	var wanted []migration
	for _, w := range c.workers.All {
		if !w.hasRecentReport(now) {
			continue
		}
		for _, t := range w.tasks {
			if t.speed.migrating {
				moving++
			} else if gain := c.migrationGain(w, t, now); gain > 0 && c.mayStop(t, now) {
				wanted = append(wanted, migration{t, gain})
			}
		}
	}
	slices.SortFunc(wanted, func(a, b migration) int {
		return cmp.Or(cmp.Compare(b.gain, a.gain), compareTasks(a.task.name, b.task.name))
	})
	allowed := max(0, 1+c.workers.Len()/workersPerMigration-moving)
	for _, m := range wanted[:min(len(wanted), allowed)] {
		m.task.speed.migrations++
		m.task.speed.migrating = true
		c.stopTask(m.task, reasonThrottled, now)
	}
}

// migration is a task to migrate, and how much sooner it would end.
type migration struct {
	task *taskRow
	gain time.Duration
}

// reasonThrottled is the reason for stopping a throttled task to migrate it.
const reasonThrottled = "throttled"

// migrationGain returns how much sooner t would end on another worker, or 0 if
// t should stay.
func (c *Cell) migrationGain(w *workerRow, t *taskRow, now time.Time) time.Duration {
	speed := &t.speed
	if t.hasOtherRun() || !t.spec.BestEffort || t.spec.LongRunning || speed.at.IsZero() || speed.migrations >= maxMigrations || now.Sub(t.orderedAt) < minRunTimeBeforeMove {
		return 0
	}
	k, ok := c.moveCandidate(t)
	if !ok {
		return 0
	}
	remaining := float64(fullPercent-t.percent) / fullPercent
	fullSpeed := speed.best
	if estimate := c.runTimeRatios.estimate(k.job, k.step); fullSpeed == 0 && estimate > 0 {
		fullSpeed = 1 / estimate.Seconds()
	}
	if fullSpeed <= 0 {
		return 0
	}
	remainingThere := 1.0
	if t.spec.Checkpoints {
		remainingThere = remaining
	}
	here := seconds(remaining / max(speed.current, minTaskSpeed))
	there := restoreTime + seconds(remainingThere/fullSpeed)
	if float64(here) < minMigrationRatio*float64(there) {
		return 0
	}
	if !c.hasRoomElsewhere(w, &k, t, true, now) {
		return 0
	}
	return here - there
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
