package job

import (
	"maps"
	"math"
	"slices"
)

// Parameters of a regression of utilization on the processors of images.
const (
	// priorEffect is what a processor of an unknown image is taken to add,
	// and priorVariance how unsure that is; harmful images add about 0.08.
	priorEffect   = 0.03
	priorVariance = 0.01
	// lookVariance is the variance of one look at a tail.
	lookVariance = 0.003
	// driftVariance keeps old looks from outweighing new ones for good.
	driftVariance = 1e-6
	// restoredVariance is how unsure the effects are that another owner learnt.
	restoredVariance = 0.001
	// effectDigits is the precision of stored effects.
	effectDigits = 1000
	// effectUnit divides an effect into units that are far below any effect.
	effectUnit = 1e9
	// maxEffect bounds the effect of one processor.
	maxEffect = 0.5
)

// regression learns the effect of each image by recursive least squares, that
// is a Kalman filter with constant coefficients. Effects are never negative.
type regression struct {
	index    map[string]int
	effects  []float64
	variance [][]float64
}

func newRegression() *regression { return &regression{index: map[string]int{}} }

// effect returns the effect of one processor of an image.
func (r *regression) effect(image string) float64 {
	if i, ok := r.index[image]; ok {
		return r.effects[i]
	}
	return priorEffect
}

// cautious returns the effect of one processor of an image, and a number of
// standard deviations more.
func (r *regression) cautious(image string, deviations float64) float64 {
	variance := priorVariance
	if i, ok := r.index[image]; ok {
		variance = max(0, r.variance[i][i])
	}
	return r.effect(image) + deviations*math.Sqrt(variance)
}

// predict returns the effect of u, each image's with a number of standard
// deviations more.
func (r *regression) predict(u usage, deviations float64) float64 {
	// Whole units add up to the same sum in any order of the map.
	sum := int64(0)
	for image, processors := range u {
		sum += int64(math.Round(r.cautious(image, deviations) * processors * effectUnit))
	}
	return float64(sum) / effectUnit
}

// add makes room for an image that was not seen before.
func (r *regression) add(image string) {
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

// restore sets the effects that an earlier owner learnt, of which the latest
// looks are less sure than its own.
func (r *regression) restore(effects map[string]float64) {
	for _, image := range slices.Sorted(maps.Keys(effects)) {
		r.add(image)
		i := r.index[image]
		r.effects[i] = min(maxEffect, max(0, effects[image]))
		r.variance[i][i] = restoredVariance
	}
}

// known returns the effects by image.
func (r *regression) known() map[string]float64 {
	out := make(map[string]float64, len(r.effects))
	for image, i := range r.index {
		out[image] = math.Round(r.effects[i]*effectDigits) / effectDigits
	}
	return out
}

// observe takes in that the differences in usage u came with a difference in
// utilization, which is as sure as several looks allow.
func (r *regression) observe(difference float64, u usage, looks float64) {
	images := slices.Sorted(maps.Keys(u))
	for _, image := range images {
		r.add(image)
	}
	n := len(r.effects)
	gain := make([]float64, n)
	total := lookVariance * looks
	for _, image := range images {
		j := r.index[image]
		for i := range gain {
			gain[i] += r.variance[i][j] * u[image]
		}
	}
	for _, image := range images {
		total += u[image] * gain[r.index[image]]
	}
	surprise := difference - r.predict(u, 0)
	for i := range r.effects {
		r.effects[i] = min(maxEffect, max(0, r.effects[i]+gain[i]*surprise/total))
		for j := range r.effects {
			r.variance[i][j] -= gain[i] * gain[j] / total
		}
		r.variance[i][i] += driftVariance
	}
}
