package job

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

// Without evidence, and below the level from which there is some, a forecast that is
// too late must not refuse: such jobs were done in bursts. Trials must be accepted.
func TestRefusalNeedsEvidence(t *testing.T) {
	now := time.Unix(1000, 0)
	trials := 0
	for n := range 1600 {
		j := wideJob(n)
		for threshold, refuse := range map[lateness]bool{0: false, 1: true, 6: true, 10: false} {
			a, f := NewAdmission(), fullForecast()
			f.Queues = (&queueForecast{queue: hashName(admissionQueue.ID()), bestEffort: true, wait: time.Minute, rate: 100, ratio: 1,
				lateShare: 1, threshold: threshold}).append(nil) // at 0.75 of the wait, the job ends after 3.2 times its limit
			is.New(t).NoErr(a.Receive(&f, now, now, 3, &Configuration{Queues: []Queue{admissionQueue}}))
			refused := a.Decide(&j, &admissionQueue, 3, now) != nil
			if threshold == 1 && !refused {
				trials++
			}
			is.New(t).Equal(refused, refuse && !isTrial(j.ID))
		}
	}
	is.New(t).True(trials > 1600/trialInterval/2 && trials < 1600/trialInterval*2)
}

// A record of a build without evidence must be ignored, and such a build must take a
// record of this one for malformed. Otherwise one of them refuses without evidence.
func TestRecordWithoutEvidenceIsIgnored(t *testing.T) {
	is := is.New(t)
	f := fullForecast()
	is.True(f.Queues[10] > percent) // an earlier build refuses shares above 1
	f.Queues[10] &^= thresholdBit
	_, _, err := f.decode()
	is.True(errors.Is(err, ErrForecastMalformed))
}

// The threshold is the lowest level of which enough came to nothing, together with
// the levels above it.
func TestThreshold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		e := &forecastEvidence{}
		levels := rapid.SliceOfN(rapid.IntRange(1, latenessLevels-1), 0, 40).Draw(t, "levels")
		outcomes := rapid.SliceOfN(rapid.IntRange(0, int(useful)), len(levels), len(levels)).Draw(t, "outcomes")
		for i := range levels {
			e.add(&evidenceCase{queue: "q", level: lateness(levels[i]), acceptedAt: now, outcome: evidenceOutcome(outcomes[i])})
		}
		e.summarize(now)
		want := 0
		for level := latenessLevels - 1; level > 0; level-- {
			failed, decided := 0, 0
			for i := range levels {
				if levels[i] >= level && outcomes[i] != int(undecided) {
					decided++
					failed += boolRank(outcomes[i] == int(worthless))
				}
			}
			if failed >= minEvidence && 3*failed > 2*decided {
				want = level
			}
		}
		is.New(t).Equal(e.threshold("q", serviceKind{}), lateness(want))
	})
}

// A queue with few cases has those of its kind, and no others. Old cases count less,
// and after some minutes not at all.
func TestEvidenceOfAKindDecays(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	e, kind := &forecastEvidence{}, serviceKind{"svc", true}
	for range 2 * minEvidence {
		e.add(&evidenceCase{queue: "other", kind: kind, level: 3, acceptedAt: now, outcome: worthless})
	}
	e.add(&evidenceCase{queue: "queue", kind: kind, level: 3, acceptedAt: now, outcome: useful})
	e.summarize(now)
	is.Equal(e.threshold("queue", kind), lateness(1)) // those of level 3 are as late or later
	is.Equal(e.threshold("queue", serviceKind{"svc", false}), lateness(0))
	e.summarize(now.Add(evidencePeriod * 3 / 4))
	is.Equal(e.threshold("queue", kind), lateness(0))
	e.summarize(now.Add(evidencePeriod))
	is.Equal(len(e.cases), 0)
}

