package job

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// newShareCluster returns a cluster with fair shares and the given workers.
func newShareCluster(t *testing.T, epoch int64, workers int) *testCluster {
	tc := newTestCluster(t, 0)
	cfg := tc.cfg
	tc.Cell = New(epoch, tc.now, WithFairShares())
	tc.SetConfiguration(cfg)
	for i := range workers {
		tc.addWorker(fmt.Sprint("agent-", i))
	}
	return tc
}

// zoneJob returns job n of testQueue, submitted in a zone.
func zoneJob(n int, zone string, steps ...Step) Job {
	j := testJob(n, steps...)
	j.Zone = zone
	return j
}

// running returns how many tasks of job n run.
func (tc *testCluster) running(n int) int {
	sum := 0
	for _, w := range tc.testWorkers {
		for _, r := range w.report.Running {
			if strings.HasPrefix(r.Task, testJob(n).ID) {
				sum++
			}
		}
	}
	return sum
}

// endRuns ends n runs of the worker as done.
func (w *testWorker) endRuns(n int) {
	for range n {
		w.endRun(w.report.Running[0].Task, EndDone)
	}
}

// Guards against stops for the sake of shares, and against a lent share that does not
// come back: the account that returns gets all of the next starts.
func TestLentShareComesBackByStarts(t *testing.T) {
	tc := newShareCluster(t, 1, 1)
	w := tc.testWorkers["agent-0"]
	tc.submit(zoneJob(1, "a", step(100, 1000)))
	lent := tc.running(1)
	tc.is.True(lent > 14) // all room
	tc.submit(zoneJob(2, "b", step(40, 1000)))
	tc.is.True(!slices.ContainsFunc(w.orders, func(o Order) bool { return o.Kind == OrderStop }))
	w.endRuns(4)
	tc.deliverReports()
	tc.is.Equal(tc.running(1), lent-4)
	tc.is.Equal(tc.running(2), 4)
	tc.is.Equal(tc.Stats(tc.now).AccountShares, map[Account]float64{{testQueue, "a"}: float64(lent-4) / 16 * 100, {testQueue, "b"}: 25})
}

// Guards against a new owner that favours the account that the old one served last:
// the room that the adopted runs release goes to the other account, also after a second.
func TestNewOwnerCountsWhatRuns(t *testing.T) {
	tc := newShareCluster(t, 2, 0)
	for n, zone := range []string{"a", "b"} {
		tc.is.NoErr(tc.Load(zoneJob(n+1, zone, step(60, 1000)), Progress{}, tc.now))
	}
	tc.LoadAgent("agent-0")
	w := &testWorker{report: Report{Agent: "agent-0", Process: 1, Epoch: 2, Listed: true, Clock: time.Second,
		Worker: &Worker{ID: "i-0", Incarnation: 1, Service: "svc", Capacity: Resources{Processors: 16000, Memory: 64000}}}}
	for i := range 15 {
		w.report.Running = append(w.report.Running, Run{Task: Task{testJob(1).ID, 0, 0, i}.String(), Run: 1})
	}
	tc.testWorkers["agent-0"] = w
	tc.deliverReports()
	tc.is.Equal(tc.running(1), 15)
	w.endRuns(15)
	tc.deliverReports()
	tc.now = tc.now.Add(time.Second)
	w.endRuns(tc.running(2))
	tc.deliverReports()
	tc.is.Equal(tc.running(1), 0)
	tc.is.True(tc.running(2) > 14)
}

// Guards against a scarcity of best-effort tasks that regular tasks hide: beside
// serving tasks, best-effort tasks have room for less work.
func TestScarcityByKind(t *testing.T) {
	tc := newShareCluster(t, 1, 1)
	serving := Step{Tasks: 5, Need: Resources{Processors: 3000, Memory: 10}, LongRunning: true, TailTarget: simTailTarget, Image: "feed"}
	tc.submit(testJob(1, serving))
	build := step(1, 1000)
	build.BestEffort, build.Tasks = true, 22
	tc.submit(testJob(2, build))
	tc.is.Equal(tc.shares.scarce, [taskKinds]bool{bestEffortTasks: true})
	tc.Cancel(testJob(2).ID, tc.now)
	tc.deliverReports()
	var kinds []EventKind
	for _, e := range tc.Events() {
		if e.Reason == "best-effort" {
			kinds = append(kinds, e.Kind)
		}
	}
	tc.is.Equal(kinds, []EventKind{EventScarcityBegan, EventScarcityEnded})
}

