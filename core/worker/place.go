package worker

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Bounds of one tick's placement.
const (
	// maxSearches is how many jobs of one team may be searched a worker for
	// in vain in one tick, and maxPassed how many may be passed over at all,
	// before the team's later jobs wait for the next tick.
	maxSearches = 64
	maxPassed   = 1024
	// maxRefused is how many workers are looked at for a job that would do
	// harm on them.
	maxRefused = 64
	// claimAfter is how long a job may wait for room that smaller jobs take
	// before a worker is kept free for it.
	claimAfter = 30 * time.Second
	// claimLife is how long a worker is kept free for one job at most.
	claimLife = 30 * time.Minute
)

// ClassRule restricts where the jobs of a batch class run.
type ClassRule struct {
	// Avoid names services that the class must not share a VM with.
	Avoid []string
	// Zones, if any, are the only availability zones.
	Zones []string
}

// placer is what placement keeps between ticks. None of it is durable except
// the transfers of quotas.
type placer struct {
	ranker   Ranker
	rules    map[string]ClassRule
	services map[string][]string
	queues   map[string]*teamQueue
	sizes    map[string]Resources
	// shapes are the distinct capacities of the workers.
	shapes []Resources
	quotas *quotas
	held   map[string]Resources
	claim  claim
	// refusals tells since when jobs have been left waiting although there
	// was room.
	refusals map[string]time.Time
	// lastStart is the latest start by batch class.
	lastStart map[string]time.Time
	// disturbing are the classes that were refused room in the last tick.
	disturbing map[string]bool
	evictions
}

func newPlacer() placer {
	return placer{
		ranker:    Packed{},
		queues:    make(map[string]*teamQueue),
		sizes:     make(map[string]Resources),
		held:      make(map[string]Resources),
		refusals:  make(map[string]time.Time),
		lastStart: make(map[string]time.Time),
		quotas:    newQuotas(),
		evictions: newEvictions(),
	}
}

// SetRanker chooses how workers are compared.
func (c *Cell) SetRanker(r Ranker) { c.ranker = r }

// SetRules replaces the placement rules by batch class.
func (c *Cell) SetRules(rules map[string]ClassRule) { c.rules = rules }

// SetServices tells which services have an endpoint on the VM of a worker.
func (c *Cell) SetServices(byWorker map[string][]string) { c.services = byWorker }

// Has reports whether a worker belongs to the cell.
func (c *Cell) HasWorker(id string) bool { return c.workers.Get(id) != nil }

// pass is the placement of one tick.
type pass struct {
	cell    *Cell
	now     time.Time
	rooms   *roomIndex
	held    map[string]Resources
	records []Record
	// misfits are sizes that fit nowhere, by batch class.
	misfits map[string][]Resources
	// refused are sizes that have room but no worker that should take them.
	refused map[string][]Resources
	// disturbing are the classes of which jobs would do harm.
	disturbing map[string]bool
	// shut are teams whose oldest job waits for quota.
	shut    map[string]bool
	blocked []*JobRow
	oldest  *JobRow
	// searches counts the searches of the index in vain.
	searches int
	touched  map[string]bool
}

// planStarts places queued jobs: urgent ones first, then the team that holds
// the smallest part of its quota, then by submission.
func (c *Cell) planStarts(rs []Record, touched map[string]bool, now time.Time) []Record {
	c.refreshClaim(now)
	c.noteShapes()
	p := &pass{
		cell:       c,
		now:        now,
		rooms:      newRoomIndex(c.freeRoom(now)),
		held:       make(map[string]Resources, len(c.held)),
		misfits:    make(map[string][]Resources),
		refused:    make(map[string][]Resources),
		disturbing: make(map[string]bool),
		shut:       make(map[string]bool),
		touched:    touched,
	}
	for t, h := range c.held {
		p.held[t] = h
	}
	c.quotas.wants = c.quotas.wants[:0]
	p.place(true)
	c.planPreemptions(p)
	p.place(false)
	c.chooseClaim(p)
	c.disturbing = p.disturbing
	return c.planLent(p, append(rs, p.records...))
}

