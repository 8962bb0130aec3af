package job

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// testTicketTTL is how long a ticket of an advisedCluster is valid.
const testTicketTTL = 3 * time.Second

// advisedCluster is a testCluster whose queue requires tickets, with an advisor that
// answers each request before the next reports.
type advisedCluster struct {
	*testCluster
	allowed map[string]bool
	// denied are the steps that no worker may run.
	denied   map[string]bool
	requests []AdvisorRequest
	// latency is how long the advisor has taken when its answer arrives.
	latency time.Duration
}

// newAdvisedCluster returns a cluster of workers on which the advisor allows the agents
// with the given numbers.
func newAdvisedCluster(t *testing.T, workers int, allowed ...int) *advisedCluster {
	ac := &advisedCluster{testCluster: newTestCluster(t, workers), allowed: map[string]bool{}, denied: map[string]bool{}}
	ac.cfg.Queues[0].RequiresTicket = true
	ac.SetConfiguration(ac.cfg)
	for _, i := range allowed {
		ac.allowed[fmt.Sprintf("i-agent-%d", i)] = true
	}
	return ac
}

// pass advances the time by d in steps of 20 ms, in each of which the advisor answers and
// all agents report.
func (ac *advisedCluster) pass(d time.Duration) {
	for end := ac.now.Add(d); ac.now.Before(end); {
		for _, r := range ac.AdvisorRequests() {
			ac.requests = append(ac.requests, r)
			ac.answer(r)
		}
		ac.deliverReports()
	}
}

func (ac *advisedCluster) answer(r AdvisorRequest) {
	tickets := map[string]string{}
	for _, id := range r.Workers {
		if ac.allowed[id] && !ac.denied[r.Step] {
			tickets[id] = ac.ticketFor(id)
		}
	}
	ac.SetTickets(r, Advice{Tickets: tickets, Sent: ac.now.Add(-ac.latency), Received: ac.now, TTL: testTicketTTL})
}

// ticketFor returns the ticket that is valid for the present incarnation of a worker.
func (ac *advisedCluster) ticketFor(worker string) string {
	w := ac.testWorkers[strings.TrimPrefix(worker, "i-")].report.Worker
	return fmt.Sprintf("ticket-%s-%d", w.ID, w.Incarnation)
}

// runningOn returns the sorted numbers of the workers that run tasks of job n.
func (ac *advisedCluster) runningOn(n int) []string {
	var out []string
	for _, w := range ac.testWorkers {
		for _, r := range w.report.Running {
			if task, err := ParseTask(r.Task); err == nil && task.Job == testJob(n).ID {
				out = append(out, w.report.Worker.ID)
			}
		}
	}
	slices.Sort(out)
	return out
}

// asked returns how often the advisor was asked about a worker.
func (ac *advisedCluster) asked(worker string) int {
	n := 0
	for _, r := range ac.requests {
		if slices.Contains(r.Workers, worker) {
			n++
		}
	}
	return n
}

// The workers with the most room are those that the policy of the queue denies: the step
// must start on the others, and not ask about the same ones again and again.
func TestDeniedWorkersAreNotAskedAboutAgain(t *testing.T) {
	ac := newAdvisedCluster(t, 30, 29)
	ac.testWorkers["agent-29"].report.Worker.Capacity.Processors = 8000
	ac.deliverReports()
	ac.Add(testJob(1, step(2, 100)), ac.now)
	ac.pass(time.Second)
	ac.is.Equal(ac.runningOn(1), []string{"i-agent-29", "i-agent-29"})
	for i := range 29 {
		ac.is.True(ac.asked(fmt.Sprintf("i-agent-%d", i)) <= 1)
	}
}

