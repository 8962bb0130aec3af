package job

import (
	"bytes"
	"fmt"
	"slices"
	"testing"
	"time"

	"rosemarygap/io/golden"

	"github.com/matryer/is"
)

// Parameters of the simulated callers and entries.
const (
	simEntries = 3
	// simAttempts is how often a caller submits a job that is refused.
	simAttempts = 4
	// simForecastTicks is the number of ticks between two forecasts.
	simForecastTicks = 3
)

// simCaller is the caller of a refused job.
type simCaller struct {
	job      Job
	attempts int
	returns  time.Time
	gaveUp   time.Time
}

// admissionSim is a simulation whose jobs pass through entries that refuse.
type admissionSim struct {
	*sim
	entries  []*Admission
	callers  []*simCaller
	refused  map[string]*simCaller
	accepted map[string]time.Time
	errors   []time.Duration
	// refusals counts the refusals, also of jobs that were accepted later.
	refusals int
}

func newAdmissionSim(t *testing.T, load *workload, seed uint64, options ...AdmissionOption) *admissionSim {
	s := &admissionSim{sim: newSim(t, load, seed, simPolicy{}), refused: map[string]*simCaller{}, accepted: map[string]time.Time{}}
	for range simEntries {
		s.entries = append(s.entries, NewAdmission(options...))
	}
	s.offer = func(j Job) { s.submit(&simCaller{job: j}) }
	return s
}

func (s *admissionSim) submit(c *simCaller) {
	e := s.entries[(len(s.jobs)+c.attempts)%simEntries]
	q := s.queues[c.job.Queue]
	c.attempts++
	r := e.Decide(&c.job, q, s.Epoch(), s.now)
	if r == nil {
		c.job.Accepted = s.now
		s.accepted[c.job.ID] = s.now
		e.RecordAccepted(&c.job, q, s.now)
		s.Add(c.job, s.now)
		delete(s.refused, c.job.ID)
		return
	}
	s.refusals++
	s.refused[c.job.ID] = c
	after := e.RecordRefused(r, c.job.ID, q, s.now)
	if after < minRetryAfter || after > maxRetryAfter {
		s.is.Fail() // the delay is out of its limits
	}
	if c.attempts == simAttempts {
		c.gaveUp = s.now
		return
	}
	c.returns = s.now.Add(after)
	s.callers = append(s.callers, c)
}

// run simulates the workload and a minute more.
func (s *admissionSim) run() {
	for tick := 0; s.now.Sub(s.begin).Seconds() < s.workload.Seconds+60; tick++ {
		if f, ok := s.Forecast(s.now); ok && tick%simForecastTicks == 0 {
			f.Entries = simEntries
			for i := range s.entries {
				s.is.NoErr(s.entries[i].Receive(&f, s.now, s.now, 1, s.cfg))
			}
		}
		waiting := s.callers
		s.callers = nil
		for _, c := range waiting {
			if s.now.Before(c.returns) {
				s.callers = append(s.callers, c)
				continue
			}
			s.submit(c)
		}
		if s.now.Sub(s.begin).Seconds() < s.workload.Seconds {
			s.submitArrivals()
		}
		s.advanceWorkers()
		s.record()
		s.now = s.now.Add(simTick)
	}
}

func (s *admissionSim) record() {
	for _, e := range s.Events() {
		if e.Kind == EventFinal {
			s.done[e.Task], s.failed[e.Task] = s.now, e.Reason != string(Done)
			if e.Forecast && s.jobs[e.Task].stream.Queue == "queue" {
				s.errors = append(s.errors, e.ForecastError)
			}
		}
	}
}

// admissionResult is what became of the jobs of a queue. The latency objective counts
// from the acceptance, or from the first submission if the workload says so. known
// counts from the first submission.
type admissionResult struct {
	onTime, late, never, refused int
	// known is the time until a caller knows the outcome: the end, the last refusal,
	// or the time at which the result would have no value any more.
	known []time.Duration
	// errors are the differences between the forecast and the true ends.
	errors []time.Duration
}

// maxMedianError is less than the latency objectives of the wide jobs, of about 10 s.
const maxMedianError = 8 * time.Second

func (r *admissionResult) error() time.Duration {
	slices.Sort(r.errors)
	return r.errors[len(r.errors)/2]
}

