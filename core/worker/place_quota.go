package worker

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// QuotaTransfer is the total of a team's quota that one cell has ever lent to
// another cell. Totals only grow, so transfers may be received any number of times
// and in any order.
type QuotaTransfer struct {
	Team  string    `json:"team"`
	From  int       `json:"from"`
	To    int       `json:"to"`
	Total Resources `json:"total"`
}

// QuotaRequest states that a job of a team waits for quota in a cell.
type QuotaRequest struct {
	Cell    int       `json:"cell"`
	Team    string    `json:"team"`
	Missing Resources `json:"missing"`
	// Since is when the waiting job was submitted.
	Since  time.Time `json:"since"`
	Urgent bool      `json:"urgent,omitempty"`
}

// lendInterval is the minimum time between two loans for one team to the same cell,
// so that a repeated request is served once.
const lendInterval = 2 * time.Second

// teamCell identifies the loans of a team between this cell and another cell.
type teamCell struct {
	team string
	cell int
}

// quotas contains this cell's shares of the teams' quotas. The shares of all cells
// sum to at most the quota: they start from a fixed split, and a cell journals a
// loan before another cell can use it.
type quotas struct {
	cell, cells int
	// teams maps teams to their quotas. It is nil until quotas are set; until
	// then, teams are not limited.
	teams    map[string]Resources
	lent     map[teamCell]Resources
	borrowed map[teamCell]Resources
	// netBorrowed is what is borrowed less what is lent, by team.
	netBorrowed map[string]Resources
	// requests are those of this cell's jobs in the latest tick.
	requests []QuotaRequest
	// pausedUntil is the earliest time of the next loan.
	pausedUntil map[teamCell]time.Time
	// remoteRequests and receivedTransfers came from other cells since the
	// latest tick.
	remoteRequests    map[teamCell]QuotaRequest
	receivedTransfers []QuotaTransfer
}

func newQuotas() *quotas {
	return &quotas{
		lent:           make(map[teamCell]Resources),
		borrowed:       make(map[teamCell]Resources),
		netBorrowed:    make(map[string]Resources),
		pausedUntil:    make(map[teamCell]time.Time),
		remoteRequests: make(map[teamCell]QuotaRequest),
	}
}

// SetQuotas sets the number of cells and the quotas of all teams, of which each
// cell has a share. Jobs of a team without a quota are not started. Quotas do not
// limit slots.
func (c *Cell) SetQuotas(cells int, teams map[string]Resources) {
	c.quotas.cell, c.quotas.cells, c.quotas.teams = c.id, cells, teams
}

// limit returns the whole quota of a team over all cells.
func (q *quotas) limit(team string) Resources {
	r := Resources{math.MaxInt, math.MaxInt64, math.MaxInt, math.MaxInt}
	if q.teams != nil {
		slots := r.Slots
		r = q.teams[team]
		r.Slots = slots
	}
	return r
}

// localShare returns the share of a team's quota that this cell may use.
func (q *quotas) localShare(team string) Resources {
	if q.teams == nil {
		return q.limit(team)
	}
	total := q.teams[team]
	offset := int(xxhash.Sum64String(team) % uint64(q.cells))
	s := Resources{
		Processors:   splitEvenly(total.Processors, q.cells, q.cell, offset),
		Memory:       splitEvenly(total.Memory, int64(q.cells), int64(q.cell), int64(offset)),
		Accelerators: splitEvenly(total.Accelerators, q.cells, q.cell, offset),
	}
	s = s.Plus(q.netBorrowed[team])
	s.Slots = math.MaxInt
	return s
}

// splitEvenly divides total into n parts that differ by at most one, and returns the
// given part. The larger parts begin at offset.
func splitEvenly[N int | int64](total, n, part, offset N) N {
	s := total / n
	if (part+n-offset)%n < total%n {
		s++
	}
	return s
}

// allows reports whether the team's local share has room for size in addition to
// held. If not, it also returns the missing resources.
func (q *quotas) allows(team string, held, size Resources) (Resources, bool) {
	if q.teams == nil {
		return Resources{}, true
	}
	missing := held.Plus(size).Minus(q.localShare(team)).Max(Resources{})
	missing.Slots = 0
	return missing, missing == Resources{}
}

// shareInUse returns the share of its quota that a team uses in this cell, or the
// processors that the team holds if quotas are not set. The result is only used to
// compare teams.
func (q *quotas) shareInUse(team string, held Resources) float64 {
	if q.teams == nil {
		return float64(held.Processors)
	}
	return dominantShare(held, q.teams[team])
}

// request records that j waits for quota.
func (q *quotas) request(j *JobRow, missing Resources, urgent bool) {
	q.requests = append(q.requests, QuotaRequest{Cell: q.cell, Team: j.Team, Missing: missing,
		Since: j.Submitted, Urgent: urgent})
}

// addHeld adds change to the resources that a team's running jobs hold in this
// cell.
func (c *Cell) addHeld(team string, change Resources) {
	h := c.heldByTeam[team].Plus(change)
	if h == (Resources{}) {
		delete(c.heldByTeam, team)
		return
	}
	c.heldByTeam[team] = h
}

// QuotaRequests returns the requests of the jobs of this cell that waited for quota
// in the last tick.
func (c *Cell) QuotaRequests() []QuotaRequest { return slices.Clone(c.quotas.requests) }

