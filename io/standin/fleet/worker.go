package fleet

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"rosemarygap/core/job"
	"rosemarygap/platform"
	"rosemarygap/platform/platformtest"
)

// Intervals and limits of a Worker.
const (
	heartbeatPeriod  = 300 * time.Millisecond
	heartbeatTimeout = time.Second
	tickPeriod       = 10 * time.Millisecond
	// maxLease is the maximum duration of a lease, counted from its renewal.
	maxLease = 10 * time.Second
	// lateDelay is how much later a call without an answer may take effect.
	lateDelay = 2 * time.Second
)

// Worker is a fake worker. It only simulates tasks: the payload "ms=50" makes a
// task run for 50 ms, "ms=50 fail" also makes it fail at the end, and "ms=50 fail=2" makes
// its first two runs fail. With "ms=50 deadly" the run of the first task of the job crashes
// the worker. With "ms=50 lasting" the task is ready after 50 ms and does not
// end. Worker implements platformtest.Worker.
type Worker struct {
	id      string
	service string
	address netip.AddrPort
	agent   netip.AddrPort
	zone    string
	// agentName is the name of the agent's process in the ledger.
	agentName string
	capacity  job.Resources
	ledger    *Ledger
	client    *http.Client

	mu sync.Mutex
	// share is the share of capacity that the worker has, in percent. It was last reduced
	// at reducedAt.
	share            int64
	reducedAt        time.Time
	incarnationStart time.Time
	heartbeatSeq     int64
	draining         bool
	unreachable      bool
	// orderCount is the number of start and stop orders that passed checkCall. If
	// dropEvery is greater than 0, the worker drops the connection instead of
	// responding when orderCount is divisible by dropEvery. When orderCount is also
	// divisible by 2*dropEvery, and dropEvery is not 1, a start takes effect late.
	dropEvery, orderCount int
	// renewalCount counts the renewals that passed checkCall and did not wait. If lateEvery
	// is greater than 0, one that is divisible by it gets no answer and takes effect late.
	lateEvery, renewalCount int
	// order shuffles the ended runs of each list, unless it is nil.
	order *rand.Rand
	// departures counts the workers that have left before this one, and departing is true
	// while this one is about to leave.
	departures int
	departing  bool
	// down is true while the worker has crashed and is not back.
	down bool
	// silent is true while the worker answers no orders, although it executes them.
	silent       bool
	fencingToken int64
	// leaseEnd is the end of the lease on the worker's clock.
	leaseEnd time.Duration
	// running and highestRun are maps by task name. The values of highestRun are
	// the highest numbers of the runs that have ended or were stopped.
	running    map[string]*task
	highestRun map[string]int64
	// ended contains the ends that are not acknowledged yet.
	ended         []job.End
	lastEndNumber int64
	// stalled is true while tasks make no progress; stalledUntil is the time up to
	// which the start times of the tasks have been adjusted for that.
	stalled      bool
	stalledUntil time.Time
	// changed is closed and replaced when a run ends.
	changed     chan struct{}
	startedJobs map[string]bool
}

type task struct {
	run     int64
	need    job.Resources
	started time.Time
	runTime time.Duration
	fails   bool
	// lasting is true for a task that does not end, and ready once it is ready.
	lasting, ready bool
}

// NewWorker returns a worker that sends heartbeats to the agent at the address
// agent, and records its runs in l. The heartbeats contain address as the worker's
// own address.
func NewWorker(id, service string, address, agent netip.AddrPort, l *Ledger) *Worker {
	return &Worker{id: id, service: service, zone: "z", address: address, agent: agent, ledger: l, incarnationStart: time.Now(),
		capacity: job.Resources{Processors: 4000, Memory: 8000}, share: 100, client: &http.Client{Timeout: heartbeatTimeout},
		running: map[string]*task{}, highestRun: map[string]int64{}, stalledUntil: time.Now(), changed: make(chan struct{}), startedJobs: map[string]bool{}}
}

// SetZone sets the zone of the worker, which is z by default. It must be called before
// Run.
func (w *Worker) SetZone(zone string) { w.zone = zone }

// SetAgentName sets the name under which the ledger knows the disturbances of the agent.
// It must be called before Run.
func (w *Worker) SetAgentName(name string) { w.agentName = name }

