package worker

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Limits on the placement of jobs.
const (
	// maxFailedSearches limits the searches of the room index without success
	// for one team in one tick, and maxSkipped the jobs of the team that were
	// not placed for any reason. Both count urgent jobs and other jobs
	// separately. Beyond either limit, the remaining jobs of the team wait for
	// the next tick.
	maxFailedSearches = 64
	maxSkipped        = 1024
	// maxUnsuitableWorkers limits how many workers with room are rejected for one
	// job because the job would disturb services there or must leave the room to
	// other jobs. The search ends at this limit.
	maxUnsuitableWorkers = 64
	// reservationDelay is the time after its submission from which a worker may
	// be reserved for a job that finds no room.
	reservationDelay = 30 * time.Second
	// maxReservation is how long a worker is reserved for one job at most.
	maxReservation = 30 * time.Minute
)

// ClassRule restricts the workers on which the jobs of a batch class run.
type ClassRule struct {
	// Avoid lists the services with which the class must not share a VM.
	Avoid []string
	// Zones lists the availability zones that the class may run in; if empty,
	// it may run in all of them.
	Zones []string
}

// placementState is the state of placement that is kept between ticks. Only the
// quota transfers in it are durable.
type placementState struct {
	ranker           Ranker
	classRules       map[string]ClassRule
	servicesByWorker map[string][]string
	queues           map[string]*teamQueue
	learnedSizes     map[string]Resources
	// capacities are the distinct capacities of the workers.
	capacities  []Resources
	quotas      *quotas
	heldByTeam  map[string]Resources
	reservation reservation
	// refusedSince contains, for each queued job that was left waiting although
	// a worker had room, the time at which that first happened.
	refusedSince map[string]time.Time
	// lastStartByClass is the time of the latest start of a job by batch class.
	lastStartByClass map[string]time.Time
	// disturbingClasses are the classes whose jobs were not placed on some worker
	// in the last tick because they would disturb services there.
	disturbingClasses map[string]bool
	evictionState
}

func newPlacementState() placementState {
	return placementState{
		ranker:           Packed{},
		queues:           make(map[string]*teamQueue),
		learnedSizes:     make(map[string]Resources),
		heldByTeam:       make(map[string]Resources),
		refusedSince:     make(map[string]time.Time),
		lastStartByClass: make(map[string]time.Time),
		quotas:           newQuotas(),
		evictionState:    newEvictionState(),
	}
}

// SetRanker sets how workers are compared.
func (c *Cell) SetRanker(r Ranker) { c.ranker = r }

// SetRules replaces the placement rules, which are keyed by batch class.
func (c *Cell) SetRules(rules map[string]ClassRule) { c.classRules = rules }

// SetServices sets, by worker, the services that have an endpoint on its VM.
func (c *Cell) SetServices(byWorker map[string][]string) { c.servicesByWorker = byWorker }

// HasWorker reports whether a worker belongs to the cell.
func (c *Cell) HasWorker(id string) bool { return c.workers.Get(id) != nil }

// placementPass is the state of placement during one tick.
type placementPass struct {
	cell       *Cell
	now        time.Time
	rooms      *roomIndex
	heldByTeam map[string]Resources
	records    []Record
	// noRoomSizes are the sizes, by batch class, for which no worker has room.
	noRoomSizes map[string][]Resources
	// refusedSizes are the sizes, by batch class, for which only workers have room
	// where the job would disturb services or must leave the room to other jobs.
	refusedSizes map[string][]Resources
	// disturbingClasses are the classes whose jobs were not placed on some worker
	// in this tick because they would disturb services there.
	disturbingClasses map[string]bool
	// quotaBlocked contains the teams of which a job waits for quota; their
	// later jobs wait as well.
	quotaBlocked map[string]bool
	// blockedUrgent are the urgent jobs that found no room, and oldestUnplaced is
	// the oldest job that found none.
	blockedUrgent  []*JobRow
	oldestUnplaced *JobRow
	// failedSearches counts the searches of the room index that found no worker.
	failedSearches int
	// decided contains the jobs that are not to be started in this tick, because
	// they already have a record or must wait before a retry.
	decided map[string]bool
}

// planStarts places queued jobs: first the urgent ones, then those of the team
// that uses the smallest share of its quota, then in order of submission.
func (c *Cell) planStarts(rs []Record, decided map[string]bool, now time.Time) []Record {
	c.expireReservation(now)
	c.updateCapacities()
	p := &placementPass{
		cell:              c,
		now:               now,
		rooms:             newRoomIndex(c.freeWorkers(now)),
		heldByTeam:        make(map[string]Resources, len(c.heldByTeam)),
		noRoomSizes:       make(map[string][]Resources),
		refusedSizes:      make(map[string][]Resources),
		disturbingClasses: make(map[string]bool),
		quotaBlocked:      make(map[string]bool),
		decided:           decided,
	}
	for t, h := range c.heldByTeam {
		p.heldByTeam[t] = h
	}
	c.quotas.requests = c.quotas.requests[:0]
	p.placeJobs(true)
	c.planPreemptions(p)
	p.placeJobs(false)
	c.chooseReservation(p)
	c.disturbingClasses = p.disturbingClasses
	return c.planLent(p, append(rs, p.records...))
}

