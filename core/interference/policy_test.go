package interference

import (
	"fmt"
	"math"
	"testing"
	"time"

	"rosemarygap/core/wire"
	"rosemarygap/io/golden"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { golden.FixSeed(m, "") }

const target = 100 * time.Millisecond

func newPolicy(opts ...Option) *Policy {
	p := New(opts...)
	p.SetTargets(map[string]time.Duration{"s": target})
	return p
}

// newMeasurement returns a measurement on a VM whose interval ended age before now. The
// ratio of its latency to the target is targetRatio.
func newMeasurement(vm string, now time.Time, age time.Duration, targetRatio, load float64) Measurement {
	return Measurement{Service: "s", VM: vm, From: now.Add(-age - 10*time.Second), To: now.Add(-age),
		Requests: 500, P99: wire.Duration(float64(target) * targetRatio), Load: load}
}

// Guards against attributing a late measurement to the tasks that run on its arrival: it
// must be attributed to the class that ran in its interval, even if other tasks have
// replaced that class since.
func TestLateMeasurementsAreAttributed(t *testing.T) {
	p := newPolicy()
	now := time.Unix(0, 0)
	for round := range 60 {
		noisy := round%2 == 0
		class := map[bool]string{true: "noisy", false: "quiet"}[noisy]
		for range 30 {
			now = now.Add(time.Second)
			p.Decide([]Task{{Job: fmt.Sprint(round), Class: class, VM: "a"}}, now)
		}
		// The measurement of the previous round arrives in this round.
		p.Observe(newMeasurement("a", now, 35*time.Second, map[bool]float64{true: 0.5, false: 1.5}[noisy], 0.4), now)
	}
	noisy, quiet := p.model.effect("s", "noisy", 1, now), p.model.effect("s", "quiet", 1, now)
	if noisy < math.Log(2) || quiet > 0.1 {
		t.Fatalf("learned an effect of %.2f for the noisy class and %.2f for the quiet one", noisy, quiet)
	}
}

// Learned effects are close to the prior after few measurements, accurate after many,
// and decay without measurements.
func TestEffectsConvergeAndDecay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slowdown := rapid.Float64Range(1.5, 4).Draw(t, "slower")
		p, now := newPolicy(), time.Unix(0, 0)
		observe := func() {
			for i, vm := range []string{"a", "b"} {
				p.Observe(newMeasurement(vm, now, 15*time.Second, []float64{0.4 * slowdown, 0.4}[i], 0.4), now)
			}
		}
		step := func(d time.Duration) {
			now = now.Add(d)
			p.Decide([]Task{{Job: "1", Class: "noisy", VM: "a"}, {Job: "2", Class: "quiet", VM: "b"}}, now)
		}
		step(time.Second)
		step(30 * time.Second)
		observe()
		if e := p.model.effect("s", "noisy", 1, now); e > math.Log(slowdown)*0.9 {
			t.Fatalf("learned an effect of %.2f from one measurement; the actual effect is %.2f", e, math.Log(slowdown))
		}
		for range 60 {
			step(10 * time.Second)
			observe()
		}
		learned := p.model.effect("s", "noisy", 1, now) - p.model.effect("s", "quiet", 1, now)
		if math.Abs(learned-math.Log(slowdown)) > 0.35*math.Log(slowdown) {
			t.Fatalf("learned an effect of %.2f; the actual effect is %.2f", learned, math.Log(slowdown))
		}
		if e := p.model.effect("s", "noisy", 1, now.Add(48*time.Hour)); e > 0.05 {
			t.Fatalf("an effect of %.2f is left after two days without measurements", e)
		}
	})
}

// For random measurements, urgent tasks are neither throttled nor evicted, evictions stay
// within the budget and follow a throttle that had time to take effect, and at least one
// endpoint of the service keeps its full weight.
func TestCountermeasuresStayWithinBounds(t *testing.T) {
	const every, burst = 2 * time.Minute, 2
	rapid.Check(t, func(t *rapid.T) {
		p, now, evictions := newPolicy(WithEvictionBudget(every, burst)), time.Unix(0, 0), 0
		tasks := make([]Task, 12)
		for i := range tasks {
			class := rapid.SampledFrom([]string{"a", "b", "urgent"}).Draw(t, "class")
			tasks[i] = Task{Job: fmt.Sprint(i), Class: class, VM: fmt.Sprint("vm-", i%3), Urgent: class == "urgent"}
		}
		throttledAt := make(map[string]time.Time)
		for range 120 {
			now = now.Add(10 * time.Second)
			for i := range 3 {
				targetRatio := rapid.Float64Range(0.3, 6).Draw(t, "over")
				p.Observe(newMeasurement(fmt.Sprint("vm-", i), now, 10*time.Second, targetRatio, 0.9), now)
			}
			d := p.Decide(tasks, now)
			for _, th := range d.Throttles {
				applyThrottle(t, tasks, th, throttledAt, now)
			}
			for _, job := range d.Evictions {
				evictions++
				if at, ok := throttledAt[job]; !ok || now.Sub(at) < settleTime {
					t.Fatalf("job %s was evicted before its throttle could take effect", job)
				}
				for i := range tasks {
					if tasks[i].Job == job && tasks[i].Urgent {
						t.Fatalf("urgent job %s was evicted", job)
					}
				}
			}
			if limit := burst + int(now.Sub(time.Unix(0, 0))/every); evictions > limit {
				t.Fatalf("%d evictions, but the budget allows %d", evictions, limit)
			}
			if d.Weights.Len() >= 3 {
				t.Fatal("all endpoints are avoided")
			}
		}
	})
}

func applyThrottle(t *rapid.T, tasks []Task, th Throttle, at map[string]time.Time, now time.Time) {
	for i := range tasks {
		if tasks[i].Job != th.Job {
			continue
		}
		if tasks[i].Urgent {
			t.Fatalf("urgent job %s was throttled", th.Job)
		}
		tasks[i].Throttle = th.ShareMilli
		at[th.Job] = now
		if th.ShareMilli == 0 {
			delete(at, th.Job)
		}
	}
}