// A step that no worker may run must neither ask about the same workers again and again nor
// keep other steps of the queue from their answers, and it starts on a worker that joins later.
func TestStepThatNoWorkerMayRun(t *testing.T) {
	ac := newAdvisedCluster(t, 30, 3, 4)
	stuck := testJob(1).ID + ".0.0"
	ac.denied[stuck] = true
	ac.Add(testJob(1, step(2, 100)), ac.now)
	ac.pass(10 * time.Second)
	ac.is.Equal(ac.runningOn(1), nil)
	for i := range 30 {
		ac.is.Equal(ac.asked(fmt.Sprintf("i-agent-%d", i)), 1)
	}
	ac.Add(testJob(2, step(1, 100)), ac.now)
	ac.pass(time.Second)
	ac.is.Equal(len(ac.runningOn(2)), 1)
	delete(ac.denied, stuck) // the answers about the workers so far do not change
	ac.allowed["i-agent-30"] = true
	ac.addWorker("agent-30")
	ac.pass(time.Second)
	ac.is.Equal(ac.runningOn(1), []string{"i-agent-30", "i-agent-30"})
}

// The workers of the first answer have no room for all tasks of the step: the others must get
// tickets at once, and not when the first ones have expired.
func TestTasksBeyondTheFirstTickets(t *testing.T) {
	all := make([]int, 20)
	for i := range all {
		all[i] = i
	}
	ac := newAdvisedCluster(t, len(all), all...)
	ac.Add(testJob(1, step(40, 7000)), ac.now)
	ac.pass(time.Second)
	ac.is.Equal(len(ac.runningOn(1)), 40)
}

// A ticket is for one life of a worker: after a restart under the same ID, a start must have a
// new one.
func TestTicketOfEarlierIncarnation(t *testing.T) {
	ac := newAdvisedCluster(t, 1, 0)
	w := ac.testWorkers["agent-0"]
	ac.Add(testJob(1, step(2, 16000)), ac.now) // the second task waits for room
	ac.pass(200 * time.Millisecond)
	ac.is.Equal(len(w.orders), 1)
	ac.is.Equal(w.orders[0].Ticket, "ticket-i-agent-0-1")
	next := *w.report.Worker
	next.Incarnation = 2
	w.report.Worker, w.report.Running, w.report.Ended, w.orders = &next, nil, nil, nil
	ac.pass(200 * time.Millisecond)
	ac.is.Equal(len(ac.runningOn(1)), 1)
	for _, o := range w.orders {
		ac.is.True(o.Kind != OrderStart || o.Ticket == "ticket-i-agent-0-2")
	}
}

// A worker that refuses a ticket is asked about again before the next start on it, and other
// tasks may start there meanwhile.
func TestRefusedTicketIsNotUsedAgain(t *testing.T) {
	ac := newAdvisedCluster(t, 1, 0)
	w := ac.testWorkers["agent-0"]
	ac.Add(testJob(1, step(1, 100)), ac.now)
	ac.pass(100 * time.Millisecond)
	ac.is.Equal(len(w.orders), 1)
	run := w.report.Running[0]
	w.report.Running, w.report.Absent = nil, []AbsentRun{{Task: run.Task, Run: run.Run, Reason: RefusedTicket}}
	ac.deliverReports()
	w.report.Absent = nil
	ac.is.Equal(len(ac.runningOn(1)), 0)
	ac.Add(Job{ID: testJob(2).ID, Queue: "host/urgent/", Steps: []Step{step(1, 100)}, Accepted: ac.now}, ac.now)
	ac.pass(100 * time.Millisecond)
	ac.is.Equal(len(ac.runningOn(2)), 1)
	ac.pass(adviceRetryInterval)
	ac.is.Equal(ac.asked("i-agent-0"), 2)
	ac.is.Equal(len(ac.runningOn(1)), 1)
}

// A task that makes no progress must not be stopped to move to a worker that may not run it: it
// would come back to the same worker.
func TestNoMoveToDeniedWorker(t *testing.T) {
	ac := newAdvisedCluster(t, 2, 0)
	ac.Add(testJob(1, step(1, 100)), ac.now)
	ac.pass(20 * time.Second)
	ac.is.Equal(len(ac.testWorkers["agent-0"].orders), 1)
}

// A task that makes no progress moves to a worker that was not asked about when it started.
func TestMoveToWorkerThatWasNotAskedAbout(t *testing.T) {
	ac := newAdvisedCluster(t, 30, 0, 29)
	ac.testWorkers["agent-0"].report.Worker.Capacity.Processors = 17000
	ac.testWorkers["agent-29"].report.Worker.Capacity.Processors = 8000 // it is asked about last
	ac.Add(testJob(1, step(1, 100)), ac.now)
	ac.pass(40 * time.Millisecond)
	ac.is.Equal(ac.runningOn(1), []string{"i-agent-0"})
	ac.is.Equal(ac.asked("i-agent-29"), 0)
	ac.pass(3 * time.Second)
	ac.is.True(len(ac.testWorkers["agent-29"].orders) > 0)
}