// freeRoom lists the workers that may receive tasks, by id.
func (c *Cell) freeRoom(now time.Time) []freeWorker {
	free := make([]freeWorker, 0, c.workers.Len())
	for id, w := range c.workers.All {
		if w.report == nil || w.lost || c.draining[id] {
			continue
		}
		if now.Sub(w.received) > c.timings.Grant/2 {
			continue
		}
		room := w.capacity.Minus(w.used).Minus(w.excess)
		free = append(free, freeWorker{w, room})
	}
	slices.SortFunc(free, func(a, b freeWorker) int {
		return strings.Compare(a.worker.id, b.worker.id)
	})
	return free
}

// place starts jobs of one urgency until no team has one that fits.
func (p *pass) place(urgent bool) {
	open := p.openTeams(urgent)
	for len(open) > 0 {
		i := p.neediest(open)
		if !p.placeOne(open[i]) {
			open = slices.Delete(open, i, i+1)
		}
	}
}

// teamCursor is how far one tick has come in a team's queue.
type teamCursor struct {
	team string
	jobs []*JobRow
	// searched and passed count the jobs that were not placed.
	searched, passed int
}

func (p *pass) openTeams(urgent bool) []*teamCursor {
	var open []*teamCursor
	for t, q := range p.cell.queues {
		if jobs := q.jobs(urgent); len(jobs) > 0 {
			open = append(open, &teamCursor{team: t, jobs: jobs})
		}
	}
	slices.SortFunc(open, func(a, b *teamCursor) int { return strings.Compare(a.team, b.team) })
	return open
}

// neediest returns the index of the team that holds the smallest part of its
// quota.
func (p *pass) neediest(open []*teamCursor) int {
	best, bestPart := 0, 0.0
	for i, t := range open {
		part := p.cell.quotas.part(t.team, p.held[t.team])
		if i == 0 || part < bestPart {
			best, bestPart = i, part
		}
	}
	return best
}

// placeOne starts the first job of a team that fits and reports whether there
// was one.
func (p *pass) placeOne(t *teamCursor) bool {
	for len(t.jobs) > 0 && t.searched < maxSearches && t.passed < maxPassed && !p.shut[t.team] {
		j := t.jobs[0]
		t.jobs = t.jobs[1:]
		if p.touched[j.ID] || !p.cell.possible(&j.Job) {
			continue
		}
		searches := p.searches
		if p.start(j) {
			return true
		}
		t.passed++
		t.searched += p.searches - searches
	}
	return false
}

// verdict is what became of a job in one pass.
type verdict int

const (
	// missed found no room or no quota.
	missed verdict = iota
	// refused found room only where the job would do harm.
	refused
	placed
)

// possible reports whether j could ever start with the quota of its team and
// the workers of this cell.
func (c *Cell) possible(j *Job) bool {
	return j.Need.Fits(c.quotas.limit(j.Team)) && c.holdable(j.Need)
}

// start journals the start of j if a worker and the team's quota have room.
func (p *pass) start(j *JobRow) bool {
	c := p.cell
	size := c.size(&j.Job)
	if missing, ok := c.quotas.allows(j.Team, p.held[j.Team], size); !ok {
		c.quotas.want(j, missing, c.classes[j.Class])
		p.shut[j.Team] = true
		return false
	}
	i, v := p.choose(j, size)
	if v != placed {
		p.noteUnplaced(j, v)
		return false
	}
	w := p.rooms.leaves[i].worker
	p.rooms.take(i, size)
	p.held[j.Team] = p.held[j.Team].Plus(size)
	p.records = append(p.records, startRecord(j, w, size, p.now))
	c.lastStart[j.Class] = p.now
	return true
}

