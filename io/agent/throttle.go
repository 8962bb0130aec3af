package agent

import (
	"time"

	"rosemarygap/core/job"
)

// Shares of processors, in percent, and fractions for the adjustment of shares.
const (
	fullShare = 100
	// unknownShare is the sent share of a run that did not confirm it.
	unknownShare = -1
	// minShare is the least share other than 0.
	minShare = 5
	// raiseStep is the most that one adjustment adds to a share. If the
	// interference of the image is known, the increase may be smaller.
	raiseStep = 34
	// stopInterferenceRatio is the least interference, as a fraction of the
	// largest one among the images in use, at which an image is stopped while
	// the utilization is above job.UtilizationCritical.
	stopInterferenceRatio = 0.5
	// minKeptFraction is the least fraction of a share that is left when an
	// adjustment lowers it.
	minKeptFraction = 0.25
)

const (
	// priorInterference is added to the learned interference of an image, so that
	// images whose interference is unknown are throttled too. It is a
	// utilization per processor of a worker of the reference size (see
	// job.InterferenceScale); images that interfere strongly have about 0.08.
	priorInterference = 0.015
	// adjustInterval is the least time between two adjustments.
	adjustInterval = 350 * time.Millisecond
	// settleTime is how long it takes until a lower share shows in the tail
	// latency: a command takes effect after 100 ms, and the tail latency is that
	// of the last half second.
	settleTime = 750 * time.Millisecond
	// overloadStopDelay is how long a serving task may be above the utilization
	// limit before all best-effort tasks are stopped. A tail latency above its
	// target for 4 s is a violation, and samples and commands are delayed by up
	// to 1.4 s.
	overloadStopDelay = 1500 * time.Millisecond
)

// throttle limits the processor shares of the best-effort tasks that run next
// to serving tasks on one worker. A serving task is a task with a target for its
// tail latency. Each image has its own share.
type throttle struct {
	shares map[string]int
	// adjustedAt is the time of the last adjustment, loweredAt that of the last
	// one that lowered shares.
	adjustedAt, loweredAt time.Time
	// overloadedSince is the time since which the most utilized serving task has
	// been above the limit, or zero.
	overloadedSince time.Time
	// sentShares is the share last sent to each best-effort run.
	sentShares map[runKey]int
	// interference is learned by the owner: the utilization that one processor
	// of a best-effort image adds to a serving image, by serving and
	// best-effort image.
	interference map[string]map[string]float64
	// scale is job.InterferenceScale of the worker.
	scale float64
	// sharing is true while serving and best-effort tasks run on the worker.
	sharing bool
}

func newThrottle() throttle {
	return throttle{shares: map[string]int{}, sentShares: map[runKey]int{}, scale: 1}
}

// command sets the share of a run.
type command struct {
	runKey
	share int
}

// loadSample is the load of a worker at one time.
type loadSample struct {
	// utilization is that of the most utilized serving task of each image,
	// inferred from its tail latency.
	utilization map[string]float64
	// processors is the processor use of each best-effort image.
	processors map[string]float64
}

func newLoadSample(running []job.Run, traits map[string]job.TaskTraits) loadSample {
	sample := loadSample{map[string]float64{}, map[string]float64{}}
	for _, r := range running {
		t := traits[r.Task]
		switch {
		case t.TailTarget > 0:
			sample.utilization[t.Image] = max(sample.utilization[t.Image], r.Utilization(t.TailTarget))
		case t.BestEffort:
			sample.processors[t.Image] += r.ProcessorUse()
		}
	}
	return sample
}

// mostUtilized returns the serving image with the highest utilization.
func (s *loadSample) mostUtilized() (image string, utilization float64) {
	for candidate, u := range s.utilization {
		if u > utilization || u == utilization && candidate < image {
			image, utilization = candidate, u
		}
	}
	return image, utilization
}

// update adjusts the shares to the load of the worker and returns the commands
// to send.
func (t *throttle) update(running []job.Run, traits map[string]job.TaskTraits, now time.Time) []command {
	sample := newLoadSample(running, traits)
	t.sharing = len(sample.processors) > 0 && len(sample.utilization) > 0
	if len(sample.utilization) == 0 {
		clear(t.shares)
	} else if now.Sub(t.adjustedAt) >= adjustInterval {
		t.adjustedAt = now
		t.adjust(sample, now)
	}
	return t.commands(running, traits)
}