// Guards against the starvation of wide tasks: narrow tasks of another account would
// take each processor that becomes free, and twelve would never be free together. The
// same holds for the members of a gang, and for narrow tasks that fit into the processors
// that must stay free for urgent tasks beside a wide one.
func TestWideTasksAreNotStarved(t *testing.T) {
	gang := step(20, 1000)
	gang.Gang = true
	for name, test := range map[string]struct{ narrow, wide Step }{
		"tasks":                      {step(4000, 1000), step(4, 12000)},
		"gang":                       {step(4000, 1000), gang},
		"narrower than urgent room":  {step(4000, 500), step(4, 12000)},
		"gang beside half processor": {step(4000, 500), gang},
	} {
		t.Run(name, func(t *testing.T) {
			narrow, wide := test.narrow, test.wide
			tc := newShareCluster(t, 1, 2)
			tc.submit(zoneJob(1, "a", narrow))
			tc.submit(zoneJob(2, "b", wide))
			for range 100 {
				tc.now = tc.now.Add(80 * time.Millisecond)
				for _, w := range tc.testWorkers {
					if len(w.report.Running) > 0 && strings.HasPrefix(w.report.Running[0].Task, testJob(1).ID) {
						w.endRuns(1)
					}
				}
				tc.deliverReports()
				if tc.running(2) > 0 {
					return
				}
			}
			t.Error("no wide task has started within 10 s")
		})
	}
}

// Guards against room that is reserved for ever: a gang that is wider than all workers
// together would keep all other tasks from them.
func TestStepThatNeverFitsReservesNothing(t *testing.T) {
	tc := newShareCluster(t, 1, 2)
	wide := step(40, 1000)
	wide.Gang = true
	tc.submit(zoneJob(1, "a", step(4000, 1000)))
	tc.submit(zoneJob(2, "b", wide))
	tc.now = tc.now.Add(time.Second + simTick)
	tc.deliverReports()
	for _, w := range tc.testWorkers {
		w.endRuns(len(w.report.Running))
	}
	tc.deliverReports()
	tc.is.True(tc.running(1) > 28)
}

// Guards against faults of fair shares through replaced owners, restarts, cuts and lost
// writes, and against an account that keeps the reservation of a run that has ended.
func TestHistoriesWithFairShares(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(t, WithFairShares())
		for n := range rapid.IntRange(5, 120).Draw(t, "length") {
			h.randomEvent(n)
			for _, o := range h.owners {
				reserved := map[*accountRow]accountRow{}
				for _, w := range o.workers.All {
					for name, task := range w.tasks {
						account := o.jobs.Get(name.Job).account
						row := reserved[account]
						k := task.spec.kind()
						row[k].running = row[k].running.plus(1, amountOf(task.spec.Need))
						reserved[account] = row
					}
				}
				for _, account := range o.shares.accounts {
					for k := range taskKinds {
						if account[k].running != reserved[account][k].running {
							t.Fatalf("an account has %v reserved, its runs %v", account[k].running, reserved[account][k].running)
						}
					}
				}
			}
		}
		h.finishAll()
	})
}

// shareHistory is a random history of accounts that compete for the workers.
type shareHistory struct {
	*testCluster
	rt       *rapid.T
	accounts []shareAccount
	ends     map[string]time.Time
	jobs     int
}

type shareAccount struct {
	weight, served, largestStep float64
	// idle is true if the account had no waiting work at some time.
	idle, busy bool
}

