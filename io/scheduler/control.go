package scheduler

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"rosemarygap/core/event"
	"rosemarygap/core/job"
	"rosemarygap/core/status"
	"rosemarygap/platform"

	"github.com/hashicorp/go-hclog"
)

// Periods and limits of the control goroutine.
const (
	// tickInterval is the longest time between two calls of tick, which is also
	// called after each batch of messages.
	tickInterval = 100 * time.Millisecond
	// commitTimeout is the timeout of a write of the journal.
	commitTimeout = time.Second
	// commitRetryPause is the pause after a failed write of the journal.
	commitRetryPause = 60 * time.Millisecond
	// minOwnershipCheckInterval is the least time between two requests for an
	// ownership check that are made because a new worker needs one for its first
	// lease.
	minOwnershipCheckInterval = 20 * time.Millisecond
	// maxMessageBatch is the maximum number of further queued messages that are
	// handled after a message and before the next call of tick. It is also the
	// capacity of the channels of reports and messages.
	maxMessageBatch = 64
)

// Messages from the election goroutine to the control goroutine. An ownership
// check is a linearizable read of the owner's key in the store, which succeeds if
// this entry is still the owner.
type (
	// barrier is sent after a message that must have been handled. The control goroutine
	// closes its channel once it reaches the barrier.
	barrier struct{ reached chan struct{} }
	// ownershipCheckStarted is sent before an ownership check. The control
	// goroutine closes its channel once it has handled the message.
	ownershipCheckStarted struct{ handled chan struct{} }
	// ownershipConfirmed is sent after an ownership check that succeeded.
	ownershipConfirmed struct{ began time.Time }
	// loadedState has the items of the store, as of a revision, at the start of
	// a session.
	loadedState struct {
		session  *ownerSession
		items    []platform.Item
		revision int64
		// began is when the reading of the items began.
		began time.Time
	}
	// ownershipLost is sent at the end of a session.
	ownershipLost struct {
		session *ownerSession
		reason  error
	}
)

// agentReport is an agent's report with the channel for its reply.
type agentReport struct {
	report *job.Report
	// reply is buffered for one result, so that sending does not block.
	reply chan reportResult
}

type reportResult struct {
	reply job.Reply
	err   error
}

// commitResult is the outcome of a write of the journal.
type commitResult struct {
	session  *ownerSession
	writes   *job.Writes
	position job.JournalPosition
	// journalRevision is the revision of the journal's item, if known.
	journalRevision int64
	// cancelled are the jobs whose cancellations prevented the write.
	cancelled []string
	err       error
}

// control is the state of the control goroutine, which schedules while this
// entry is the owner.
//
// Invariant: only the control goroutine accesses the cell. At most one write of
// the journal is in progress.
type control struct {
	s   *Scheduler
	log hclog.Logger
	// cell is nil until the state is loaded. session is nil while this entry is
	// not the owner.
	cell    *job.Cell
	session *ownerSession
	// earlyChanges are the changes that arrive while the state is loading.
	earlyChanges []change
	// earlyEvacuations is the newest reading of the evacuated zones while the state is
	// loading.
	earlyEvacuations *evacuationsRead
	// loadedRevision is the revision of the loaded state, which contains all
	// changes up to it.
	loadedRevision int64
	// notices are applied after the next ownership check that succeeds.
	notices        []notice
	longPolls      map[string]agentReport
	pendingReports []agentReport
	committing     bool
	commitRetryAt  time.Time
	// ownershipCheckRequestedAt is when an ownership check was last requested for
	// new workers.
	ownershipCheckRequestedAt time.Time
	// journalNumber is the number of the last write of the journal in this epoch.
	journalNumber int64
	commitResults chan commitResult
	gauges        *ownerGauges
	// forecastAt is when the last forecast was made.
	forecastAt time.Time
}

func newControl(s *Scheduler) *control {
	return &control{s: s, log: s.log, longPolls: map[string]agentReport{}, commitResults: make(chan commitResult, 1), gauges: newOwnerGauges()}
}

// run runs the control goroutine until ctx ends.
func (c *control) run(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		case x := <-c.s.mirror.changes:
			c.applyChange(x)
		case x := <-c.s.reports:
			c.handleReport(x)
		case x := <-c.s.messages:
			c.handleMessage(x)
		case x := <-c.commitResults:
			c.handleCommitResult(x)
		}
		c.handleQueued()
		c.tick(ctx)
	}
}

