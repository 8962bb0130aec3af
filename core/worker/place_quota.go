package worker

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Transfer is the part of a team's quota that one cell has given another, in
// total since both exist. Totals only grow, so a transfer may arrive any
// number of times and in any order.
type QuotaTransfer struct {
	Team  string    `json:"team"`
	From  int       `json:"from"`
	To    int       `json:"to"`
	Total Resources `json:"total"`
}

// Want says that a job of a team waits for quota in a cell.
type QuotaRequest struct {
	Cell    int       `json:"cell"`
	Team    string    `json:"team"`
	Missing Resources `json:"missing"`
	// Since is when the waiting job was submitted.
	Since  time.Time `json:"since"`
	Urgent bool      `json:"urgent,omitempty"`
}

// lendPause is how long a cell that was lent quota waits for more from the
// same lender, so that a repeated want is served once.
const lendPause = 2 * time.Second

type lending struct {
	team string
	cell int
}

// quotas holds this cell's shares of the teams' quotas. The shares of all
// cells sum to at most the quota: they start from a fixed split, and what a
// cell lends is journaled by it before any other cell can take it.
type quotas struct {
	id, cells int
	// teams is nil while no quota is set; then nothing is bounded.
	teams  map[string]Resources
	lent   map[lending]Resources
	taken  map[lending]Resources
	net    map[string]Resources
	wants  []QuotaRequest
	paused map[lending]time.Time
	heard  map[lending]QuotaRequest
	offers []QuotaTransfer
}

func newQuotas() *quotas {
	return &quotas{
		lent:   make(map[lending]Resources),
		taken:  make(map[lending]Resources),
		net:    make(map[string]Resources),
		paused: make(map[lending]time.Time),
		heard:  make(map[lending]QuotaRequest),
	}
}

// SetQuotas sets the quotas of all teams, of which this cell holds a share.
// A team without a quota starts nothing. Slots are not bounded.
func (c *Cell) SetQuotas(cells int, teams map[string]Resources) {
	c.quotas.id, c.quotas.cells, c.quotas.teams = c.id, cells, teams
}

// limit returns the whole quota of a team.
func (q *quotas) limit(team string) Resources {
	r := Resources{math.MaxInt, math.MaxInt64, math.MaxInt, math.MaxInt}
	if q.teams != nil {
		slots := r.Slots
		r = q.teams[team]
		r.Slots = slots
	}
	return r
}

// own returns the share of a team's quota that this cell may use.
func (q *quotas) own(team string) Resources {
	if q.teams == nil {
		return q.limit(team)
	}
	all := q.teams[team]
	turn := int(xxhash.Sum64String(team) % uint64(q.cells))
	s := Resources{
		Processors:   split(all.Processors, q.cells, q.id, turn),
		Memory:       split(all.Memory, int64(q.cells), int64(q.id), int64(turn)),
		Accelerators: split(all.Accelerators, q.cells, q.id, turn),
	}
	s = s.Plus(q.net[team])
	s.Slots = math.MaxInt
	return s
}

// split divides all over n parts that differ by at most one; the parts that
// are larger begin at turn.
func split[N int | int64](all, n, part, turn N) N {
	s := all / n
	if (part+n-turn)%n < all%n {
		s++
	}
	return s
}

// allows reports whether size fits the team's share beside what it holds, and
// what is missing if not.
func (q *quotas) allows(team string, held, size Resources) (Resources, bool) {
	if q.teams == nil {
		return Resources{}, true
	}
	missing := held.Plus(size).Minus(q.own(team)).Max(Resources{})
	missing.Slots = 0
	return missing, missing == Resources{}
}

// part returns how much of its quota a team holds here, to compare teams.
func (q *quotas) part(team string, held Resources) float64 {
	if q.teams == nil {
		return float64(held.Processors)
	}
	return dominant(held, q.teams[team])
}

// want notes that j waits for quota.
func (q *quotas) want(j *JobRow, missing Resources, urgent bool) {
	q.wants = append(q.wants, QuotaRequest{Cell: q.id, Team: j.Team, Missing: missing,
		Since: j.Submitted, Urgent: urgent})
}

// hold changes what a team's running jobs hold in this cell.
func (c *Cell) hold(team string, change Resources) {
	h := c.held[team].Plus(change)
	if h == (Resources{}) {
		delete(c.held, team)
		return
	}
	c.held[team] = h
}

// Wants returns the quota that jobs of this cell waited for in the last tick.
func (c *Cell) QuotaRequests() []QuotaRequest { return slices.Clone(c.quotas.wants) }

