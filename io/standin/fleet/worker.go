package fleet

import (
	"bytes"
	"context"
	"fmt"
	"maps"
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

// Periods of a worker.
const (
	heartbeatEvery = 300 * time.Millisecond
	heartbeatLimit = time.Second
	workerTick     = 10 * time.Millisecond
	// leaseMax is the longest lease that a worker takes.
	leaseMax = 10 * time.Second
)

// Worker runs tasks that last as long as their payload says, and fail if it
// says so. It implements platformtest.Worker.
type Worker struct {
	id       string
	service  string
	address  netip.AddrPort
	agent    netip.AddrPort
	capacity job.Resources
	ledger   *Ledger
	http     *http.Client

	mu       sync.Mutex
	born     time.Time
	sequence int64
	draining bool
	down     bool
	// loseEvery loses the answer of each nth order, of which some take effect
	// late.
	loseEvery, orders int
	fence             int64
	lease             time.Duration
	running           map[string]*task
	highest           map[string]int64
	ended             []job.End
	numbers           int64
	// stalled is true while nothing comes on; advanced is when it last did.
	stalled  bool
	advanced time.Time
	changed  chan struct{}
	started  map[string]bool
}

type task struct {
	run   int64
	need  job.Resources
	begun time.Time
	takes time.Duration
	fails bool
}

// NewWorker returns a worker that its agent reaches at address, and that sends
// heartbeats to agent.
func NewWorker(id, service string, address, agent netip.AddrPort, l *Ledger) *Worker {
	return &Worker{id: id, service: service, address: address, agent: agent, ledger: l, born: time.Now(),
		capacity: job.Resources{Processors: 4000, Memory: 8000}, http: &http.Client{Timeout: heartbeatLimit},
		running: map[string]*task{}, highest: map[string]int64{}, changed: make(chan struct{}), started: map[string]bool{}}
}

// Run sends heartbeats and ends tasks until ctx ends.
func (w *Worker) Run(ctx context.Context) {
	beat := time.NewTicker(heartbeatEvery)
	defer beat.Stop()
	tick := time.NewTicker(workerTick)
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
	w.sequence++
	h := job.Worker{ID: w.id, Incarnation: w.born.UnixMilli(), Service: w.service, Address: w.address, Zone: "z",
		Labels: []string{"a", "r1"}, Capacity: w.capacity, Draining: w.draining, Sequence: w.sequence, Clock: w.clock()}
	down := w.down
	w.mu.Unlock()
	if down {
		return
	}
	b, err := platformtest.EncodeHeartbeat(h)
	if err != nil {
		panic(err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPut,
		"http://"+w.agent.String()+platformtest.HeartbeatPath(w.id), bytes.NewReader(b))
	if err != nil {
		panic(err)
	}
	if x, err := w.http.Do(r); err == nil {
		x.Body.Close()
	}
}

// clock is the worker's own time. The caller holds mu.
func (w *Worker) clock() time.Duration { return time.Since(w.born) }

// advance ends tasks that are done, and all when the lease has ended.
func (w *Worker) advance() {
	w.mu.Lock()
	defer w.mu.Unlock()
	elapsed := time.Since(w.advanced)
	w.advanced = time.Now()
	for _, name := range slices.Sorted(maps.Keys(w.running)) {
		t := w.running[name]
		if w.stalled {
			t.begun = t.begun.Add(elapsed)
		}
		switch {
		case w.clock() > w.lease:
			w.end(name, job.EndLapsed)
		case t.fails && time.Since(t.begun) >= t.takes:
			w.end(name, job.EndFailed)
		case time.Since(t.begun) >= t.takes:
			w.end(name, job.EndDone)
		}
	}
}

// end ends a run. The caller holds mu.
func (w *Worker) end(name string, how job.Outcome) {
	t := w.running[name]
	delete(w.running, name)
	w.numbers++
	w.ended = append(w.ended, job.End{Number: w.numbers, Task: name, Run: t.run, Outcome: how})
	w.highest[name] = max(w.highest[name], t.run)
	w.ledger.RecordEnd(name, how, false)
	close(w.changed)
	w.changed = make(chan struct{})
}

// Crash forgets everything, as after a restart under the same id.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name := range w.running {
		w.ledger.RecordEnd(name, job.EndLapsed, false)
	}
	for _, e := range w.ended {
		w.ledger.RecordEnd(e.Task, "", e.Outcome == job.EndDone)
	}
	w.born, w.sequence, w.fence, w.lease, w.numbers = time.Now(), 0, 0, 0, 0
	w.running, w.highest, w.ended = map[string]*task{}, map[string]int64{}, nil
}

// SetFaults makes the worker unreachable, and loses the answer of each nth
// order.
func (w *Worker) SetFaults(down bool, loseEvery int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down, w.loseEvery = down, loseEvery
}