// handleQueued handles the messages that are queued already, up to
// maxMessageBatch.
func (c *control) handleQueued() {
	for range maxMessageBatch {
		select {
		case x := <-c.s.mirror.changes:
			c.applyChange(x)
		case x := <-c.s.reports:
			c.handleReport(x)
		case x := <-c.s.messages:
			c.handleMessage(x)
		default:
			return
		}
	}
}

// tick makes the scheduling decisions that are due, answers reports, and starts
// the next write of the journal.
func (c *control) tick(ctx context.Context) {
	if c.cell == nil {
		return
	}
	now := time.Now()
	c.cell.Tick(now)
	for _, r := range c.pendingReports {
		r.reply <- reportResult{reply: c.cell.Reply(r.report, now)}
	}
	c.pendingReports = c.pendingReports[:0]
	for agent, r := range c.longPolls {
		if c.cell.HasOrders(agent, now) {
			r.reply <- reportResult{reply: c.cell.Reply(r.report, now)}
			delete(c.longPolls, agent)
		}
	}
	c.updateForecast(now)
	c.startCommit(ctx, now)
	c.requestTickets()
	c.logEvents()
	c.gauges.update(c.cell, now)
	if c.cell.NeedsOwnershipCheck() && now.Sub(c.ownershipCheckRequestedAt) > minOwnershipCheckInterval {
		c.ownershipCheckRequestedAt = now
		c.s.requestOwnershipCheck()
	}
}

