package job

import (
	"slices"
	"time"
)

// startDelay is how long the first start of a job may stay unrecorded: the
// count of waiting jobs may be 2 s old.
const startDelay = 250 * time.Millisecond

// Writes is what is to become durable together.
type Writes struct {
	// Progress is the state of live jobs by id.
	Progress map[string]Progress
	// Finals end jobs.
	Finals []Final
	// Agents enter the stored roster; Forget leave it.
	AddedAgents, RemovedAgents []string
	// Lessons are nil unless they have changed.
	Learned *LearnedParameters
}

// Empty reports whether there is nothing to write.
func (w *Writes) Empty() bool {
	return len(w.Progress)+len(w.Finals)+len(w.AddedAgents)+len(w.RemovedAgents) == 0 && w.Learned == nil
}

// Entries that a write takes of a commit.
const (
	progressEntries = 1
	// finalEntries are one write and the deletion of job, progress and
	// cancellation.
	finalEntries = 4
)

// Due returns what is to become durable now, within the given number of
// entries of a commit. It must be followed by Committed or Abandoned.
func (c *Cell) PendingWrites(now time.Time, entries int) Writes {
	w := Writes{Progress: map[string]Progress{}}
	c.dueAgents(&w, &entries)
	c.dueJobs(&w, &entries, now, true)
	c.dueLessons(&w, &entries, now)
	if !w.Empty() || now.Sub(c.written) >= startDelay {
		c.dueJobs(&w, &entries, now, false)
	}
	if !w.Empty() {
		c.written = now
	}
	return w
}

func (c *Cell) dueAgents(w *Writes, entries *int) {
	for agent, row := range c.workers.All {
		r := c.roster[agent]
		if !r.durable && !r.writing && len(row.pending) > 0 && *entries > 0 {
			r.writing = true
			c.forget = slices.DeleteFunc(c.forget, func(a string) bool { return a == agent })
			c.roster[agent] = r
			w.AddedAgents = append(w.AddedAgents, agent)
			*entries--
		}
	}
	for len(c.forget) > 0 && *entries > 0 {
		w.RemovedAgents = append(w.RemovedAgents, c.forget[0])
		c.forget = c.forget[1:]
		*entries--
	}
}

func (c *Cell) dueJobs(w *Writes, entries *int, now time.Time, urgent bool) {
	for id, j := range c.jobs.All {
		if !j.dirty || j.writing || j.urgent != urgent {
			continue
		}
		need := progressEntries
		if j.state.IsFinal() {
			need = finalEntries
		}
		if *entries < need {
			continue
		}
		*entries -= need
		if j.state.IsFinal() {
			w.Finals = append(w.Finals, Final{ID: id, Queue: j.Queue, State: j.state, Ended: now})
		} else {
			w.Progress[id] = j.progress()
		}
		j.dirty, j.urgent, j.writing = false, false, true
	}
}

// Committed notes that w is durable.
func (c *Cell) Committed(w *Writes) {
	c.clean(w, true)
	for _, agent := range w.AddedAgents {
		if r, ok := c.roster[agent]; ok {
			r.writing, r.durable, r.resolved = false, true, true
			c.roster[agent] = r
		}
	}
	for _, f := range w.Finals {
		if j := c.jobs.Get(f.ID); j != nil {
			j.recorded = true
		}
	}
	for _, row := range c.workers.All {
		c.settle(row)
	}
	c.dropRecorded()
}

// Abandoned notes that it is unknown whether w is durable. It is due again:
// a repeated write changes nothing.
func (c *Cell) Abandoned(w *Writes) {
	c.clean(w, false)
	for _, agent := range w.AddedAgents {
		if r, ok := c.roster[agent]; ok {
			r.writing = false
			c.roster[agent] = r
		}
	}
	c.forget = append(c.forget, w.RemovedAgents...)
}

func (c *Cell) clean(w *Writes, durable bool) {
	done := func(id string) {
		if j := c.jobs.Get(id); j != nil {
			j.writing = false
			if !durable {
				j.dirty, j.urgent = true, true
			}
		}
	}
	for id := range w.Progress {
		done(id)
	}
	for _, f := range w.Finals {
		done(f.ID)
	}
}

// settle moves the number up to which the ends of w are durable.
func (c *Cell) settle(w *workerRow) {
	n := 0
	for n < len(w.unsettled) {
		if j := c.jobs.Get(w.unsettled[n].job); j != nil && (j.dirty || j.writing) {
			break
		}
		w.durable = w.unsettled[n].number
		n++
	}
	w.unsettled = w.unsettled[n:]
}

// dropRecorded forgets jobs whose end is durable and of which nothing runs.
func (c *Cell) dropRecorded() {
	var over []string
	for id, j := range c.jobs.All {
		if j.recorded && !j.dirty && !j.writing && !j.assigned() {
			over = append(over, id)
		}
	}
	for _, id := range over {
		c.jobs.Delete(id)
		delete(c.pressure.loads, id)
	}
}

func (j *jobRow) assigned() bool {
	for _, t := range j.tasks {
		if t.state == taskAssigned {
			return true
		}
	}
	return false
}
