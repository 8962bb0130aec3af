package job

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"rosemarygap/core/status"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

var admissionQueue = Queue{Host: "host", Prefix: "/queue/", Service: "svc", Priority: 2, Stretch: 2, Target: time.Second}

// fullForecast returns a forecast in which a job of admissionQueue waits for a minute,
// and one shape of workers.
func fullForecast() Forecast {
	q := queueForecast{queue: hashName(admissionQueue.ID()), bestEffort: true, wait: time.Minute, rate: 100, ratio: 1, lateShare: 1, threshold: 1}
	s := workerShape{service: hashName("svc"), count: 2, capacity: Resources{Processors: 16000, Memory: 64000}, labels: labelBit("a")}
	return Forecast{Epoch: 3, Entries: 2, Queues: q.append(nil), Workers: s.append(nil)}
}

func wideJob(n int) Job {
	return testJob(n, Step{Tasks: 20, Need: Resources{Processors: 7000, Memory: 10}, Estimate: 2 * time.Second, BestEffort: true})
}

// A forecast that is stale, from the future, of an older epoch or malformed must not
// refuse a job, and its error must tell why. Otherwise an entry refuses by what an
// owner knew that has ended.
func TestUntrustedForecastRefusesNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	cfg := &Configuration{Queues: []Queue{admissionQueue}}
	for _, c := range []struct {
		name   string
		change func(*Forecast)
		later  time.Duration
		epoch  int64
		err    error
		refuse bool
	}{
		{"fresh", func(*Forecast) {}, 0, 3, nil, true},
		{"old enough to be trusted", func(*Forecast) {}, MaxForecastAge, 3, nil, true},
		{"stale at the decision", func(*Forecast) {}, MaxForecastAge + 1, 3, nil, false},
		{"the owner is replaced before the decision", func(*Forecast) {}, 0, 4, nil, false},
		{"stale on arrival", func(f *Forecast) { f.Age = MaxForecastAge + 1 }, 0, 3, ErrForecastStale, false},
		{"from the future", func(f *Forecast) { f.Age = -1 }, 0, 3, ErrForecastFuture, false},
		{"older epoch", func(f *Forecast) { f.Epoch = 2 }, 0, 3, ErrForecastEpoch, false},
		{"no epoch", func(f *Forecast) { f.Epoch = 0 }, 0, 3, ErrForecastMalformed, false},
		{"cut off", func(f *Forecast) { f.Queues = f.Queues[1:] }, 0, 3, ErrForecastMalformed, false},
		{"zeros", func(f *Forecast) { f.Queues = make([]byte, queueRecord) }, 0, 3, ErrForecastMalformed, false},
		{"a queue that is gone", func(f *Forecast) { f.Queues[0]++ }, 0, 3, ErrForecastQueueGone, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a, f, j := NewAdmission(), fullForecast(), wideJob(1)
			c.change(&f)
			err := a.Receive(&f, now, now, 3, cfg)
			is.True(errors.Is(err, c.err))
			is.Equal(err == nil, c.err == nil)
			is.Equal(a.Decide(&j, &admissionQueue, c.epoch, now.Add(c.later)) != nil, c.refuse)
		})
	}
}

// A record whose hash is that of two queues must refuse nothing, as it may be of the
// other queue.
func TestQueuesWithTheSameHash(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a, f, j := NewAdmission(), fullForecast(), wideJob(1)
	is.NoErr(a.Receive(&f, now, now, 3, &Configuration{Queues: []Queue{admissionQueue, admissionQueue}}))
	is.Equal(a.Decide(&j, &admissionQueue, 3, now), nil)
}

// Long-running and scheduled jobs, jobs of another kind than that of the forecast, and
// jobs without an objective are never refused for lack of room.
func TestJobsThatAreNotRefused(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a, f := NewAdmission(), fullForecast()
	is.NoErr(a.Receive(&f, now, now, 3, &Configuration{Queues: []Queue{admissionQueue}}))
	for _, change := range []func(*Job, *Queue){
		func(j *Job, _ *Queue) { j.Steps[0].LongRunning = true },
		func(j *Job, _ *Queue) { j.Schedule.Times = 1 },
		func(j *Job, _ *Queue) { j.Steps[0].BestEffort = false },
		func(_ *Job, q *Queue) { q.Stretch, q.Target = 0, 0 },
		func(_ *Job, q *Queue) { q.Prefix = "/other/" },
	} {
		j, q := wideJob(1), admissionQueue
		change(&j, &q)
		is.Equal(a.Decide(&j, &q, 3, now), nil)
	}
}

