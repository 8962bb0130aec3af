package job

import "time"

// agentRecord is what an owner knows of an agent for as long as it is the owner, whether or
// not there is a row for the agent's worker.
//
// Invariant: the numbers only rise, and nothing of it is taken from a report alone. A report that
// a network held up may arrive seconds after later ones, and after the row was removed.
type agentRecord struct {
	// generation is the number of what the owner knows of the agent: which process it runs
	// and which incarnation of which worker it reports, or that there is no row. Replies
	// have the number and reports echo it, so a report with the present number was made
	// after the last change.
	generation int64
	// sequence is the number of the newest order to the agent.
	sequence int64
	// recentStarts are the starts that were ordered within LateStartWindow, oldest first.
	recentStarts []sentStart
}

// advanceGeneration gives r a generation that no agent had before.
func (c *Cell) advanceGeneration(r *agentRecord) {
	c.generations++
	r.generation = c.generations
}

// generationOf returns the generation of an agent, or 0 if no row of it was made in this epoch.
func (c *Cell) generationOf(agent string) int64 {
	if r := c.agents[agent]; r != nil {
		return r.generation
	}
	return 0
}

// IsOutdated reports whether r contradicts what the owner knows of the agent and may have been
// made before it came to know that. The reply must then have the agent's generation, with which
// an agent that is right about itself reports again. Reports of agents that echo no generation
// are not checked.
func (c *Cell) IsOutdated(r *Report) bool {
	if r.Worker == nil || r.Epoch > c.epoch || !r.EchoesGeneration {
		return false
	}
	record := c.agents[r.Agent]
	if record == nil {
		// Only this epoch is known to have begun before the report was made.
		return r.Epoch < c.epoch
	}
	if w := c.workers.Get(r.Agent); w != nil && w.describes(r) {
		return false // the worker's clock tells which report is later
	}
	return r.Epoch < c.epoch || r.Generation != record.generation
}

// OutdatedReply returns the reply to an outdated report.
func (c *Cell) OutdatedReply(r *Report) Reply {
	return Reply{Epoch: c.epoch, Generation: c.generationOf(r.Agent), Whole: true}
}

// describes reports whether w is the worker that r is about, as reported by the same process
// of the agent.
func (w *workerRow) describes(r *Report) bool {
	return r.Process == w.process && w.isSameWorker(r)
}

// isSameWorker reports whether r is about the incarnation of w.
func (w *workerRow) isSameWorker(r *Report) bool {
	return r.Worker.ID == w.ID && r.Worker.Incarnation == w.Incarnation
}

// formerProcessWindow is how long a report of a former process of an agent that echoes no
// generation may be in transit. After that, a lower process number belongs to a new process
// that started while the clock of its VM was set back.
const formerProcessWindow = time.Second

// supersedes reports whether r, which is not outdated, was made before what w shows. Reports on
// different connections may arrive out of order, and the incarnations of a worker number their
// ends independently.
func (w *workerRow) supersedes(r *Report, now time.Time) bool {
	switch {
	case w.isSameWorker(r) && (r.Clock < w.clock || w.precedesDeparture(r)):
		return true
	case r.EchoesGeneration:
		return false
	}
	return r.Process < w.process && now.Sub(w.lastReport) < formerProcessWindow || r.Worker.Incarnation < w.Incarnation
}

// precedesDeparture reports whether r, a report about the same incarnation, may have been made
// before the departure that w announced: the worker has answered nothing since then.
func (w *workerRow) precedesDeparture(r *Report) bool {
	return w.left && !r.Left && r.Clock <= w.clock
}
