package job

import (
	"math"
	"slices"
	"time"
)

// Limits of the evidence for forecasts.
const (
	// evidencePeriod is how long a case counts. Its weight falls to 0 in this time.
	evidencePeriod = 4 * time.Minute
	// minEvidence is the least weight of the cases that came to nothing for a refusal,
	// and of the cases of a queue below which those of its kind count.
	minEvidence = 5
	// minFailedShare is the share of the cases that must have come to nothing.
	minFailedShare = 2.0 / 3
	// maxCases limits the cases that a cell keeps. The oldest are dropped first.
	maxCases = 1024
	// trialInterval is one in how many jobs is accepted that would be refused. Without
	// trials, refusals leave no evidence that the forecast is wrong.
	trialInterval = 16
)

// Levels of lateness. A forecast of the level n has the end of a job at
// latenessStep^(n-1) times the time after which its result has no value, or later.
// 0 means that the forecast is not too late.
const (
	latenessLevels = 16
	latenessStep   = 1.25
)

// lateness is the level of how far a forecast exceeds the time after which the result
// of a job has no value.
type lateness uint8

// lateness returns the level for a job that waits as long as given.
func (f *queueForecast) lateness(wait, criticalPath, objective time.Duration) lateness {
	if !f.refuses(wait, criticalPath, objective) {
		return 0
	}
	end := f.end(time.Duration(refusalMargin*float64(wait)), criticalPath, objective)
	level := 1 + math.Log(float64(end)/float64(lateFactor*objective))/math.Log(latenessStep)
	return lateness(min(level, latenessLevels-1))
}

// totalWait returns how long a job waits behind the work ahead of a new job and what
// was accepted since. A job that is wider than its share of the room takes longer than
// its critical path.
func (f *queueForecast) totalWait(accepted, work float64, criticalPath time.Duration) time.Duration {
	wait := f.wait + f.drain(accepted)
	if f.wait > 0 {
		wait += max(0, f.drain(work)-f.runTime(criticalPath))
	}
	return wait
}

// isTrial reports whether a job is accepted although its forecast and the evidence are
// against it. All entries choose the same jobs, so that a caller gains nothing by
// going to another one.
func isTrial(id string) bool { return hashName(id)%trialInterval == 0 }

// isSupported reports whether the evidence is that jobs of the level come to nothing,
// and the job is no trial.
func (f *queueForecast) isSupported(level lateness, id string) bool {
	return f.threshold > 0 && level >= f.threshold && !isTrial(id)
}

// evidenceOutcome is what became of an accepted job.
type evidenceOutcome int

const (
	undecided evidenceOutcome = iota
	// worthless is the outcome of a job that can no longer end while its result has a
	// value.
	worthless
	useful
)

// evidenceCase is an accepted job whose forecast was too late.
type evidenceCase struct {
	queue      string
	kind       serviceKind
	level      lateness
	acceptedAt time.Time
	outcome    evidenceOutcome
}

// tally is the weight of the decided cases by level.
type tally [latenessLevels]struct{ worthless, decided float64 }

// threshold returns the lowest level such that, of the cases of that or a higher
// level, enough came to nothing. It returns 0 if there is none.
func (t *tally) threshold() lateness {
	out, worthless, decided := lateness(0), 0.0, 0.0
	for level := latenessLevels - 1; level > 0; level-- {
		worthless += t[level].worthless
		decided += t[level].decided
		if worthless >= minEvidence && worthless > minFailedShare*decided {
			out = lateness(level)
		}
	}
	return out
}

// weight returns the weight of all decided cases.
func (t *tally) weight() float64 {
	sum := 0.0
	for i := range t {
		sum += t[i].decided
	}
	return sum
}

// forecastEvidence is what became of the jobs that were accepted although their
// forecasts were too late, the oldest first. It is lost with the ownership.
type forecastEvidence struct {
	cases   []*evidenceCase
	byQueue map[string]*tally
	byKind  map[serviceKind]*tally
}