// freeWorkers returns the workers that may receive tasks, sorted by id. A worker
// whose newest report is older than half a lease grant receives none.
func (c *Cell) freeWorkers(now time.Time) []freeWorker {
	free := make([]freeWorker, 0, c.workers.Len())
	for id, w := range c.workers.All {
		if w.report == nil || w.lost || c.closedWorkers[id] {
			continue
		}
		if now.Sub(w.lastReceived) > c.timings.Grant/2 {
			continue
		}
		room := w.capacity.Minus(w.reserved).Minus(w.excess)
		free = append(free, freeWorker{w, room})
	}
	slices.SortFunc(free, func(a, b freeWorker) int {
		return strings.Compare(a.worker.id, b.worker.id)
	})
	return free
}

// placeJobs starts either urgent or normal jobs until no team has a job that fits.
func (p *placementPass) placeJobs(urgent bool) {
	cursors := p.newTeamCursors(urgent)
	for len(cursors) > 0 {
		i := p.leastServedTeam(cursors)
		if !p.placeNextJob(cursors[i]) {
			cursors = slices.Delete(cursors, i, i+1)
		}
	}
}

// teamCursor is the position among either the urgent or the normal jobs in a team's
// queue during one tick.
type teamCursor struct {
	team string
	jobs []*JobRow
	// failedSearches is the number of searches that found no worker for a job of
	// the team, and skipped the number of jobs that were not placed.
	failedSearches, skipped int
}

func (p *placementPass) newTeamCursors(urgent bool) []*teamCursor {
	var cursors []*teamCursor
	for t, q := range p.cell.queues {
		if jobs := q.jobs(urgent); len(jobs) > 0 {
			cursors = append(cursors, &teamCursor{team: t, jobs: jobs})
		}
	}
	slices.SortFunc(cursors, func(a, b *teamCursor) int { return strings.Compare(a.team, b.team) })
	return cursors
}

// leastServedTeam returns the index of the team that uses the smallest share of
// its quota.
func (p *placementPass) leastServedTeam(cursors []*teamCursor) int {
	best, bestShare := 0, 0.0
	for i, t := range cursors {
		share := p.cell.quotas.shareInUse(t.team, p.heldByTeam[t.team])
		if i == 0 || share < bestShare {
			best, bestShare = i, share
		}
	}
	return best
}

// placeNextJob starts the first job of a team that fits, and reports whether it
// started one.
func (p *placementPass) placeNextJob(t *teamCursor) bool {
	for len(t.jobs) > 0 && t.failedSearches < maxFailedSearches && t.skipped < maxSkipped &&
		!p.quotaBlocked[t.team] {
		j := t.jobs[0]
		t.jobs = t.jobs[1:]
		if p.decided[j.ID] || !p.cell.canEverStart(&j.Job) {
			continue
		}
		searches := p.failedSearches
		if p.tryStart(j) {
			return true
		}
		t.skipped++
		t.failedSearches += p.failedSearches - searches
	}
	return false
}

// placeOutcome is the result of trying to place a job.
type placeOutcome int

const (
	// outcomeNoRoom means that no worker had room for the job.
	outcomeNoRoom placeOutcome = iota
	// outcomeRefused means that only workers where the job would disturb
	// services, or that are left to other jobs, had room.
	outcomeRefused
	outcomePlaced
)

// canEverStart reports whether the quota of the team and the capacity of some
// worker of this cell allow j to start at all.
func (c *Cell) canEverStart(j *Job) bool {
	return j.Need.Fits(c.quotas.limit(j.Team)) && c.fitsAnyWorker(j.Need)
}

// tryStart plans the start of j if the team's quota and a worker have room for it,
// and reports whether it did.
func (p *placementPass) tryStart(j *JobRow) bool {
	c := p.cell
	size := c.reservedSize(&j.Job)
	if missing, ok := c.quotas.allows(j.Team, p.heldByTeam[j.Team], size); !ok {
		c.quotas.request(j, missing, c.urgentClasses[j.Class])
		p.quotaBlocked[j.Team] = true
		return false
	}
	i, outcome := p.chooseWorker(j, size)
	if outcome != outcomePlaced {
		p.noteUnplaced(j, outcome)
		return false
	}
	w := p.rooms.leaves[i].worker
	p.rooms.reserve(i, size)
	p.heldByTeam[j.Team] = p.heldByTeam[j.Team].Plus(size)
	p.records = append(p.records, startRecord(j, w, size, p.now))
	c.lastStartByClass[j.Class] = p.now
	return true
}

