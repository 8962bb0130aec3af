package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"

	"rosemarygap/core/job"
)

// contact is contact-ms: a disturbance counts as near until then.
const contact = 3 * time.Second

// playGang lets a worker crash while the members of a gang with checkpoints work. The members
// that start again must carry one checkpoint, as otherwise they can't work together.
func playGang(dir, program string, trouble bool) int {
	w, err := begin(dir, program, 3, 11, nil)
	if err != nil {
		return fail(w, err)
	}
	const id = "5c0e7a21d94b0001"
	if !w.submit(0, id, 9*time.Second, " saves gang=0:4",
		`[{"count":4,"cpu":500,"mem-mb":256,"estimate-ms":9000,"gang":true,"checkpointing":true,"max-per-server":1}]`) {
		return w.finish(failed, "the job was not accepted")
	}
	calmAt := time.Now()
	if trouble {
		victim := w.awaitWorking(id, 2150*time.Millisecond)
		if victim == nil {
			return w.finish(failed, "the gang did not begin to work")
		}
		victim.crash()
		time.Sleep(4500 * time.Millisecond)
		if err := victim.start(); err != nil {
			return fail(w, err)
		}
		w.record("worker %d is back", victim.number)
		calmAt = time.Now()
	}
	for deadline := time.Now().Add(60 * time.Second); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		if s := w.state(1, id); s == string(job.Done) {
			return w.finish(held, "the job is done")
		}
		if n := w.countEnds(id, job.EndAlone, calmAt.Add(contact)); n >= 8 {
			return w.finish(broken, "GANG: %d runs ended alone later than contact-ms after the crash, the members carry different checkpoints, and the job is %s", n, w.state(1, id))
		}
	}
	return w.finish(broken, "the job is not done after a minute without a disturbance")
}

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
	body := `{"spec":"ms=2000","phases":[{"count":1,"cpu":500,"mem-mb":256,"estimate-ms":2000}]}`
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
	if !w.submit(0, id, 12*time.Second, "", `[{"count":1,"cpu":500,"mem-mb":256,"estimate-ms":12000}]`) {
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
