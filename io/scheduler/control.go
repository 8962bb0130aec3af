package scheduler

import (
	"context"
	"encoding/json"
	"time"

	"rosemarygap/core/event"
	"rosemarygap/core/job"
	"rosemarygap/core/status"
	"rosemarygap/platform"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
)

// Periods of the control goroutine.
const (
	// stepEvery is the safety net beside decisions on events.
	stepEvery = 100 * time.Millisecond
	// commitLimit bounds a write of the journal.
	commitLimit = time.Second
	// commitPause separates failed writes.
	commitPause = 60 * time.Millisecond
	// proofPause separates proofs that are sought for the sake of new workers.
	proofPause = 20 * time.Millisecond
	// maxBatch bounds the messages between two decisions.
	maxBatch = 64
)

// Messages of the election to the control goroutine.
type (
	// verifying is sent before a proof of ownership is sought; its channel is
	// closed once the control goroutine took it in.
	verifying   struct{ taken chan struct{} }
	verified    struct{ began time.Time }
	loadedState struct {
		tenure   *tenure
		items    []platform.Item
		revision int64
	}
	lost struct {
		tenure *tenure
		reason error
	}
)

// agentReport is a report with the way to answer it.
type agentReport struct {
	report *job.Report
	// reply has room for one answer.
	reply chan replyOrError
}

type replyOrError struct {
	reply job.Reply
	err   error
}

// committed is the outcome of a write of the journal.
type committed struct {
	tenure *tenure
	writes *job.Writes
	mark   job.JournalPosition
	// journal is the journal's revision if the write is durable.
	journal int64
	err     error
}

// control owns all tables of the owner.
//
// Invariant: only its goroutine touches the cell. At most one write of the
// journal is under way.
type control struct {
	s      *Scheduler
	log    hclog.Logger
	cell   *job.Cell
	tenure *tenure
	early  []change
	loaded int64
	// notices wait for a proof of ownership.
	notices []notice
	waiters map[string]agentReport
	due     []agentReport
	writing bool
	retryAt time.Time
	// provedAt is when a proof was last sought for new workers.
	provedAt time.Time
	mark     int64
	wake     chan committed
	figures  *figures
}

func newControl(s *Scheduler) *control {
	return &control{s: s, log: s.log, waiters: map[string]agentReport{}, wake: make(chan committed, 1), figures: newFigures()}
}

// run is the control goroutine.
func (c *control) run(ctx context.Context) error {
	t := time.NewTicker(stepEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		case x := <-c.s.mirror.changes:
			c.change(x)
		case x := <-c.s.reports:
			c.report(x)
		case x := <-c.s.news:
			c.news(x)
		case x := <-c.wake:
			c.committed(x)
		}
		c.drain()
		c.step(ctx)
	}
}

// drain takes in what else has arrived.
func (c *control) drain() {
	for range maxBatch {
		select {
		case x := <-c.s.mirror.changes:
			c.change(x)
		case x := <-c.s.reports:
			c.report(x)
		case x := <-c.s.news:
			c.news(x)
		default:
			return
		}
	}
}

// step decides, answers reports and starts a write.
func (c *control) step(ctx context.Context) {
	if c.cell == nil {
		return
	}
	now := time.Now()
	c.cell.Tick(now)
	for _, r := range c.due {
		r.reply <- replyOrError{reply: c.cell.Reply(r.report)}
	}
	c.due = c.due[:0]
	for agent, r := range c.waiters {
		if c.cell.HasOrders(agent) {
			r.reply <- replyOrError{reply: c.cell.Reply(r.report)}
			delete(c.waiters, agent)
		}
	}
	c.write(ctx, now)
	c.ask()
	c.logEvents()
	c.figures.show(c.cell, now)
	if c.cell.NeedsOwnershipProof() && now.Sub(c.provedAt) > proofPause {
		c.provedAt = now
		c.s.seekProof()
	}
}

func (c *control) logEvents() {
	liveGauge.Set(float64(c.cell.Len()))
	for _, e := range c.cell.Events() {
		countDecision(e)
		if e.Kind == job.EventWorker {
			event.WorkerDecided.Emit(c.log, event.Worker(e.Worker), event.Decision(string(e.Kind)),
				event.Reason(status.Code(e.Reason)), event.Age(e.ReportAge), event.Epoch(c.cell.Epoch()))
			continue
		}
		event.TaskDecided.Emit(c.log, event.Task(e.Task), event.Attempt(int(e.Run)), event.Worker(e.Worker),
			event.Decision(string(e.Kind)), event.Reason(status.Code(e.Reason)), event.Age(e.ReportAge),
			event.Elapsed(e.SinceAcceptance), event.Epoch(c.cell.Epoch()))
	}
}

