package job

import "time"

// Figures are what the metrics show of a cell.
type Stats struct {
	// Waiting counts the tasks that could start and have not, by the priority
	// of their queue.
	Waiting map[int]int
	// Ages is how old the newest report of each worker is.
	ReportAges map[string]time.Duration
}

// Figures returns what the metrics show.
func (c *Cell) Stats(now time.Time) Stats {
	f := Stats{Waiting: map[int]int{}, ReportAges: make(map[string]time.Duration, c.workers.Len())}
	for _, q := range c.queues {
		f.Waiting[q.Priority] = 0
	}
	for _, j := range c.jobs.All {
		q := c.queueOf(j)
		if j.state.IsFinal() || q == nil {
			continue
		}
		for _, o := range j.occurrences {
			for i := range o.steps {
				if o.steps[i].waiting > 0 && o.ready(i) {
					f.Waiting[q.Priority] += o.steps[i].waiting
				}
			}
		}
	}
	for _, w := range c.workers.All {
		f.ReportAges[w.ID] = now.Sub(w.heard)
	}
	return f
}
