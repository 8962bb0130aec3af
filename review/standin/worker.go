package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Figures of the platform's workers (SYSTEM.md and DEPLOY.md).
const (
	beatPeriod  = 1500 * time.Millisecond
	beatTimeout = time.Second
	maxHold     = 10 * time.Second
	stopTime    = 100 * time.Millisecond
	gangTime    = 3 * time.Second
	saveTime    = time.Second
	maxEnds     = 500
)

// taskRun is a run on a worker.
type taskRun struct {
	task, checkpoint string
	run              int64
	spec             map[string]int
	started          time.Time
	// worked is how long it has worked, saved how much of that its checkpoint has.
	worked, saved time.Duration
	stopAt        time.Time
}

type runEnd struct {
	n          int64
	task       string
	run        int64
	how, saved string
}

// boot is one life of a worker.
type boot struct {
	began    time.Time
	born     int64
	running  map[string]*taskRun
	highest  map[string]int64
	ended    []runEnd
	last     int64
	fence    int64
	leaseEnd time.Duration
	beat     int64
	changed  chan struct{} // closed and replaced when a run ends
	dead     bool
	listener net.Listener
	server   *http.Server
}

// worker is a stand-in of a worker of the platform. Its spec is a list of words
// NAME=NUMBER: ms is the length of a task, gang the members of a gang, fail the number of
// first runs that fail, lasts makes a task last.
type worker struct {
	id, service, zone, rack string
	address, control        string
	cpu, mem                int
	log                     *ledger
	client                  *http.Client

	mu       sync.Mutex
	boot     *boot
	draining bool
	gang     *gangs
}

// clock returns the worker's steady clock.
func (b *boot) clock() time.Duration { return time.Since(b.began) }