// SetShare sets the share of its capacity that the worker has, in percent.
func (w *Worker) SetShare(percent int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if percent < w.share {
		w.reducedAt = time.Now()
	}
	w.share = percent
}

// currentCapacity returns the capacity of the worker. The caller holds mu.
func (w *Worker) currentCapacity() job.Resources {
	return job.Resources{Processors: w.capacity.Processors * int(w.share) / 100, Memory: w.capacity.Memory * w.share / 100}
}

// SetDraining sets whether the heartbeats say that the worker is draining.
func (w *Worker) SetDraining(draining bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !draining {
		w.ledger.JudgeDraining(w.id, w.agentName)
		w.ledger.RecordNotDraining(w.id)
	}
	w.draining = draining
}

// Run sends heartbeats and advances the tasks until ctx is done.
func (w *Worker) Run(ctx context.Context) {
	beat := time.NewTicker(heartbeatPeriod)
	defer beat.Stop()
	tick := time.NewTicker(tickPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-beat.C:
			w.heartbeat(ctx)
		case <-tick.C:
			w.advance()
		}
	}
}

func (w *Worker) heartbeat(ctx context.Context) {
	w.mu.Lock()
	w.heartbeatSeq++
	h := w.description()
	unreachable, incarnationStart := w.unreachable || w.down, w.incarnationStart
	w.mu.Unlock()
	if unreachable {
		return
	}
	code := w.send(ctx, h)
	w.mu.Lock()
	defer w.mu.Unlock()
	// Since the heartbeat, the worker may have crashed or become ready again.
	if h.Draining && w.draining && w.incarnationStart == incarnationStart && code == http.StatusOK {
		w.ledger.RecordDraining(w.id)
	}
}

// description returns the newest heartbeat. The caller holds mu.
func (w *Worker) description() job.Worker {
	return job.Worker{ID: w.id, Incarnation: w.incarnationStart.UnixMilli(), Service: w.service, Address: w.address, Zone: w.zone,
		Labels: []string{"a", "r1"}, Capacity: w.currentCapacity(), Draining: w.draining, Sequence: w.heartbeatSeq, Clock: w.clock()}
}

// SendForeignHeartbeat sends a heartbeat in the name of the worker with the given change.
func (w *Worker) SendForeignHeartbeat(ctx context.Context, change func(*job.Worker)) {
	w.mu.Lock()
	h := w.description()
	w.mu.Unlock()
	h.Sequence++
	change(&h)
	w.send(ctx, h)
}

// send sends a heartbeat and returns the status of the response, or 0.
func (w *Worker) send(ctx context.Context, h job.Worker) int {
	b, err := platformtest.EncodeHeartbeat(h)
	if err != nil {
		panic(err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPut,
		"http://"+w.agent.String()+platformtest.HeartbeatPath(h.ID), bytes.NewReader(b))
	if err != nil {
		panic(err)
	}
	response, err := w.client.Do(r)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// clock returns the time on the worker's clock. The caller holds mu.
func (w *Worker) clock() time.Duration { return time.Since(w.incarnationStart) }

// advance ends the runs whose run time is over, and all runs if the lease has
// expired.
func (w *Worker) advance() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.excludeStalledTime()
	if w.clock() > w.leaseEnd {
		w.lapse()
	}
	for _, name := range slices.Sorted(maps.Keys(w.running)) {
		t := w.running[name]
		switch {
		case w.clock() > w.leaseEnd:
			w.endRun(name, job.EndLapsed)
		case time.Since(t.started) < t.runTime:
		case t.lasting && !t.ready:
			t.ready = true
			w.ledger.RecordReady(name)
		case t.lasting:
		case t.fails:
			w.endRun(name, job.EndFailed)
		default:
			w.endRun(name, job.EndDone)
		}
	}
}

// loseEnds records that the tasks whose ends are not acknowledged may run again: the
// lease has ended, so that the scheduler takes their runs for lost. The caller holds
// mu.
func (w *Worker) loseEnds() {
	for _, e := range w.ended {
		w.ledger.RecordEnd(e.Task, "", e.Outcome == job.EndDone)
	}
}

// lapse records that the lease has ended before the listed ends were acknowledged. The
// caller holds mu.
func (w *Worker) lapse() {
	w.ledger.RecordLapse(w.ended)
	w.loseEnds()
}

// excludeStalledTime delays the start times of the running tasks by the time in
// which they were stalled, so that the progress of a task depends on its start time
// alone. The caller holds mu.
func (w *Worker) excludeStalledTime() {
	elapsed := time.Since(w.stalledUntil)
	w.stalledUntil = w.stalledUntil.Add(elapsed)
	if !w.stalled {
		return
	}
	for _, t := range w.running {
		t.started = t.started.Add(elapsed)
	}
}

// endRun ends the run of the named task with the given outcome. The caller holds
// mu.
func (w *Worker) endRun(name string, outcome job.Outcome) {
	t := w.running[name]
	delete(w.running, name)
	w.lastEndNumber++
	w.ended = append(w.ended, job.End{Number: w.lastEndNumber, Task: name, Run: t.run, Outcome: outcome})
	w.highestRun[name] = max(w.highestRun[name], t.run)
	w.ledger.RecordEnd(name, outcome, false)
	close(w.changed)
	w.changed = make(chan struct{})
}

// Crash discards the state of the worker and starts a new incarnation under the
// same id.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crash()
}