// QuotaTransfers returns the durable totals that this cell has lent, to be sent to
// the owners of the other cells.
func (c *Cell) QuotaTransfers() []QuotaTransfer {
	return sortedTransfers(c.quotas.lent, func(k teamCell, sum Resources) QuotaTransfer {
		return QuotaTransfer{k.team, c.id, k.cell, sum}
	})
}

// ReceiveQuotaUpdates processes the transfers and requests of other cells. It
// ignores transfers to another cell.
func (c *Cell) ReceiveQuotaUpdates(transfers []QuotaTransfer, requests []QuotaRequest) {
	for _, t := range transfers {
		if t.To == c.id && t.From != c.id {
			c.quotas.receivedTransfers = append(c.quotas.receivedTransfers, t)
		}
	}
	for _, r := range requests {
		if r.Cell != c.id {
			c.quotas.remoteRequests[teamCell{r.Team, r.Cell}] = r
		}
	}
}

// planBorrowed plans records of the received transfers that this cell has not yet
// recorded.
func (c *Cell) planBorrowed(rs []Record, now time.Time) []Record {
	q := c.quotas
	latest := make(map[teamCell]Resources)
	for _, t := range q.receivedTransfers {
		k := teamCell{t.Team, t.From}
		old, ok := latest[k]
		if !ok {
			old = q.borrowed[k]
		}
		latest[k] = old.Max(t.Total)
	}
	q.receivedTransfers = q.receivedTransfers[:0]
	for _, t := range sortedTransfers(latest, func(k teamCell, sum Resources) QuotaTransfer {
		return QuotaTransfer{k.team, k.cell, c.id, sum}
	}) {
		if t.Total != q.borrowed[teamCell{t.Team, t.From}] {
			rs = append(rs, Record{Kind: KindBorrowed, At: now, Transfer: &t})
		}
	}
	return rs
}

// planLent plans records of the quota that this cell lends to cells whose waiting
// jobs come before its own.
func (c *Cell) planLent(p *placementPass, rs []Record) []Record {
	q := c.quotas
	if q.teams == nil {
		return rs
	}
	lentNow := make(map[string]Resources)
	for _, r := range sortedRequests(q.remoteRequests) {
		k := teamCell{r.Team, r.Cell}
		if p.now.Before(q.pausedUntil[k]) || q.hasEarlierRequest(r) {
			continue
		}
		idle := q.localShare(r.Team).Minus(p.heldByTeam[r.Team]).Minus(lentNow[r.Team])
		amount := r.Missing.Min(idle).Max(Resources{})
		if amount == (Resources{}) {
			continue
		}
		lentNow[r.Team] = lentNow[r.Team].Plus(amount)
		q.pausedUntil[k] = p.now.Add(lendInterval)
		t := QuotaTransfer{r.Team, c.id, r.Cell, q.lent[k].Plus(amount)}
		rs = append(rs, Record{Kind: KindLent, At: p.now, Transfer: &t})
	}
	clear(q.remoteRequests)
	return rs
}

// hasEarlierRequest reports whether a job of the team in this cell waits for quota
// and comes before the job of the request r.
func (q *quotas) hasEarlierRequest(r QuotaRequest) bool {
	for _, local := range q.requests {
		if local.Team == r.Team && compareRequests(local, r) < 0 {
			return true
		}
	}
	return false
}

// compareRequests orders urgent requests first, then by submission, cell and team.
func compareRequests(a, b QuotaRequest) int {
	if a.Urgent != b.Urgent {
		if a.Urgent {
			return -1
		}
		return 1
	}
	return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.Cell, b.Cell), cmp.Compare(a.Team, b.Team))
}

func sortedRequests(m map[teamCell]QuotaRequest) []QuotaRequest {
	requests := make([]QuotaRequest, 0, len(m))
	for _, r := range m {
		requests = append(requests, r)
	}
	slices.SortFunc(requests, compareRequests)
	return requests
}

// applyTransfer applies a durable transfer. Its total replaces the previous total
// between the same cells.
func (c *Cell) applyTransfer(t QuotaTransfer) {
	q := c.quotas
	if t.From == c.id {
		k := teamCell{t.Team, t.To}
		q.netBorrowed[t.Team] = q.netBorrowed[t.Team].Plus(q.lent[k]).Minus(t.Total)
		q.lent[k] = t.Total
		return
	}
	k := teamCell{t.Team, t.From}
	q.netBorrowed[t.Team] = q.netBorrowed[t.Team].Minus(q.borrowed[k]).Plus(t.Total)
	q.borrowed[k] = t.Total
}

// savedTransfers returns all lent and borrowed totals in a deterministic order.
func (c *Cell) savedTransfers() []QuotaTransfer {
	borrowed := sortedTransfers(c.quotas.borrowed, func(k teamCell, sum Resources) QuotaTransfer {
		return QuotaTransfer{k.team, k.cell, c.id, sum}
	})
	return append(c.QuotaTransfers(), borrowed...)
}

func sortedTransfers(m map[teamCell]Resources, build func(teamCell, Resources) QuotaTransfer) []QuotaTransfer {
	ts := make([]QuotaTransfer, 0, len(m))
	for k, sum := range m {
		ts = append(ts, build(k, sum))
	}
	slices.SortFunc(ts, func(a, b QuotaTransfer) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To))
	})
	return ts
}