// The work accepted since the forecast counts until a forecast has it. Otherwise an
// entry accepts a whole burst between two forecasts.
func TestAcceptedWorkAddsToTheWait(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a, f, cfg := NewAdmission(), fullForecast(), &Configuration{Queues: []Queue{admissionQueue}}
	f.Queues = (&queueForecast{queue: hashName(admissionQueue.ID()), bestEffort: true, wait: time.Second, rate: 100, ratio: 1, lateShare: 1, threshold: 1}).append(nil)
	is.NoErr(a.Receive(&f, now, now, 3, cfg))
	j := wideJob(1)
	accepted := 0
	for ; a.Decide(&j, &admissionQueue, 3, now) == nil; accepted++ {
		a.RecordAccepted(&j, &admissionQueue, now)
	}
	is.Equal(accepted, 6) // 2.8 s each; beyond (15 s - 2 s) / 0.75 - 1 s - 0.8 s, jobs end too late
	now = now.Add(reportDelay)
	is.NoErr(a.Receive(&f, now, now, 3, cfg))
	is.True(a.Decide(&j, &admissionQueue, 3, now) != nil) // the forecast may not have the jobs yet
	now = now.Add(1)
	is.NoErr(a.Receive(&f, now, now, 3, cfg))
	is.Equal(a.Decide(&j, &admissionQueue, 3, now), nil)
}

// Returns are spread at the drain rate, in the order of the refusals, within the
// limits. A caller that returns too early keeps its place.
func TestReturnsAreSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		now := time.Unix(1000, 0)
		a, f := NewAdmission(WithoutEvidence()), fullForecast()
		q := queueForecast{queue: hashName(admissionQueue.ID()), bestEffort: true, rate: 100, ratio: 1, lateShare: 1, threshold: 1,
			wait: time.Duration(rapid.IntRange(20, 60).Draw(t, "wait")) * time.Second}
		f.Queues = q.append(nil)
		is.NoErr(a.Receive(&f, now, now, 3, &Configuration{Queues: []Queue{admissionQueue}}))
		last := time.Duration(0)
		for i := range rapid.IntRange(1, 20).Draw(t, "refusals") {
			j := wideJob(i)
			r := a.Decide(&j, &admissionQueue, 3, now)
			is.True(errors.Is(r.Reason, status.ErrNoRoom))
			after := a.RecordRefused(r, j.ID, &admissionQueue, now)
			is.True(after >= minRetryAfter && after <= maxRetryAfter)
			is.True(i == 0 || after == maxRetryAfter || after == last+2*2800*time.Millisecond) // 280 processor seconds at 2 entries
			is.Equal(a.RecordRefused(r, j.ID, &admissionQueue, now), after)
			last = after
		}
	})
}

// A job that no worker can run is refused only while all workers of its service are
// known.
func TestJobsThatCannotBePlaced(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name   string
		change func(*Step)
		refuse bool
	}{
		{"processors", func(s *Step) { s.Need.Processors = 16001 }, true},
		{"memory", func(s *Step) { s.Need.Memory = 64001 }, true},
		{"accelerators", func(s *Step) { s.Need.Accelerators = 1 }, true},
		{"label", func(s *Step) { s.Label = "b" }, true},
		{"gang wider than all workers", func(s *Step) { s.Gang = true }, true},
		{"step wider than all workers, one task after the other", func(*Step) {}, false},
		{"gang that fits", func(s *Step) { s.Gang, s.Tasks = true, 4 }, false},
		{"label of a worker", func(s *Step) { s.Label = "a" }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a, f, j := NewAdmission(), fullForecast(), wideJob(1)
			f.Queues = nil
			c.change(&j.Steps[0])
			is.NoErr(a.Receive(&f, now, now, 3, &Configuration{Queues: []Queue{admissionQueue}}))
			r := a.Decide(&j, &admissionQueue, 3, now)
			is.Equal(r != nil, c.refuse)
			is.True(r == nil || errors.Is(r.Reason, status.ErrCannotBePlaced))
			f.Workers = nil
			is.NoErr(a.Receive(&f, now, now, 3, &Configuration{Queues: []Queue{admissionQueue}}))
			is.Equal(a.Decide(&j, &admissionQueue, 3, now), nil)
		})
	}
}