// crash implements Crash. The caller holds mu.
func (w *Worker) crash() {
	w.ledger.RecordFault(w.agentName)
	w.end()
}

// end discards the state of the worker, and begins a new incarnation. The caller holds mu.
func (w *Worker) end() {
	for name := range w.running {
		w.ledger.RecordEnd(name, job.EndLapsed, false)
	}
	w.loseEnds()
	w.ledger.RecordNotDraining(w.id)
	w.incarnationStart, w.heartbeatSeq, w.fencingToken, w.leaseEnd, w.lastEndNumber = time.Now(), 0, 0, 0, 0
	w.running, w.highestRun, w.ended = map[string]*task{}, map[string]int64{}, nil
	// The connections of calls that wait break.
	close(w.changed)
	w.changed = make(chan struct{})
}

// Times of a crash by a task.
const (
	// deadlyDelay is how long the task runs before.
	deadlyDelay = 10 * time.Millisecond
	// deadlyDownTime is how long the worker is down.
	deadlyDownTime = 800 * time.Millisecond
)

// crashUnder takes the worker down if it still has the run of the named task that began at
// started, and brings it back as another incarnation.
func (w *Worker) crashUnder(name string, started time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t := w.running[name]; t == nil || !t.started.Equal(started) {
		return
	}
	w.ledger.RecordCrash(name)
	w.down = true
	w.crash()
	time.AfterFunc(deadlyDownTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.incarnationStart, w.down = time.Now(), false
	})
}

// SetFaults sets whether the worker is unreachable. If dropEvery is greater than 0,
// the worker drops the response to one of every dropEvery orders.
func (w *Worker) SetFaults(unreachable bool, dropEvery int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unreachable, w.dropEvery = unreachable, dropEvery
}

// SetStalled stops or resumes the progress of the worker's tasks.
func (w *Worker) SetStalled(stalled bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.excludeStalledTime()
	w.stalled = stalled
}

// StartedJobs returns the ids of the jobs of which a task has started.
func (w *Worker) StartedJobs() map[string]bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.startedJobs)
}

// checkCall returns an error if the worker is unreachable, has another id, or has
// seen a newer fencing token. Otherwise it records the token. The caller holds mu.
func (w *Worker) checkCall(id string, token int64) error {
	switch {
	case w.unreachable, w.down:
		return platformtest.ErrDropConnection
	case id != w.id:
		return platform.ErrOtherIncarnation
	case token < w.fencingToken:
		return platform.ErrFenced
	}
	w.fencingToken = token
	return nil
}

// recordToken tells the ledger of a call that arrives now, unless it is lost. The caller
// holds mu.
func (w *Worker) recordToken(id string, token int64) {
	if !w.unreachable && !w.down && id == w.id {
		w.ledger.RecordToken(w.id, w.agentName, token, time.Now())
	}
}

// dropsResponse counts an order and reports whether its response is dropped. The
// caller holds mu.
func (w *Worker) dropsResponse() bool {
	w.orderCount++
	return w.dropEvery > 0 && w.orderCount%w.dropEvery == 0
}

