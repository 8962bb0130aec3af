package job

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"rosemarygap/io/golden"

	"github.com/matryer/is"
)

// workload describes the jobs and faults that a simulation generates from a seed.
type workload struct {
	// Rule describes the rule of the policy that the workload tests, for
	// failure messages.
	Rule string `json:"answers"`
	// Baselines are the names of the policies that must earn less value.
	Baselines []string        `json:"beats"`
	Workers   int             `json:"workers"`
	Seconds   float64         `json:"seconds"`
	Streams   []arrivalStream `json:"streams"`
	Faults    []workerFault   `json:"faults"`
	// Cold are replacements of workers by cold ones.
	Cold []coldWorkers `json:"cold"`
	// RemoteDataFactor is by which factor tasks take longer outside of the rack of their
	// data. Racks have WorkersPerRack workers, and Sizes are the processors of the
	// workers by turns, in thousandths.
	RemoteDataFactor float64 `json:"far-factor"`
	WorkersPerRack   int     `json:"workers-per-rack"`
	Sizes            []int   `json:"sizes"`
	// LostRacks are racks without power.
	LostRacks []lostRack `json:"lost-racks"`
	// Compares are the names of the baselines that are simulated, or empty for those
	// of policies.
	Compares []string `json:"compares"`
	// Interference is the utilization that one processor of a best-effort
	// image adds to a serving image, by serving and best-effort image.
	Interference map[string]map[string]float64 `json:"pressures"`
	// Shares is true for the workloads of TestGoldenShares. Each of their streams has
	// its own random numbers, so that it is the same with and without another one.
	Shares bool `json:"shares"`
}

// arrivalStream is a random stream of jobs of one kind during an interval.
type arrivalStream struct {
	Queue     string  `json:"queue"`
	Zone      string  `json:"zone"`
	PerSecond float64 `json:"per-second"`
	// From and To delimit the interval, in seconds from the begin of the
	// simulation.
	From  float64 `json:"from-s"`
	To    float64 `json:"to-s"`
	Steps int     `json:"steps"`
	// Tasks is the mean number of tasks of a step, and Duration the mean run
	// time of a task in seconds.
	Tasks           int     `json:"tasks"`
	ProcessorsMilli int     `json:"processors-milli"`
	Duration        float64 `json:"duration-s"`
	// Understated is the ratio of run times to estimates.
	Understated float64 `json:"understated"`
	BestEffort  bool    `json:"fills"`
	Image       string  `json:"image"`
	// Serving is true for long-running tasks with a tail target; Utilization is
	// their utilization without interference.
	Serving     bool    `json:"serves"`
	Utilization float64 `json:"busy"`
	// Burst is true for the part of an account's work that exceeds its share.
	Burst bool `json:"burst"`
	// Racks is the number of racks, from the first on, that hold the data of the jobs:
	// each job names one of them.
	Racks int `json:"racks"`
}

// lostRack is a rack whose workers are lost at From, and return as new ones at To.
type lostRack struct {
	Rack int     `json:"rack"`
	From float64 `json:"from-s"`
	To   float64 `json:"to-s"`
}

// workerFault makes a worker fail all its runs, or slows it down by Factor. From
// and To are in seconds from the begin of the simulation.
type workerFault struct {
	Worker int     `json:"worker"`
	From   float64 `json:"from-s"`
	To     float64 `json:"to-s"`
	Fails  bool    `json:"fails"`
	Factor float64 `json:"factor"`
}

// coldWorkers are Workers workers, from the number First on, that are replaced by cold
// ones at From. For Left, their tasks take Factor times as long. Times are in seconds.
type coldWorkers struct {
	First   int     `json:"first"`
	Workers int     `json:"workers"`
	From    float64 `json:"from-s"`
	Left    float64 `json:"left-s"`
	Factor  float64 `json:"factor"`
}

// simPolicy is a policy, or the lack of what placement is told.
type simPolicy struct {
	name    string
	options []Option
	// hidesCold is true if workers do not tell that they are cold.
	hidesCold bool
	// hidesFactor is true if the cell does not know RemoteDataFactor.
	hidesFactor bool
}

// featureBaselines are baselines of which each workload names those that it is
// compared with.
var featureBaselines = []simPolicy{
	{name: "cold-untold", hidesCold: true},
	{name: "factor-unknown", hidesFactor: true},
	{name: "factor-unknown-arrival-order", hidesFactor: true, options: []Option{WithArrivalOrder()}},
}

// simulated returns the policies that are simulated under the workload.
func (w *workload) simulated() []simPolicy {
	out := []simPolicy{{name: "product"}}
	if len(w.Compares) == 0 {
		out = nil
		for _, p := range policies {
			out = append(out, simPolicy{name: p.name, options: p.options})
		}
	}
	for _, b := range featureBaselines {
		if slices.Contains(w.Compares, b.name) {
			out = append(out, b)
		}
	}
	return out
}

