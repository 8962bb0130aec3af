package job

import (
	"cmp"
	"container/heap"
	"iter"
	"math"
	"time"
)

// Parameters of fair shares.
const (
	// shareMemory is the time constant with which the use of an account decays.
	shareMemory = 10 * time.Second
	// scarcityEndFactor is the share of maxBacklog at which scarcity ends. Backlogs near
	// the limit cross it many times a second; between two such times, the accounts
	// with most work would take the room that others release.
	scarcityEndFactor = 0.5
	// defaultWeight is the weight of queues that name none.
	defaultWeight = 1
)

// taskKind distinguishes the tasks that compete for the same processors.
type taskKind int

const (
	regularTasks taskKind = iota
	bestEffortTasks
	taskKinds
)

func (k taskKind) String() string { return [taskKinds]string{"regular", "best-effort"}[k] }

// kind returns the kind of the step's tasks.
func (s *Step) kind() taskKind {
	if s.BestEffort {
		return bestEffortTasks
	}
	return regularTasks
}

// shareWeight returns the weight of the queue's accounts.
func (q *Queue) shareWeight() float64 {
	if q.Weight > 0 {
		return q.Weight
	}
	return defaultWeight
}

// WithFairShares divides scarce room among accounts by weighted max-min fairness of
// the dominant resource.
func WithFairShares() Option {
	return func(c *Cell) { c.shares = &shares{accounts: map[Account]*accountRow{}, now: c.ownedSince} }
}

// Account is the unit of fair shares: the jobs of a queue that were submitted in one
// availability zone.
type Account struct {
	Queue string
	// Zone is empty for jobs that were stored without a zone.
	Zone string
}

// amount is an amount of processors in thousandths, memory in MiB and accelerators.
type amount [3]float64

func amountOf(r Resources) amount {
	return amount{float64(r.Processors), float64(r.Memory), float64(r.Accelerators)}
}

// plus returns a + f*b.
func (a amount) plus(f float64, b amount) amount {
	for i := range a {
		a[i] += f * b[i]
	}
	return a
}

// dominantShare returns the largest share of the room that a takes in any resource.
func (a amount) dominantShare(room amount) float64 {
	share := 0.0
	for i := range a {
		if room[i] > 0 {
			share = max(share, a[i]/room[i])
		}
	}
	return share
}

// accountUse is what the tasks of one kind of an account use.
type accountUse struct {
	// running is what runs of the account reserve.
	running amount
	// recent is the average of running over the last shareMemory with exponential
	// decay, as of the time at.
	recent amount
	at     time.Time
}

// advance updates recent to now.
func (u *accountUse) advance(now time.Time) {
	if elapsed := now.Sub(u.at); elapsed > 0 {
		keep := math.Exp(-elapsed.Seconds() / shareMemory.Seconds())
		u.recent = u.running.plus(keep, u.recent.plus(-1, u.running))
		u.at = now
	}
}

// accountRow is the state of an account by kind of task.
type accountRow [taskKinds]accountUse

// shares is the state of fair shares of a cell. It is not stored: a new owner begins
// with the runs that it adopts.
type shares struct {
	accounts map[Account]*accountRow
	// now is the newest time that the cell was given.
	now time.Time
	// room is what each kind of tasks can get on all workers together.
	room   [taskKinds]amount
	scarce [taskKinds]bool
	// scarceSince is when the present scarcity began, or zero.
	scarceSince [taskKinds]time.Time
}

// setTime records the time that the cell was given. It does nothing without fair
// shares, like the other methods that are called for each run.
func (s *shares) setTime(now time.Time) {
	if s != nil {
		s.now = Later(s.now, now)
	}
}

// account returns the account of a job.
func (s *shares) account(j *Job) *accountRow {
	if s == nil {
		return nil
	}
	a := Account{j.Queue, j.Zone}
	row := s.accounts[a]
	if row == nil {
		row = &accountRow{}
		s.accounts[a] = row
	}
	return row
}

// countRun adds the reservation for a run of t, times n, to the account of its job.
func (c *Cell) countRun(t *taskRow, s *Step, n float64) {
	if c.shares == nil {
		return
	}
	u := &c.jobs.Get(t.name.Job).account[s.kind()]
	u.advance(c.shares.now)
	u.running = u.running.plus(n, amountOf(s.Need))
}

// adopt counts a run that an earlier owner started as if it had run for long. Without
// this, a new owner would favour the accounts that its predecessor served last over
// those that it serves itself.
func (s *shares) adopt(j *jobRow, step *Step) {
	if s != nil {
		u := &j.account[step.kind()]
		u.recent = u.recent.plus(1, amountOf(step.Need))
	}
}

// setScarcity determines the room of each kind of tasks and whether it is scarce.
// Best-effort tasks can get the processors that serving tasks are expected to leave.
func (c *Cell) setScarcity(all []candidate, now time.Time) {
	s := c.shares
	s.room = [taskKinds]amount{}
	for _, w := range c.workers.All {
		s.room[regularTasks] = s.room[regularTasks].plus(1, amountOf(w.Capacity))
		left := w.Capacity
		left.Processors = max(0, left.Processors-w.servingProcessors*servingUsePercent/100)
		s.room[bestEffortTasks] = s.room[bestEffortTasks].plus(1, amountOf(left))
	}
	var backlog [taskKinds]float64
	waiting := [taskKinds]map[*accountRow]bool{{}, {}}
	for i := range all {
		k := all[i].step.spec.kind()
		backlog[k] += all[i].backlog()
		waiting[k][all[i].job.account] = true
	}
	for k := range taskKinds {
		limit := maxBacklog.Seconds() * s.room[k][0] / processorUnit
		if s.scarce[k] {
			limit *= scarcityEndFactor
		}
		s.scarce[k] = backlog[k] > limit
		c.logScarcity(k, len(waiting[k]), now)
	}
	for i := range all {
		all[i].scarce = s.scarce[all[i].step.spec.kind()]
	}
}

