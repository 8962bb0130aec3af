// Package swing forecasts loads that swing regularly, such as that of users who come in
// waves. It answers the load pattern in which work of a few seconds has to fit beside a load
// that rises and falls within tens of seconds: judged by its peak, there is never room for
// the work, and judged by its present level, the load rises before the work has ended.
//
// Invariant: a forecast exists only while one wave explains most of what was observed. A
// Load belongs to one goroutine.
package swing

import (
	"math"
	"time"
)

// Parameters of a Load.
const (
	// bucketLength is the time over which samples are averaged. Waves are far longer.
	bucketLength = 500 * time.Millisecond
	// maxBuckets limits the history, which covers the longest period with a margin.
	maxBuckets = 50
	// minPeriod and maxPeriod limit the periods of the waves that are looked for, and
	// periodRatio is the ratio of one tried period to the next. Within a history of
	// two periods, an error of half that ratio shifts the wave by a fifteenth of a period.
	minPeriod   = 4 * time.Second
	maxPeriod   = 24 * time.Second
	periodRatio = 1.07
	// minPeriodsSeen is the least history, in periods. From less, a wave cannot be told
	// from a trend.
	minPeriodsSeen = 0.9
	// minExplained is the least share of the variance that the wave must explain.
	minExplained = 0.75
	// minAmplitude is the least amplitude of the wave. Smaller ones leave no room in their
	// troughs, and changes of what else is learned pass for them.
	minAmplitude = 0.05
	// fitInterval is the least time between two fits.
	fitInterval = time.Second
	// maxSampleAge is how old the newest sample may be: the load may have changed, and the
	// error of the period grows with the time since then.
	maxSampleAge = 10 * time.Second
	// recentBuckets is the number of the newest buckets from which the present difference
	// from the wave is taken.
	recentBuckets = 2
)

// Load is the history of a load and the wave that was fitted to it. The zero value has
// no history.
type Load struct {
	buckets  []bucket
	wave     wave
	fittedAt time.Time
}

// bucket is the mean of the samples of one bucketLength. Their mean time is at.
type bucket struct {
	begin, at time.Time
	mean      float64
	samples   int
}

// wave is mean + cosine*cos(w) + sine*sin(w), with w the phase since origin.
type wave struct {
	origin             time.Time
	period             time.Duration
	mean, cosine, sine float64
	// deviation is the standard deviation of the history from the wave, and offset by how
	// much the newest samples are above it.
	deviation, offset float64
}

// Observe adds a sample of the load at the given time, which must not decrease.
func (l *Load) Observe(v float64, at time.Time) {
	if n := len(l.buckets); n > 0 && at.Sub(l.buckets[n-1].begin) < bucketLength {
		b := &l.buckets[n-1]
		b.samples++
		b.mean += (v - b.mean) / float64(b.samples)
		b.at = b.at.Add(at.Sub(b.at) / time.Duration(b.samples))
		return
	}
	if len(l.buckets) == maxBuckets {
		l.buckets = append(l.buckets[:0], l.buckets[1:]...)
	}
	l.buckets = append(l.buckets, bucket{at, at, v, 1})
}

// Max returns the highest load that is expected between from and to, plus the given number
// of standard deviations. The result is false if the load does not swing regularly, or
// was not observed for long enough to tell, or not lately.
func (l *Load) Max(from, to time.Time, deviations float64) (float64, bool) {
	if n := len(l.buckets); n == 0 || from.Sub(l.buckets[n-1].at) > maxSampleAge {
		return 0, false
	}
	if from.Sub(l.fittedAt) >= fitInterval {
		l.fittedAt = from
		l.fit()
	}
	if l.wave.period == 0 {
		return 0, false
	}
	return l.wave.max(from, to) + l.wave.offset + deviations*l.wave.deviation, true
}