// SetSilent sets whether the worker answers no orders.
func (w *Worker) SetSilent(silent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent = silent
}

// silence is how long a silent worker holds an order, which is longer than any agent
// waits for the answer.
const silence = 600 * time.Millisecond

// answer returns the answer to an order, unless the worker is silent.
func (w *Worker) answer(clock time.Duration, err error) (time.Duration, error) {
	w.mu.Lock()
	silent := w.silent
	w.mu.Unlock()
	if !silent {
		return clock, err
	}
	time.Sleep(silence)
	return 0, platformtest.ErrDropConnection
}

// Start implements platformtest.Worker.
func (w *Worker) Start(s platform.StartRequest) (time.Duration, error) {
	return w.answer(w.start(s, time.Now()))
}

// start executes an order to start a run that arrived at the given time.
func (w *Worker) start(s platform.StartRequest, arrived time.Time) (time.Duration, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordToken(s.Worker, s.Token)
	if err := w.checkCall(s.Worker, s.Token); err != nil {
		return w.clock(), err
	}
	if w.dropsResponse() {
		// Every second order without a response takes effect late, unless all
		// responses are dropped.
		if w.dropEvery > 1 && w.orderCount%(2*w.dropEvery) == 0 {
			time.AfterFunc(lateDelay, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				if w.checkCall(s.Worker, s.Token) == nil {
					_ = w.startRun(s, arrived)
				}
			})
			return 0, platformtest.ErrDropConnection
		}
		_ = w.startRun(s, arrived)
		return 0, platformtest.ErrDropConnection
	}
	return w.clock(), w.startRun(s, arrived)
}

// startRun starts a run whose order has arrived. It does nothing if this run is active. It returns an
// error if another run of the task is active, a run with the same or a higher
// number has ended or was stopped, or the lease has already expired. The caller
// holds mu.
func (w *Worker) startRun(s platform.StartRequest, arrived time.Time) error {
	if t := w.running[s.Task]; t != nil && t.run == s.Run {
		return nil
	}
	if s.Run <= w.highestRun[s.Task] || w.running[s.Task] != nil {
		return &platform.OrderRefusedError{Reason: "old"}
	}
	if s.LeaseUntil <= w.clock() {
		return &platform.OrderRefusedError{Reason: "late"}
	}
	w.extendLease(s.LeaseUntil)
	w.ledger.RecordZoneOfStart(w.zone, w.id, s.Task, arrived)
	w.ledger.CheckDraining(w.id, w.agentName, s.Task, arrived)
	w.ledger.CheckListedEnd(w.id, w.agentName, s.Task, arrived)
	need := w.ledger.RecordStart(w.id, s, arrived)
	used := need
	for _, t := range w.running {
		used = used.Plus(t.need)
	}
	w.ledger.checkCapacity(w, s.Task, used, arrived)
	var runTimeMillis int
	if _, err := fmt.Sscanf(s.Payload, "ms=%d", &runTimeMillis); err != nil {
		runTimeMillis = 1
	}
	w.excludeStalledTime()
	w.running[s.Task] = &task{run: s.Run, need: need, started: time.Now(), runTime: time.Duration(runTimeMillis) * time.Millisecond,
		fails: w.ledger.runFails(s.Task, s.Payload), lasting: strings.HasSuffix(s.Payload, " lasting")}
	if isDeadly(s.Task, s.Payload) {
		started := w.running[s.Task].started
		time.AfterFunc(deadlyDelay, func() { w.crashUnder(s.Task, started) })
	}
	// A task name begins with the id of its job, which has 16 characters.
	w.startedJobs[s.Task[:16]] = true
	return nil
}

func (w *Worker) extendLease(until time.Duration) {
	w.leaseEnd = max(w.leaseEnd, min(until, w.clock()+maxLease))
}

// Stop implements platformtest.Worker.
func (w *Worker) Stop(worker, name string, run, token int64) (time.Duration, error) {
	return w.answer(w.stop(worker, name, run, token))
}

