package job

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
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
	// RackSizes are the workers of the racks in order, if they differ.
	RackSizes []int `json:"rack-sizes"`
	Sizes     []int `json:"sizes"`
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
	// FromSubmission is true if the latency objectives count from the first submission
	// of a job, also if it was refused: its caller needs the result by then.
	FromSubmission bool `json:"from-submission"`
	// Copies is true if tasks may have two runs, which then make progress of their own.
	Copies bool `json:"copies"`
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
	// Swing is by how much the utilization is higher or lower at times, and Period the
	// time in seconds in which it swings once.
	Swing  float64 `json:"swing"`
	Period float64 `json:"period-s"`
	// Burst is true for the part of an account's work that exceeds its share.
	Burst bool `json:"burst"`
	// Racks is the number of racks, from the first on, that hold the data of the jobs:
	// each job names one of them.
	Racks int `json:"racks"`
	// MayCopy is true if the tasks may have copies.
	MayCopy bool `json:"may-copy"`
}

// lostRack is a rack whose workers are lost at From, and return as new ones at To.
type lostRack struct {
	Rack int     `json:"rack"`
	From float64 `json:"from-s"`
	To   float64 `json:"to-s"`
}

// workerFault makes a worker fail all its runs, slows it down by Factor, or freezes its VM
// so that it answers nothing. From and To are in seconds from the begin of the simulation.
type workerFault struct {
	Worker int     `json:"worker"`
	From   float64 `json:"from-s"`
	To     float64 `json:"to-s"`
	Fails  bool    `json:"fails"`
	Silent bool    `json:"silent"`
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
	{name: "no-reservations", options: []Option{WithoutReservations()}},
	{name: "no-load-forecast", options: []Option{WithoutLoadForecast()}},
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
