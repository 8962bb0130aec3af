package fleet

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"rosemarygap/core/event"
	"rosemarygap/core/job"
	"rosemarygap/platform/platformtest"
)

// Flags that set the extent of TestSoak.
var (
	seedCount = flag.Int("soak-seeds", 2, "number of seeds that TestSoak runs")
	firstSeed = flag.Uint64("soak-first", 1, "first seed of TestSoak")
	parallel  = flag.Int("soak-parallel", 2, "maximum number of concurrent deployments")
	logDir    = flag.String("soak-keep", "", "directory for the logs of failed seeds")
	// earlierBuild is for the update of a deployment from one build to the next.
	earlierBuild = flag.String("soak-earlier-build", "", "path of an earlier build of the program, which the processes with odd numbers run")
	agentCount   = flag.Int("soak-agents", 6, "number of agents of a deployment")
)

// Phases of the run of a seed.
const (
	faultDuration = 12 * time.Second
	// quietDuration is how long after the last fault jobs, drains and configurations
	// go on. Faults are so frequent that most checks of how soon a process acts judge
	// nothing before; it covers contactTime and the longest of their bounds.
	quietDuration = 6 * time.Second
	settleTimeout = 40 * time.Second
	// runOnTimeout is how long tasks of cancelled jobs may run on after that.
	runOnTimeout = 3400 * time.Millisecond
)

// regressionSeeds are seeds that found faults in the past, with the cause of the
// failure. TestSoak always runs them.
var regressionSeeds = map[uint64]string{
	131:   "a delayed start order reached the next incarnation of a worker with the same id, and the task was placed on another worker",
	2013:  "an owner that resumed after a pause processed a report of an old incarnation after one of the next incarnation, and acknowledged ends of the next one",
	116:   "a delayed renewal acknowledged ends of the next incarnation of a worker with the same id; a task that shared a crash was given up for an unrelated one",
	20003: "several tasks that crashed their workers at one time passed for a loss of power and were never given up, as in seed 131",
	40028: "a reply to a report of crashed runs removed the answers to their stops, and their jobs never ended",
	111:   "a run whose end was acknowledged by mistake was missing from all lists, and its job never ended",
}

// silentRegressionSeeds are the same for TestSoakSilentWorkers.
var silentRegressionSeeds = map[uint64]string{
	7000: "a start without an answer was repeated after a list had shown the end of its run, and reached the next incarnation of the worker",
	7034: "the same",
	7040: "the same, with an agent that was killed before",
	7041: "the ledger did not know that an end is lost with the lease of its worker",
}

// TestSoak runs processes of the real program under injected faults and checks
// what callers and workers observe. A seed determines the sequence of random
// numbers from which faults and jobs are drawn.
func TestSoak(t *testing.T) {
	runSeeds(t, slices.Sorted(maps.Keys(regressionSeeds)), mixedFaults)
}

// TestSoakSilentWorkers is TestSoak with more jobs of many tasks, more cancellations,
// and workers that answer no orders: what an agent has received waits, and must not
// take effect once the job is cancelled.
func TestSoakSilentWorkers(t *testing.T) {
	runSeeds(t, slices.Sorted(maps.Keys(silentRegressionSeeds)), silentWorkers)
}

// TestSoakEvacuations is TestSoak with zones that are evacuated and reopened.
func TestSoakEvacuations(t *testing.T) {
	if *earlierBuild != "" {
		t.Skip("the processes of an earlier build may not know evacuations")
	}
	runSeeds(t, nil, evacuations)
}

// faultMix selects the faults and jobs of a run.
type faultMix int

const (
	mixedFaults faultMix = iota
	silentWorkers
	evacuations
	foreignHeartbeats
	departures
)

// runSeeds runs the chosen seeds and further ones.
func runSeeds(t *testing.T, further []uint64, m faultMix) {
	chosen := map[uint64]bool{}
	for i := range *seedCount {
		chosen[*firstSeed+uint64(i)] = true
	}
	for _, s := range further {
		chosen[s] = true
	}
	slots := make(chan struct{}, *parallel)
	var wg sync.WaitGroup
	defer wg.Wait()
	for seed := range chosen {
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { soakSeed(t, seed, m) })
		}()
	}
}

// testRun is a test in progress with its deployment.
type testRun struct {
	*deployment
	mix faultMix
	// mayCopy is true if the tasks of the jobs of sendJobs may have copies.
	mayCopy  bool
	mu       sync.Mutex
	rng      *rand.Rand
	faultLog []string
	// finalJobs contains the jobs that a caller has seen in a final state.
	// servedVersions maps each start of a scheduler to the newest configuration
	// version that it has served.
	finalJobs      map[string]bool
	servedVersions map[string]int64
	// faults waits for the ends of the faults, and wg for the callers and operators.
	faults, wg sync.WaitGroup
}

