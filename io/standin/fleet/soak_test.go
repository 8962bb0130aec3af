package fleet

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"rosemarygap/core/job"
	"rosemarygap/platform/platformtest"
)

// Flags of long runs.
var (
	seeds     = flag.Int("soak-seeds", 2, "how many seeds TestSoak runs")
	firstSeed = flag.Uint64("soak-first", 1, "the first seed of TestSoak")
	parallel  = flag.Int("soak-parallel", 2, "how many deployments run at a time")
	keep      = flag.String("soak-keep", "", "folder that keeps the logs of seeds that failed")
	agentsOf  = flag.Int("soak-agents", 6, "how many agents a deployment has")
)

// Phases of a run.
const (
	faultTime  = 12 * time.Second
	settleTime = 40 * time.Second
)

// regressions are the seeds that failed once, with the cause.
var regressions = map[uint64]string{
	131:  "a start that was under way reached the next incarnation under the same id, and the task was placed elsewhere",
	2013: "an owner that woke took in a report of an earlier incarnation after one of the next, and acknowledged ends of the next",
	116:  "a renewal that was under way acknowledged ends of the next incarnation under the same id",
	111:  "a run whose end was acknowledged by mistake was in no list, and its job never ended",
}

// TestSoak runs the real programs while faults come from outside, and checks
// what callers and workers see. A seed gives the same script each time.
func TestSoak(t *testing.T) {
	list := map[uint64]bool{}
	for i := range *seeds {
		list[*firstSeed+uint64(i)] = true
	}
	for s := range regressions {
		list[s] = true
	}
	slots := make(chan struct{}, *parallel)
	var wg sync.WaitGroup
	defer wg.Wait()
	for seed := range list {
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { soak(t, seed) })
		}()
	}
}

// run is one seed under way.
type run struct {
	*deployment
	mu     sync.Mutex
	rng    *rand.Rand
	script []string
	// final are the jobs whose end a caller saw; served is the newest version
	// that a life of a scheduler was seen to serve.
	final  map[string]bool
	served map[string]int64
	wg     sync.WaitGroup
}

func soak(t *testing.T, seed uint64) {
	r := newRun(t, int(seed), 3, *agentsOf)
	defer func() {
		if t.Failed() {
			r.keepLogs(seed)
		}
	}()
	time.Sleep(2 * time.Second)
	begin := time.Now()
	stop := make(chan struct{})
	r.wg.Add(2)
	go func() { defer r.wg.Done(); r.callers(seed, stop) }()
	go func() { defer r.wg.Done(); r.versions(stop) }()
	for time.Since(begin) < faultTime {
		r.fault(time.Since(begin))
		time.Sleep(time.Duration(200+r.draw(900)) * time.Millisecond)
	}
	close(stop)
	r.wg.Wait()
	r.settle()
	r.verdict()
}

func (r *run) draw(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.IntN(n)
}

// later does f after some time, and before the end of the run.
func (r *run) later(after time.Duration, f func()) {
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		time.Sleep(after)
		f()
	}()
}

