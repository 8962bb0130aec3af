package job

import "time"

// Figures are what the metrics show of a cell.
type Figures struct {
	// Waiting counts the tasks that could start and have not, by the priority
	// of their queue.
	Waiting map[int]int
	// Ages is how old the newest report of each worker is.
	Ages map[string]time.Duration
}

// Figures returns what the metrics show.
func (c *Cell) Figures(now time.Time) Figures {
	f := Figures{Waiting: map[int]int{}, Ages: make(map[string]time.Duration, c.workers.Len())}
	for _, q := range c.queues {
		f.Waiting[q.Priority] = 0
	}
	for _, j := range c.jobs.All {
		q := c.queueOf(j)
		if j.state.Final() || q == nil {
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
		f.Ages[w.ID] = now.Sub(w.heard)
	}
	return f
}