// Guards against an account with waiting work that gets less than its weighted max-min
// share of the work that is done, minus the work of one step.
func TestSharesAreMaxMin(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		h := &shareHistory{testCluster: newShareCluster(t, 1, 0), rt: rt, ends: map[string]time.Time{}}
		cfg := &Configuration{Version: 2}
		for i := range rapid.IntRange(2, 4).Draw(rt, "accounts") {
			a := shareAccount{weight: float64(rapid.IntRange(1, 3).Draw(rt, "weight")), busy: i == 0 || rapid.Bool().Draw(rt, "busy")}
			h.accounts = append(h.accounts, a)
			cfg.Queues = append(cfg.Queues, Queue{Host: "q", Prefix: fmt.Sprint("/", i), Service: "svc", Stretch: 1000, Weight: a.weight})
		}
		h.SetConfiguration(cfg)
		for i := range 3 {
			h.addWorker(fmt.Sprint("agent-", i))
		}
		for range 100 {
			h.step()
		}
		total := 0.0
		demand := make([]float64, len(h.accounts))
		for i, a := range h.accounts {
			total += a.served
			demand[i] = a.served + h.waitingWork(fmt.Sprint("q/", i))
		}
		for i, share := range h.maxMin(total, demand) {
			if a := h.accounts[i]; !a.idle && a.served < share-a.largestStep {
				rt.Fatalf("account %d got %.1f processor seconds of its share of %.1f; its largest step has %.1f: %+v", i, a.served, share, a.largestStep, h.accounts)
			}
		}
	})
}

// step submits random jobs, and lets 100 ms pass on the workers.
func (h *shareHistory) step() {
	for i := range h.accounts {
		a := &h.accounts[i]
		queue := fmt.Sprint("q/", i)
		for a.busy && h.waitingWork(queue) < 100 || rapid.IntRange(0, 9).Draw(h.rt, "arrives") == 0 {
			h.jobs++
			s := step(rapid.IntRange(1, 8).Draw(h.rt, "tasks"), 500*rapid.IntRange(1, 6).Draw(h.rt, "processors"))
			s.Estimate = time.Duration(rapid.IntRange(3, 20).Draw(h.rt, "estimate")) * 100 * time.Millisecond
			j := testJob(h.jobs, s)
			j.Queue, j.Accepted = queue, h.now
			a.largestStep = max(a.largestStep, j.work())
			h.Add(j, h.now)
		}
	}
	h.now = h.now.Add(simTick)
	for n := range 3 {
		agent := fmt.Sprint("agent-", n)
		w := h.testWorkers[agent]
		for _, r := range slices.Clone(w.report.Running) {
			name, _ := ParseTask(r.Task)
			j := h.Cell.jobs.Get(name.Job)
			spec := &j.Steps[0]
			if h.ends[r.Task].IsZero() {
				h.ends[r.Task] = h.now.Add(spec.Estimate - simTick)
			}
			if !h.now.Before(h.ends[r.Task]) {
				w.endRun(r.Task, EndDone)
			}
		}
		w.report.Clock += simTick
		h.deliverReport(agent)
		w.report.Ended = nil
	}
	for i := range h.accounts {
		a, queue := &h.accounts[i], fmt.Sprint("q/", i)
		a.idle = a.idle || h.waitingWork(queue) == 0
		a.served += h.shares.account(&Job{Queue: queue})[regularTasks].running[0] / processorUnit * simTick.Seconds()
	}
	h.Events()
}

// waitingWork returns the processor seconds of the waiting tasks of a queue.
func (h *shareHistory) waitingWork(queue string) float64 {
	sum := 0.0
	for _, j := range h.Cell.jobs.All {
		if j.Queue == queue && !j.state.IsFinal() {
			sum += processorSeconds(&j.Steps[0], j.occurrences[0].steps[0].waiting)
		}
	}
	return sum
}

// maxMin divides total among accounts by weighted max-min fairness.
func (h *shareHistory) maxMin(total float64, demand []float64) []float64 {
	out := make([]float64, len(demand))
	for range demand {
		weights := 0.0
		for i := range demand {
			if out[i] < demand[i] {
				weights += h.accounts[i].weight
			}
		}
		rest := total
		for _, v := range out {
			rest -= v
		}
		for i := range demand {
			if out[i] < demand[i] {
				out[i] = min(demand[i], out[i]+rest*h.accounts[i].weight/weights)
			}
		}
	}
	return out
}

// Guards against queues whose settings are not used, and against other defaults.
func TestQueueValue(t *testing.T) {
	is := is.New(t)
	is.Equal((&Queue{}).value(1), 1.0)
	is.Equal((&Queue{}).value(0), defaultBaseValue)
	is.Equal((&Queue{}).value(100), float64(defaultMaxValue))
	is.Equal((&Queue{BaseValue: 0.5, MaxValue: 2}).value(0), 0.5)
	is.Equal((&Queue{BaseValue: 0.5, MaxValue: 2}).value(100), 2.0)
}
