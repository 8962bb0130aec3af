package job

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// makeCopying lets the tasks of the first step of some jobs have copies. Listed runs make
// 1% in 100 ms, so they look slow by this estimate.
func (h *history) makeCopying(j *Job) {
	j.Accepted = h.now
	s := &j.Steps[0]
	s.Speculative = rapid.IntRange(0, 3).Draw(h.t, "may copy") > 0
	s.Estimate = 2 * time.Second
	s.Need.Processors = rapid.SampledFrom([]int{200, 500, 1000}).Draw(h.t, "processors")
}

// TestHistoriesWithCopies checks the invariants of TestHistories while tasks have copies:
// never more than two runs, none on a worker that runs the task, no start more than 1 s
// after the end was acknowledged, and no failure by a run that does not count.
func TestHistoriesWithCopies(t *testing.T) {
	started, adopted, outcomes := 0, 0, map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(t)
		h.copies = true
		h.cfg.Queues[0].Target = time.Minute
		h.takeOver()
		for n := range rapid.IntRange(5, 160).Draw(t, "length") {
			h.randomEvent(n)
		}
		for _, o := range h.owners {
			for _, j := range o.jobs.All {
				for _, task := range j.tasks {
					if task.copy != nil && task.copy.orderSequence == 0 {
						adopted++
					}
				}
			}
		}
		h.finishAll()
		for _, o := range h.owners {
			for _, e := range o.Events() {
				switch e.Kind {
				case EventCopyStarted:
					started++
				case EventCopyEnded:
					outcomes[e.Reason]++
				}
			}
		}
	})
	t.Logf("%d copies started, outcomes %v, %d adopted copies at the end of a history", started, outcomes, adopted)
	if started == 0 || outcomes[copyLost] == 0 {
		t.Error("no task was copied in any history")
	}
}