func soakSeed(t *testing.T, seed uint64, m faultMix) {
	var options []deploymentOption
	if m == evacuations {
		options = append(options, withZones(soakZones, soakEvacuationDelay))
	}
	admission := seed%admissionSeeds == 0
	if admission {
		options = append(options, withAdmission())
	}
	if seed%2 == 0 {
		options = append(options, withEnvironment("ROSEMARYGAP_FAILOVER=connection"))
	}
	copies := seed%copySeeds == 1
	if copies {
		options = append(options, withEnvironment("ROSEMARYGAP_COPIES=on"))
	}
	options = append(options, withDeltaReports())
	r := newTestRun(t, seed, 3, *agentCount, options...)
	r.mix, r.mayCopy = m, copies
	if copies {
		r.ledger.AllowCopies()
	}
	defer func() {
		if t.Failed() {
			r.keepLogs(seed)
		}
	}()
	time.Sleep(2 * time.Second)
	start := time.Now()
	stop := make(chan struct{})
	r.wg.Go(func() { r.sendJobs(seed, stop) })
	r.wg.Go(func() { r.sendFailingJobs(seed, stop) })
	r.wg.Go(func() { r.updateConfigurations(stop) })
	if m != departures {
		r.wg.Go(func() { r.drainWorkers(seed, stop) })
	}
	r.wg.Go(func() { r.runLastingJobs(seed, stop) })
	if admission {
		r.wg.Go(func() { r.sendWideJobs(seed, stop) })
	}
	if seed%deadlySeeds == 2 && m != departures {
		r.wg.Go(func() { r.sendDeadlyJobs(seed, stop) })
		r.wg.Go(func() { r.reduceCapacities(seed, stop) })
	}
	if m == evacuations {
		r.wg.Go(func() { r.evacuateZones(seed, stop) })
	}
	if m == foreignHeartbeats {
		r.wg.Go(func() { r.sendForeignHeartbeats(seed, stop) })
	}
	if m == departures {
		r.shuffleEnds(seed)
	}
	for time.Since(start) < faultDuration {
		switch {
		case r.mix == departures:
			r.loseEnds(seed, start)
		case r.mix == silentWorkers && r.randIntN(2) == 0:
			r.silenceWorkers(time.Since(start))
		default:
			r.injectFault(time.Since(start))
		}
		time.Sleep(time.Duration(200+r.randIntN(900)) * time.Millisecond)
	}
	r.faults.Wait()
	time.Sleep(quietDuration)
	close(stop)
	r.wg.Wait()
	r.healAndWait()
	r.checkResults()
	r.checkReportForms()
}

func (r *testRun) randIntN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.IntN(n)
}

// runLater calls f after the given delay in a goroutine, which soakSeed waits for
// after the fault phase.
func (r *testRun) runLater(after time.Duration, f func()) {
	r.faults.Go(func() {
		time.Sleep(after)
		f()
	})
}

// jobInterval is the time between two new jobs for a deployment with six agents.
const jobInterval = 120 * time.Millisecond

// sendJobs starts callers for new jobs until stop is closed, and waits for the callers.
// The rate of the jobs is proportional to the number of agents.
func (r *testRun) sendJobs(seed uint64, stop <-chan struct{}) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(jobInterval * 6 / time.Duration(len(r.agents))):
		}
		wg.Add(1)
		j := r.randomJob(seed, n)
		if r.mayCopy {
			allowCopies(&j, n)
		}
		toAll, cancel := r.randIntN(8) == 0, r.randIntN(10) == 0
		if r.mix == departures && n%2 == 0 {
			// Workers that drain have tasks until they leave.
			j.Payload, j.Steps[0].Need.Processors = fmt.Sprintf("ms=%d", 1000+r.randIntN(2000)), 200
		}
		if r.mix == silentWorkers {
			cancel = cancel || r.randIntN(3) == 0
			if r.randIntN(4) == 0 {
				// More orders for an agent than it executes at a time.
				j.Steps[0].Tasks, j.Steps[0].Need.Processors, j.Steps[0].Need.Memory = 10+r.randIntN(30), 100, 10
			}
		}
		go func() {
			defer wg.Done()
			r.submitAndFollow(j, toAll, cancel)
		}()
	}
}