// mayBeThrottled reports whether a run may have less than its full share.
func (t *throttle) mayBeThrottled(k runKey) bool {
	share, ok := t.sentShares[k]
	return ok && share != fullShare
}

// share returns the share of an image.
func (t *throttle) share(image string) int {
	if s, ok := t.shares[image]; ok {
		return s
	}
	return fullShare
}

// adjust keeps the utilization of the most utilized serving task just below the
// limit. If the load of a serving task rises, only the images that interfere
// with it get a lower share, and only by as much as needed.
func (t *throttle) adjust(sample loadSample, now time.Time) {
	image, utilization := sample.mostUtilized()
	if utilization <= job.UtilizationLimit {
		t.overloadedSince = time.Time{}
	} else if t.overloadedSince.IsZero() {
		t.overloadedSince = now
	}
	switch {
	case utilization > job.UtilizationLimit && now.Sub(t.overloadedSince) >= overloadStopDelay:
		for image := range sample.processors {
			t.set(image, 0)
		}
	case now.Sub(t.loweredAt) < settleTime:
	case utilization > job.UtilizationLimit:
		t.loweredAt = now
		t.lower(sample, image, utilization)
	case utilization < job.UtilizationResume:
		t.raise(sample)
	}
}

// lower lowers the shares of the images that interfere with the serving image,
// to bring its utilization down to job.UtilizationResume.
func (t *throttle) lower(sample loadSample, serving string, utilization float64) {
	excess := utilization - job.UtilizationResume
	interference := t.interference[serving]
	largest := t.maxInterference(interference, sample)
	// Shares are lowered in proportion to the interference of one processor of
	// the image.
	weights := map[string]float64{}
	total := 0.0
	for image, processors := range sample.processors {
		perProcessor := interference[image] + priorInterference/t.scale
		weights[image] = perProcessor / largest
		total += perProcessor * processors * weights[image]
	}
	if total == 0 {
		return
	}
	for image, weight := range weights {
		kept := max(minKeptFraction, 1-weight*excess/total)
		if utilization > job.UtilizationCritical && weight >= stopInterferenceRatio {
			kept = 0
		}
		t.set(image, int(float64(t.share(image))*kept))
	}
}

// maxInterference returns the largest interference of one processor among the
// images in use.
func (t *throttle) maxInterference(interference map[string]float64, sample loadSample) float64 {
	largest := 0.0
	for image := range sample.processors {
		largest = max(largest, interference[image]+priorInterference/t.scale)
	}
	return largest
}

// raise raises the share of each throttled image by 1 to raiseStep. It limits
// the increase so that the image alone brings no serving image above
// job.UtilizationResume, as far as its interference is known.
func (t *throttle) raise(sample loadSample) {
	for image, share := range t.shares {
		increase := float64(raiseStep)
		for serving, utilization := range sample.utilization {
			perProcessor := t.interference[serving][image]
			if processors := sample.processors[image]; perProcessor > 0 && processors > 0 && share > 0 {
				// The processor use of an image is proportional to its share.
				perShare := perProcessor * processors / float64(share)
				increase = min(increase, (job.UtilizationResume-utilization)/perShare)
			}
		}
		t.set(image, share+max(int(increase), 1))
	}
}

// set sets the share of an image. A share below minShare becomes 0.
func (t *throttle) set(image string, share int) {
	switch {
	case share >= fullShare:
		delete(t.shares, image)
	case share < minShare:
		t.shares[image] = 0
	default:
		t.shares[image] = share
	}
}

// commands returns the commands for the runs whose share differs from the last
// one sent, and records them as sent.
func (t *throttle) commands(running []job.Run, traits map[string]job.TaskTraits) []command {
	var out []command
	listed := map[runKey]bool{}
	for _, r := range running {
		k := runKey{r.Task, r.Run}
		if !traits[r.Task].BestEffort {
			continue
		}
		listed[k] = true
		sent, ok := t.sentShares[k]
		if !ok {
			sent = fullShare
		}
		if share := t.share(traits[r.Task].Image); sent != share {
			out = append(out, command{k, share})
			t.sentShares[k] = share
		}
	}
	for k := range t.sentShares {
		if !listed[k] {
			delete(t.sentShares, k)
		}
	}
	return out
}
