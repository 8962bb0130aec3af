package job

import (
	"slices"
	"time"
)

// nonUrgentWriteDelay is the time since the newest write after which changes that
// are not urgent, such as the first start of a job, are written on their own.
// Before that, they are written only together with other changes. A job counts as
// waiting until its first start is durable, and the count of waiting jobs may be
// 2 s out of date.
const nonUrgentWriteDelay = 250 * time.Millisecond

// Writes is a set of changes that become durable together.
type Writes struct {
	// Progress is the progress of live jobs by ID.
	Progress map[string]Progress
	// Finals are the final states of ended jobs.
	Finals []Final
	// AddedAgents are added to the stored roster, RemovedAgents are removed.
	AddedAgents, RemovedAgents []string
	// Learned is nil unless the learned parameters have changed.
	Learned *LearnedParameters
}

// Empty reports whether there is nothing to write.
func (w *Writes) Empty() bool {
	return len(w.Progress)+len(w.Finals)+len(w.AddedAgents)+len(w.RemovedAgents) == 0 && w.Learned == nil
}

// Numbers of entries that a change takes in a commit of the store, which has a
// limited number of entries.
const (
	progressEntries = 1
	// finalEntries counts the write of the final state, the deletions of the job,
	// its progress and its cancellation, and the condition that there is no
	// cancellation.
	finalEntries = 5
)

// PendingWrites returns the changes to write now, which take at most the given
// number of entries in a commit. It must be followed by Committed or Abandoned.
func (c *Cell) PendingWrites(now time.Time, entries int) Writes {
	w := Writes{Progress: map[string]Progress{}}
	c.addAgentWrites(&w, &entries)
	c.addJobWrites(&w, &entries, now, true)
	c.addLearnedWrite(&w, &entries, now)
	if !w.Empty() || now.Sub(c.lastWrite) >= nonUrgentWriteDelay {
		c.addJobWrites(&w, &entries, now, false)
	}
	if !w.Empty() {
		c.lastWrite = now
	}
	return w
}

func (c *Cell) addAgentWrites(w *Writes, entries *int) {
	for agent, row := range c.workers.All {
		r := c.roster[agent]
		if !r.durable && !r.writing && len(row.pending)+len(row.tasks) > 0 && *entries > 0 {
			r.writing = true
			c.removedAgents = slices.DeleteFunc(c.removedAgents, func(a string) bool { return a == agent })
			c.roster[agent] = r
			w.AddedAgents = append(w.AddedAgents, agent)
			*entries--
		}
	}
	for len(c.removedAgents) > 0 && *entries > 0 {
		w.RemovedAgents = append(w.RemovedAgents, c.removedAgents[0])
		c.removedAgents = c.removedAgents[1:]
		*entries--
	}
}

func (c *Cell) addJobWrites(w *Writes, entries *int, now time.Time, urgent bool) {
	for _, j := range c.unwrittenJobs(now, urgent) {
		need := progressEntries
		if j.state.IsFinal() {
			need = finalEntries
		}
		if *entries < need {
			continue
		}
		*entries -= need
		if j.state.IsFinal() {
			w.Finals = append(w.Finals, Final{ID: j.ID, Queue: j.Queue, State: j.state, Ended: now})
		} else {
			w.Progress[j.ID] = j.durableProgress()
		}
		j.dirty, j.urgent, j.writing, j.dirtySince = false, false, true, time.Time{}
	}
}

// unwrittenJobs returns the jobs with changes to write, those that have waited longest first.
// An end that is not durable holds back the acknowledgement of all later ends of its worker.
func (c *Cell) unwrittenJobs(now time.Time, urgent bool) []*jobRow {
	var out []*jobRow
	for _, j := range c.jobs.All {
		if !j.dirty || j.urgent != urgent {
			continue
		}
		if j.dirtySince.IsZero() {
			j.dirtySince = now
		}
		if !j.writing {
			out = append(out, j)
		}
	}
	slices.SortStableFunc(out, func(a, b *jobRow) int { return a.dirtySince.Compare(b.dirtySince) })
	return out
}

// Committed records that w is durable.
func (c *Cell) Committed(w *Writes) {
	c.clearWriting(w, true)
	for _, agent := range w.AddedAgents {
		if r, ok := c.roster[agent]; ok {
			r.writing, r.durable, r.resolved = false, true, true
			c.roster[agent] = r
		}
	}
	for _, f := range w.Finals {
		if j := c.jobs.Get(f.ID); j != nil {
			j.finalDurable = true
		}
	}
	for _, row := range c.workers.All {
		c.acknowledgeEnds(row)
	}
	c.dropEndedJobs()
}

// Abandoned records that w may not be durable. Its changes become pending again. If
// w was durable after all, the repeated write changes nothing.
func (c *Cell) Abandoned(w *Writes) {
	c.clearWriting(w, false)
	for _, agent := range w.AddedAgents {
		if r, ok := c.roster[agent]; ok {
			r.writing = false
			c.roster[agent] = r
		}
	}
	c.removedAgents = append(c.removedAgents, w.RemovedAgents...)
	if w.Learned != nil {
		c.storedLearned = LearnedParameters{}
	}
}

func (c *Cell) clearWriting(w *Writes, durable bool) {
	finish := func(id string) {
		if j := c.jobs.Get(id); j != nil {
			j.writing = false
			if !durable {
				j.dirty, j.urgent = true, true
			}
		}
	}
	for id := range w.Progress {
		finish(id)
	}
	for _, f := range w.Finals {
		finish(f.ID)
	}
}

// acknowledgeEnds advances the number up to which the ends of w are durable.
func (c *Cell) acknowledgeEnds(w *workerRow) {
	n := 0
	for n < len(w.pendingEnds) {
		e := &w.pendingEnds[n]
		if j := c.jobs.Get(e.job); j != nil && (j.dirty || j.writing) || e.job == "" && c.ownershipConfirmedAt.Before(e.receivedAt) {
			break
		}
		w.durableEnds = e.number
		n++
	}
	w.pendingEnds = w.pendingEnds[n:]
}

// dropEndedJobs deletes the jobs whose final state is durable and which have no
// assigned tasks.
func (c *Cell) dropEndedJobs() {
	var ended []string
	for id, j := range c.jobs.All {
		if j.finalDurable && !j.dirty && !j.writing && !j.hasAssignedTasks() {
			ended = append(ended, id)
		}
	}
	for _, id := range ended {
		c.jobs.Delete(id)
		delete(c.interference.loads, id)
		delete(c.isolation.crashed, id)
	}
}

func (j *jobRow) hasAssignedTasks() bool {
	return slices.ContainsFunc(j.occurrences, (*occurrenceRow).hasAssignedTasks)
}

func (o *occurrenceRow) hasAssignedTasks() bool {
	for i := range o.steps {
		for n := range o.steps[i].tasks {
			if o.steps[i].tasks[n].state == taskAssigned {
				return true
			}
		}
	}
	return false
}
