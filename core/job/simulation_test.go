package job

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// simTick is the time between two reports of a worker; real agents report each
// end at once.
const simTick = 100 * time.Millisecond

// simTailTarget is the tail latency target of serving tasks.
const simTailTarget = 150 * time.Millisecond

// simJob is a submitted job with the data from which result computes its value.
type simJob struct {
	stream *arrivalStream
	// rack holds the data of the job, or is empty.
	rack string
	// work is the sum of the run times of the tasks, in processor seconds.
	work         float64
	begin        time.Time
	criticalPath time.Duration
}

// sim is a cell with simulated workers on which tasks take time.
type sim struct {
	*testCluster
	workload *workload
	policy   simPolicy
	rng      *rand.Rand
	begin    time.Time
	jobs     map[string]*simJob
	done     map[string]time.Time
	failed   map[string]bool
	// progress is the completed share of each task, or of each run with copies.
	progress map[string]float64
	// servingTime is the sum of the run times of serving tasks in seconds;
	// servingOnTarget is the part in which they met their tail target.
	servingOnTarget float64
	servingTime     float64
	// share is the share of their processors that best-effort tasks get, by
	// agent.
	share map[string]float64
	// extraWork are the processor seconds of runs that did not count, and copyReasons
	// counts the copies by reason.
	extraWork   float64
	copyReasons map[string]int
	// offer submits a generated job. By default, the job is accepted at once.
	offer func(Job)
	// observe is called after each tick in which jobs may arrive, unless it is nil.
	observe func()
	// streams are the random numbers of each stream of a workload with Shares.
	streams []*rand.Rand
}

func newSim(t *testing.T, load *workload, seed uint64, policy simPolicy) *sim {
	tc := newTestCluster(t, 0)
	options := policy.options
	if !policy.hidesFactor {
		options = append(slices.Clone(options), WithRemoteDataFactor(load.RemoteDataFactor))
	}
	tc.Cell = New(1, tc.now, options...)
	tc.SetConfiguration(&Configuration{Version: 1, Queues: []Queue{
		{Host: "host", Prefix: "/queue/", Service: "svc", Priority: 2, MaxFailures: 2, Stretch: 2, Target: time.Second},
		{Host: "host", Prefix: "/urgent/", Service: "svc", Priority: 0, MaxFailures: 4, Stretch: 1.5, Target: 250 * time.Millisecond},
		{Host: "host", Prefix: "/other/", Service: "svc", Priority: 2, MaxFailures: 2, Stretch: 2, Target: time.Second},
	}})
	s := &sim{testCluster: tc, workload: load, policy: policy, rng: rand.New(rand.NewPCG(seed, 7)), begin: tc.now, jobs: map[string]*simJob{},
		done: map[string]time.Time{}, failed: map[string]bool{}, progress: map[string]float64{}, share: map[string]float64{}, copyReasons: map[string]int{}}
	s.offer = func(j Job) { s.Add(j, s.now) }
	for i := range load.Streams {
		s.streams = append(s.streams, rand.New(rand.NewPCG(seed, uint64(i))))
	}
	for i := range load.Workers {
		w := tc.addWorker(fmt.Sprintf("agent-%02d", i)).report.Worker
		if rack := load.rackOf(i); rack >= 0 {
			w.Labels = []string{"a", simRack(rack)}
		}
		if len(load.Sizes) > 0 {
			w.Capacity.Processors = load.Sizes[i%len(load.Sizes)]
		}
	}
	return s
}

// rackOf returns the number of the rack of worker i, or -1 without racks.
func (w *workload) rackOf(i int) int {
	for rack, n := range w.RackSizes {
		if i < n {
			return rack
		}
		i -= n
	}
	if w.WorkersPerRack > 0 {
		return i / w.WorkersPerRack
	}
	return -1
}

func simRack(n int) string { return fmt.Sprintf("r%d", n) }

// submitArrivals submits the jobs that arrive within a tick.
func (s *sim) submitArrivals() {
	at := s.now.Sub(s.begin).Seconds()
	for i := range s.workload.Streams {
		st := &s.workload.Streams[i]
		if s.workload.Shares {
			s.rng = s.streams[i]
		}
		if at < st.From || at >= st.To || s.rng.Float64() >= st.PerSecond*simTick.Seconds() {
			continue
		}
		s.submit(st)
	}
}

