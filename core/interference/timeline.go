package interference

import "time"

// historyLength is the age up to which a measurement can be attributed to the tasks
// that ran in its interval.
const historyLength = 3 * time.Minute

// timelineSpan is a period during which the exposure on a VM was constant. It ends at
// the start of the next span.
type timelineSpan struct {
	start    time.Time
	exposure exposure
}

// timeline is the recent history of the exposure on one VM.
type timeline struct {
	spans []timelineSpan
}

// record records a new exposure from now on, and drops spans that ended more than
// historyLength ago.
func (l *timeline) record(exposed exposure, now time.Time) {
	if n := len(l.spans); n > 0 && equalExposure(l.spans[n-1].exposure, exposed) {
		return
	}
	l.spans = append(l.spans, timelineSpan{now, exposed})
	for len(l.spans) > 1 && now.Sub(l.spans[1].start) > historyLength {
		l.spans = l.spans[1:]
	}
}

func equalExposure(a, b exposure) bool {
	if len(a) != len(b) {
		return false
	}
	for class, n := range a {
		if b[class] != n {
			return false
		}
	}
	return true
}

// meanExposure returns the mean exposure in an interval. It returns false if the
// interval is empty or begins before the timeline.
func (l *timeline) meanExposure(from, to time.Time) (exposure, bool) {
	if len(l.spans) == 0 || from.Before(l.spans[0].start) || !from.Before(to) {
		return nil, false
	}
	mean := make(exposure)
	for i, s := range l.spans {
		end := to
		if i+1 < len(l.spans) && l.spans[i+1].start.Before(to) {
			end = l.spans[i+1].start
		}
		begin := s.start
		if begin.Before(from) {
			begin = from
		}
		if !begin.Before(end) {
			continue
		}
		part := float64(end.Sub(begin)) / float64(to.Sub(from))
		for class, n := range s.exposure {
			mean[class] += part * n
		}
	}
	return mean, true
}