// Stall makes the worker's tasks stand still, or come on again.
func (w *Worker) SetStalled(stalled bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stalled = stalled
}

// Started returns the jobs of which a task has started.
func (w *Worker) StartedJobs() map[string]bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.started)
}

// enter checks a call. The caller holds mu.
func (w *Worker) enter(id string, token int64) error {
	switch {
	case w.down:
		return platformtest.ErrDropConnection
	case id != w.id:
		return platform.ErrOtherIncarnation
	case token < w.fence:
		return platform.ErrFenced
	}
	w.fence = token
	return nil
}

// lost reports whether the answer of this order is to be lost.
func (w *Worker) lost() bool {
	w.orders++
	return w.loseEvery > 0 && w.orders%w.loseEvery == 0
}

// Start implements platformtest.Worker.
func (w *Worker) Start(s platform.StartRequest) (time.Duration, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.enter(s.Worker, s.Token); err != nil {
		return w.clock(), err
	}
	if w.lost() {
		// Half of the orders without an answer take effect later.
		if w.orders%(2*w.loseEvery) == 0 {
			time.AfterFunc(2*time.Second, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				if w.enter(s.Worker, s.Token) == nil {
					_ = w.begin(s)
				}
			})
			return 0, platformtest.ErrDropConnection
		}
		_ = w.begin(s)
		return 0, platformtest.ErrDropConnection
	}
	return w.clock(), w.begin(s)
}

// begin starts a run unless it is old or late. The caller holds mu.
func (w *Worker) begin(s platform.StartRequest) error {
	if t := w.running[s.Task]; t != nil && t.run == s.Run {
		return nil
	}
	if s.Run <= w.highest[s.Task] || w.running[s.Task] != nil {
		return &platform.OrderRefusedError{Reason: "old"}
	}
	if s.LeaseUntil <= w.clock() {
		return &platform.OrderRefusedError{Reason: "late"}
	}
	w.extend(s.LeaseUntil)
	need := w.ledger.RecordStart(w.id, s.Task)
	used := need
	for _, t := range w.running {
		used = used.Plus(t.need)
	}
	if !used.Fits(w.capacity) {
		w.ledger.mu.Lock()
		w.ledger.breaks("%s is over its capacity with %s", w.id, s.Task)
		w.ledger.mu.Unlock()
	}
	var takes int
	if _, err := fmt.Sscanf(s.Payload, "ms=%d", &takes); err != nil {
		takes = 1
	}
	w.running[s.Task] = &task{s.Run, need, time.Now(), time.Duration(takes) * time.Millisecond, strings.HasSuffix(s.Payload, " fail")}
	w.started[s.Task[:16]] = true
	return nil
}

func (w *Worker) extend(until time.Duration) {
	w.lease = max(w.lease, min(until, w.clock()+leaseMax))
}

// Stop implements platformtest.Worker.
func (w *Worker) Stop(worker, name string, run, token int64) (time.Duration, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.enter(worker, token); err != nil {
		return w.clock(), err
	}
	if t := w.running[name]; t != nil && t.run == run {
		w.end(name, job.EndStopped)
	}
	w.highest[name] = max(w.highest[name], run)
	if w.lost() {
		return 0, platformtest.ErrDropConnection
	}
	return w.clock(), nil
}

// Throttle implements platformtest.Worker; tasks do not slow down.
func (w *Worker) Throttle(worker, _ string, _, token int64, _ int) (time.Duration, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.clock(), w.enter(worker, token)
}

// Renew implements platformtest.Worker.
func (w *Worker) Renew(r platform.RenewRequest) (job.RunList, error) {
	deadline := time.After(r.Wait)
	w.mu.Lock()
	born := w.born
	w.mu.Unlock()
	for {
		w.mu.Lock()
		if w.born != born {
			w.mu.Unlock()
			return job.RunList{}, platformtest.ErrDropConnection
		}
		if err := w.enter(r.Worker, r.Token); err != nil {
			defer w.mu.Unlock()
			return job.RunList{Clock: w.clock()}, err
		}
		if r.LeaseUntil > 0 {
			w.extend(r.LeaseUntil)
		}
		for len(w.ended) > 0 && w.ended[0].Number <= r.Acknowledged {
			w.ended = w.ended[1:]
		}
		out := w.list()
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

// list returns the lists. The caller holds mu.
func (w *Worker) list() job.RunList {
	out := job.RunList{Incarnation: w.born.UnixMilli(), Clock: w.clock(), Ended: slices.Clone(w.ended)}
	for _, name := range slices.Sorted(maps.Keys(w.running)) {
		t := w.running[name]
		done := int(100 * time.Since(t.begun) / max(t.takes, 1))
		out.Running = append(out.Running, job.Run{Task: name, Run: t.run, Percent: min(done, 99)})
	}
	return out
}
