package interference

import "time"

// historyLength is how far back a measurement may lie and still be attributed.
const historyLength = 3 * time.Minute

// stretch is a time during which the tasks on a VM were the same. It ends
// where the next one begins.
type stretch struct {
	from   time.Time
	beside exposure
}

// timeline is what ran on one VM in the last minutes.
type timeline struct {
	stretches []stretch
}

// note records that beside runs from now on.
func (l *timeline) note(beside exposure, now time.Time) {
	if n := len(l.stretches); n > 0 && same(l.stretches[n-1].beside, beside) {
		return
	}
	l.stretches = append(l.stretches, stretch{now, beside})
	for len(l.stretches) > 1 && now.Sub(l.stretches[1].from) > historyLength {
		l.stretches = l.stretches[1:]
	}
}

func same(a, b exposure) bool {
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

// between returns the mean exposure in an interval, and false if the interval
// began before the timeline.
func (l *timeline) between(from, to time.Time) (exposure, bool) {
	if len(l.stretches) == 0 || from.Before(l.stretches[0].from) || !from.Before(to) {
		return nil, false
	}
	mean := make(exposure)
	for i, s := range l.stretches {
		end := to
		if i+1 < len(l.stretches) && l.stretches[i+1].from.Before(to) {
			end = l.stretches[i+1].from
		}
		begin := s.from
		if begin.Before(from) {
			begin = from
		}
		if !begin.Before(end) {
			continue
		}
		part := float64(end.Sub(begin)) / float64(to.Sub(from))
		for class, n := range s.beside {
			mean[class] += part * n
		}
	}
	return mean, true
}