func (s *admissionSim) results(queue string) admissionResult {
	var out admissionResult
	for id, j := range s.jobs {
		if j.stream.Queue != queue {
			continue
		}
		limit := lateFactor * s.objective(id)
		begin := Later(s.accepted[id], j.begin)
		if s.workload.FromSubmission {
			begin = j.begin
		}
		took := s.done[id].Sub(begin)
		switch c := s.refused[id]; {
		case c != nil:
			out.refused++
			took = c.gaveUp.Sub(begin)
			if _, ran := s.done[id]; ran || s.Knows(id, false) {
				s.is.Fail() // a refused job ran
			}
		case s.done[id].IsZero() || took > limit:
			out.never++
			took = limit
		case took > limit/lateFactor:
			out.late++
		default:
			out.onTime++
		}
		out.known = append(out.known, took+begin.Sub(j.begin))
	}
	return out
}

// admissionVariants are what an entry does with jobs whose forecast is too late.
var admissionVariants = []struct {
	name    string
	options []AdmissionOption
}{{"accept-all", nil}, {"without-evidence", []AdmissionOption{WithoutEvidence()}}, {"forecast", nil}}

// simulateAdmission simulates a load with each variant and returns the results of the
// wide jobs by variant. No urgent job, for which there is room, may be refused.
func simulateAdmission(t *testing.T, name string) map[string]*admissionResult {
	load := readWorkload(t, "testdata/load/admission/"+name+".json")
	var table bytes.Buffer
	total := map[string]*admissionResult{}
	for _, v := range admissionVariants {
		sum := &admissionResult{}
		total[v.name] = sum
		for _, seed := range loadSeeds {
			s := newAdmissionSim(t, load, seed, v.options...)
			if v.name == "accept-all" {
				s.offer = func(j Job) { s.Add(j, s.now) }
			}
			s.run()
			r, urgent := s.results("queue"), s.results("urgent")
			if urgent.refused > 0 {
				t.Errorf("%s, seed %d: %d urgent jobs are refused", v.name, seed, urgent.refused)
			}
			slices.Sort(s.errors)
			fmt.Fprintf(&table, "%s seed %d: urgent %d on time, %d late; queue %s; forecast error %.1f s, 90th percentile %.1f s\n", v.name, seed,
				urgent.onTime, urgent.late, r.describe(), s.errors[len(s.errors)/2].Seconds(), s.errors[len(s.errors)*9/10].Seconds())
			sum.add(r)
			sum.errors = append(sum.errors, s.errors...)
		}
		fmt.Fprintf(&table, "%s: queue %s\n", v.name, sum.describe())
	}
	golden.Check(t, "testdata/load/admission/"+name+".golden", table.Bytes())
	return total
}

// TestGoldenAdmission simulates wide best-effort jobs beyond all room with and without
// admission. With admission, fewer accepted jobs may come to nothing, and more must be
// on time. The evidence, which needs jobs that come to nothing, must leave most of the
// gain.
func TestGoldenAdmission(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	total := simulateAdmission(t, "wide-jobs-beyond-room")
	baseline, certain, forecast := total["accept-all"], total["without-evidence"], total["forecast"]
	is.True(certain.never < baseline.never)   // fewer accepted jobs come to nothing
	is.True(certain.onTime > baseline.onTime) // more jobs are on time
	is.True(certain.error() < maxMedianError) // the forecast is close to the true ends
	is.True(2*(baseline.never-forecast.never) > baseline.never-certain.never)
	is.True(2*(forecast.onTime-baseline.onTime) > certain.onTime-baseline.onTime)
}

// TestGoldenBursts simulates bursts of 5 s beside serving tasks whose load swings.
// There, the forecast alone refuses jobs that would be done, and fewer are on time than
// without admission. With the evidence, there must be no loss.
func TestGoldenBursts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	total := simulateAdmission(t, "bursts-beside-serving")
	baseline, certain, forecast := total["accept-all"], total["without-evidence"], total["forecast"]
	is.True(certain.onTime < baseline.onTime) // the load is one on which the forecast alone loses
	is.True(forecast.onTime >= baseline.onTime)
	is.True(forecast.onTime+forecast.late >= baseline.onTime+baseline.late)
}

func (r *admissionResult) describe() string {
	slices.Sort(r.known)
	return fmt.Sprintf("%d on time, %d late, %d never, %d refused, known after %.1f s", r.onTime, r.late, r.never, r.refused,
		r.known[len(r.known)/2].Seconds())
}

func (r *admissionResult) add(o admissionResult) {
	r.onTime += o.onTime
	r.late += o.late
	r.never += o.never
	r.refused += o.refused
	r.known = append(r.known, o.known...)
}

// Where there is room, no job may be refused, also while workers are slow or fail.
func TestNoRefusalWithRoom(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"slow-workers", "workers-that-fail-all", "builds-that-harm-feeds"} {
		s := newAdmissionSim(t, readWorkload(t, "testdata/load/"+name+".json"), loadSeeds[0])
		s.run()
		is.New(t).Equal(s.refusals, 0)
	}
}
