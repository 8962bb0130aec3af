package swing

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// interval is the time between two samples.
const interval = 250 * time.Millisecond

// observe adds samples of f, whose argument is in seconds, up to the given time.
func observe(l *Load, begin time.Time, length time.Duration, f func(s float64) float64) time.Time {
	for d := time.Duration(0); d < length; d += interval {
		l.Observe(f(d.Seconds()), begin.Add(d))
	}
	return begin.Add(length)
}

// The forecast of a noisy wave is close to the highest load that follows, in the trough and
// on the slopes as on the crest.
func TestForecastOfWave(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		period := rapid.Float64Range(6, 12).Draw(t, "period")
		swing := rapid.Float64Range(0.1, 0.3).Draw(t, "swing")
		phase := rapid.Float64Range(0, 2*math.Pi).Draw(t, "phase")
		history := time.Duration(rapid.Float64Range(1.5, 2.2).Draw(t, "periods") * period * float64(time.Second))
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		f := func(s float64) float64 { return 0.5 + swing*math.Sin(2*math.Pi*s/period+phase) }
		var l Load
		begin := time.Unix(1000, 0)
		now := observe(&l, begin, history, func(s float64) float64 { return f(s) + 0.02*rng.NormFloat64() })
		const horizon = 2 * time.Second
		got, ok := l.Max(now, now.Add(horizon), 0)
		if !ok {
			t.Fatal("no forecast")
		}
		want := 0.0
		for d := time.Duration(0); d <= horizon; d += 10 * time.Millisecond {
			want = max(want, f((now.Sub(begin) + d).Seconds()))
		}
		if math.Abs(got-want) > 0.35*swing+0.03 {
			t.Fatalf("forecast %.3f, want %.3f", got, want)
		}
	})
}

// A load that does not swing regularly has no forecast, nor has one of which less than a
// wave was seen, or nothing lately.
func TestNoForecastOfIrregularLoad(t *testing.T) {
	is := is.New(t)
	begin := time.Unix(1000, 0)
	forecasts := 0
	const loads = 200
	for seed := range uint64(loads) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var l Load
		now := observe(&l, begin, 25*time.Second, func(float64) float64 { return 0.5 + 0.1*rng.NormFloat64() })
		if _, ok := l.Max(now, now.Add(time.Second), 0); ok {
			forecasts++
		}
	}
	is.Equal(forecasts, 0)

	var short Load
	now := observe(&short, begin, 3*time.Second, func(s float64) float64 { return math.Sin(2 * math.Pi * s / 10) })
	_, ok := short.Max(now, now.Add(time.Second), 0)
	is.True(!ok)
	var silent Load
	now = observe(&silent, begin, 25*time.Second, func(s float64) float64 { return math.Sin(2 * math.Pi * s / 10) })
	_, ok = silent.Max(now, now.Add(time.Second), 0)
	is.True(ok)
	now = now.Add(2 * maxSampleAge)
	_, ok = silent.Max(now, now.Add(time.Second), 0)
	is.True(!ok) // the samples have ended
	var none Load
	_, ok = none.Max(now, now.Add(time.Second), 0)
	is.True(!ok)
}

func BenchmarkFit(b *testing.B) {
	var l Load
	observe(&l, time.Unix(1000, 0), 25*time.Second, func(s float64) float64 { return math.Sin(2 * math.Pi * s / 10) })
	for b.Loop() {
		l.fit()
	}
}