// fault draws one fault and its end.
func (r *run) fault(at time.Duration) {
	p := r.schedulers[r.draw(len(r.schedulers))]
	a := r.agents[r.draw(len(r.agents))]
	any := p
	if r.draw(2) == 0 {
		any = a
	}
	span := time.Duration(300+r.draw(2700)) * time.Millisecond
	name := ""
	switch r.draw(16) {
	case 0:
		name = "kill " + any.name
		any.kill(syscall.SIGKILL)
		r.later(span/2, func() { r.start(any) })
	case 1:
		name = "pause " + any.name
		any.kill(syscall.SIGSTOP)
		r.later(span, func() { any.kill(syscall.SIGCONT) })
	case 2:
		name = "stop " + any.name
		any.kill(syscall.SIGTERM)
		r.later(span+4*time.Second, func() { r.start(any) })
	case 3:
		name = "reload " + any.name
		any.kill(syscall.SIGHUP)
	case 4:
		name = "kill all schedulers"
		for _, s := range r.schedulers {
			s.kill(syscall.SIGKILL)
			r.later(span/2, func() { r.start(s) })
		}
	case 5:
		name = "kill all"
		for _, s := range append(r.schedulers[:3:3], r.agents...) {
			s.kill(syscall.SIGKILL)
			r.later(span/2, func() { r.start(s) })
		}
	case 6:
		name = "store down"
		r.store.SetFaults(StoreFaults{Down: true})
		r.later(span, func() { r.store.SetFaults(StoreFaults{}) })
	case 7:
		name = "store slow"
		r.store.SetFaults(StoreFaults{Delay: 100 * time.Millisecond})
		r.later(span, func() { r.store.SetFaults(StoreFaults{}) })
	case 8:
		name = "store loses answers"
		r.store.SetFaults(StoreFaults{DropResponseEvery: 3})
		r.later(span, func() { r.store.SetFaults(StoreFaults{}) })
	case 9:
		name = "store forgets its history"
		r.store.Compact()
	case 10:
		f := []LinkFaults{{Refuse: true}, {Delay: 150 * time.Millisecond}, {DropResponses: true}, {DropRequests: true}}[r.draw(4)]
		name = fmt.Sprintf("store link of %s %+v", any.name, f)
		any.toStore.SetFaults(f)
		any.toStore.ResetConnections()
		r.later(span, func() { any.toStore.SetFaults(LinkFaults{}); any.toStore.ResetConnections() })
	case 11:
		name = "connections of " + any.name + " go silent"
		any.toStore.BlackholeOpen()
	case 12:
		name = "worker link of " + a.name + " goes silent or is reset"
		a.toWorker.BlackholeOpen()
		if r.draw(2) == 0 {
			a.toWorker.ResetConnections()
		}
	case 13:
		name = "worker crashes beside " + a.name
		a.worker.Crash()
	case 14:
		name = "worker silent beside " + a.name
		a.worker.SetFaults(true, 0)
		r.later(span, func() { a.worker.SetFaults(false, 0) })
	case 15:
		name = "worker loses answers beside " + a.name
		a.worker.SetFaults(false, 4)
		r.later(span, func() { a.worker.SetFaults(false, 0) })
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.script = append(r.script, fmt.Sprintf("%5.2f s  %s (%s)", at.Seconds(), name, span))
}

// callers sends jobs, asks for them and cancels some.
func (r *run) callers(seed uint64, stop <-chan struct{}) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(120 * time.Millisecond):
		}
		wg.Add(1)
		j := r.job(seed, n)
		crowd, cancel := r.draw(8) == 0, r.draw(10) == 0
		go func() {
			defer wg.Done()
			r.caller(j, crowd, cancel)
		}()
	}
}

func (r *run) job(seed uint64, n int) job.Job {
	need := job.Resources{Processors: 500 + 500*r.draw(2), Memory: 100}
	j := job.Job{ID: fmt.Sprintf("%08x%08x", seed, n), Payload: fmt.Sprintf("ms=%d", 50+r.draw(900)),
		Steps: []job.Step{{Tasks: 1 + r.draw(4), Need: need, Estimate: 500 * time.Millisecond}}}
	if r.draw(2) == 0 {
		j.Steps = append(j.Steps, job.Step{Tasks: 1 + r.draw(2), Need: need, Estimate: 500 * time.Millisecond, After: []int{0}})
	}
	return j
}

// caller hands one job in and follows it for a while.
func (r *run) caller(j job.Job, crowd, cancel bool) {
	c := &http.Client{}
	defer c.CloseIdleConnections()
	body, err := platformtest.EncodeJob(j)
	if err != nil {
		r.t.Error(err)
		return
	}
	r.ledger.RecordSubmission(j)
	accepted := false
	if crowd {
		accepted = r.crowd(c, j, body)
	}
	for try := 0; try < 5 && !accepted; try++ {
		code, _ := r.request(c, r.schedulers[r.draw(3)], http.MethodPost, "/jobs/"+j.ID, body)
		accepted = code/100 == 2
		r.ledger.RecordResponse(j.ID, accepted, code == 0 || code == http.StatusGatewayTimeout || code == http.StatusBadGateway)
		time.Sleep(200 * time.Millisecond)
	}
	if accepted && cancel {
		if code, _ := r.request(c, r.schedulers[r.draw(3)], http.MethodDelete, "/jobs/"+j.ID, nil); code/100 == 2 {
			r.ledger.RecordCancellation(j.ID)
		} else {
			// Unknown: it may be shown as cancelled.
			r.ledger.RecordCancellation(j.ID)
		}
	}
	for range 8 {
		if !accepted || r.ask(c, j.ID) {
			return
		}
		time.Sleep(400 * time.Millisecond)
	}
}

