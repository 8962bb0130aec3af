package operator

import (
	"fmt"
	"strings"
	"time"

	"rosemarygap/core/entry"
	"rosemarygap/core/latency"
	core "rosemarygap/core/operator"
	"rosemarygap/core/worker"
)

// Size of a plot in its own units.
const (
	plotWidth  = 300
	plotHeight = 80
)

// Span and number of the intervals of the plots of batch work.
const (
	batchInterval  = time.Minute
	batchIntervals = 30
)

// plot is one small picture with its figures as text.
type plot struct {
	// Code names what is plotted, Subject whose it is.
	Code, Subject string
	// Line holds the points of a curve as SVG gives them.
	Line string
	// Target is the height of the target's line; negative if there is none.
	Target float64
	// Figures are the same in words, for those who can't see the picture.
	Figures string
	// Missed is true if the newest figure is above the target.
	Missed bool
}

// curve scales values into a picture with room for slots of them, the newest
// at the right edge; top is the value at the upper edge. The newest point
// stands twice, so that a single one is drawn as a dot.
func curve(values []float64, slots int, top float64) string {
	var b strings.Builder
	for i, v := range values {
		x := plotWidth * (1 - float64(len(values)-1-i)/float64(slots-1))
		fmt.Fprintf(&b, "%.1f,%.1f ", x, height(v, top))
	}
	if n := len(values); n > 0 {
		fmt.Fprintf(&b, "%d,%.1f", plotWidth, height(values[n-1], top))
	}
	return b.String()
}

func height(v, top float64) float64 {
	if top <= 0 {
		return plotHeight
	}
	return plotHeight * (1 - min(v/top, 1))
}

// latencyPlots draws the 99th percentile of each service at each entry
// against the service's target.
func latencyPlots(entries []entry.Status, d *core.Document) []plot {
	var out []plot
	for _, e := range entries {
		for i := range e.Services {
			if s := d.Service(e.Services[i].Name); s != nil {
				out = append(out, latencyPlot(e.ID, &e.Services[i], s.LatencyTarget.Std()))
			}
		}
	}
	return out
}

func latencyPlot(id string, s *latency.Service, target time.Duration) plot {
	values := make([]float64, len(s.Points))
	top := 1.25 * target.Seconds()
	for i, p := range s.Points {
		values[i] = p.P99.Std().Seconds()
		top = max(top, values[i])
	}
	p := newest(s.Points)
	return plot{
		Code: "latency-p99", Subject: s.Name + " / " + id,
		Line: curve(values, latency.WindowCount, top), Target: height(target.Seconds(), top),
		Figures: fmt.Sprintf("p99=%s target=%s p50=%s answered=%d refused=%d",
			p.P99.Std().Round(100*time.Microsecond), target, p.P50.Std().Round(100*time.Microsecond), p.Answered, p.Refused),
		Missed: p.P99.Std() > target,
	}
}

// newest returns the newest point with answers, since the last window has
// hardly begun at times.
func newest(points []latency.Point) latency.Point {
	for i := len(points) - 1; i >= 0; i-- {
		if points[i].Answered > 0 {
			return points[i]
		}
	}
	return latency.Point{}
}

// batchPlots draws the jobs that finished in each interval, and the evictions
// of the jobs that ended in it.
func batchPlots(jobs []worker.JobRow, now time.Time) []plot {
	finished, evicted := make([]float64, batchIntervals), make([]float64, batchIntervals)
	evictions, open := 0, 0
	for i := range jobs {
		j := &jobs[i]
		evictions += j.Evictions
		if !j.State.Final() {
			open++
		}
		if j.Ended.IsZero() {
			continue
		}
		at := batchIntervals - 1 - int(now.Sub(j.Ended)/batchInterval)
		if at < 0 || at >= batchIntervals {
			continue
		}
		evicted[at] += float64(j.Evictions)
		if j.State == worker.Finished {
			finished[at]++
		}
	}
	return []plot{
		batchPlot("jobs-finished", finished, fmt.Sprintf("open=%d", open)),
		batchPlot("evictions", evicted, fmt.Sprintf("all-jobs=%d", evictions)),
	}
}

func batchPlot(code string, values []float64, more string) plot {
	sum, top := 0.0, 1.0
	for _, v := range values {
		sum += v
		top = max(top, v)
	}
	return plot{Code: code, Subject: fmt.Sprintf("per %s", batchInterval), Line: curve(values, batchIntervals, top), Target: -1,
		Figures: fmt.Sprintf("last-%s=%.0f %s", batchIntervals*batchInterval, sum, more)}
}
