package endpoint

import (
	"math"
	"time"

	"rosemarygap/core/caller"
)

// Constants of the estimates.
const (
	// weight is the share of the newest latency in the estimate.
	weight = 0.1
	// enough is the number of observations that an estimate needs before it
	// can mark its endpoint as an outlier.
	enough = 5
	// slowFactor is how many times slower than the median of the service an
	// outlier is, and failShare how many of its requests fail.
	slowFactor = 5
	failShare  = 0.5
	// goodProbes is how many probes in a row must go well before an outlier
	// is used again.
	goodProbes = 3
	// Probes of an outlier begin after probeAfter, and double up to probeMax.
	probeAfter = time.Second
	probeMax   = 30 * time.Second
	// slowStart is how long a new endpoint costs more, from newcomerCost
	// times as much down to its own cost.
	slowStart    = 2 * time.Second
	newcomerCost = 4
	// fade is the time constant with which an estimate that is not fed
	// returns to the median.
	fade = 500 * time.Millisecond
	// unknownMean stands for the mean latency while nothing was observed, in
	// seconds.
	unknownMean = 0.005
)

// estimate is what an entry learned about one endpoint.
type estimate struct {
	// load tells incarnations apart; a new one is judged anew.
	load *Load
	born time.Time
	used time.Time
	// mean is the decaying mean of the latency of whole answers, in seconds.
	mean    float64
	samples int
	// sampled is when the mean was last fed.
	sampled time.Time
	// failing is the decaying share of requests without a whole answer.
	failing float64
	tries   int

	ejected bool
	// slow tells a slow outlier from a failing one.
	slow    bool
	probing bool
	good    int
	wait    time.Duration
	probe   time.Time
}

// observe takes in one attempt; limit is the latency of a good probe.
func (e *estimate) observe(d time.Duration, failed bool, limit float64, now time.Time) {
	if e.ejected {
		e.probed(!failed && (limit == 0 || d.Seconds() <= limit), now)
		return
	}
	e.tries++
	w := max(weight, 1/float64(e.tries))
	if failed {
		e.failing += w * (1 - e.failing)
		return
	}
	e.failing -= w * e.failing
	e.samples++
	e.sampled = now
	e.mean += max(weight, 1/float64(e.samples)) * (d.Seconds() - e.mean)
}

// probed takes in the end of a probe.
func (e *estimate) probed(good bool, now time.Time) {
	e.probing = false
	if good {
		e.good++
		e.probe = now
	} else {
		e.good = 0
		e.wait = min(2*e.wait, probeMax)
		e.probe = now.Add(e.wait)
	}
	if e.good >= goodProbes {
		load := e.load
		*e = estimate{load: load, born: now, used: now, wait: e.wait}
	}
}

func (e *estimate) eject(now time.Time) {
	e.ejected, e.probing, e.good = true, false, 0
	e.slow = !e.fails()
	e.wait = max(e.wait, probeAfter)
	e.probe = now.Add(e.wait)
}

// fails reports whether most requests fail.
func (e *estimate) fails() bool { return e.tries >= enough && e.failing > failShare }

// outlier reports how bad an endpoint is beside the median latency of its
// service, in seconds; 0 means that it is no outlier.
func (e *estimate) outlier(median float64) float64 {
	if e.fails() {
		return slowFactor * (1 + e.failing)
	}
	if e.samples >= enough && median > 0 && e.mean > slowFactor*median {
		return e.mean / median
	}
	return 0
}

// cost is the expected time of one more request, in seconds.
func (e *estimate) cost(c *Candidate, median float64, now time.Time) float64 {
	mean := median
	if mean == 0 {
		mean = unknownMean
	}
	if e.samples >= enough {
		// An endpoint that is avoided is not measured; its estimate fades.
		fresh := math.Exp(-now.Sub(e.sampled).Seconds() / fade.Seconds())
		mean += (e.mean - mean) * fresh
	}
	busy := float64(c.Load.InFlight()+1) / float64(max(1, c.Load.Limit()))
	cost := mean * (1 + busy) / max(1-e.failing, weight)
	if age := now.Sub(e.born); age < slowStart {
		cost *= 1 + (newcomerCost-1)*(1-float64(age)/float64(slowStart))
	}
	return cost
}

// failedAttempt reports whether an attempt counts against its endpoint.
func failedAttempt(r caller.Result, httpStatus int) bool {
	return r != caller.Complete || httpStatus >= 500
}
