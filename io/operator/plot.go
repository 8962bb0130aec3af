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

// Size of a plot in SVG user units. In overview.html, the viewBox has a margin of
// 2 units around the plot, and the target line has the width of the plot.
const (
	plotWidth  = 300
	plotHeight = 80
)

// Length and number of the intervals in the plots of batch work.
const (
	batchInterval      = time.Minute
	batchIntervalCount = 30
)

// plot is the template data of a chart with its values as text.
type plot struct {
	// Code identifies the plotted quantity. Subject says what it belongs to, such
	// as a service at an entry.
	Code, Subject string
	// Line is the points attribute of an SVG polyline.
	Line string
	// Target is the y coordinate of the target line, or negative if there is no
	// target.
	Target float64
	// Figures is the text alternative of the plot, for people who can't see it.
	Figures string
	// Missed is true if the newest value is above the target.
	Missed bool
}

// curvePoints returns the points of a polyline for values, with the newest value
// at the right edge. The width of the plot holds maxPoints values; top is the
// value at the upper edge. The newest point is repeated, so that a single value
// is drawn as a dot.
func curvePoints(values []float64, maxPoints int, top float64) string {
	var b strings.Builder
	for i, v := range values {
		x := plotWidth * (1 - float64(len(values)-1-i)/float64(maxPoints-1))
		fmt.Fprintf(&b, "%.1f,%.1f ", x, yCoordinate(v, top))
	}
	if n := len(values); n > 0 {
		fmt.Fprintf(&b, "%d,%.1f", plotWidth, yCoordinate(values[n-1], top))
	}
	return b.String()
}

// yCoordinate returns the y coordinate of v, which grows downwards.
func yCoordinate(v, top float64) float64 {
	if top <= 0 {
		return plotHeight
	}
	return plotHeight * (1 - min(v/top, 1))
}

// latencyPlots returns a plot of the 99th percentile latency of each service at
// each entry, with the latency target of the service.
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
	// The target line is below the upper edge, so that values above it are visible.
	top := 1.25 * target.Seconds()
	for i, p := range s.Points {
		values[i] = p.P99.Std().Seconds()
		top = max(top, values[i])
	}
	p := newestAnswered(s.Points)
	return plot{
		Code: "latency-p99", Subject: s.Name + " / " + id,
		Line: curvePoints(values, latency.WindowCount, top), Target: yCoordinate(target.Seconds(), top),
		Figures: fmt.Sprintf("p99=%s target=%s p50=%s answered=%d refused=%d",
			p.P99.Std().Round(100*time.Microsecond), target, p.P50.Std().Round(100*time.Microsecond), p.Answered, p.Refused),
		Missed: p.P99.Std() > target,
	}
}

// newestAnswered returns the newest point that has answers, or a zero Point if
// there is none. The time window of the last point may have only just begun and
// have no answers yet.
func newestAnswered(points []latency.Point) latency.Point {
	for i := len(points) - 1; i >= 0; i-- {
		if points[i].Answered > 0 {
			return points[i]
		}
	}
	return latency.Point{}
}

// batchPlots returns plots of the number of jobs that finished in each interval
// and of the evictions of the jobs that ended in it.
func batchPlots(jobs []worker.JobRow, now time.Time) []plot {
	finished, evicted := make([]float64, batchIntervalCount), make([]float64, batchIntervalCount)
	evictions, openJobs := 0, 0
	for i := range jobs {
		j := &jobs[i]
		evictions += j.Evictions
		if !j.State.Final() {
			openJobs++
		}
		if j.Ended.IsZero() {
			continue
		}
		interval := batchIntervalCount - 1 - int(now.Sub(j.Ended)/batchInterval)
		if interval < 0 || interval >= batchIntervalCount {
			continue
		}
		evicted[interval] += float64(j.Evictions)
		if j.State == worker.Finished {
			finished[interval]++
		}
	}
	return []plot{
		batchPlot("jobs-finished", finished, fmt.Sprintf("open=%d", openJobs)),
		batchPlot("evictions", evicted, fmt.Sprintf("all-jobs=%d", evictions)),
	}
}

func batchPlot(code string, values []float64, extraFigures string) plot {
	sum, top := 0.0, 1.0
	for _, v := range values {
		sum += v
		top = max(top, v)
	}
	return plot{Code: code, Subject: fmt.Sprintf("per %s", batchInterval), Line: curvePoints(values, batchIntervalCount, top), Target: -1,
		Figures: fmt.Sprintf("last-%s=%.0f %s", batchIntervalCount*batchInterval, sum, extraFigures)}
}
