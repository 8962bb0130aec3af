package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"rosemarygap/core/job"
	"rosemarygap/platform"
	"rosemarygap/platform/platformtest"
)

// Periods of a worker.
const (
	heartbeatPeriod = 1500 * time.Millisecond
	tickPeriod      = 10 * time.Millisecond
	// maxLease is hold-max-ms, and gangWait is gang-ms.
	maxLease = 10 * time.Second
	gangWait = 3 * time.Second
	// checkpointPeriod is checkpoint-interval-s, and restoreTime is restore-ms.
	checkpointPeriod = time.Second
	restoreTime      = 250 * time.Millisecond
	// maxListedEnds is how many ends are listed at a time.
	maxListedEnds = 500
	// startupTime is after how long a lasting task is at work.
	startupTime = 320 * time.Millisecond
	// stopTime is how long a stop takes, at most stop-ms.
	stopTime = 100 * time.Millisecond
)

// run is one run of a task on a worker.
type run struct {
	task   string
	number int64
	gang   string
	saves  bool
	// failsAfter is after how much work the run fails, or 0.
	failsAfter time.Duration
	startedAt  time.Time
	checkpoint string
	// done is the work that the checkpoint stands for. beganAt is when the run began to
	// work, or zero for a member of a gang that waits for the others.
	done    time.Duration
	beganAt time.Time
	saved   string
	// stopAt is when an ordered stop takes effect, or zero.
	stopAt time.Time
}

// worker is a stand-in for a worker of the platform and its machine. Its spec is
// "ms=N saves gang=STEP:COUNT"; the task has checkpoints only with "saves", and is a member of a gang
// only with the last part.
type worker struct {
	w      *world
	number int
	app    netip.AddrPort
	agent  netip.AddrPort

	mu       sync.Mutex
	life     int
	born     time.Time
	down     bool
	draining bool
	sequence int64
	token    int64
	leaseEnd time.Duration
	running  map[string]*run
	highest  map[string]int64
	ended    []job.End
	lastEnd  int64
	server   *http.Server
	// runs are the tasks that run here. The lock of the world guards it.
	runs map[string]bool
}

func (x *worker) id() string { return fmt.Sprintf("i-%d-%d", x.number, x.life) }

// kind returns the worker's kind: b for the first one, a for the others.
func (x *worker) kind() string {
	if x.number == 0 {
		return "b"
	}
	return "a"
}

func (x *worker) clock() time.Duration { return time.Since(x.born) }

// start begins a life of the worker: it knows nothing of the one before.
func (x *worker) start() error {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.life++
	x.born, x.down, x.draining = time.Now(), false, false
	x.sequence, x.token, x.leaseEnd, x.lastEnd = 0, 0, 0, 0
	x.running, x.highest, x.ended = map[string]*run{}, map[string]int64{}, nil
	l, err := net.Listen("tcp", x.app.String())
	if err != nil {
		return err
	}
	x.server = &http.Server{Handler: platformtest.WorkerHandler(x)}
	go func(s *http.Server) { _ = s.Serve(l) }(x.server)
	return nil
}

// crash ends the present life, by a crash or after a departure: nothing listens any more and all
// runs are gone.
func (x *worker) crash() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.down = true
	x.server.Close()
	x.w.record("worker %d ends with %d runs", x.number, len(x.running))
	for _, r := range x.running {
		x.w.breakGang(r.gang, x)
	}
	x.running = map[string]*run{}
	x.w.forgetRuns(x)
}

// live sends heartbeats and advances the runs until ctx ends.
func (x *worker) live(ctx context.Context) {
	beat := time.Now()
	for ctx.Err() == nil {
		time.Sleep(tickPeriod)
		x.mu.Lock()
		down := x.down
		if !down {
			x.advance()
		}
		x.mu.Unlock()
		if !down && !time.Now().Before(beat) {
			beat = time.Now().Add(heartbeatPeriod)
			if !x.heartbeat() {
				beat = time.Now().Add(heartbeatPeriod / 5)
			}
		}
	}
}