func (c *control) logEvents() {
	liveJobsGauge.Set(float64(c.cell.Len()))
	for _, e := range c.cell.Events() {
		switch e.Kind {
		case job.EventZoneEvacuated:
			event.ZoneEvacuated.Emit(c.log, event.Zone(e.Zone), event.Count(e.Count), event.Reason(status.Code(e.Reason)), event.Epoch(c.cell.Epoch()))
			continue
		case job.EventZoneReopened:
			event.ZoneReopened.Emit(c.log, event.Zone(e.Zone), event.Count(e.Count), event.Epoch(c.cell.Epoch()))
			continue
		case job.EventRoomAfterRefusal:
			refusedWithRoom.Inc()
			event.RoomAfterRefusal.Emit(c.log, event.Queue(e.Task), event.Epoch(c.cell.Epoch()))
			continue
		}
		if c.logWait(e) || c.logScarcity(e) || c.logCopy(e) || c.logCrash(e) {
			continue
		}
		countDecision(e)
		if e.Kind == job.EventCold || e.Kind == job.EventWarm {
			event.WorkerColdChanged.Emit(c.log, event.Worker(e.Worker), event.State(string(e.Kind)), event.Elapsed(e.ColdLeft),
				event.Slowdown(int(100*e.Slowdown)), event.Epoch(c.cell.Epoch()))
			continue
		}
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

// logWait logs why jobs wait. It returns false for other events.
func (c *control) logWait(e job.Event) bool {
	switch e.Kind {
	case job.EventStepWaited:
		event.StepWaited.Emit(c.log, event.Step(e.Task), event.Reason(status.Code(e.Reason)), event.Count(e.Count),
			event.Elapsed(e.Elapsed), event.Epoch(c.cell.Epoch()))
	case job.EventRoomSampled:
		event.RoomSampled.Emit(c.log, event.Capacity(e.Capacity), event.Free(e.Free), event.Reserved(e.Reserved), event.Count(e.Count), event.Epoch(c.cell.Epoch()))
	case job.EventOutlookWorsened:
		event.OutlookWorsened.Emit(c.log, event.Job(e.Task), event.Reason(status.Code(e.Reason)), event.Epoch(c.cell.Epoch()))
	default:
		return false
	}
	return true
}

// logScarcity logs the begin or the end of scarcity. It returns false for other events.
func (c *control) logScarcity(e job.Event) bool {
	switch e.Kind {
	case job.EventScarcityBegan:
		event.ScarcityBegan.Emit(c.log, event.Kind(e.Reason), event.Count(e.Count), event.Epoch(c.cell.Epoch()))
	case job.EventScarcityEnded:
		event.ScarcityEnded.Emit(c.log, event.Kind(e.Reason), event.Elapsed(e.Elapsed), event.Epoch(c.cell.Epoch()))
	default:
		return false
	}
	return true
}

// applyChange applies a change of the store to the cell. While the state is
// loading, it keeps the change for later.
func (c *control) applyChange(x change) {
	switch {
	case c.session == nil:
		return
	case c.cell == nil:
		c.earlyChanges = append(c.earlyChanges, x)
		return
	case x.kind == job.KeyKindOther:
		if cfg := c.s.mirror.cfg.Load(); cfg != nil {
			c.cell.SetConfiguration(cfg)
		}
		return
	case x.removed && x.kind == job.KeyKindAgent && x.revision > c.loadedRevision:
		c.cell.AgentDeparted(x.id)
		return
	case x.removed, x.revision <= c.loadedRevision:
		return
	}
	switch x.kind {
	case job.KeyKindOwner:
		c.handleOwnerChange(x)
	case job.KeyKindJob:
		j, err := job.DecodeJob(x.id, x.value)
		if err != nil {
			c.logRejected(job.JobKey(x.id), err)
			return
		}
		c.cell.Add(j, time.Now())
	case job.KeyKindCancelled:
		c.cell.Cancel(x.id, time.Now())
	}
}

// handleOwnerChange ends this ownership at once if the store has a later one.
// The cell must not apply the changes that follow, since the successor may
// already have acted on them.
func (c *control) handleOwnerChange(x change) {
	var o job.Ownership
	if err := json.Unmarshal(x.value, &o); err != nil {
		c.logRejected(job.KeyOwner, err)
		return
	}
	if o.Epoch > c.cell.Epoch() {
		c.s.signalSuperseded()
		c.endSession(ownershipLost{c.session, errSuperseded})
	}
}

func (c *control) logRejected(key string, err error) {
	event.MessageRefused.Emit(c.log, event.Dependency("store"), event.Reason(status.Code(key+": "+err.Error())))
}

// handleReport applies an agent's report. The reply is sent by the next tick
// or, for a long poll, by the first tick that finds orders for the agent.
// Scheduler.handleReport ends a long poll without orders.
func (c *control) handleReport(x agentReport) {
	if c.cell == nil {
		x.reply <- reportResult{err: status.ErrNotOwner}
		return
	}
	if c.s.reportBases.isLate(x.report) {
		countReport(reportRefused)
		x.reply <- reportResult{reply: job.Reply{Epoch: c.cell.Epoch(), Whole: true}}
		return
	}
	if c.cell.IsOutdated(x.report) {
		countReport(reportRefused)
		event.ReportOutdated.Emit(c.log, event.Worker(x.report.Worker.ID), event.Incarnation(x.report.Worker.Incarnation),
			event.Process(x.report.Process), event.Generation(x.report.Generation), event.Epoch(x.report.Epoch))
		x.reply <- reportResult{reply: c.cell.OutdatedReply(x.report)}
		return
	}
	if c.cell.Receive(x.report, time.Now()) {
		x.reply <- reportResult{err: status.ErrStaleEpoch}
		c.s.questionOwnership()
		return
	}
	countReport(reportForm(x.report))
	if x.report.LongPoll {
		c.parkLongPoll(x)
		return
	}
	c.s.reportBases.keep(x.report, time.Now())
	c.pendingReports = append(c.pendingReports, x)
}

// parkLongPoll keeps a long poll until there are orders for its agent. An earlier one of the
// agent is abandoned. It answers x at once if the present one was made later: nobody may read
// the reply to x.
func (c *control) parkLongPoll(x agentReport) {
	if parked, ok := c.longPolls[x.report.Agent]; ok && isEarlier(x.report, parked.report) {
		x.reply <- reportResult{reply: c.cell.OutdatedReply(x.report)}
		return
	}
	c.longPolls[x.report.Agent] = x
}

// isEarlier reports whether a was made before b, by the clock of the worker that both are about.
func isEarlier(a, b *job.Report) bool {
	return a.Worker != nil && b.Worker != nil && a.Process == b.Process && a.Worker.ID == b.Worker.ID &&
		a.Worker.Incarnation == b.Worker.Incarnation && a.Clock < b.Clock
}

// handleMessage handles a message from another goroutine of this process.
func (c *control) handleMessage(x any) {
	switch x := x.(type) {
	case *ownerSession:
		c.session, c.earlyChanges, c.earlyEvacuations = x, nil, nil
	case barrier:
		close(x.reached)
	case ownershipCheckStarted:
		if c.cell != nil {
			c.cell.BeginOwnershipCheck()
		}
		close(x.handled)
	case ownershipConfirmed:
		if c.cell != nil {
			c.cell.ConfirmOwnership(x.began)
			c.applyNotices(x.began)
		}
	case cancellationsRead:
		if c.cell != nil && c.session == x.session {
			c.cell.ConfirmCancellations(x.ids, x.began, time.Now())
		}
	case evacuationsRead:
		c.applyEvacuations(x)
	case notice:
		c.queueNotice(x)
	case advisorResult:
		c.applyAdvice(x)
	case loadedState:
		c.startSession(x)
	case ownershipLost:
		c.endSession(x)
	}
}

// applyEvacuations applies a reading of the evacuated zones to the cell. While the state
// is loading, it keeps the reading for later.
func (c *control) applyEvacuations(x evacuationsRead) {
	switch {
	case c.session != x.session:
	case c.cell == nil:
		c.earlyEvacuations = &x
	default:
		c.cell.ConfirmEvacuations(x.zones, x.began, time.Now())
	}
}

// startSession creates the cell from the loaded state and starts scheduling.
func (c *control) startSession(x loadedState) {
	if c.session != x.session {
		return
	}
	now := time.Now()
	bounds := &c.s.cfg.Bounds
	options := append(slices.Clip(c.s.cellOptions), job.WithEvacuation(bounds.MaxEvacuationDelay), job.WithRemoteDataFactor(bounds.RemoteDataFactor))
	cell := job.New(x.session.ownership.Epoch, now, options...)
	if cfg := c.s.mirror.cfg.Load(); cfg != nil {
		cell.SetConfiguration(cfg)
	}
	c.loadItems(cell, x, now)
	if c.s.admission != nil {
		c.s.admission.recordLoaded(x, now)
	}
	c.cell, c.loadedRevision, c.journalNumber, c.committing = cell, x.revision, 0, false
	epochGauge.Set(float64(cell.Epoch()))
	takeovers.Inc()
	if e := c.earlyEvacuations; e != nil {
		c.applyEvacuations(*e)
	}
	earlyChanges := c.earlyChanges
	c.earlyChanges, c.earlyEvacuations = nil, nil
	for _, e := range earlyChanges {
		c.applyChange(e)
	}
	event.OwnershipTaken.Emit(c.log, event.Entry(c.s.cfg.Name), event.Epoch(cell.Epoch()), event.Count(cell.Len()))
}

// loadItems adds the items of the store to a cell.
func (c *control) loadItems(cell *job.Cell, x loadedState, now time.Time) {
	progress := map[string]job.Progress{}
	// unreadable are the jobs whose progress cannot be decoded. Without it, their tasks
	// that are done would run again, so these jobs are not loaded.
	unreadable := map[string]bool{}
	var cancelled []string
	var jobs []job.Job
	for _, i := range x.items {
		kind, id := job.ParseKey(i.Key)
		var err error
		switch kind {
		case job.KeyKindJob:
			var j job.Job
			if j, err = job.DecodeJob(id, i.Value); err == nil {
				jobs = append(jobs, j)
			}
		case job.KeyKindProgress:
			var p job.Progress
			if err = json.Unmarshal(i.Value, &p); err == nil {
				progress[id] = p
			} else {
				unreadable[id] = true
			}
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
			c.logRejected(i.Key, err)
		}
	}
	for _, j := range jobs {
		if unreadable[j.ID] {
			continue
		}
		if err := cell.Load(j, progress[j.ID], now); err != nil {
			c.logRejected(job.ProgressKey(j.ID), err)
		}
	}
	cell.FinishLoaded(now)
	cell.ConfirmCancellations(cancelled, x.began, now)
}

// endSession drops the cell and stops scheduling.
func (c *control) endSession(x ownershipLost) {
	if c.session != x.session {
		return
	}
	event.OwnershipLost.Emit(c.log, event.Entry(c.s.cfg.Name), event.Epoch(x.session.ownership.Epoch),
		event.Reason(status.Code(x.reason.Error())))
	for _, r := range c.longPolls {
		r.reply <- reportResult{err: status.ErrNotOwner}
	}
	for _, r := range c.pendingReports {
		r.reply <- reportResult{err: status.ErrNotOwner}
	}
	clear(c.longPolls)
	c.s.reportBases.clear()
	epochGauge.Set(0)
	liveJobsGauge.Set(0)
	c.gauges.clear()
	if c.s.admission != nil {
		c.s.admission.retract()
	}
	c.pendingReports = nil
	c.cell, c.session, c.earlyChanges, c.earlyEvacuations, c.notices = nil, nil, nil, nil, nil
}