// Transfers returns what this cell has durably lent, to be sent to the
// owners of the other cells.
func (c *Cell) QuotaTransfers() []QuotaTransfer {
	return transfers(c.quotas.lent, func(l lending, sum Resources) QuotaTransfer {
		return QuotaTransfer{l.team, c.id, l.cell, sum}
	})
}

// Hear takes in what other cells lent and want. Anything meant for another
// cell is ignored.
func (c *Cell) ReceiveQuotaUpdates(ts []QuotaTransfer, ws []QuotaRequest) {
	for _, t := range ts {
		if t.To == c.id && t.From != c.id {
			c.quotas.offers = append(c.quotas.offers, t)
		}
	}
	for _, w := range ws {
		if w.Cell != c.id {
			c.quotas.heard[lending{w.Team, w.Cell}] = w
		}
	}
}

// planBorrowed records what other cells lent and this one has not yet taken.
func (c *Cell) planBorrowed(rs []Record, now time.Time) []Record {
	q := c.quotas
	latest := make(map[lending]Resources)
	for _, t := range q.offers {
		k := lending{t.Team, t.From}
		old, ok := latest[k]
		if !ok {
			old = q.taken[k]
		}
		latest[k] = old.Max(t.Total)
	}
	q.offers = q.offers[:0]
	for _, t := range transfers(latest, func(l lending, sum Resources) QuotaTransfer {
		return QuotaTransfer{l.team, l.cell, c.id, sum}
	}) {
		if t.Total != q.taken[lending{t.Team, t.From}] {
			rs = append(rs, Record{Kind: KindBorrowed, At: now, Transfer: &t})
		}
	}
	return rs
}

// planLent records what this cell gives to cells whose jobs wait longer than
// its own.
func (c *Cell) planLent(p *pass, rs []Record) []Record {
	q := c.quotas
	if q.teams == nil {
		return rs
	}
	given := make(map[string]Resources)
	for _, w := range sortedWants(q.heard) {
		k := lending{w.Team, w.Cell}
		if p.now.Before(q.paused[k]) || q.outranked(w) {
			continue
		}
		idle := q.own(w.Team).Minus(p.held[w.Team]).Minus(given[w.Team])
		gift := w.Missing.least(idle).Max(Resources{})
		if gift == (Resources{}) {
			continue
		}
		given[w.Team] = given[w.Team].Plus(gift)
		q.paused[k] = p.now.Add(lendPause)
		t := QuotaTransfer{w.Team, c.id, w.Cell, q.lent[k].Plus(gift)}
		rs = append(rs, Record{Kind: KindLent, At: p.now, Transfer: &t})
	}
	clear(q.heard)
	return rs
}

// outranked reports whether an own job of the team waits for quota and comes
// before the one that w speaks for.
func (q *quotas) outranked(w QuotaRequest) bool {
	for _, own := range q.wants {
		if own.Team == w.Team && compareWants(own, w) < 0 {
			return true
		}
	}
	return false
}

// compareWants orders urgent wants first, then by submission, then by cell.
func compareWants(a, b QuotaRequest) int {
	if a.Urgent != b.Urgent {
		if a.Urgent {
			return -1
		}
		return 1
	}
	return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.Cell, b.Cell), cmp.Compare(a.Team, b.Team))
}

func sortedWants(m map[lending]QuotaRequest) []QuotaRequest {
	ws := make([]QuotaRequest, 0, len(m))
	for _, w := range m {
		ws = append(ws, w)
	}
	slices.SortFunc(ws, compareWants)
	return ws
}

// applyTransfer takes in a durable transfer, whose totals replace older ones.
func (c *Cell) applyTransfer(t QuotaTransfer) {
	q := c.quotas
	if t.From == c.id {
		k := lending{t.Team, t.To}
		q.net[t.Team] = q.net[t.Team].Plus(q.lent[k]).Minus(t.Total)
		q.lent[k] = t.Total
		return
	}
	k := lending{t.Team, t.From}
	q.net[t.Team] = q.net[t.Team].Minus(q.taken[k]).Plus(t.Total)
	q.taken[k] = t.Total
}

// savedTransfers returns all transfers in a fixed order.
func (c *Cell) savedTransfers() []QuotaTransfer {
	taken := transfers(c.quotas.taken, func(l lending, sum Resources) QuotaTransfer {
		return QuotaTransfer{l.team, l.cell, c.id, sum}
	})
	return append(c.QuotaTransfers(), taken...)
}

func transfers(m map[lending]Resources, form func(lending, Resources) QuotaTransfer) []QuotaTransfer {
	ts := make([]QuotaTransfer, 0, len(m))
	for k, sum := range m {
		ts = append(ts, form(k, sum))
	}
	slices.SortFunc(ts, func(a, b QuotaTransfer) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To))
	})
	return ts
}