func (w *Worker) stop(worker, name string, run, token int64) (time.Duration, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordToken(worker, token)
	if err := w.checkCall(worker, token); err != nil {
		return w.clock(), err
	}
	if t := w.running[name]; t != nil && t.run == run {
		w.ledger.CheckStop(w.id, w.agentName, name, token, time.Now())
		w.endRun(name, job.EndStopped)
	}
	w.highestRun[name] = max(w.highestRun[name], run)
	if w.dropsResponse() {
		return 0, platformtest.ErrDropConnection
	}
	return w.clock(), nil
}

// Throttle implements platformtest.Worker. It checks the order but does not slow
// the task down.
func (w *Worker) Throttle(worker, _ string, _, token int64, _ int) (time.Duration, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordToken(worker, token)
	return w.clock(), w.checkCall(worker, token)
}

// Renew implements platformtest.Worker.
func (w *Worker) Renew(r platform.RenewRequest) (job.RunList, error) {
	deadline := time.After(r.Wait)
	w.mu.Lock()
	incarnationStart := w.incarnationStart
	w.recordToken(r.Worker, r.Token)
	late := w.delaysRenewal(r)
	w.mu.Unlock()
	if late {
		time.AfterFunc(lateDelay, func() { w.renewLate(r) })
		return job.RunList{}, platformtest.ErrDropConnection
	}
	for {
		w.mu.Lock()
		if w.incarnationStart != incarnationStart {
			w.mu.Unlock()
			return job.RunList{}, platformtest.ErrDropConnection
		}
		if err := w.checkCall(r.Worker, r.Token); err != nil {
			defer w.mu.Unlock()
			return job.RunList{Clock: w.clock()}, err
		}
		w.applyRenewal(r)
		out := w.runList()
		w.ledger.RecordListed(w.agentName, out.Ended)
		changed := w.changed
		w.mu.Unlock()
		if r.Wait == 0 || len(out.Ended) > 0 {
			return out, nil
		}
		select {
		case <-changed:
		case <-deadline:
			return out, nil
		}
	}
}

// applyRenewal extends the lease and forgets the acknowledged ends. The caller holds mu.
func (w *Worker) applyRenewal(r platform.RenewRequest) {
	if r.LeaseUntil > 0 {
		w.extendLease(r.LeaseUntil)
	}
	for len(w.ended) > 0 && w.ended[0].Number <= r.Acknowledged {
		w.ledger.RecordAcknowledgement(w.ended[0])
		w.ended = w.ended[1:]
	}
}

// delaysRenewal counts a renewal and reports whether it gets no answer and takes effect
// late. The caller holds mu.
func (w *Worker) delaysRenewal(r platform.RenewRequest) bool {
	if r.Wait > 0 || w.checkCall(r.Worker, r.Token) != nil {
		return false
	}
	w.renewalCount++
	return w.lateEvery > 0 && w.renewalCount%w.lateEvery == 0
}

// renewLate carries out a renewal that got no answer, also if the worker has begun another
// incarnation since.
func (w *Worker) renewLate(r platform.RenewRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.checkCall(r.Worker, r.Token) == nil {
		w.applyRenewal(r)
	}
}

// SetLateRenewals lets one of every given number of renewals take effect late, or none if
// it is 0.
func (w *Worker) SetLateRenewals(every int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lateEvery = every
}

// ShuffleEnds lets the worker list its ended runs in an order that rng determines.
func (w *Worker) ShuffleEnds(rng *rand.Rand) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.order = rng
}

// runList returns the running runs and the ends that are not acknowledged. The
// caller holds mu.
func (w *Worker) runList() job.RunList {
	w.excludeStalledTime()
	out := job.RunList{Incarnation: w.incarnationStart.UnixMilli(), Clock: w.clock(), Ended: slices.Clone(w.ended)}
	if w.order != nil {
		w.order.Shuffle(len(out.Ended), func(i, j int) { out.Ended[i], out.Ended[j] = out.Ended[j], out.Ended[i] })
	}
	for _, name := range slices.Sorted(maps.Keys(w.running)) {
		t := w.running[name]
		percent := min(int(100*time.Since(t.started)/max(t.runTime, 1)), 99)
		if t.ready {
			percent = 100
		}
		out.Running = append(out.Running, job.Run{Task: name, Run: t.run, Percent: percent})
	}
	return out
}

// runs returns the number of running tasks of a job.
func (w *Worker) runs(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for name := range w.running {
		if strings.HasPrefix(name, id) {
			n++
		}
	}
	return n
}
