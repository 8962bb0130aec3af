package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"

	"rosemarygap/core/job"
)

// awaitWorking waits until the runs of a job have worked for d, and returns the worker of one.
func (w *world) awaitWorking(id string, d time.Duration) *worker {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		for _, x := range w.workers {
			x.mu.Lock()
			for task, r := range x.running {
				if strings.HasPrefix(task, id) && !r.beganAt.IsZero() && time.Since(r.beganAt) >= d {
					x.mu.Unlock()
					return x
				}
			}
			x.mu.Unlock()
		}
	}
	return nil
}

// countEnds returns how many runs of a job have ended in a way since a time.
func (w *world) countEnds(id string, how job.Outcome, since time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, e := range w.ends {
		if strings.HasPrefix(e.task, id) && e.how == how && e.at.After(since) {
			n++
		}
	}
	return n
}

func fail(w *world, err error) int {
	if w == nil {
		fmt.Println(err)
		return failed
	}
	return w.finish(failed, "cannot run: %v", err)
}

// playCancel loses the answer of the write that accepts a job. The client leaves without an
// answer and cancels the job.
func playCancel(dir, program string, trouble bool) int {
	const id = "5c0e7a21d94b0003"
	lose := make(chan struct{}, 1)
	w, err := begin(dir, program, 3, 11, func(w *world) { w.handler = loseWrite(w, w.handler, "rosemarygap/job/"+id, lose) })
	if err != nil {
		return fail(w, err)
	}
	if trouble {
		lose <- struct{}{}
	}
	w.work[id] = 2 * time.Second
	body := text("submission", 2000, "", text("single", 2000))
	code, answer := w.request(0, http.MethodPost, id, []byte(body), 500*time.Millisecond)
	w.record("client: POST %s at edge-0 -> %d %s", id, code, answer)
	code, answer = w.request(1, http.MethodDelete, id, nil, 3*time.Second)
	w.record("client: DELETE %s at edge-1 -> %d %s", id, code, answer)
	if code/100 != 2 && code != http.StatusGone {
		return w.finish(failed, "the cancellation was not acknowledged")
	}
	cancelled := time.Now()
	for time.Since(cancelled) < 20*time.Second {
		time.Sleep(200 * time.Millisecond)
		w.mu.Lock()
		for _, s := range w.starts {
			if strings.HasPrefix(s.task, id) && s.at.Sub(cancelled) > 3*time.Second {
				w.mu.Unlock()
				return w.finish(broken, "UNASKED: a task starts %.1f s after the cancellation was acknowledged", s.at.Sub(cancelled).Seconds())
			}
		}
		w.mu.Unlock()
	}
	return w.finish(held, "nothing started later than cancel_ms after the cancellation")
}

// Times of playLeave: how long the agent's process stands still, and how long before its worker
// announces its departure that begins.
const (
	freezeTime = 3 * time.Second
	freezeLead = 300 * time.Millisecond
)

// playLeave freezes the process of an agent while its worker announces its departure, so that the
// worker has no ack and ends some seconds later.
func playLeave(dir, program string, trouble bool) int {
	w, err := begin(dir, program, 3, 11, nil)
	if err != nil {
		return fail(w, err)
	}
	const id = "5c0e7a21d94b0004"
	if !w.submit(0, id, 12*time.Second, "", text("single", 12000)) {
		return w.finish(failed, "the job was not accepted")
	}
	x := w.awaitWorking(id, time.Second)
	if x == nil {
		return w.finish(failed, "the task does not run")
	}
	x.leave(func() {
		if !trouble {
			return
		}
		agent := w.agents[x.number].cmd.Process
		if err := agent.Signal(syscall.SIGSTOP); err != nil {
			w.record("stop: %v", err)
		}
		w.record("the process of side-%d stands still", x.number)
		time.AfterFunc(freezeTime, func() {
			w.record("the process of side-%d goes on", x.number)
			if err := agent.Signal(syscall.SIGCONT); err != nil {
				w.record("continue: %v", err)
			}
		})
		time.Sleep(freezeLead)
	})
	for deadline := time.Now().Add(40 * time.Second); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		if w.state(1, id) == string(job.Done) {
			break
		}
	}
	w.mu.Lock()
	n := w.twice
	w.mu.Unlock()
	if n > 0 {
		return w.finish(broken, "TWICE: %d starts of a task that ran on another worker", n)
	}
	return w.finish(held, "no task ran twice at a time")
}

// Load of playHopeless: of the jobs that are sent within 3 s, the last ones are hopeless, one in 20.
// After that, an ordinary job is sent each laterInterval.
const (
	earlyJobs     = 57
	earlyInterval = 25 * time.Millisecond
	hopelessJobs  = 3
	pause         = 1200 * time.Millisecond
	laterJobs     = 6
	laterInterval = 3 * time.Second
	// lastingWork stands for a task that does not end.
	lastingWork = 1000 * time.Hour
	// finishTime is finish_s.
	finishTime = 14 * time.Second
)

// playHopeless sends jobs of two steps, and among them lasting jobs whose tasks fail at each start.
func playHopeless(dir, program string, trouble bool) int {
	w, err := begin(dir, program, 3, 11, func(w *world) { w.quiet = true })
	if err != nil {
		return fail(w, err)
	}
	lasting, ordinary := text("lasting"), text("ordinary")
	spec := " fails=40"
	if !trouble {
		spec = ""
	}
	var ids []string
	sent := 0
	send := func(isLasting bool) bool {
		id := fmt.Sprintf("5c0e7a21d94b5%03d", sent)
		sent++
		if isLasting {
			return w.submit(sent%3, id, lastingWork, spec, lasting)
		}
		ids = append(ids, id)
		return w.submit(sent%3, id, 200*time.Millisecond, "", ordinary)
	}
	for n := range earlyJobs + hopelessJobs + laterJobs {
		isLasting := n >= earlyJobs && n < earlyJobs+hopelessJobs
		if !send(isLasting) {
			return w.finish(failed, "a job was not accepted")
		}
		switch {
		case n == earlyJobs-1:
			time.Sleep(pause)
		case n < earlyJobs:
			time.Sleep(earlyInterval)
		case !isLasting || n == earlyJobs+hopelessJobs-1:
			time.Sleep(laterInterval)
		}
	}
	time.Sleep(finishTime)
	lost := 0
	for _, id := range ids {
		if s := w.state(1, id); s != string(job.Done) {
			lost++
			w.record("job %s is %s, with %d ends done of 4", id, s, w.countEnds(id, job.EndDone, time.Time{}))
		}
	}
	if lost > 0 {
		return w.finish(broken, "LOST: %d of %d ordinary jobs are not done %v after the last one was sent; the lasting tasks take at most 36 of 176 cores", lost, len(ids), finishTime)
	}
	return w.finish(held, "all %d ordinary jobs are done", len(ids))
}