// add adds a case, which is undecided.
func (e *forecastEvidence) add(k *evidenceCase) {
	if len(e.cases) == maxCases {
		e.cases = slices.Delete(e.cases, 0, 1)
	}
	e.cases = append(e.cases, k)
}

// summarize removes the cases that count no more, and sums up the others.
func (e *forecastEvidence) summarize(now time.Time) {
	e.byQueue, e.byKind = map[string]*tally{}, map[serviceKind]*tally{}
	e.cases = slices.DeleteFunc(e.cases, func(k *evidenceCase) bool {
		return now.Sub(k.acceptedAt) >= evidencePeriod
	})
	for _, k := range e.cases {
		if k.outcome == undecided {
			continue
		}
		weight := 1 - max(0, now.Sub(k.acceptedAt)).Seconds()/evidencePeriod.Seconds()
		addToTally(e.byQueue, k.queue, k, weight)
		addToTally(e.byKind, k.kind, k, weight)
	}
}

func addToTally[K comparable](tallies map[K]*tally, key K, k *evidenceCase, weight float64) {
	t := tallies[key]
	if t == nil {
		t = &tally{}
		tallies[key] = t
	}
	t[k.level].decided += weight
	if k.outcome == worthless {
		t[k.level].worthless += weight
	}
}

// threshold returns the level of lateness from which the jobs of a queue may be
// refused, or 0 without enough evidence. A queue with few cases has those of its kind.
func (e *forecastEvidence) threshold(queue string, kind serviceKind) lateness {
	if t := e.byQueue[queue]; t != nil && t.weight() >= minEvidence {
		return t.threshold()
	}
	if t := e.byKind[kind]; t != nil {
		return t.threshold()
	}
	return 0
}

// recordCase adds a new job to the evidence if its forecast is too late.
func (c *Cell) recordCase(j *jobRow, f *queueForecast, q *Queue, now time.Time) {
	u := usedBy{serviceKind{q.Service, f.bestEffort}, q.Priority}
	accepted := 0.0
	for other, work := range c.forecaster.acceptedSince {
		if other.serviceKind == u.serviceKind && other.priority <= u.priority {
			accepted += work
		}
	}
	c.forecaster.acceptedSince[u] += j.work
	level := f.lateness(f.totalWait(accepted, j.work, j.criticalPath), j.criticalPath, q.objective(j.criticalPath))
	if level == 0 {
		return
	}
	j.evidence = &evidenceCase{queue: j.Queue, kind: u.serviceKind, level: level, acceptedAt: now}
	c.forecaster.evidence.add(j.evidence)
}

// decideCase decides the case of a job that ends.
func (c *Cell) decideCase(j *jobRow, now time.Time) {
	switch k := j.evidence; {
	case k == nil:
	case j.state != Done:
		// A job that was cancelled or failed tells nothing about the forecast.
		k.outcome = undecided
	default:
		k.outcome = useful
		if q := c.queueOf(j); q != nil && sinceAcceptance(j, now) > lateFactor*q.objective(j.criticalPath) {
			k.outcome = worthless
		}
	}
}

// reviewCase decides the case of a job that has not ended. Whether a job comes to
// nothing is certain only after three times its objective, when a burst is over.
// A job that was forecast too late counts as soon as it has missed its objective and
// new jobs of its queue would still be too late; a useful end corrects that.
func (c *Cell) reviewCase(j *jobRow, o *occurrenceRow, q *Queue, now time.Time) {
	k := j.evidence
	if k == nil {
		return
	}
	k.outcome = undecided
	switch _, t := c.forecast(j, o, q, now); t {
	case tooLate:
		k.outcome = worthless
	case late:
		f, ok := c.forecaster.newest[j.Queue]
		if ok && f.refuses(f.wait, j.criticalPath, q.objective(j.criticalPath)) {
			k.outcome = worthless
		}
	}
}
