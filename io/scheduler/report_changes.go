package scheduler

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"rosemarygap/core/job"
	"rosemarygap/core/status"
	"rosemarygap/io/agent"
	"rosemarygap/io/httpjson"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
)

const (
	// reportBasesTTL is how long the reports of an agent that sends no more are kept.
	reportBasesTTL = 30 * time.Second
	// reportBasesSweepInterval is the time between two removals of expired reports.
	reportBasesSweepInterval = 5 * time.Second
)

// reportBases has the reports that the owner holds as bases of delta reports, by agent.
// The handlers of requests read it, and only the control goroutine changes it, in the
// order in which it processes the reports. The reports themselves never change.
type reportBases struct {
	mu      sync.Mutex
	rows    map[string]*reportBasesRow
	sweptAt time.Time
}

type reportBasesRow struct {
	bases      job.ReportBases
	receivedAt time.Time
}

// get returns the bases of an agent.
func (b *reportBases) get(agent string) job.ReportBases {
	b.mu.Lock()
	defer b.mu.Unlock()
	if row := b.rows[agent]; row != nil {
		return row.bases
	}
	return job.ReportBases{}
}

// isLate reports whether r has been overtaken or is repeated, so that it must not be
// processed.
func (b *reportBases) isLate(r *job.Report) bool {
	bases := b.get(r.Agent)
	return bases.IsLate(r)
}

// keep makes r a base, if the agent sends delta reports. Otherwise, it removes the number
// from r, which the reply then does not confirm.
func (b *reportBases) keep(r *job.Report, now time.Time) {
	if r.Delta.Number <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sweep(now)
	row := b.rows[r.Agent]
	if row == nil {
		row = &reportBasesRow{}
	}
	if !row.bases.Keep(r) {
		r.Delta.Number = 0
		return
	}
	row.receivedAt = now
	if b.rows == nil {
		b.rows = map[string]*reportBasesRow{}
	}
	b.rows[r.Agent] = row
}

// sweep removes the expired rows. The caller holds b.mu.
func (b *reportBases) sweep(now time.Time) {
	if now.Sub(b.sweptAt) < reportBasesSweepInterval {
		return
	}
	b.sweptAt = now
	for agent, row := range b.rows {
		if now.Sub(row.receivedAt) > reportBasesTTL {
			delete(b.rows, agent)
		}
	}
}

// clear removes all reports.
func (b *reportBases) clear() {
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.rows)
}

// errNoBase means that the owner does not hold the base of a delta.
var errNoBase = errors.New("base of the delta is not held")

// decodeReport returns the whole report that the request has or describes. With
// errNoBase, it returns a report that has only the epoch.
func (s *Scheduler) decodeReport(x echo.Context) (*job.Report, error) {
	if x.QueryParam(agent.DeltaParameter) != "" {
		return s.decodeChanges(x)
	}
	r := &job.Report{}
	if err := httpjson.Decode(x, r); err != nil {
		return nil, err
	}
	if x.QueryParam(agent.ChangesParameter) != "" {
		r.Delta.Enabled = true
		if n, err := strconv.ParseInt(x.QueryParam(agent.ReportNumberParameter), 10, 64); err == nil && n > 0 && !r.LongPoll {
			r.Delta.Number = n
		}
		if v, err := strconv.ParseUint(x.QueryParam(agent.KnownInterferenceParameter), 10, 64); err == nil {
			r.Delta.KnownInterference = v
		}
	}
	return r, r.Validate()
}

func (s *Scheduler) decodeChanges(x echo.Context) (*job.Report, error) {
	var d job.ReportChanges
	if err := httpjson.Decode(x, &d); err != nil {
		return nil, err
	}
	bases := s.reportBases.get(d.Agent)
	r, err := bases.Expand(&d)
	if errors.Is(err, status.ErrUnknownRef) {
		return &job.Report{Epoch: d.Epoch}, errNoBase
	}
	if err != nil {
		return nil, err
	}
	return r, r.Validate()
}

// refuseReport responds to a report that was not applied. If only the base is missing, it
// asks the agent for a whole report; an entry that is not the owner refuses that one.
func (s *Scheduler) refuseReport(x echo.Context, r *job.Report, err error) error {
	countReport(reportRefused)
	if errors.Is(err, errNoBase) {
		return x.JSON(http.StatusOK, &job.Reply{Epoch: r.Epoch, Whole: true})
	}
	return err
}