// An advisor that takes longer than its tickets are valid issues them when it answers: a step
// that counted the time from the request would never start.
func TestSlowAdvisor(t *testing.T) {
	ac := newAdvisedCluster(t, 2, 0)
	ac.latency = testTicketTTL
	ac.Add(testJob(1, step(1, 100)), ac.now)
	ac.pass(time.Second)
	ac.is.Equal(ac.runningOn(1), []string{"i-agent-0"})
}

// An answer without a valid ticket must not be followed by the next request at once.
func TestTicketsWithoutValidity(t *testing.T) {
	ac := newAdvisedCluster(t, 2, 0)
	ac.Add(testJob(1, step(1, 100)), ac.now)
	ac.deliverReports()
	for range 150 { // 3 s
		for _, r := range ac.AdvisorRequests() {
			ac.requests = append(ac.requests, r)
			ac.SetTickets(r, Advice{Tickets: map[string]string{"i-agent-0": "t"}, Sent: ac.now, Received: ac.now})
		}
		ac.deliverReports()
	}
	ac.is.True(len(ac.requests) <= 4)
}

// A request must not name more workers than the advisor can answer for while the first tickets
// are valid.
func TestRequestsToSlowAdvisor(t *testing.T) {
	ac := newAdvisedCluster(t, 30, 29)
	ac.cfg.Queues[0].AdvisorTiming = AdvisorTiming{PerCall: 100 * time.Millisecond, PerWorker: 200 * time.Millisecond, TicketTTL: testTicketTTL}
	ac.SetConfiguration(ac.cfg)
	ac.testWorkers["agent-29"].report.Worker.Capacity.Processors = 8000 // it is asked about last
	ac.Add(testJob(1, step(1, 100)), ac.now)
	ac.pass(2 * time.Second)
	ac.is.Equal(ac.runningOn(1), []string{"i-agent-29"})
	for _, r := range ac.requests {
		ac.is.True(100*time.Millisecond+time.Duration(len(r.Workers))*200*time.Millisecond <= testTicketTTL/2)
	}
}

// A suspect of crashes must be isolated on a worker for which it has a ticket, and not again and
// again on the one with the least work, which may not run it.
func TestSuspectIsIsolatedWhereItMayRun(t *testing.T) {
	ac := newAdvisedCluster(t, 30, 29)
	ac.testWorkers["agent-29"].report.Worker.Capacity.Processors = 8000 // it is asked about last
	ac.Add(testJob(1, step(1, 100)), ac.now)
	_, _, task := ac.findTask(Task{Job: testJob(1).ID}.String())
	task.setCrashes([]Crash{{Run: 1, Agent: "gone-1", At: ac.now.Add(-time.Minute), Starting: true, Jobs: 1},
		{Run: 2, Agent: "gone-2", At: ac.now, Starting: true, Jobs: 1}})
	ac.isolation.crashed[testJob(1).ID] = true
	ac.is.True(task.isSuspect(&testJob(1, step(1, 100)).Steps[0], false))
	ac.pass(2 * time.Second)
	ac.is.Equal(ac.runningOn(1), []string{"i-agent-29"})
	ac.is.True(ac.workers.Get("agent-29").isolated)
}

// Work that cannot run is no reason to divide the room of others: a backlog that no worker may
// run must not make processors scarce.
func TestStepThatNoWorkerMayRunIsNoBacklog(t *testing.T) {
	for _, shares := range []bool{false, true} {
		ac := newAdvisedCluster(t, 4)
		if shares {
			WithFairShares()(ac.Cell)
		}
		stuck := step(200, 4000)
		stuck.Estimate = 10 * time.Second
		ac.Add(testJob(1, stuck), ac.now)
		ac.pass(time.Second)
		ac.is.True(ac.jobs.Get(testJob(1).ID) != nil)
		ac.Add(Job{ID: testJob(2).ID, Queue: "host/urgent/", Steps: []Step{step(1, 16000)}, Accepted: ac.now}, ac.now)
		ac.Add(Job{ID: testJob(3).ID, Queue: "host/urgent/", Steps: []Step{step(5, 16000)}, Accepted: ac.now}, ac.now)
		ac.pass(500 * time.Millisecond)
		all := ac.candidates(ac.now)
		ac.is.Equal(len(all), 2)
		for _, k := range all {
			ac.is.True(!k.scarce)
		}
	}
}