func (s *sim) submit(st *arrivalStream) {
	id := fmt.Sprintf("%016x", len(s.jobs)+1)
	spread := func(v float64) float64 { return v * (0.5 + s.rng.Float64()) }
	tasks := max(1, int(spread(float64(st.Tasks))))
	duration := time.Duration(spread(st.Duration) * float64(time.Second))
	rack := ""
	if st.Racks > 0 {
		rack = simRack(s.rng.IntN(st.Racks))
	}
	j := Job{ID: id, Queue: "host/" + st.Queue + "/", Zone: st.Zone, Accepted: s.now, Payload: duration.String()}
	for n := range st.Steps {
		step := Step{Tasks: tasks, Need: Resources{Processors: st.ProcessorsMilli, Memory: 1}, Image: st.Image,
			BestEffort: st.BestEffort, Checkpoints: st.BestEffort, LongRunning: st.Serving, Rack: rack, Speculative: st.MayCopy,
			Estimate: time.Duration(float64(duration) / max(1, st.Understated))}
		if st.Serving {
			step.TailTarget = simTailTarget
		}
		if n > 0 {
			step.After = []int{n - 1}
		}
		j.Steps = append(j.Steps, step)
	}
	criticalPath := time.Duration(st.Steps) * duration
	s.jobs[id] = &simJob{st, rack, float64(st.Steps*tasks*st.ProcessorsMilli) / 1000 * duration.Seconds(), s.now, criticalPath}
	s.offer(j)
}

// utilization returns the utilization of the serving tasks of j without interference.
// Those of different periods swing apart from the begin.
func (j *simJob) utilization(now time.Time) float64 {
	if j.stream.Period == 0 {
		return j.stream.Utilization
	}
	turns := float64(now.UnixMilli()) / 1000 / j.stream.Period
	return j.stream.Utilization + j.stream.Swing*math.Sin(2*math.Pi*turns)
}

// advanceWorkers advances the tasks of each worker by a tick and delivers the
// report of its agent.
func (s *sim) advanceWorkers() {
	for n := range s.workload.Workers {
		agent := fmt.Sprintf("agent-%02d", n)
		w := s.testWorkers[agent]
		if s.isLost(n, w) {
			continue
		}
		s.replaceByCold(n, w)
		if s.isSilent(n, w) {
			continue
		}
		s.advance(n, agent, w)
		s.deliverReport(agent)
		// Acknowledged ends are no longer listed. A task keeps its progress
		// only if it is a best-effort task, which has checkpoints, and its run
		// was stopped.
		for len(w.report.Ended) > 0 && w.report.Ended[0].Number <= w.acknowledged {
			e := w.report.Ended[0]
			if !s.jobs[strings.Split(e.Task, ".")[0]].stream.BestEffort || e.Outcome != EndStopped {
				delete(s.progress, s.progressKey(e.Task, e.Run))
			}
			w.report.Ended = w.report.Ended[1:]
		}
	}
}

func (s *sim) advance(n int, agent string, w *testWorker) {
	at := s.now.Sub(s.begin).Seconds()
	speed, fails := 1.0, false
	for _, f := range s.workload.Faults {
		if f.Worker == n && at >= f.From && at < f.To {
			fails = f.Fails
			speed /= max(1, f.Factor)
		}
	}
	speed /= s.coldFactor(n)
	share := s.throttleShare(agent, w)
	for _, r := range slices.Clone(w.report.Running) {
		task, _ := ParseTask(r.Task)
		j := s.jobs[task.Job]
		if j.stream.Serving {
			continue
		}
		runSpeed := speed
		if j.stream.BestEffort {
			runSpeed *= share
		}
		if j.rack != "" && !slices.Contains(w.report.Worker.Labels, j.rack) {
			runSpeed /= max(1, s.workload.RemoteDataFactor)
		}
		key := s.progressKey(r.Task, r.Run)
		s.progress[key] += runSpeed * simTick.Seconds() * float64(j.stream.Steps) / j.criticalPath.Seconds()
		switch {
		case fails && s.progress[key] > 0.3: // runs fail after 30% of their work
			w.endRun(r.Task, EndFailed)
		case s.progress[key] >= 1:
			w.endRun(r.Task, EndDone)
		}
	}
	for i := range w.report.Running {
		r := &w.report.Running[i]
		if j := s.jobs[strings.Split(r.Task, ".")[0]]; !j.stream.Serving {
			r.Percent = int(min(99, 100*s.progress[s.progressKey(r.Task, r.Run)]))
			r.Throttled = j.stream.BestEffort && share < 1
		}
	}
}

// replaceByCold replaces worker n by a cold one if that is due, and sets for how long it
// is still cold.
func (s *sim) replaceByCold(n int, w *testWorker) {
	at := s.now.Sub(s.begin).Seconds()
	for _, f := range s.workload.Cold {
		elapsed := at - f.From
		if n < f.First || n >= f.First+f.Workers || elapsed < 0 || elapsed > f.Left {
			continue
		}
		if elapsed < simTick.Seconds() {
			s.restart(w)
		}
		if s.policy.hidesCold {
			continue
		}
		next := *w.report.Worker
		next.ColdLeft = time.Duration((f.Left - elapsed) * float64(time.Second))
		w.report.Worker = &next
	}
}

