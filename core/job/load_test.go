package job

import (
	"bytes"
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

// pattern is a load as readable data, which a test replays from a seed.
type pattern struct {
	// Answers names the rule of the policy that the load is for.
	Answers string `json:"answers"`
	// Beats names the baselines that earn less under this load.
	Beats   []string     `json:"beats"`
	Workers int          `json:"workers"`
	Seconds float64      `json:"seconds"`
	Streams []loadStream `json:"streams"`
	Faults  []loadFault  `json:"faults"`
	// Pressures is how much utilization one processor of a filling image adds
	// to a serving image, by serving and filling image.
	Pressures map[string]map[string]float64 `json:"pressures"`
}

// loadStream is jobs of one kind that come at random from one time to another.
type loadStream struct {
	Queue     string  `json:"queue"`
	PerSecond float64 `json:"per-second"`
	From      float64 `json:"from-s"`
	To        float64 `json:"to-s"`
	Steps     int     `json:"steps"`
	Tasks     int     `json:"tasks"`
	Milli     int     `json:"processors-milli"`
	Duration  float64 `json:"duration-s"`
	// Understated is how many times longer tasks take than estimated.
	Understated float64 `json:"understated"`
	Fills       bool    `json:"fills"`
	Image       string  `json:"image"`
	// Serves is true for lasting tasks with a tail target, Busy their own
	// utilization.
	Serves bool    `json:"serves"`
	Busy   float64 `json:"busy"`
}

// loadFault makes a worker fail what it starts, or work slower by Factor.
type loadFault struct {
	Worker int     `json:"worker"`
	From   float64 `json:"from-s"`
	To     float64 `json:"to-s"`
	Fails  bool    `json:"fails"`
	Factor float64 `json:"factor"`
}

// policies are the product's and the baselines.
var policies = []struct {
	name    string
	options []Option
}{
	{"product", nil},
	{"arrival-order", []Option{WithArrivalOrder()}},
	{"strict-priority", []Option{WithStrictPriority()}},
	{"no-learning", []Option{WithoutLearning()}},
}

// simTick separates the reports of a worker; agents report each end at once.
const simTick = 100 * time.Millisecond

// simTarget is the tail target of serving tasks.
const simTarget = 150 * time.Millisecond

// simJob is a submitted job with what it is worth.
type simJob struct {
	stream *loadStream
	work   float64
	begin  time.Time
	chain  time.Duration
}

// sim is a cell with workers on which tasks take time.
type sim struct {
	*world
	p        *pattern
	rng      *rand.Rand
	begin    time.Time
	jobs     map[string]*simJob
	done     map[string]time.Time
	failed   map[string]bool
	progress map[string]float64
	served   float64
	owed     float64
	share    map[string]float64
}

func newSim(t *testing.T, p *pattern, seed uint64, options []Option) *sim {
	w := newWorld(t, 0)
	w.Cell = New(1, w.now, options...)
	w.SetConfiguration(&Configuration{Version: 1, Queues: []Queue{
		{Host: "host", Prefix: "/queue/", Service: "svc", Priority: 2, MaxFailures: 2, Stretch: 2, Target: time.Second},
		{Host: "host", Prefix: "/urgent/", Service: "svc", Priority: 0, MaxFailures: 4, Stretch: 1.5, Target: 250 * time.Millisecond},
	}})
	s := &sim{world: w, p: p, rng: rand.New(rand.NewPCG(seed, 7)), begin: w.now, jobs: map[string]*simJob{},
		done: map[string]time.Time{}, failed: map[string]bool{}, progress: map[string]float64{}, share: map[string]float64{}}
	for i := range p.Workers {
		w.join(fmt.Sprintf("agent-%02d", i))
	}
	return s
}

// arrive submits the jobs that come within a tick.
func (s *sim) arrive() {
	at := s.now.Sub(s.begin).Seconds()
	for i := range s.p.Streams {
		st := &s.p.Streams[i]
		if at < st.From || at >= st.To || s.rng.Float64() >= st.PerSecond*simTick.Seconds() {
			continue
		}
		s.submit(st)
	}
}

func (s *sim) submit(st *loadStream) {
	id := fmt.Sprintf("%016x", len(s.jobs)+1)
	spread := func(v float64) float64 { return v * (0.5 + s.rng.Float64()) }
	tasks := max(1, int(spread(float64(st.Tasks))))
	duration := time.Duration(spread(st.Duration) * float64(time.Second))
	j := Job{ID: id, Queue: "host/" + st.Queue + "/", Accepted: s.now, Payload: duration.String()}
	for n := range st.Steps {
		step := Step{Tasks: tasks, Need: Resources{Processors: st.Milli, Memory: 1}, Image: st.Image,
			BestEffort: st.Fills, Checkpoints: st.Fills, LongRunning: st.Serves,
			Estimate: time.Duration(float64(duration) / max(1, st.Understated))}
		if st.Serves {
			step.TailTarget = simTarget
		}
		if n > 0 {
			step.After = []int{n - 1}
		}
		j.Steps = append(j.Steps, step)
	}
	chain := time.Duration(st.Steps) * duration
	s.jobs[id] = &simJob{st, float64(st.Steps*tasks*st.Milli) / 1000 * duration.Seconds(), s.now, chain}
	s.Add(j, s.now)
}

// work advances what runs on each worker by a tick and reports.
func (s *sim) work() {
	for n := range s.p.Workers {
		agent := fmt.Sprintf("agent-%02d", n)
		h := s.hosts[agent]
		s.advance(n, agent, h)
		s.send(agent)
		// Acknowledged ends are forgotten; a run that ended without a
		// checkpoint begins anew.
		for len(h.report.Ended) > 0 && h.report.Ended[0].Number <= h.durable {
			e := h.report.Ended[0]
			if !s.jobs[strings.Split(e.Task, ".")[0]].stream.Fills || e.Outcome != EndStopped {
				delete(s.progress, e.Task)
			}
			h.report.Ended = h.report.Ended[1:]
		}
	}
}

func (s *sim) advance(n int, agent string, h *host) {
	at := s.now.Sub(s.begin).Seconds()
	speed, fails := 1.0, false
	for _, f := range s.p.Faults {
		if f.Worker == n && at >= f.From && at < f.To {
			fails = f.Fails
			speed /= max(1, f.Factor)
		}
	}
	share := s.throttle(agent, h)
	for _, r := range slices.Clone(h.report.Running) {
		task, _ := ParseTask(r.Task)
		j := s.jobs[task.Job]
		if j.stream.Serves {
			continue
		}
		v := speed
		if j.stream.Fills {
			v *= share
		}
		s.progress[r.Task] += v * simTick.Seconds() * float64(j.stream.Steps) / j.chain.Seconds()
		switch {
		case fails && s.progress[r.Task] > 0.3:
			h.end(r.Task, EndFailed)
		case s.progress[r.Task] >= 1:
			h.end(r.Task, EndDone)
		}
	}
	for i := range h.report.Running {
		r := &h.report.Running[i]
		if j := s.jobs[strings.Split(r.Task, ".")[0]]; !j.stream.Serves {
			r.Percent = int(min(99, 100*s.progress[r.Task]))
			r.Throttled = j.stream.Fills && share < 1
		}
	}
}

// throttle sets the tails of the worker's serving tasks and returns the share
// at which its filling tasks work: none above the target, and a third more at
// a time below it.
func (s *sim) throttle(agent string, h *host) float64 {
	share, ok := s.share[agent]
	if !ok {
		share = 1
	}
	use := usage{}
	for _, r := range h.report.Running {
		if j := s.jobs[strings.Split(r.Task, ".")[0]]; j.stream.Fills {
			use[j.stream.Image] += share * float64(j.stream.Milli) / 1000
		}
	}
	worst := 0.0
	for i := range h.report.Running {
		r := &h.report.Running[i]
		j := s.jobs[strings.Split(r.Task, ".")[0]]
		if j.stream.Fills {
			r.Load = int(share * float64(j.stream.Milli))
		}
		if !j.stream.Serves {
			continue
		}
		busy := j.stream.Busy
		for image, processors := range use {
			busy += s.p.Pressures[j.stream.Image][image] * processors
		}
		busy = min(busy, 0.98)
		worst = max(worst, busy)
		r.Percent, r.Load = fullPercent, int(unloadedTail/(1-busy)*float64(simTarget.Milliseconds()))
		s.owed += simTick.Seconds()
		if busy <= UtilizationLimit {
			s.served += simTick.Seconds()
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

// run plays the pattern and the time until the jobs have ended, or could no
// longer be worth anything.
func (s *sim) run() {
	for end := s.begin.Add(time.Duration((s.p.Seconds + 20) * float64(time.Second))); s.now.Before(end); s.now = s.now.Add(simTick) {
		if s.now.Sub(s.begin).Seconds() < s.p.Seconds {
			s.arrive()
		}
		s.work()
		for _, e := range s.Events() {
			if e.Kind == EventFinal {
				s.done[e.Task], s.failed[e.Task] = s.now, e.Reason != string(Done)
			}
		}
	}
}

// worth is what jobs of a queue, or serving tasks, earned of what was owed.
type worth struct {
	onTime, late, unserved int
	earned                 float64
}

// result returns the worth by queue; serving tasks stand under "serving".
func (s *sim) result() map[string]*worth {
	out := map[string]*worth{}
	sums, mean, count := map[string]float64{}, map[string]float64{}, map[string]float64{}
	for _, j := range s.jobs {
		mean[j.stream.Queue] += j.work
		count[j.stream.Queue]++
	}
	for id, j := range s.jobs {
		q := j.stream.Queue
		if j.stream.Serves {
			continue
		}
		if out[q] == nil {
			out[q] = &worth{}
		}
		value := 0.3 + 0.7*j.work*count[q]/mean[q]
		sums[q] += value
		objective := 2*j.chain + time.Second
		if q == "urgent" {
			objective = j.chain*3/2 + 250*time.Millisecond
		}
		end, ok := s.done[id]
		switch took := end.Sub(j.begin); {
		case !ok || s.failed[id] || took > lateFactor*objective:
			out[q].unserved++
		case took > objective:
			out[q].late++
			out[q].earned += 0.15 * value
		default:
			out[q].onTime++
			out[q].earned += value
		}
	}
	for q, w := range out {
		w.earned /= sums[q]
	}
	if s.owed > 0 {
		out["serving"] = &worth{earned: s.served / s.owed}
	}
	return out
}

// loadSeeds are those on which policies are compared.
var loadSeeds = []uint64{1, 2, 3}

// TestGoldenLoads replays each load under each policy. The product must earn
// more than the baselines that the load names, over the same seeds.
func TestGoldenLoads(t *testing.T) {
	files, err := filepath.Glob("testdata/load/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("no loads: %v", err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".json")
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := readPattern(t, file)
			var table bytes.Buffer
			total := map[string]float64{}
			for _, policy := range policies {
				for _, seed := range loadSeeds {
					s := newSim(t, p, seed, policy.options)
					s.run()
					total[policy.name] += tell(&table, policy.name, seed, s.result())
				}
			}
			golden.Check(t, "testdata/load/"+name+".golden", table.Bytes())
			for _, b := range p.Beats {
				if total["product"] <= total[b] {
					t.Errorf("%s: the product earns %.3f, %s %.3f", p.Answers, total["product"], b, total[b])
				}
			}
		})
	}
}

func readPattern(t *testing.T, file string) *pattern {
	is := is.New(t)
	b, err := os.ReadFile(file)
	is.NoErr(err)
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	var p pattern
	is.NoErr(d.Decode(&p))
	return &p
}

// tell writes a line of the table and returns the mean over the queues.
func tell(table *bytes.Buffer, policy string, seed uint64, result map[string]*worth) float64 {
	sum := 0.0
	fmt.Fprintf(table, "%s seed %d:", policy, seed)
	for _, q := range []string{"urgent", "queue", "serving"} {
		w := result[q]
		if w == nil {
			continue
		}
		sum += w.earned
		if q == "serving" {
			fmt.Fprintf(table, " %s %.3f", q, w.earned)
			continue
		}
		fmt.Fprintf(table, " %s %d on time, %d late, %d unserved, %.3f", q, w.onTime, w.late, w.unserved, w.earned)
	}
	table.WriteByte('\n')
	return sum / float64(len(result))
}