// change takes in a change of the store.
func (c *control) change(x change) {
	switch {
	case c.tenure == nil:
		return
	case c.cell == nil:
		c.early = append(c.early, x)
		return
	case x.kind == job.KeyKindOther:
		if cfg := c.s.mirror.cfg.Load(); cfg != nil {
			c.cell.SetConfiguration(cfg)
		}
		return
	case x.removed && x.kind == job.KeyKindAgent && x.revision > c.loaded:
		c.cell.AgentDeparted(x.id)
		return
	case x.removed, x.revision <= c.loaded:
		return
	}
	switch x.kind {
	case job.KeyKindOwner:
		c.succeeded(x)
	case job.KeyKindJob:
		var j job.Job
		if err := json.Unmarshal(x.value, &j); err != nil {
			c.refuse(job.JobKey(x.id), err)
			return
		}
		c.cell.Add(j, time.Now())
	case job.KeyKindCancelled:
		c.cell.Cancel(x.id, time.Now())
	}
}

// succeeded ends this ownership at once when the store tells of a later one:
// what follows in the store may have been acted on by the successor.
func (c *control) succeeded(x change) {
	var o job.Ownership
	if err := json.Unmarshal(x.value, &o); err != nil {
		c.refuse(job.KeyOwner, err)
		return
	}
	if o.Epoch > c.cell.Epoch() {
		c.s.suspect()
		c.end(lost{c.tenure, errDeposed})
	}
}

func (c *control) refuse(key string, err error) {
	event.MessageRefused.Emit(c.log, event.Dependency("store"), event.Reason(status.Code(key+": "+err.Error())))
}

// report takes in an agent's report.
func (c *control) report(x agentReport) {
	if c.cell == nil {
		x.reply <- replyOrError{err: status.ErrNotOwner}
		return
	}
	if c.cell.Receive(x.report, time.Now()) {
		x.reply <- replyOrError{err: status.ErrStaleEpoch}
		c.s.suspect()
		return
	}
	if x.report.LongPoll {
		c.waiters[x.report.Agent] = x
		return
	}
	c.due = append(c.due, x)
}

// news takes in what the election says.
func (c *control) news(x any) {
	switch x := x.(type) {
	case *tenure:
		c.tenure, c.early = x, nil
	case verifying:
		if c.cell != nil {
			c.cell.BeginOwnershipProof()
		}
		close(x.taken)
	case verified:
		if c.cell != nil {
			c.cell.CompleteOwnershipProof(x.began)
			c.proved(x.began)
		}
	case notice:
		c.notice(x)
	case advised:
		if c.cell != nil && c.tenure == x.tenure {
			c.cell.SetTickets(x.question, x.tickets, x.until)
		}
	case loadedState:
		c.begin(x)
	case lost:
		c.end(x)
	}
}

// begin makes the loaded state the cell.
func (c *control) begin(x loadedState) {
	if c.tenure != x.tenure {
		return
	}
	now := time.Now()
	cell := job.New(x.tenure.ownership.Epoch, now)
	if cfg := c.s.mirror.cfg.Load(); cfg != nil {
		cell.SetConfiguration(cfg)
	}
	c.loadJobs(cell, x, now)
	c.cell, c.loaded, c.mark, c.writing = cell, x.revision, 0, false
	ownerGauge.Set(float64(cell.Epoch()))
	takeovers.Inc()
	early := c.early
	c.early = nil
	for _, e := range early {
		c.change(e)
	}
	event.OwnershipTaken.Emit(c.log, event.Entry(c.s.cfg.Name), event.Epoch(cell.Epoch()), event.Count(cell.Len()))
}

// loadJobs fills a cell from the store's items.
func (c *control) loadJobs(cell *job.Cell, x loadedState, now time.Time) {
	progress := map[string]job.Progress{}
	var cancelled []string
	var jobs []job.Job
	for _, i := range x.items {
		kind, id := job.ParseKey(i.Key)
		var err error
		switch kind {
		case job.KeyKindJob:
			var j job.Job
			if err = json.Unmarshal(i.Value, &j); err == nil {
				jobs = append(jobs, j)
			}
		case job.KeyKindProgress:
			var p job.Progress
			err = json.Unmarshal(i.Value, &p)
			progress[id] = p
		case job.KeyKindCancelled:
			cancelled = append(cancelled, id)
		case job.KeyKindAgent:
			cell.LoadAgent(id)
		case job.KeyKindLearned:
			var l job.LearnedParameters
			if err = json.Unmarshal(i.Value, &l); err == nil {
				cell.LoadLearned(l)
			}
		}
		if err != nil {
			c.refuse(i.Key, err)
		}
	}
	for _, j := range jobs {
		if err := cell.Load(j, progress[j.ID], now); err != nil {
			c.refuse(job.ProgressKey(j.ID), err)
		}
	}
	cell.FinishLoaded(now)
	for _, id := range cancelled {
		cell.Cancel(id, now)
	}
}