func startRecord(j *JobRow, w *workerRow, size Resources, now time.Time) Record {
	r := Record{Kind: KindStarted, At: now, ID: j.ID, Attempt: j.Attempt + 1,
		Worker: w.id, Incarnation: w.report.Stamp.Incarnation, VM: w.vm}
	if size != j.Need {
		r.Size = &size
	}
	return r
}

// choose returns the leaf of the best worker for j.
func (p *pass) choose(j *JobRow, size Resources) (leaf int, v verdict) {
	waited := p.waited(j)
	if p.cell.claim.job != j.ID {
		// The one with a claim may use a worker that the others may not.
		if covers(p.misfits[j.Class], size) {
			return -1, missed
		}
		if waited < patience && covers(p.refused[j.Class], size) {
			return -1, refused
		}
	}
	best, bestCost, seen, unfit := -1, math.Inf(1), 0, 0
	avoided := p.cell.avoided(j)
	p.rooms.each(size, func(i int) bool {
		l := &p.rooms.leaves[i]
		if !p.cell.admits(l.worker, &j.Job) || p.cell.keptFrom(l.worker, j) ||
			slices.Contains(avoided, l.worker.id) {
			return true
		}
		cost := p.cell.ranker.Cost(&j.Job, size, waited, l.candidate())
		if !p.cell.classes[j.Class] {
			harmful := math.IsInf(cost, 1)
			if harmful {
				p.disturbing[j.Class] = true
			}
			if harmful || p.leaves(l.worker, j, waited) {
				unfit++
				return unfit < maxRefused
			}
		}
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
		seen++
		return seen < p.cell.ranker.MaxCandidates()
	})
	if best >= 0 {
		return best, placed
	}
	p.searches++
	if unfit > 0 {
		p.refused[j.Class] = append(p.refused[j.Class], size)
		return -1, refused
	}
	if len(avoided) == 0 {
		p.misfits[j.Class] = append(p.misfits[j.Class], size)
	}
	return -1, missed
}

// leaves reports whether j leaves the room on w to jobs that are refused
// elsewhere.
func (p *pass) leaves(w *workerRow, j *JobRow, waited time.Duration) bool {
	c := p.cell
	return len(c.disturbing) > 0 && !c.disturbing[j.Class] && waited < patience && c.ranker.IsSpare(w.id)
}

// covers reports whether one of the sizes is within size.
func covers(sizes []Resources, size Resources) bool {
	return slices.ContainsFunc(sizes, func(s Resources) bool { return s.Fits(size) })
}

// waited returns how long j has been left waiting although there was room. The
// wait counts from the latest start of a job of its class, unless it has
// lasted very long: jobs that take turns on few workers are not stuck.
func (p *pass) waited(j *JobRow) time.Duration {
	since, ok := p.cell.refusals[j.ID]
	if !ok {
		return 0
	}
	if last := p.cell.lastStart[j.Class]; last.After(since) && p.now.Sub(since) < longPatience {
		since = last
	}
	return p.now.Sub(since)
}

func (p *pass) noteUnplaced(j *JobRow, v verdict) {
	if v == refused {
		if _, ok := p.cell.refusals[j.ID]; !ok {
			p.cell.refusals[j.ID] = p.now
		}
		return
	}
	if p.cell.classes[j.Class] {
		p.blocked = append(p.blocked, j)
	}
	if p.oldest == nil || j.Submitted.Before(p.oldest.Submitted) {
		p.oldest = j
	}
}

// admits reports whether the placement rules let j run on w.
func (c *Cell) admits(w *workerRow, j *Job) bool {
	r, ok := c.rules[j.Class]
	if !ok {
		return true
	}
	if len(r.Zones) > 0 && !slices.Contains(r.Zones, w.zone) {
		return false
	}
	for _, s := range c.services[w.id] {
		if slices.Contains(r.Avoid, s) {
			return false
		}
	}
	return true
}