// policies are the default policy and the baselines.
var policies = []struct {
	name    string
	options []Option
}{
	{"product", nil},
	{"arrival-order", []Option{WithArrivalOrder()}},
	{"strict-priority", []Option{WithStrictPriority()}},
	{"no-learning", []Option{WithoutLearning()}},
	{"deadlines", []Option{WithDeadlines()}},
	{"density", []Option{WithDensity()}},
}

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
	// progress is the completed share of each task.
	progress map[string]float64
	// servingTime is the sum of the run times of serving tasks in seconds;
	// servingOnTarget is the part in which they met their tail target.
	servingOnTarget float64
	servingTime     float64
	// share is the share of their processors that best-effort tasks get, by
	// agent.
	share map[string]float64
	// offer submits a generated job. By default, the job is accepted at once.
	offer func(Job)
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
		done: map[string]time.Time{}, failed: map[string]bool{}, progress: map[string]float64{}, share: map[string]float64{}}
	s.offer = func(j Job) { s.Add(j, s.now) }
	for i := range load.Streams {
		s.streams = append(s.streams, rand.New(rand.NewPCG(seed, uint64(i))))
	}
	for i := range load.Workers {
		w := tc.addWorker(fmt.Sprintf("agent-%02d", i)).report.Worker
		if load.WorkersPerRack > 0 {
			w.Labels = []string{"a", simRack(i / load.WorkersPerRack)}
		}
		if len(load.Sizes) > 0 {
			w.Capacity.Processors = load.Sizes[i%len(load.Sizes)]
		}
	}
	return s
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
			BestEffort: st.BestEffort, Checkpoints: st.BestEffort, LongRunning: st.Serving, Rack: rack,
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
		s.advance(n, agent, w)
		s.deliverReport(agent)
		// Acknowledged ends are no longer listed. A task keeps its progress
		// only if it is a best-effort task, which has checkpoints, and its run
		// was stopped.
		for len(w.report.Ended) > 0 && w.report.Ended[0].Number <= w.acknowledged {
			e := w.report.Ended[0]
			if !s.jobs[strings.Split(e.Task, ".")[0]].stream.BestEffort || e.Outcome != EndStopped {
				delete(s.progress, e.Task)
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
		s.progress[r.Task] += runSpeed * simTick.Seconds() * float64(j.stream.Steps) / j.criticalPath.Seconds()
		switch {
		case fails && s.progress[r.Task] > 0.3: // runs fail after 30% of their work
			w.endRun(r.Task, EndFailed)
		case s.progress[r.Task] >= 1:
			w.endRun(r.Task, EndDone)
		}
	}
	for i := range w.report.Running {
		r := &w.report.Running[i]
		if j := s.jobs[strings.Split(r.Task, ".")[0]]; !j.stream.Serving {
			r.Percent = int(min(99, 100*s.progress[r.Task]))
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
		if n/s.workload.WorkersPerRack != f.Rack {
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

// restart replaces a worker by another incarnation. The runs and the ends of the earlier
// one are lost.
func (s *sim) restart(w *testWorker) {
	for _, r := range w.report.Running {
		delete(s.progress, r.Task)
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
		utilization := j.stream.Utilization
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
			if e.Kind == EventFinal {
				s.done[e.Task], s.failed[e.Task] = s.now, e.Reason != string(Done)
			}
		}
	}
}

// queueResult is the result of the jobs of a queue or of the serving tasks. For
// jobs, valueShare is the share of the possible value that they earned; for
// serving tasks, it is the share of time in which they met their tail target.
type queueResult struct {
	onTime, late, unserved int
	valueShare             float64
	// served are the shares of jobs that were served on time or late: of the
	// largest tenth, of the fifth below it, and of all.
	servedLargest, servedLarge, servedAll float64
}

func byQueue(st *arrivalStream) string { return st.Queue }

func byAccount(st *arrivalStream) string { return st.Queue + "@" + st.Zone }

// result returns the results by group of streams; the key of serving tasks is "serving".
// The value of a job grows with its work relative to the mean work of the jobs
// of its group. A late job earns 15% of its value, an unserved job nothing.
func (s *sim) result(group func(*arrivalStream) string) map[string]*queueResult {
	out := map[string]*queueResult{}
	sums, mean, count := map[string]float64{}, map[string]float64{}, map[string]float64{}
	for _, j := range s.jobs {
		mean[group(j.stream)] += j.work
		count[group(j.stream)]++
	}
	for id, j := range s.jobs {
		q := group(j.stream)
		if j.stream.Serving {
			continue
		}
		if out[q] == nil {
			out[q] = &queueResult{}
		}
		value := 0.3 + 0.7*j.work*count[q]/mean[q]
		sums[q] += value
		objective := s.objective(id)
		end, ok := s.done[id]
		switch took := end.Sub(j.begin); {
		case !ok || s.failed[id] || took > lateFactor*objective:
			out[q].unserved++
		case took > objective:
			out[q].late++
			out[q].valueShare += 0.15 * value
		default:
			out[q].onTime++
			out[q].valueShare += value
		}
	}
	for q, r := range out {
		r.valueShare /= sums[q]
	}
	s.setServedShares(out, group)
	if s.servingTime > 0 {
		out["serving"] = &queueResult{valueShare: s.servingOnTarget / s.servingTime}
	}
	return out
}

// setServedShares sets the shares of served jobs by the size of the jobs.
func (s *sim) setServedShares(out map[string]*queueResult, group func(*arrivalStream) string) {
	byGroup := map[string][]string{}
	for id, j := range s.jobs {
		if !j.stream.Serving {
			q := group(j.stream)
			byGroup[q] = append(byGroup[q], id)
		}
	}
	for q, ids := range byGroup {
		slices.SortFunc(ids, func(a, b string) int {
			return cmp.Or(cmp.Compare(s.jobs[b].work, s.jobs[a].work), cmp.Compare(a, b))
		})
		served := func(ids []string) float64 {
			n := 0
			for _, id := range ids {
				if end, ok := s.done[id]; ok && !s.failed[id] && end.Sub(s.jobs[id].begin) <= lateFactor*s.objective(id) {
					n++
				}
			}
			return float64(n) / float64(max(len(ids), 1))
		}
		tenth := (len(ids) + 9) / 10
		out[q].servedLargest, out[q].servedLarge, out[q].servedAll = served(ids[:tenth]), served(ids[tenth:min(3*tenth, len(ids))]), served(ids)
	}
}

// objective returns the latency objective of a job, which is that of its queue in
// newSim.
func (s *sim) objective(id string) time.Duration {
	j := s.jobs[id]
	if j.stream.Queue == "urgent" {
		return j.criticalPath*3/2 + 250*time.Millisecond
	}
	return 2*j.criticalPath + time.Second
}

// loadSeeds are the seeds with which policies are compared.
var loadSeeds = []uint64{1, 2, 3}

// TestGoldenLoads simulates each workload with each policy. Over the same seeds,
// the default policy must earn more value than the baselines of the workload.
func TestGoldenLoads(t *testing.T) {
	files, err := filepath.Glob("testdata/load/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("no workloads in testdata/load: %v", err)
	}
	for _, file := range files {
		load := readWorkload(t, file)
		if load.Shares {
			continue // TestGoldenShares has these
		}
		name := strings.TrimSuffix(filepath.Base(file), ".json")
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var table bytes.Buffer
			total := map[string]float64{}
			for _, policy := range load.simulated() {
				for _, seed := range loadSeeds {
					s := newSim(t, load, seed, policy)
					s.run()
					result := s.result(byQueue)
					total[policy.name] += writeResult(&table, policy.name, seed, result)
					if policy.name == "product" {
						checkSizes(t, seed, result)
					}
				}
			}
			golden.Check(t, "testdata/load/"+name+".golden", table.Bytes())
			for _, b := range load.Baselines {
				if total["product"] <= total[b] {
					t.Errorf("%s: the default policy earns %.3f, baseline %s %.3f", load.Rule, total["product"], b, total[b])
				}
			}
		})
	}
}

// checkSizes fails the test if large jobs are served less than half as often as all
// jobs of their queue.
func checkSizes(t *testing.T, seed uint64, result map[string]*queueResult) {
	for q, r := range result {
		if r.servedLargest < r.servedAll/2 || r.servedLarge < r.servedAll/2 {
			t.Errorf("seed %d: of queue %s, %.2f of all jobs are served, %.2f of the largest tenth, %.2f of the fifth below it",
				seed, q, r.servedAll, r.servedLargest, r.servedLarge)
		}
	}
}

func readWorkload(t *testing.T, file string) *workload {
	is := is.New(t)
	b, err := os.ReadFile(file)
	is.NoErr(err)
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	var load workload
	is.NoErr(d.Decode(&load))
	return &load
}

// writeResult writes a line of the table and returns the mean value share of the
// queues.
func writeResult(table *bytes.Buffer, policy string, seed uint64, result map[string]*queueResult) float64 {
	sum := 0.0
	fmt.Fprintf(table, "%s seed %d:", policy, seed)
	for _, q := range []string{"urgent", "queue", "serving"} {
		r := result[q]
		if r == nil {
			continue
		}
		sum += r.valueShare
		if q == "serving" {
			fmt.Fprintf(table, " %s %.3f", q, r.valueShare)
			continue
		}
		fmt.Fprintf(table, " %s %d on time, %d late, %d unserved, %.3f", q, r.onTime, r.late, r.unserved, r.valueShare)
	}
	table.WriteByte('\n')
	return sum / float64(len(result))
}