// end drops the cell.
func (c *control) end(x lost) {
	if c.tenure != x.tenure {
		return
	}
	event.OwnershipLost.Emit(c.log, event.Entry(c.s.cfg.Name), event.Epoch(x.tenure.ownership.Epoch),
		event.Reason(status.Code(x.reason.Error())))
	for _, r := range c.waiters {
		r.reply <- replyOrError{err: status.ErrNotOwner}
	}
	for _, r := range c.due {
		r.reply <- replyOrError{err: status.ErrNotOwner}
	}
	clear(c.waiters)
	ownerGauge.Set(0)
	liveGauge.Set(0)
	c.figures.clear()
	c.due = nil
	c.cell, c.tenure, c.early, c.notices = nil, nil, nil, nil
}

// write starts the next write of the journal.
func (c *control) write(ctx context.Context, now time.Time) {
	if c.writing || now.Before(c.retryAt) {
		return
	}
	// One entry of the commit is the journal's mark.
	w := c.cell.PendingWrites(now, platform.MaxTransactionSize-2)
	if w.Empty() {
		return
	}
	c.writing = true
	c.mark++
	mark := job.JournalPosition{Epoch: c.cell.Epoch(), Number: c.mark}
	t := c.tenure
	cm := commitOf(&w, mark, t.journal)
	go func() {
		limited, cancel := context.WithTimeout(ctx, commitLimit)
		defer cancel()
		began := time.Now()
		revision, now, err := c.s.store.Commit(limited, cm)
		commitSeconds.Update(time.Since(began).Seconds())
		out := committed{tenure: t, writes: &w, mark: mark, journal: revision, err: err}
		if errors.Is(err, platform.ErrConflict) {
			out.journal, out.err = journalNow(now, mark)
		}
		select {
		case c.wake <- out:
		case <-ctx.Done():
		}
	}()
}

// errNotWritten means that the journal lacks a write that may come no more.
var errNotWritten = errors.New("an earlier write took effect instead")

// journalNow tells from the journal's item what became of writes that went
// without an answer.
func journalNow(items []platform.Item, mark job.JournalPosition) (int64, error) {
	for _, i := range items {
		var m job.JournalPosition
		if i.Key != job.KeyJournal || json.Unmarshal(i.Value, &m) != nil {
			continue
		}
		if m.Epoch != mark.Epoch {
			return 0, errDeposed
		}
		// An earlier try took effect after all; later ones can build on it.
		return i.Revision, errNotWritten
	}
	return 0, errDeposed
}

// commitOf returns the change of the store that makes w durable.
func commitOf(w *job.Writes, mark job.JournalPosition, journal int64) platform.Transaction {
	cm := platform.Transaction{
		Conditions: []platform.Condition{{Key: job.KeyJournal, Revision: journal}},
		Writes:     []platform.Write{{Key: job.KeyJournal, Value: mustJSON(mark)}},
	}
	for id, p := range w.Progress {
		cm.Writes = append(cm.Writes, platform.Write{Key: job.ProgressKey(id), Value: mustJSON(p)})
	}
	for _, f := range w.Finals {
		cm.Writes = append(cm.Writes, platform.Write{Key: job.FinalKey(f.ID), Value: mustJSON(f)})
		cm.Deletes = append(cm.Deletes, job.JobKey(f.ID), job.ProgressKey(f.ID), job.CancelledKey(f.ID))
	}
	if w.Learned != nil {
		cm.Writes = append(cm.Writes, platform.Write{Key: job.KeyLearned, Value: mustJSON(w.Learned)})
	}
	for _, a := range w.AddedAgents {
		cm.Writes = append(cm.Writes, platform.Write{Key: job.AgentKey(a), Value: []byte("{}")})
	}
	for _, a := range w.RemovedAgents {
		cm.Deletes = append(cm.Deletes, job.AgentKey(a))
	}
	return cm
}

// committed takes in the outcome of a write.
func (c *control) committed(x committed) {
	if c.tenure != x.tenure || c.cell == nil {
		return
	}
	c.writing = false
	c.s.mirror.health.Observe(ignoreTaken(ignoreWritten(x.err)))
	switch {
	case x.err == nil:
		c.tenure.journal = x.journal
		c.cell.Committed(x.writes)
		return
	case errors.Is(x.err, errDeposed):
		c.s.suspect()
	case errors.Is(x.err, errNotWritten):
		c.tenure.journal = x.journal
	default:
		storeErrors.Inc()
		c.retryAt = time.Now().Add(commitPause)
	}
	c.cell.Abandoned(x.writes)
}

func ignoreWritten(err error) error {
	if errors.Is(err, errNotWritten) || errors.Is(err, errDeposed) {
		return nil
	}
	return err
}