// logScarcity logs the begin and the end of scarcity.
func (c *Cell) logScarcity(k taskKind, accounts int, now time.Time) {
	s := c.shares
	since := &s.scarceSince[k]
	switch {
	case s.scarce[k] && since.IsZero():
		*since = now
		c.events = append(c.events, Event{Kind: EventScarcityBegan, Reason: k.String(), Count: accounts})
	case !s.scarce[k] && !since.IsZero():
		c.events = append(c.events, Event{Kind: EventScarcityEnded, Reason: k.String(), Elapsed: now.Sub(*since)})
		*since = time.Time{}
	}
}

// compareRanks orders candidates by what precedes shares: timeliness, priority, and
// whether room is scarce. Candidates of a kind with enough room precede the others.
func compareRanks(a, b *candidate) int {
	return cmp.Or(byTimeliness(a, b), cmp.Compare(boolRank(a.scarce), boolRank(b.scarce)))
}

// compareWithinAccount orders the candidates of an account, and all candidates of equal
// rank while room is not scarce.
func (c *Cell) compareWithinAccount(a, b *candidate) int {
	if r := compareRanks(a, b); r != 0 {
		return r
	}
	return c.policy.compare(a, b)
}

// accountQueue has the candidates of one kind of an account that have the same rank.
type accountQueue struct {
	use        *accountUse
	share      float64
	candidates []*candidate
}

// accountHeap is a heap of accounts, of which the one with the least share is first.
type accountHeap struct {
	cell   *Cell
	queues []*accountQueue
}

func (h *accountHeap) Len() int      { return len(h.queues) }
func (h *accountHeap) Swap(i, j int) { h.queues[i], h.queues[j] = h.queues[j], h.queues[i] }
func (h *accountHeap) Push(x any)    { h.queues = append(h.queues, x.(*accountQueue)) }

func (h *accountHeap) Pop() any {
	last := len(h.queues) - 1
	q := h.queues[last]
	h.queues = h.queues[:last]
	return q
}

func (h *accountHeap) Less(i, j int) bool {
	a, b := h.queues[i], h.queues[j]
	if a.share != b.share {
		return a.share < b.share
	}
	return h.cell.policy.compare(a.candidates[0], b.candidates[0]) < 0
}

// inOrder yields the sorted candidates in the order in which they are placed. While
// room is scarce, the next candidate of equal rank is one of the account with the least
// share, which includes what was placed before.
func (c *Cell) inOrder(all []candidate) iter.Seq[*candidate] {
	return func(yield func(*candidate) bool) {
		for len(all) > 0 {
			n := 1
			for c.shares != nil && all[0].scarce && n < len(all) && compareRanks(&all[0], &all[n]) == 0 {
				n++
			}
			for k := range c.byShares(all[:n]) {
				if !yield(k) {
					return
				}
			}
			all = all[n:]
		}
	}
}

// byShares yields candidates of equal rank.
func (c *Cell) byShares(all []candidate) iter.Seq[*candidate] {
	return func(yield func(*candidate) bool) {
		if len(all) == 1 {
			yield(&all[0])
			return
		}
		h := &accountHeap{cell: c}
		byUse := map[*accountUse]*accountQueue{}
		for i := range all {
			k := &all[i]
			use := &k.job.account[k.step.spec.kind()]
			q := byUse[use]
			if q == nil {
				use.advance(c.shares.now)
				q = &accountQueue{use: use, share: c.shares.shareOf(use, k)}
				byUse[use] = q
				h.queues = append(h.queues, q)
			}
			q.candidates = append(q.candidates, k)
		}
		heap.Init(h)
		for h.Len() > 0 {
			q := h.queues[0]
			k := q.candidates[0]
			if !yield(k) {
				return
			}
			q.share = c.shares.shareOf(q.use, k)
			if q.candidates = q.candidates[1:]; len(q.candidates) == 0 {
				heap.Pop(h)
			} else {
				heap.Fix(h, 0)
			}
		}
	}
}

// shareOf returns the weighted share of the candidate's account.
func (s *shares) shareOf(u *accountUse, k *candidate) float64 {
	return u.running.plus(1, u.recent).dominantShare(s.room[k.step.spec.kind()]) / k.queue.shareWeight()
}

// accountShares returns what runs and is reserved for each account with live jobs, in
// percent of the room; of the two kinds of tasks, the larger share counts. It returns
// nil without fair shares.
func (c *Cell) accountShares() map[Account]float64 {
	if c.shares == nil {
		return nil
	}
	out := map[Account]float64{}
	for _, j := range c.jobs.All {
		a := Account{j.Queue, j.Zone}
		if _, ok := out[a]; !ok {
			for k := range taskKinds {
				out[a] = max(out[a], fullPercent*j.account[k].running.dominantShare(c.shares.room[k]))
			}
		}
	}
	return out
}