func (r *testRun) randomJob(seed uint64, n int) job.Job {
	need := job.Resources{Processors: 500 + 500*r.randIntN(2), Memory: 100}
	j := job.Job{ID: fmt.Sprintf("%08x%08x", seed, n), Payload: fmt.Sprintf("ms=%d", 50+r.randIntN(900)),
		Steps: []job.Step{{Tasks: 1 + r.randIntN(4), Need: need, Estimate: 500 * time.Millisecond}}}
	if r.randIntN(2) == 0 {
		j.Steps = append(j.Steps, job.Step{Tasks: 1 + r.randIntN(2), Need: need, Estimate: 500 * time.Millisecond, After: []int{0}})
	}
	return j
}

// submitAndFollow submits a job, cancels it if cancel is true, and polls its state
// up to 8 times. If toAll is true, it first submits the job to all schedulers.
func (r *testRun) submitAndFollow(j job.Job, toAll, cancel bool) {
	c := &http.Client{}
	defer c.CloseIdleConnections()
	body, err := platformtest.EncodeJob(j)
	if err != nil {
		r.t.Error(err)
		return
	}
	r.ledger.RecordSubmission(j)
	accepted := false
	if toAll {
		accepted = r.submitToAll(c, j, body)
	}
	for try := 0; try < 5 && !accepted; try++ {
		code, _ := r.request(c, r.schedulers[r.randIntN(3)], http.MethodPost, "/jobs/"+j.ID, body)
		accepted = code/100 == 2
		r.ledger.RecordResponse(j.ID, accepted, isUnknown(code))
		time.Sleep(200 * time.Millisecond)
	}
	if accepted && cancel {
		if r.mix == silentWorkers {
			time.Sleep(time.Duration(r.randIntN(1000)) * time.Millisecond)
		}
		code, b := r.request(c, r.schedulers[r.randIntN(3)], http.MethodDelete, "/jobs/"+j.ID, nil)
		r.ledger.RecordCancellation(j.ID, code/100 == 2)
		// A build from before the check may answer the cancellation of a job that ends as
		// done with another state.
		if s, err := platformtest.DecodeState(b); code == http.StatusOK && err == nil && *earlierBuild == "" {
			r.ledger.CheckState(j.ID, s)
		}
	}
	for range 8 {
		if !accepted || r.pollState(c, j.ID) {
			return
		}
		time.Sleep(400 * time.Millisecond)
	}
}