// The owner tells the shapes of the workers only while all of them are known and none
// is missing, and no forecast at all in the first seconds of its ownership.
func TestShapesNeedAllWorkers(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t, 2)
	_, ok := tc.Forecast(tc.now)
	is.True(!ok)
	shapes := func() int {
		f, ok := tc.Forecast(tc.now)
		is.True(ok)
		return len(f.Workers) / shapeRecord
	}
	tc.now = tc.now.Add(minForecastEpochAge)
	tc.deliverReport("agent-0")
	tc.deliverReport("agent-1")
	is.Equal(shapes(), 0)
	tc.now = tc.now.Add(minKnownEpochAge)
	tc.deliverReport("agent-0")
	is.Equal(shapes(), 0) // agent-1 is silent
	tc.deliverReport("agent-1")
	is.Equal(shapes(), 1)
	tc.now = tc.now.Add(AddClockDrift(maxLeaseExtension))
	tc.deliverReport("agent-0")
	is.Equal(shapes(), 0) // the lease of agent-1 has expired
	tc.deliverReport("agent-1")
	is.Equal(shapes(), 1)
}

// A forecast of 45 queues and the most shapes is not larger than 1 kB.
func TestForecastSize(t *testing.T) {
	is := is.New(t)
	f := Forecast{Epoch: 1 << 30, Age: MaxForecastAge - 1, Entries: 99}
	for i := range maxQueues {
		f.Queues = (&queueForecast{queue: hashName(fmt.Sprint(i)), bestEffort: true, wait: time.Hour, rate: 1e6, ratio: 100, lateShare: 1, threshold: latenessLevels - 1}).append(f.Queues)
	}
	for range maxShapes {
		f.Workers = (&workerShape{service: 1 << 31, count: 1 << 20, capacity: Resources{Processors: 96000, Memory: 1 << 40}, labels: 1 << 63}).append(f.Workers)
	}
	b, err := json.Marshal(&f)
	is.NoErr(err)
	is.True(len(b) <= 1024)
	queues, shapes, err := f.decode()
	is.NoErr(err)
	is.Equal(len(queues), maxQueues)
	is.Equal(shapes[0].capacity, Resources{Processors: 96000, Memory: 1 << 40})
	is.Equal(queues[hashName("7")].rate, float64(bestEffortBit-1))
	is.Equal(queues[hashName("7")].threshold, lateness(latenessLevels-1))
}

// Room within a second of a forecast that refuses is reported, so that operators see
// refusals that were not needed. Without evidence, nothing was refused.
func TestRoomAfterRefusal(t *testing.T) {
	for cases, want := range map[int]int{0: 0, 2 * minEvidence: 1} {
		is := is.New(t)
		tc := newTestCluster(t, 1)
		tc.now = tc.now.Add(minForecastEpochAge)
		tc.deliverReport("agent-0")
		for i := range 40 {
			tc.Add(wideJob(i), tc.now)
		}
		tc.deliverReport("agent-0")
		for range cases {
			tc.forecaster.evidence.add(&evidenceCase{queue: testQueue, level: 1, acceptedAt: tc.now, outcome: worthless})
		}
		_, ok := tc.Forecast(tc.now)
		is.True(ok)
		is.True(tc.forecaster.newest[testQueue].wait > time.Minute)
		for i := range 40 {
			tc.Cancel(wideJob(i).ID, tc.now)
		}
		tc.Events()
		tc.now = tc.now.Add(refusalReview)
		tc.Forecast(tc.now)
		events := tc.Events()
		is.Equal(len(events), want)
		is.True(want == 0 || events[0].Kind == EventRoomAfterRefusal)
	}
}

// BenchmarkForecast measures a forecast with 2,000 waiting tasks. At 240 workers, it
// may take 0.1 ms.
func BenchmarkForecast(b *testing.B) {
	for _, workers := range []int{60, 240} {
		b.Run(fmt.Sprint("workers-", workers), func(b *testing.B) {
			o := newOverload(workers, 2000)
			o.now = o.now.Add(minForecastEpochAge)
			for i := range o.reports {
				o.report(i)
			}
			o.ConfirmOwnership(o.now)
			for b.Loop() {
				if _, ok := o.Forecast(o.now); !ok {
					b.Fatal("no forecast")
				}
			}
			if f := o.forecaster.newest[testQueue]; f.wait == 0 {
				b.Fatal("the forecast has no wait")
			}
		})
	}
}

// BenchmarkAdmission measures the decision of an entry that has accepted 30 jobs since
// the forecast, and refuses.
func BenchmarkAdmission(b *testing.B) {
	now := time.Unix(1000, 0)
	a, f, j := NewAdmission(), fullForecast(), wideJob(1)
	if err := a.Receive(&f, now, now, 3, &Configuration{Queues: []Queue{admissionQueue}}); err != nil {
		b.Fatal(err)
	}
	for range 30 {
		a.RecordAccepted(&j, &admissionQueue, now)
	}
	for b.Loop() {
		if a.Decide(&j, &admissionQueue, 3, now) == nil {
			b.Fatal("accepted")
		}
	}
}