func newWorker(id, service, zone, rack, address, control string, log *ledger, g *gangs) *worker {
	return &worker{id: id, service: service, zone: zone, rack: rack, address: address, control: control, cpu: 16000, mem: 64000,
		log: log, gang: g, client: &http.Client{Timeout: beatTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// start begins a life of the worker.
func (w *worker) start() error {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	b := &boot{began: time.Now(), born: time.Now().UnixMilli(), running: map[string]*taskRun{}, highest: map[string]int64{},
		changed: make(chan struct{}), listener: l}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+path("start", ""), func(x http.ResponseWriter, r *http.Request) { w.serve(b, x, r, w.runStart) })
	mux.HandleFunc("POST "+path("stop", ""), func(x http.ResponseWriter, r *http.Request) { w.serve(b, x, r, w.runStop) })
	mux.HandleFunc("POST /v1/pace", func(x http.ResponseWriter, r *http.Request) { w.serve(b, x, r, w.pace) })
	mux.HandleFunc("POST /v1/hold", func(x http.ResponseWriter, r *http.Request) { w.serveHold(b, x, r) })
	mux.HandleFunc("GET /healthz", func(x http.ResponseWriter, _ *http.Request) { x.WriteHeader(http.StatusOK) })
	b.server = &http.Server{Handler: mux}
	w.mu.Lock()
	w.boot = b
	w.mu.Unlock()
	w.log.add("worker %s boot %d", w.id, b.born)
	go func() { _ = b.server.Serve(l) }()
	go w.advance(b)
	go w.beats(b)
	return nil
}

// crash ends the life of the worker like a SIGKILL of its process.
func (w *worker) crash() {
	w.mu.Lock()
	b := w.boot
	if b == nil || b.dead {
		w.mu.Unlock()
		return
	}
	b.dead = true
	w.log.add("worker %s crashes with %d runs", w.id, len(b.running))
	for _, t := range b.running {
		w.log.end(w, b, t, 0, "crashed")
		if t.spec["gang"] > 1 {
			w.gang.leave(t, "broken")
		}
	}
	w.log.lifeEnds(w, b)
	close(b.changed)
	b.changed = make(chan struct{})
	w.mu.Unlock()
	b.server.Close()
}

// leave reports that the worker drains, waits a while after the acknowledgement, says that
// it leaves, and ends.
func (w *worker) leave(drain time.Duration) error {
	w.mu.Lock()
	b := w.boot
	w.draining = true
	w.mu.Unlock()
	w.sendBeat(b)
	time.Sleep(drain)
	r, err := http.NewRequest(http.MethodDelete, "http://"+w.control+path("workers", "/"+w.id), nil)
	if err != nil {
		return err
	}
	x, err := w.client.Do(r)
	if err != nil {
		return err
	}
	x.Body.Close()
	w.log.add("worker %s leaves: %d", w.id, x.StatusCode)
	w.crash()
	return nil
}

// beats sends liveness reports until the life ends.
func (w *worker) beats(b *boot) {
	for {
		w.mu.Lock()
		if b.dead {
			w.mu.Unlock()
			return
		}
		w.mu.Unlock()
		w.sendBeat(b)
		time.Sleep(beatPeriod)
	}
}

func (w *worker) sendBeat(b *boot) {
	w.mu.Lock()
	b.beat++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	m := map[string]any{"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": state,
		"cold-ms": 0, "capacity": map[string]int{"cpu": w.cpu, "memory-mib": w.mem, "gpu": 0}, "labels": []string{"a", w.rack},
		"clock-ms": b.clock().Milliseconds(), "seq": b.beat, "born": b.born}
	w.mu.Unlock()
	body := encode(m)
	r, _ := http.NewRequest(http.MethodPut, "http://"+w.control+path("workers", "/"+w.id), bytes.NewReader(body))
	r.Header.Set("Content-Type", "application/json")
	if x, err := w.client.Do(r); err == nil {
		_, _ = io.Copy(io.Discard, x.Body)
		x.Body.Close()
	}
}

// advance lets the runs work until the life ends.
func (w *worker) advance(b *boot) {
	last := time.Now()
	for range time.Tick(5 * time.Millisecond) {
		now := time.Now()
		w.mu.Lock()
		if b.dead {
			w.mu.Unlock()
			return
		}
		if b.clock() > b.leaseEnd && len(b.running) > 0 {
			for _, t := range b.sorted() {
				w.endRun(b, t, "lapsed")
			}
		}
		if b.clock() > b.leaseEnd {
			w.log.lapsed(w, b)
		}
		for _, t := range b.sorted() {
			w.advanceRun(b, t, now, now.Sub(last))
		}
		last = now
		w.mu.Unlock()
	}
}

func (w *worker) advanceRun(b *boot, t *taskRun, now time.Time, d time.Duration) {
	if !t.stopAt.IsZero() {
		if now.After(t.stopAt) {
			w.endRun(b, t, "stopped")
		}
		return
	}
	if n := t.spec["gang"]; n > 1 {
		switch w.gang.state(t, n, now) {
		case gangWaits:
			return
		case gangAlone:
			w.endRun(b, t, "alone")
			return
		case gangBroken:
			w.endRun(b, t, "broken")
			return
		case gangDone:
			w.endRun(b, t, "done")
			return
		}
	}
	t.worked += d
	if t.spec["saves"] > 0 && t.worked-t.saved >= saveTime {
		t.saved = t.worked
		t.checkpoint = checkpointOf(t)
	}
	if t.spec["lasts"] > 0 || t.worked < time.Duration(t.spec["ms"])*time.Millisecond {
		return
	}
	how := "done"
	if w.log.countFailed(t.task) < t.spec["fail"] {
		how = "failed"
	}
	w.endRun(b, t, how)
}

// sorted returns the runs in a fixed order.
func (b *boot) sorted() []*taskRun {
	var out []*taskRun
	for _, t := range b.running {
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b *taskRun) int { return strings.Compare(a.task, b.task) })
	return out
}

// endRun ends a run. The caller holds mu.
func (w *worker) endRun(b *boot, t *taskRun, how string) {
	delete(b.running, t.task)
	if t.spec["saves"] > 0 && how == "stopped" {
		t.checkpoint = checkpointOf(t)
	}
	b.last++
	b.ended = append(b.ended, runEnd{b.last, t.task, t.run, how, t.checkpoint})
	b.highest[t.task] = max(b.highest[t.task], t.run)
	w.log.end(w, b, t, b.last, how)
	if t.spec["gang"] > 1 {
		w.gang.leave(t, how)
	}
	close(b.changed)
	b.changed = make(chan struct{})
}

func checkpointOf(t *taskRun) string {
	return fmt.Sprintf("%08x%08x", t.worked.Milliseconds(), rand.Uint32())
}

// order is the body of any call.
type order struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadline-ms"`
	Token      int64  `json:"epoch"`
	Checkpoint string `json:"checkpoint"`
	Ticket     string `json:"ticket"`
	SeenUpto   int64  `json:"acknowledged"`
	Wait       int64  `json:"wait-ms"`
	Percent    int    `json:"percent"`
}

// admit checks the addressee and the epoch number of a call to life b. It returns 0 if the
// call may be carried out. The caller holds mu.
func (w *worker) admit(b *boot, target string, o *order) (int, string) {
	switch {
	case target != w.id:
		return http.StatusMisdirectedRequest, ""
	case o.Token < b.fence:
		return http.StatusConflict, "fence"
	}
	b.fence = o.Token
	return 0, ""
}