// fit fits the wave of the period that leaves the least variance.
func (l *Load) fit() {
	l.wave = wave{}
	total := l.residual(&wave{mean: l.meanLoad(), origin: l.buckets[0].at, period: maxPeriod})
	seen := l.buckets[len(l.buckets)-1].at.Sub(l.buckets[0].at)
	least := total * (1 - minExplained)
	try := func(p time.Duration) {
		if w, ok := l.fitPeriod(p); ok {
			if r := l.residual(&w); r < least && w.amplitude() >= minAmplitude {
				least, l.wave = r, w
			}
		}
	}
	for p := minPeriod; p <= maxPeriod && seen.Seconds() >= minPeriodsSeen*p.Seconds(); p = scale(p, periodRatio) {
		try(p)
	}
	if l.wave.period == 0 {
		return
	}
	best, step := l.wave.period, math.Sqrt(periodRatio)
	try(scale(best, step))
	try(scale(best, 1/step))
	l.wave.deviation = math.Sqrt(least)
	l.wave.offset = l.recentOffset()
}

func scale(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }

func (l *Load) meanLoad() float64 {
	sum := 0.0
	for _, b := range l.buckets {
		sum += b.mean
	}
	return sum / float64(len(l.buckets))
}

// residual returns the mean square of the differences between the history and w.
func (l *Load) residual(w *wave) float64 {
	sum := 0.0
	for _, b := range l.buckets {
		d := b.mean - w.at(b.at)
		sum += d * d
	}
	return sum / float64(len(l.buckets))
}

// recentOffset returns by how much the newest samples are above the wave on average.
func (l *Load) recentOffset() float64 {
	newest := l.buckets[max(0, len(l.buckets)-recentBuckets):]
	sum := 0.0
	for _, b := range newest {
		sum += b.mean - l.wave.at(b.at)
	}
	return sum / float64(len(newest))
}

// fitPeriod returns the wave of the given period with the least squares of differences.
func (l *Load) fitPeriod(p time.Duration) (wave, bool) {
	w := wave{origin: l.buckets[0].at, period: p}
	var a [3][4]float64 // the normal equations
	for _, b := range l.buckets {
		sin, cos := math.Sincos(w.phase(b.at))
		row := [4]float64{1, cos, sin, b.mean}
		for i := range a {
			for j := range a[i] {
				a[i][j] += row[i] * row[j]
			}
		}
	}
	x, ok := solve(a)
	w.mean, w.cosine, w.sine = x[0], x[1], x[2]
	return w, ok
}

// minPivot is the least pivot with which solve divides.
const minPivot = 1e-9

// solve solves three linear equations by elimination. The result is false if they have no
// single solution. The matrix is positive definite unless the samples are too few, so
// that no rows need to be exchanged.
func solve(a [3][4]float64) ([3]float64, bool) {
	for i := range a {
		if a[i][i] < minPivot {
			return [3]float64{}, false
		}
		for k := i + 1; k < len(a); k++ {
			f := a[k][i] / a[i][i]
			for j := i; j < len(a[k]); j++ {
				a[k][j] -= f * a[i][j]
			}
		}
	}
	var x [3]float64
	for i := len(a) - 1; i >= 0; i-- {
		x[i] = a[i][3]
		for j := i + 1; j < len(a); j++ {
			x[i] -= a[i][j] * x[j]
		}
		x[i] /= a[i][i]
	}
	return x, true
}

// phase returns the phase of the wave at a time, in radians.
func (w *wave) phase(t time.Time) float64 {
	return 2 * math.Pi * t.Sub(w.origin).Seconds() / w.period.Seconds()
}

func (w *wave) amplitude() float64 { return math.Hypot(w.cosine, w.sine) }

func (w *wave) at(t time.Time) float64 {
	sin, cos := math.Sincos(w.phase(t))
	return w.mean + w.cosine*cos + w.sine*sin
}

// max returns the highest value between from and to: the crest, if it is between them, or
// that at one of them.
func (w *wave) max(from, to time.Time) float64 {
	crest := math.Atan2(w.sine, w.cosine)
	wait := math.Mod(crest-w.phase(from), 2*math.Pi)
	if wait < 0 {
		wait += 2 * math.Pi
	}
	if wait <= w.phase(to)-w.phase(from) {
		return w.mean + w.amplitude()
	}
	return max(w.at(from), w.at(to))
}
