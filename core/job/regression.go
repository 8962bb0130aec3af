package job

import (
	"maps"
	"math"
	"slices"
)

// Parameters of the regression of utilization on processor use by image.
const (
	// priorEffect is the utilization that a processor of an unknown image is
	// assumed to add, and priorVariance its variance; interfering images add
	// about 0.08.
	priorEffect   = 0.03
	priorVariance = 0.01
	// sampleVariance is the variance of one utilization sample.
	sampleVariance = 0.003
	// driftVariance is added with each sample, so that old samples do not
	// outweigh new ones forever.
	driftVariance = 1e-6
	// restoredVariance is the variance of effects that an earlier owner
	// learned.
	restoredVariance = 0.001
	// effectPrecision is the number of steps per unit in stored effects.
	effectPrecision = 1000
	// effectResolution is the number of steps per unit in sums of effects; a
	// step is far smaller than any effect.
	effectResolution = 1e9
	// maxEffect limits the effect of one processor.
	maxEffect = 0.5
)

// regression estimates the effect of each image by recursive least squares, that
// is, by a Kalman filter with constant coefficients. Effects are never negative.
type regression struct {
	index    map[string]int
	effects  []float64
	variance [][]float64
}

func newRegression() *regression { return &regression{index: map[string]int{}} }

// effect returns the estimated effect of one processor of an image.
func (r *regression) effect(image string) float64 {
	if i, ok := r.index[image]; ok {
		return r.effects[i]
	}
	return priorEffect
}

// upperEffect returns the effect of one processor of an image, plus the given
// number of standard deviations.
func (r *regression) upperEffect(image string, deviations float64) float64 {
	variance := priorVariance
	if i, ok := r.index[image]; ok {
		variance = max(0, r.variance[i][i])
	}
	return r.effect(image) + deviations*math.Sqrt(variance)
}

// predict returns the effect of u, where the effect of each image is increased
// by the given number of standard deviations.
func (r *regression) predict(u usage, deviations float64) float64 {
	// A sum of integers does not depend on the iteration order of the map.
	sum := int64(0)
	for image, processors := range u {
		sum += int64(math.Round(r.upperEffect(image, deviations) * processors * effectResolution))
	}
	return float64(sum) / effectResolution
}

// addImage adds an image with the prior effect, unless the image is known.
func (r *regression) addImage(image string) {
	if _, ok := r.index[image]; ok {
		return
	}
	n := len(r.effects)
	r.index[image] = n
	r.effects = append(r.effects, priorEffect)
	for i := range r.variance {
		r.variance[i] = append(r.variance[i], 0)
	}
	row := make([]float64, n+1)
	row[n] = priorVariance
	r.variance = append(r.variance, row)
}

// restore sets the effects that an earlier owner learned. They are less certain
// than effects that this owner learned itself.
func (r *regression) restore(effects map[string]float64) {
	for _, image := range slices.Sorted(maps.Keys(effects)) {
		r.addImage(image)
		i := r.index[image]
		r.effects[i] = min(maxEffect, max(0, effects[image]))
		r.variance[i][i] = restoredVariance
	}
}

// effectsByImage returns the rounded effects by image.
func (r *regression) effectsByImage() map[string]float64 {
	out := make(map[string]float64, len(r.effects))
	for image, i := range r.index {
		out[image] = math.Round(r.effects[i]*effectPrecision) / effectPrecision
	}
	return out
}

// observe updates the effects with a difference in utilization that came with
// the difference in usage u. The variance of the difference is samples times
// sampleVariance.
func (r *regression) observe(difference float64, u usage, samples float64) {
	images := slices.Sorted(maps.Keys(u))
	for _, image := range images {
		r.addImage(image)
	}
	n := len(r.effects)
	gain := make([]float64, n)
	residualVariance := sampleVariance * samples
	for _, image := range images {
		j := r.index[image]
		for i := range gain {
			gain[i] += r.variance[i][j] * u[image]
		}
	}
	for _, image := range images {
		residualVariance += u[image] * gain[r.index[image]]
	}
	residual := difference - r.predict(u, 0)
	for i := range r.effects {
		r.effects[i] = min(maxEffect, max(0, r.effects[i]+gain[i]*residual/residualVariance))
		for j := range r.effects {
			r.variance[i][j] -= gain[i] * gain[j] / residualVariance
		}
		r.variance[i][i] += driftVariance
	}
}