func (x *worker) heartbeat() bool {
	x.mu.Lock()
	x.sequence++
	h := job.Worker{ID: x.id(), Incarnation: x.born.UnixMilli(), Service: "svc", Address: x.app, Zone: "zone-a", VM: fmt.Sprintf("machine-%d", x.number),
		Labels: []string{x.kind(), fmt.Sprintf("r%d", x.number/3)}, Capacity: job.Resources{Processors: 16000, Memory: 62500}, Sequence: x.sequence, Clock: x.clock(), Draining: x.draining}
	x.mu.Unlock()
	b, err := platformtest.EncodeHeartbeat(h)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+x.agent.String()+platformtest.HeartbeatPath(h.ID), bytes.NewReader(b))
	if err != nil {
		return false
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Periods of a departure: drain-ms and a little longer, how long a worker waits for the ack of its
// departure, and how much later it ends without one.
const (
	drainTime      = 2500 * time.Millisecond
	departureWait  = time.Second
	unackedEndTime = 3 * time.Second
)

// leave drains the worker, announces its departure and ends it. It calls before a moment before
// the announcement.
func (x *worker) leave(before func()) {
	x.mu.Lock()
	x.draining = true
	x.mu.Unlock()
	for !x.heartbeat() {
		time.Sleep(100 * time.Millisecond)
	}
	x.w.record("worker %d is draining, and has the ack", x.number)
	time.Sleep(drainTime)
	before()
	if err := x.announceDeparture(); err != nil {
		x.w.record("worker %d has no ack of its departure (%v), and ends %v later", x.number, err, unackedEndTime)
		time.Sleep(unackedEndTime)
	} else {
		x.w.record("worker %d has the ack of its departure", x.number)
	}
	x.crash()
}

// announceDeparture sends DELETE and waits for the ack.
func (x *worker) announceDeparture() error {
	x.w.record("worker %d: DELETE %s", x.number, x.id())
	ctx, cancel := context.WithTimeout(context.Background(), departureWait)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+x.agent.String()+platformtest.HeartbeatPath(x.id()), nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return errors.New(resp.Status)
	}
	return nil
}

// advance ends the runs that are over. The caller holds mu.
func (x *worker) advance() {
	now := time.Now()
	lapsed := len(x.running) > 0 && x.clock() > x.leaseEnd
	for _, task := range slices.Sorted(maps.Keys(x.running)) {
		r := x.running[task]
		if r == nil {
			continue
		}
		worked := r.done
		if !r.beganAt.IsZero() {
			if d := now.Sub(r.beganAt); d > 0 {
				worked += d
			}
			if n := worked / checkpointPeriod; n > 0 && r.saves {
				r.saved = max(r.saved, encodeCheckpoint(n*checkpointPeriod))
			}
		}
		switch {
		case lapsed:
			x.end(r, job.EndLapsed)
		case !r.stopAt.IsZero() && !now.Before(r.stopAt):
			if r.saves {
				r.saved = max(r.saved, encodeCheckpoint(worked))
			}
			x.end(r, job.EndStopped)
		case r.failsAfter > 0 && worked >= r.failsAfter:
			x.end(r, job.EndFailed)
		case worked >= x.w.workOf(task):
			x.end(r, job.EndDone)
		case r.gang != "" && x.w.isBroken(r.gang):
			x.end(r, job.EndBroken)
		case r.gang != "" && r.beganAt.IsZero():
			if began := x.w.gangBegan(r.gang); !began.IsZero() {
				r.beganAt = began
				if r.checkpoint != "" {
					r.beganAt = began.Add(restoreTime)
				}
			} else if now.Sub(r.startedAt) > gangWait {
				x.end(r, job.EndAlone)
			}
		}
	}
}

// end records the end of a run. The caller holds mu.
func (x *worker) end(r *run, how job.Outcome) {
	delete(x.running, r.task)
	x.highest[r.task] = max(x.highest[r.task], r.number)
	x.lastEnd++
	x.ended = append(x.ended, job.End{Number: x.lastEnd, Task: r.task, Run: r.number, Outcome: how, Checkpoint: r.saved})
	x.w.recordEnd(x, r, how)
	if how != job.EndDone && how != job.EndBroken {
		x.w.breakGang(r.gang, x)
	}
}

func encodeCheckpoint(d time.Duration) string { return fmt.Sprintf("%016x", d.Milliseconds()) }

// check returns the error of an order of a token to a life. The caller holds mu.
func (x *worker) check(id string, token int64) error {
	switch {
	case x.down:
		return platformtest.ErrDropConnection
	case id != "" && id != x.id():
		return platform.ErrOtherIncarnation
	case token < x.token:
		return platform.ErrFenced
	}
	x.token = token
	return nil
}

func (x *worker) extendLease(until time.Duration) {
	x.leaseEnd = max(x.leaseEnd, min(until, x.clock()+maxLease))
}