// serve serves an order.
func (w *worker) serve(b *boot, x http.ResponseWriter, r *http.Request, carryOut func(*boot, *order) (int, string)) {
	var o order
	if err := decode(r.Body, &o); err != nil {
		reply(x, http.StatusBadRequest, map[string]string{})
		return
	}
	target := r.Header.Get(header("addressee"))
	w.mu.Lock()
	if b.dead {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	code, reason := w.admit(b, target, &o)
	if code == 0 {
		code, reason = carryOut(b, &o)
	}
	clock := b.clock().Milliseconds()
	w.mu.Unlock()
	m := map[string]any{"clock-ms": clock, "born": b.born}
	if reason != "" {
		m["reason"] = reason
	}
	reply(x, code, m)
}

// runStart carries out a start. The caller holds mu.
func (w *worker) runStart(b *boot, o *order) (int, string) {
	until := time.Duration(o.Deadline) * time.Millisecond
	if t := b.running[o.Task]; t != nil && t.run == o.Run {
		w.extend(b, until)
		return http.StatusOK, ""
	}
	if until <= b.clock() {
		return http.StatusConflict, "late"
	}
	w.extend(b, until)
	if o.Run <= b.highest[o.Task] || b.running[o.Task] != nil {
		return http.StatusConflict, "old"
	}
	t := &taskRun{task: o.Task, run: o.Run, checkpoint: o.Checkpoint, spec: parseSpec(o.Spec), started: time.Now()}
	if o.Checkpoint != "" {
		var ms, any int64
		_, _ = fmt.Sscanf(o.Checkpoint, "%08x%08x", &ms, &any)
		t.worked = time.Duration(ms) * time.Millisecond
		t.saved = t.worked
	}
	b.running[o.Task] = t
	w.log.start(w, b, t, o)
	if t.spec["gang"] > 1 {
		w.gang.join(t)
	}
	return http.StatusOK, ""
}

// extend extends the lease of everything that runs. The caller holds mu.
func (w *worker) extend(b *boot, until time.Duration) {
	b.leaseEnd = max(b.leaseEnd, min(until, b.clock()+maxHold))
}

// runStop carries out a stop. The caller holds mu.
func (w *worker) runStop(b *boot, o *order) (int, string) {
	w.log.stopSent(w, o)
	if t := b.running[o.Task]; t != nil && t.run <= o.Run && t.stopAt.IsZero() {
		t.stopAt = time.Now().Add(stopTime)
	}
	b.highest[o.Task] = max(b.highest[o.Task], o.Run)
	return http.StatusOK, ""
}

func (w *worker) pace(*boot, *order) (int, string) { return http.StatusOK, "" }

// hold extends the lease and forgets the ends that were taken note of. The caller holds mu.
func (w *worker) hold(b *boot, o *order) {
	if o.Deadline > 0 {
		w.extend(b, time.Duration(o.Deadline)*time.Millisecond)
	}
	for len(b.ended) > 0 && b.ended[0].n <= o.SeenUpto {
		w.log.noted(w, b, b.ended[0])
		b.ended = b.ended[1:]
	}
}

// serveHold serves the extension of the lease with the lists of runs.
func (w *worker) serveHold(b *boot, x http.ResponseWriter, r *http.Request) {
	var o order
	if err := decode(r.Body, &o); err != nil {
		reply(x, http.StatusBadRequest, map[string]string{})
		return
	}
	target := r.Header.Get(header("addressee"))
	deadline := time.After(time.Duration(o.Wait) * time.Millisecond)
	w.mu.Lock()
	if b.dead {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if code, reason := w.admit(b, target, &o); code != 0 {
		clock := b.clock().Milliseconds()
		w.mu.Unlock()
		reply(x, code, map[string]any{"clock-ms": clock, "born": b.born, "reason": reason})
		return
	}
	w.hold(b, &o)
	for o.Wait > 0 && len(b.ended) == 0 && !b.dead {
		ended := b.changed
		w.mu.Unlock()
		stop := false
		select {
		case <-ended:
		case <-deadline:
			stop = true
		case <-r.Context().Done():
			return
		}
		w.mu.Lock()
		if stop {
			break
		}
	}
	if b.dead {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	running, ended := [][]any{}, [][]any{}
	for _, t := range b.sorted() {
		percent := 100
		if ms := t.spec["ms"]; t.worked < time.Duration(ms)*time.Millisecond {
			percent = int(100 * t.worked.Milliseconds() / int64(ms))
		}
		running = append(running, []any{t.task, t.run, t.checkpoint, percent, 100})
	}
	for _, e := range b.ended[:min(len(b.ended), maxEnds)] {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, e.saved})
	}
	clock := b.clock().Milliseconds()
	w.mu.Unlock()
	reply(x, http.StatusOK, map[string]any{"clock-ms": clock, "born": b.born, "running": running, "ended": ended})
}

func parseSpec(s string) map[string]int {
	out := map[string]int{}
	for _, word := range strings.Fields(s) {
		name, value, ok := strings.Cut(word, "=")
		var n int
		if _, err := fmt.Sscanf(value, "%d", &n); ok && err == nil {
			out[name] = n
		}
	}
	return out
}