// A queue's policy allows few workers, not those with the most room: the steps of later jobs
// must ask about the allowed ones first, and not search for them anew.
func TestLaterStepsAskAboutAllowedWorkersFirst(t *testing.T) {
	ac := newAdvisedCluster(t, 200, 198, 199)
	for _, agent := range []string{"agent-198", "agent-199"} {
		ac.testWorkers[agent].report.Worker.Capacity.Processors = 8000
	}
	ac.deliverReports()
	ac.Add(testJob(1, step(1, 100)), ac.now)
	ac.pass(time.Second)
	ac.is.Equal(len(ac.runningOn(1)), 1)
	ac.is.True(len(ac.requests) > 2)
	for n := 2; n < 10; n++ {
		for _, w := range ac.testWorkers {
			for _, r := range w.report.Running {
				w.endRun(r.Task, EndDone)
			}
		}
		ac.pass(200 * time.Millisecond)
		ac.requests = nil
		ac.Add(testJob(n, step(1, 100)), ac.now)
		ac.pass(60 * time.Millisecond)
		ac.is.Equal(len(ac.runningOn(n)), 1)
		ac.is.Equal(ac.requests[0].Step, testJob(n).ID+".0.0")
		ac.is.Equal(len(ac.requests[0].Workers), minAdviceWorkers)
		ac.is.True(slices.Contains(ac.requests[0].Workers, "i-agent-198") || slices.Contains(ac.requests[0].Workers, "i-agent-199"))
	}
}

// A gang needs tickets for more workers at a time than one request names.
func TestGangOnManyWorkers(t *testing.T) {
	ac := newAdvisedCluster(t, 60)
	for i := range 60 {
		ac.allowed[fmt.Sprintf("i-agent-%d", i)] = i%2 == 0
	}
	gang := step(30, 100)
	gang.Gang, gang.MaxPerWorker = true, 1
	ac.Add(testJob(1, gang), ac.now)
	ac.pass(time.Second)
	ac.is.Equal(len(ac.runningOn(1)), 30)
}

// A step of a queue that requires tickets starts only on a worker for which the
// advisor gave a ticket, and while the ticket is valid.
func TestStepRequiresTicket(t *testing.T) {
	tc := newTestCluster(t, 3)
	tc.cfg.Queues[0].RequiresTicket = true
	tc.SetConfiguration(tc.cfg)
	tc.Add(testJob(1, step(2, 100)), tc.now)
	tc.deliverReports()
	qs := tc.AdvisorRequests()
	tc.is.Equal(len(qs), 1)
	tc.is.Equal(qs[0].Step, testJob(1).ID+".0.0")
	tc.is.Equal(len(qs[0].Workers), 3)
	tc.deliverReports()
	tc.is.Equal(len(tc.AdvisorRequests()), 0) // no second request while one is open
	tc.SetTickets(qs[0], Advice{Tickets: map[string]string{"i-agent-1": "ticket"}, Sent: tc.now, Received: tc.now, TTL: 3 * time.Second})
	tc.deliverReports()
	tc.deliverReports()
	tc.is.Equal(len(tc.testWorkers["agent-1"].orders), 2)
	tc.is.Equal(tc.testWorkers["agent-1"].orders[0].Ticket, "ticket")
}

// Jobs of a queue that is no longer in the configuration still run.
func TestRemovedQueue(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t, 1)
	j := testJob(1, step(1, 100))
	j.AcceptedQueue = tc.cfg.Queues[0]
	tc.SetConfiguration(&Configuration{Version: 2})
	tc.submit(j)
	is.Equal(len(tc.testWorkers["agent-0"].orders), 1)
}