// crowd hands a job in at all schedulers at the same moment; each that
// answers must say the same.
func (r *run) crowd(c *http.Client, j job.Job, body []byte) bool {
	var wg sync.WaitGroup
	codes := make([]int, len(r.schedulers))
	for i, p := range r.schedulers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			codes[i], _ = r.request(c, p, http.MethodPost, "/jobs/"+j.ID, body)
		}()
	}
	wg.Wait()
	accepted := false
	for _, code := range codes {
		r.ledger.RecordResponse(j.ID, code/100 == 2, code == 0 || code >= http.StatusBadGateway && code != http.StatusServiceUnavailable)
		accepted = accepted || code/100 == 2
	}
	return accepted
}

// ask asks for a job's state and reports whether it is final.
func (r *run) ask(c *http.Client, id string) bool {
	code, b := r.request(c, r.schedulers[r.draw(3)], http.MethodGet, "/jobs/"+id, nil)
	if code == http.StatusGone {
		r.t.Errorf("accepted job %s is not known", id)
	}
	if code != http.StatusOK {
		return false
	}
	s, err := platformtest.DecodeState(b)
	if err != nil {
		r.t.Error(err)
		return false
	}
	if !s.IsFinal() {
		return false
	}
	r.ledger.CheckState(id, s)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.final[id] = true
	return true
}

// versions changes the configuration and checks that no scheduler goes back.
func (r *run) versions(stop <-chan struct{}) {
	c := &http.Client{}
	defer c.CloseIdleConnections()
	version := int64(1)
	for {
		select {
		case <-stop:
			return
		case <-time.After(700 * time.Millisecond):
		}
		version++
		r.configure(version)
		for _, p := range r.schedulers {
			r.checkVersions(c, p, version)
		}
	}
}

func (r *run) checkVersions(c *http.Client, p *proc, newest int64) {
	key := fmt.Sprintf("%s/%d", p.name, p.life())
	if old := r.served[key]; old > 0 {
		if code, _ := r.request(c, p, http.MethodGet, fmt.Sprintf("/v%d/", old), nil); code == http.StatusNotFound &&
			key == fmt.Sprintf("%s/%d", p.name, p.life()) {
			r.t.Errorf("%s went back below version %d", key, old)
		}
	}
	if code, _ := r.request(c, p, http.MethodGet, fmt.Sprintf("/v%d/", newest), nil); code == http.StatusOK {
		r.served[key] = newest
	}
}

// settle heals everything and waits until each accepted job has ended.
func (r *run) settle() {
	r.store.SetFaults(StoreFaults{})
	for _, p := range append(r.schedulers[:3:3], r.agents...) {
		p.kill(syscall.SIGCONT)
		p.toStore.SetFaults(LinkFaults{})
		p.toStore.ResetConnections()
		if p.worker != nil {
			p.worker.SetFaults(false, 0)
			p.toWorker.ResetConnections()
		}
		r.start(p)
	}
	c := &http.Client{}
	defer c.CloseIdleConnections()
	for end := time.Now().Add(settleTime); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		open := r.ledger.Unfinished(r.final)
		if len(open) == 0 {
			return
		}
		for _, id := range open {
			r.ask(c, id)
		}
		for _, p := range append(r.schedulers[:3:3], r.agents...) {
			r.start(p)
		}
	}
}

// verdict fails the test with all that was broken.
func (r *run) verdict() {
	started := map[string]bool{}
	for _, a := range r.agents {
		for id := range a.worker.StartedJobs() {
			started[id] = true
		}
	}
	r.ledger.CheckRefusals(started)
	for _, b := range r.ledger.Violations() {
		r.t.Error(b)
	}
	if open := r.ledger.Unfinished(r.final); len(open) > 0 {
		r.t.Errorf("%d accepted jobs never end: %v", len(open), open)
	}
	r.t.Logf("%d jobs ended", len(r.final))
	if r.t.Failed() {
		for _, line := range r.script {
			r.t.Log(line)
		}
	}
}

// keepLogs saves the logs of a seed that failed.
func (r *run) keepLogs(seed uint64) {
	if *keep == "" {
		return
	}
	to := filepath.Join(*keep, fmt.Sprint("seed-", seed))
	if err := os.CopyFS(to, os.DirFS(r.dir)); err != nil {
		r.t.Log(err)
	}
}