// Start implements platformtest.Worker.
func (x *worker) Start(s platform.StartRequest) (time.Duration, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if err := x.check(s.Worker, s.Token); err != nil {
		return x.clock(), err
	}
	x.extendLease(s.LeaseUntil)
	old := x.running[s.Task]
	switch {
	case old != nil && old.number == s.Run:
		return x.clock(), nil
	case old != nil || s.Run <= x.highest[s.Task]:
		return x.clock(), &platform.OrderRefusedError{Reason: platform.RefusedOldRun}
	case s.LeaseUntil <= x.clock():
		return x.clock(), &platform.OrderRefusedError{Reason: "late"}
	}
	r := &run{task: s.Task, number: s.Run, startedAt: time.Now(), checkpoint: s.Checkpoint, saved: s.Checkpoint, saves: strings.Contains(s.Payload, " saves")}
	if ms, err := strconv.ParseInt(s.Checkpoint, 16, 64); err == nil {
		r.done = time.Duration(ms) * time.Millisecond
	}
	if _, gang, ok := strings.Cut(s.Payload, "gang="); ok {
		r.gang = gangOf(s.Task, s.Run, gang)
	}
	if _, after, ok := strings.Cut(s.Payload, "fails="); ok {
		if ms, err := strconv.Atoi(after); err == nil {
			r.failsAfter = time.Duration(ms) * time.Millisecond
		}
	}
	x.running[s.Task] = r
	x.w.recordStart(x, r, s)
	if r.gang == "" {
		r.beganAt = r.startedAt
		if s.Checkpoint != "" {
			r.beganAt = r.startedAt.Add(restoreTime)
		}
	}
	return x.clock(), nil
}

// gangOf returns the name of the run of a gang that a start belongs to, or "" if the task's
// step is no gang. The spec names the step and the number of its tasks.
func gangOf(task string, number int64, spec string) string {
	step, count, _ := strings.Cut(spec, ":")
	parts := strings.Split(task, ".")
	if len(parts) != 4 || parts[2] != step {
		return ""
	}
	return fmt.Sprintf("%s run %d of %s", strings.Join(parts[:3], "."), number, count)
}

// Stop implements platformtest.Worker.
func (x *worker) Stop(id, task string, number, token int64) (time.Duration, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if err := x.check(id, token); err != nil {
		return x.clock(), err
	}
	x.w.record("worker %d: stop %s run %d", x.number, task, number)
	r := x.running[task]
	switch {
	case r == nil || r.number != number:
		x.highest[task] = max(x.highest[task], number)
	case r.stopAt.IsZero():
		r.stopAt = time.Now().Add(stopTime)
	}
	return x.clock(), nil
}

// Throttle implements platformtest.Worker. No task of the cases is throttled.
func (x *worker) Throttle(id, _ string, _, token int64, _ int) (time.Duration, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.clock(), x.check(id, token)
}

// Renew implements platformtest.Worker.
func (x *worker) Renew(q platform.RenewRequest) (job.RunList, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if err := x.check(q.Worker, q.Token); err != nil {
		return job.RunList{}, err
	}
	life := x.life
	if q.LeaseUntil > 0 {
		x.extendLease(q.LeaseUntil)
	}
	x.ended = slices.DeleteFunc(x.ended, func(e job.End) bool { return e.Number <= q.Acknowledged })
	until := time.Now().Add(min(q.Wait, 2*time.Second))
	for len(x.ended) == 0 && time.Now().Before(until) {
		x.mu.Unlock()
		time.Sleep(tickPeriod)
		x.mu.Lock()
		if x.down || x.life != life {
			return job.RunList{}, platformtest.ErrDropConnection
		}
	}
	out := job.RunList{Incarnation: x.born.UnixMilli(), Clock: x.clock(), Ended: slices.Clone(x.ended[:min(maxListedEnds, len(x.ended))])}
	for _, task := range slices.Sorted(maps.Keys(x.running)) {
		r := x.running[task]
		worked := r.done
		if !r.beganAt.IsZero() {
			worked += max(0, time.Since(r.beganAt))
		}
		out.Running = append(out.Running, job.Run{Task: task, Run: r.number, Checkpoint: r.saved, Percent: percentOf(worked, x.w.workOf(task)), Load: 500})
	}
	return out, nil
}

// percentOf returns how much of a task is done, or of the startup of a lasting task.
func percentOf(worked, work time.Duration) int {
	if work >= lastingWork {
		return int(min(100*worked/startupTime, 100))
	}
	return int(min(100*worked/max(work, 1), 99))
}