// evidenceTest is a cell whose forecast for new jobs is too late, and a job that was
// accepted all the same.
func evidenceTest(t *testing.T) (*testCluster, *evidenceCase) {
	tc := newTestCluster(t, 1)
	tc.now = tc.now.Add(minForecastEpochAge)
	tc.deliverReport("agent-0")
	for i := range 40 {
		j := wideJob(i)
		j.Accepted = tc.now
		tc.Add(j, tc.now)
	}
	tc.deliverReport("agent-0")
	tc.Forecast(tc.now)
	j := wideJob(40)
	j.Accepted = tc.now
	tc.Add(j, tc.now)
	k := tc.jobs.Get(j.ID).evidence
	tc.is.True(k != nil && k.outcome == undecided)
	return tc, k
}

// What became of an accepted job decides its case. A cancelled or failed job says
// nothing of the forecast, and a useful end corrects what was expected before.
func TestOutcomeOfACase(t *testing.T) {
	id := wideJob(40).ID
	for name, c := range map[string]struct {
		after   time.Duration
		state   State
		outcome evidenceOutcome
	}{
		"done in time":  {time.Second, Done, useful},
		"done too late": {time.Minute, Done, worthless},
		"cancelled":     {time.Second, Cancelled, undecided},
		"failed":        {time.Second, Failed, undecided},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tc, k := evidenceTest(t)
			k.outcome = worthless // expected before the end
			tc.endJob(tc.jobs.Get(id), c.state, tc.now.Add(c.after))
			is.Equal(k.outcome, c.outcome)
		})
	}
	t.Run("late, and new jobs would be too late", func(t *testing.T) {
		is := is.New(t)
		tc, k := evidenceTest(t)
		tc.now = tc.now.Add(4 * time.Second) // its objective is 5 s, its critical path 2 s
		tc.deliverReport("agent-0")
		tc.Forecast(tc.now)
		is.Equal(k.outcome, worthless)
		tc.endJob(tc.jobs.Get(id), Done, tc.now)
		is.Equal(k.outcome, useful)
	})
	t.Run("late, and the overload is over", func(t *testing.T) {
		is := is.New(t)
		tc, k := evidenceTest(t)
		tc.forecaster.newest[testQueue] = queueForecast{bestEffort: true, rate: 100, ratio: 1, lateShare: 1}
		tc.now = tc.now.Add(4 * time.Second)
		tc.deliverReport("agent-0")
		tc.Forecast(tc.now)
		is.Equal(k.outcome, undecided)
	})
	t.Run("no longer possible", func(t *testing.T) {
		is := is.New(t)
		tc, k := evidenceTest(t)
		tc.now = tc.now.Add(14 * time.Second)
		tc.deliverReport("agent-0")
		tc.Forecast(tc.now)
		is.Equal(k.outcome, worthless)
	})
}

// While best-effort tasks wait beside serving tasks that leave processors, they drain
// at what they use, on the average of seconds. While processors are lacking, they
// drain at what they hold.
func TestDrainRateBesideServing(t *testing.T) {
	for _, c := range []struct {
		serving, free  int
		sample, weight float64
	}{{20000, 30000, 40, interferenceRateWeight}, {20000, 6000, 70, rateWeight}, {0, 30000, 70, rateWeight}} {
		t.Run(fmt.Sprint(c.serving, c.free), func(t *testing.T) {
			is := is.New(t)
			b, j := backlog{drains: map[string]*drainSample{}, ready: 1}, wideJob(1)
			w := &workerRow{Worker: Worker{Service: "svc", Capacity: Resources{Processors: c.free + c.serving/2}}, servingProcessors: c.serving}
			w.used.Processors = c.serving
			w.recordUse(usage{"image": 10}, 4)
			b.sampleDrain(w)
			b.waiting = []candidate{{queue: &admissionQueue, step: &stepRow{spec: &j.Steps[0]}}}
			sample, weight := b.rateSample(serviceKind{"svc", true}, 70, 100)
			is.Equal(sample, c.sample)
			is.Equal(weight, c.weight)
		})
	}
}