// isLost reports whether worker n is lost now. A worker that returns is a new one.
func (s *sim) isLost(n int, w *testWorker) bool {
	at := s.now.Sub(s.begin).Seconds()
	for _, f := range s.workload.LostRacks {
		if s.workload.rackOf(n) != f.Rack {
			continue
		}
		if at >= f.From && at < f.To {
			return true
		}
		if at >= f.To && at-f.To < simTick.Seconds() {
			s.restart(w)
		}
	}
	return false
}

// progressKey returns the key of a run in progress.
func (s *sim) progressKey(task string, run int64) string {
	if s.workload.Copies {
		return fmt.Sprintf("%s#%d", task, run)
	}
	return task
}

// isSilent reports whether the VM of worker n is frozen now. Its agent then reports that
// the worker does not answer, and passes no orders on.
func (s *sim) isSilent(n int, w *testWorker) bool {
	at := s.now.Sub(s.begin).Seconds()
	for _, f := range s.workload.Faults {
		if !f.Silent || f.Worker != n || at < f.From || at >= f.To {
			continue
		}
		w.report.Unreachable += simTick
		r := w.report
		s.Receive(&r, s.now)
		s.Tick(s.now)
		s.commitWrites()
		return true
	}
	w.report.Clock += w.report.Unreachable
	w.report.Unreachable = 0
	return false
}

// restart replaces a worker by another incarnation. The runs and the ends of the earlier
// one are lost.
func (s *sim) restart(w *testWorker) {
	for _, r := range w.report.Running {
		delete(s.progress, s.progressKey(r.Task, r.Run))
	}
	next := *w.report.Worker
	next.Incarnation++
	w.report.Worker, w.report.Running, w.report.Ended = &next, nil, nil
	w.lastEnd, w.acknowledged = 0, 0
}

// coldFactor returns by how much tasks take longer on worker n now.
func (s *sim) coldFactor(n int) float64 {
	at := s.now.Sub(s.begin).Seconds()
	for _, f := range s.workload.Cold {
		if n >= f.First && n < f.First+f.Workers && at >= f.From && at < f.From+f.Left {
			return f.Factor
		}
	}
	return 1
}

// throttleShare sets the tail latencies of the worker's serving tasks and returns
// the share of processors for its best-effort tasks. The share is 0 above the
// tail target, and increases by a third per tick at low utilization.
func (s *sim) throttleShare(agent string, w *testWorker) float64 {
	share, ok := s.share[agent]
	if !ok {
		share = 1
	}
	use := usage{}
	for _, r := range w.report.Running {
		if j := s.jobs[strings.Split(r.Task, ".")[0]]; j.stream.BestEffort {
			use[j.stream.Image] += share * float64(j.stream.ProcessorsMilli) / 1000
		}
	}
	worst := 0.0
	for i := range w.report.Running {
		r := &w.report.Running[i]
		j := s.jobs[strings.Split(r.Task, ".")[0]]
		if j.stream.BestEffort {
			r.Load = int(share * float64(j.stream.ProcessorsMilli))
		}
		if !j.stream.Serving {
			continue
		}
		utilization := j.utilization(s.now)
		for image, processors := range use {
			utilization += s.workload.Interference[j.stream.Image][image] * processors
		}
		utilization = min(utilization, 0.98)
		worst = max(worst, utilization)
		r.Percent, r.Load = fullPercent, int(unloadedTailShare/(1-utilization)*float64(simTailTarget.Milliseconds()))
		s.servingTime += simTick.Seconds()
		if utilization <= UtilizationLimit {
			s.servingOnTarget += simTick.Seconds()
		}
	}
	switch {
	case worst > UtilizationLimit:
		share = 0
	case worst < UtilizationResume:
		share = min(1, share+0.34)
	}
	s.share[agent] = share
	return share
}

// run simulates the workload and 20 s more, by which time the jobs have ended or
// are too late to have a value.
func (s *sim) run() {
	for end := s.begin.Add(time.Duration((s.workload.Seconds + 20) * float64(time.Second))); s.now.Before(end); s.now = s.now.Add(simTick) {
		if s.now.Sub(s.begin).Seconds() < s.workload.Seconds {
			s.submitArrivals()
		}
		s.advanceWorkers()
		for _, e := range s.Events() {
			if e.Kind == EventExtraWork {
				s.extraWork += e.LostWork
			}
			if e.Kind == EventCopyStarted {
				s.copyReasons[e.Reason]++
			}
			if e.Kind == EventFinal {
				s.done[e.Task], s.failed[e.Task] = s.now, e.Reason != string(Done)
			}
		}
		if s.observe != nil && s.now.Sub(s.begin).Seconds() < s.workload.Seconds {
			s.observe()
		}
	}
}