// submitToAll submits a job to all schedulers at the same time and reports whether
// any of them accepted it.
func (r *testRun) submitToAll(c *http.Client, j job.Job, body []byte) bool {
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

// pollState queries the state of an accepted job, checks it if it is final, and
// reports whether it is final.
func (r *testRun) pollState(c *http.Client, id string) bool {
	code, b := r.request(c, r.schedulers[r.randIntN(3)], http.MethodGet, "/jobs/"+id, nil)
	if code == http.StatusGone {
		r.ledger.Report("accepted job %s is unknown to a scheduler", id)
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
	r.finalJobs[id] = true
	return true
}

// updateConfigurations writes a new configuration version every 700 ms until stop
// is closed, and checks that no scheduler returns to an earlier version.
func (r *testRun) updateConfigurations(stop <-chan struct{}) {
	c := &http.Client{}
	defer c.CloseIdleConnections()
	for version := int64(2); pause(stop, 700*time.Millisecond); version++ {
		r.putConfiguration(version)
		r.wg.Go(func() { r.checkInForce(version) })
		for _, p := range r.schedulers {
			r.checkVersion(c, p, version)
		}
	}
}

// checkInForce checks that each scheduler in touch knows a version of the configuration
// maxConfigurationDelay after it was written.
func (r *testRun) checkInForce(version int64) {
	time.Sleep(maxConfigurationDelay)
	c := &http.Client{}
	defer c.CloseIdleConnections()
	for _, p := range r.schedulers {
		asked := time.Now()
		code, _ := r.request(c, p, http.MethodGet, fmt.Sprintf("/v%d/", version), nil)
		if code == http.StatusOK || code == http.StatusNotFound {
			r.ledger.CheckConfiguration(p.name, version, code == http.StatusOK, asked)
		}
	}
}

func (r *testRun) checkVersion(c *http.Client, p *process, newest int64) {
	key := fmt.Sprintf("%s/%d", p.name, p.startCount())
	if served := r.servedVersions[key]; served > 0 {
		if code, _ := r.request(c, p, http.MethodGet, fmt.Sprintf("/v%d/", served), nil); code == http.StatusNotFound &&
			key == fmt.Sprintf("%s/%d", p.name, p.startCount()) {
			r.ledger.Report("scheduler %s returned to a configuration before version %d", key, served)
		}
	}
	if code, _ := r.request(c, p, http.MethodGet, fmt.Sprintf("/v%d/", newest), nil); code == http.StatusOK {
		r.servedVersions[key] = newest
	}
}

// healAndWait ends all faults, restarts stopped processes, and waits until each
// accepted job has ended, for at most settleTimeout.
func (r *testRun) healAndWait() {
	r.setStoreFaults(StoreFaults{})
	for _, p := range append(r.schedulers[:3:3], r.agents...) {
		p.signal(syscall.SIGCONT)
		p.toStore.SetFaults(LinkFaults{})
		p.toStore.ResetConnections()
		if p.worker != nil {
			p.worker.SetFaults(false, 0)
			p.worker.SetSilent(false)
			p.worker.SetLateRenewals(0)
			p.toWorker.ResetConnections()
		}
		r.start(p)
	}
	c := &http.Client{}
	defer c.CloseIdleConnections()
	for end := time.Now().Add(settleTimeout); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		unfinished := r.ledger.Unfinished(r.finalJobs)
		if len(unfinished) == 0 {
			return
		}
		for _, id := range unfinished {
			r.pollState(c, id)
		}
		for _, p := range append(r.schedulers[:3:3], r.agents...) {
			r.start(p)
		}
	}
}

// checkResults reports all violations as test errors, and the injected faults if the
// test failed.
func (r *testRun) checkResults() {
	started := map[string]bool{}
	for _, a := range r.agents {
		for id := range a.worker.StartedJobs() {
			started[id] = true
		}
	}
	r.ledger.CheckRefusals(started)
	r.recordDecisions()
	r.checkPending()
	for end := time.Now().Add(runOnTimeout); time.Now().Before(end) && len(r.ledger.ActiveCancelled()) > 0; time.Sleep(100 * time.Millisecond) {
	}
	for _, task := range r.ledger.ActiveCancelled() {
		r.ledger.Report("task %s of a cancelled job still runs", task)
	}
	if unfinished := r.ledger.Unfinished(r.finalJobs); len(unfinished) > 0 {
		r.ledger.Report("%d accepted jobs did not end: %v", len(unfinished), unfinished)
	}
	for _, violation := range r.ledger.Violations() {
		r.t.Error(violation)
	}
	r.t.Logf("%d jobs ended; cases of each check: %v", len(r.finalJobs), r.ledger.Judged())
	if r.t.Failed() {
		for _, line := range r.faultLog {
			r.t.Log(line)
		}
	}
}

// recordDecisions tells the ledger the epochs of the decisions in the logs of the
// schedulers. The workers do not see which scheduler an order is from.
func (r *testRun) recordDecisions() {
	for _, p := range r.schedulers {
		b, err := os.ReadFile(p.log)
		if err != nil {
			r.t.Error(err)
			return
		}
		for line := range bytes.Lines(b) {
			var m struct {
				Event event.Number
				Epoch int64
			}
			if json.Unmarshal(line, &m) == nil && m.Event == event.TaskDecided.Number {
				r.ledger.RecordDecision(p.name, m.Epoch)
			}
		}
	}
}

// pendingTimeout is how long the count of waiting jobs may be out of date without faults.
const pendingTimeout = 3 * time.Second

// checkPending checks the count of waiting jobs of each scheduler after the faults.
func (r *testRun) checkPending() {
	c := &http.Client{}
	defer c.CloseIdleConnections()
	for _, p := range r.schedulers {
		for end := time.Now().Add(pendingTimeout); ; time.Sleep(100 * time.Millisecond) {
			last := time.Now().After(end)
			// A planned stop may end the process after healAndWait has returned.
			r.start(p)
			code, b := r.request(c, p, http.MethodGet, "/jobs/", nil)
			n, err := platformtest.DecodePending(b)
			if code == http.StatusOK && err == nil && r.ledger.CheckPending(p.name, n, last) {
				break
			}
			if last {
				r.ledger.Report("scheduler %s: status %d and %q for the count of waiting jobs", p.name, code, b)
				break
			}
		}
	}
}

// keepLogs copies the logs of a failed seed to logDir, if it is set, and writes the
// violations and the injected faults beside them. The output of the test may be cut off.
func (r *testRun) keepLogs(seed uint64) {
	if *logDir == "" {
		return
	}
	dir := filepath.Join(*logDir, fmt.Sprint("seed-", seed))
	if err := os.CopyFS(dir, os.DirFS(r.dir)); err != nil {
		r.t.Log(err)
	}
	result := strings.Join(append(r.ledger.Violations(), r.faultLog...), "\n") + "\n"
	if err := os.WriteFile(filepath.Join(dir, "result.txt"), []byte(result), 0o600); err != nil {
		r.t.Log(err)
	}
}