func startRecord(j *JobRow, w *workerRow, size Resources, now time.Time) Record {
	r := Record{Kind: KindStarted, At: now, ID: j.ID, Attempt: j.Attempt + 1,
		Worker: w.id, Incarnation: w.report.Stamp.Incarnation, VM: w.vmAddress}
	if size != j.Need {
		r.Size = &size
	}
	return r
}

// chooseWorker returns the index of the best worker for j in the room index, or -1
// and the reason why there is none.
func (p *placementPass) chooseWorker(j *JobRow, size Resources) (leaf int, outcome placeOutcome) {
	refusedFor := p.refusedFor(j)
	if p.cell.reservation.job != j.ID {
		// The earlier searches for these sizes excluded the reserved worker,
		// so their results do not apply to the job with the reservation.
		if anyFits(p.noRoomSizes[j.Class], size) {
			return -1, outcomeNoRoom
		}
		if refusedFor < maxRefusedWait && anyFits(p.refusedSizes[j.Class], size) {
			return -1, outcomeRefused
		}
	}
	best, bestCost, compared, unsuitable := -1, math.Inf(1), 0, 0
	avoided := p.cell.avoidedWorkers(j)
	p.rooms.each(size, func(i int) bool {
		l := &p.rooms.leaves[i]
		if !p.cell.admits(l.worker, &j.Job) || p.cell.isReservedForOther(l.worker, j) ||
			slices.Contains(avoided, l.worker.id) {
			return true
		}
		cost := p.cell.ranker.Cost(&j.Job, size, refusedFor, l.candidate())
		if !p.cell.urgentClasses[j.Class] {
			disturbs := math.IsInf(cost, 1)
			if disturbs {
				p.disturbingClasses[j.Class] = true
			}
			if disturbs || p.yieldsRoom(l.worker, j, refusedFor) {
				unsuitable++
				return unsuitable < maxUnsuitableWorkers
			}
		}
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
		compared++
		return compared < p.cell.ranker.MaxCandidates()
	})
	if best >= 0 {
		return best, outcomePlaced
	}
	p.failedSearches++
	if unsuitable > 0 {
		p.refusedSizes[j.Class] = append(p.refusedSizes[j.Class], size)
		return -1, outcomeRefused
	}
	if len(avoided) == 0 {
		p.noRoomSizes[j.Class] = append(p.noRoomSizes[j.Class], size)
	}
	return -1, outcomeNoRoom
}

// yieldsRoom reports whether j must leave the room on w to jobs that would disturb
// services on other workers.
func (p *placementPass) yieldsRoom(w *workerRow, j *JobRow, refusedFor time.Duration) bool {
	c := p.cell
	return len(c.disturbingClasses) > 0 && !c.disturbingClasses[j.Class] && refusedFor < maxRefusedWait &&
		c.ranker.IsSpare(w.id)
}

// anyFits reports whether one of the sizes fits within size.
func anyFits(sizes []Resources, size Resources) bool {
	return slices.ContainsFunc(sizes, func(s Resources) bool { return s.Fits(size) })
}

// refusedFor returns how long j has been left waiting although a worker had room.
// The wait is counted from the latest start of a job of its class, because jobs
// that run one after another on few workers are not stuck. A wait longer than
// maxClassRefusedWait is counted in full.
func (p *placementPass) refusedFor(j *JobRow) time.Duration {
	since, ok := p.cell.refusedSince[j.ID]
	if !ok {
		return 0
	}
	if last := p.cell.lastStartByClass[j.Class]; last.After(since) && p.now.Sub(since) < maxClassRefusedWait {
		since = last
	}
	return p.now.Sub(since)
}

func (p *placementPass) noteUnplaced(j *JobRow, outcome placeOutcome) {
	if outcome == outcomeRefused {
		if _, ok := p.cell.refusedSince[j.ID]; !ok {
			p.cell.refusedSince[j.ID] = p.now
		}
		return
	}
	if p.cell.urgentClasses[j.Class] {
		p.blockedUrgent = append(p.blockedUrgent, j)
	}
	if p.oldestUnplaced == nil || j.Submitted.Before(p.oldestUnplaced.Submitted) {
		p.oldestUnplaced = j
	}
}

// admits reports whether the placement rules let j run on w.
func (c *Cell) admits(w *workerRow, j *Job) bool {
	r, ok := c.classRules[j.Class]
	if !ok {
		return true
	}
	if len(r.Zones) > 0 && !slices.Contains(r.Zones, w.zone) {
		return false
	}
	for _, s := range c.servicesByWorker[w.id] {
		if slices.Contains(r.Avoid, s) {
			return false
		}
	}
	return true
}
