package delay

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// wideSpread is the spread from which on a step counts as spread: jobs take seconds.
const wideSpread = 500 * time.Millisecond

// Report is the result of an analysis. Durations are in nanoseconds.
type Report struct {
	Queues []QueueReport `json:"queues"`
	Room   []RoomSample  `json:"room,omitempty"`
}

// QueueReport is about the jobs of one queue. The durations of Mean and Waits are per job;
// those of jobs that run until they are cancelled are not in it.
type QueueReport struct {
	Queue string `json:"queue"`
	// OnTime, Late and Worthless count the jobs that were done within their objective,
	// within lateFactor times of it, and later or never.
	Accepted  int `json:"accepted"`
	OnTime    int `json:"on-time"`
	Late      int `json:"late"`
	Worthless int `json:"worthless"`
	Cancelled int `json:"cancelled"`
	Failed    int `json:"failed"`
	Refused   int `json:"refused"`
	// Mean are the parts of the time of the jobs with an end.
	Mean Parts `json:"mean-ns"`
	// Waits is the time in which steps waited, by reason.
	Waits map[string]time.Duration `json:"waits-ns"`
	// Interrupted counts the runs that had to be repeated or did not count, by reason.
	Interrupted map[string]int `json:"interrupted"`
	// Spread counts the steps of which the last task started long after the first, and
	// Overtaken those of them that five or more starts of younger jobs of the
	// queue overtook meanwhile.
	Steps     int `json:"steps"`
	Spread    int `json:"spread-steps"`
	Overtaken int `json:"overtaken-steps"`
	// LateKnown is how long after its acceptance it was first known that a job would miss
	// its objective, and TooLateKnown that its result would have no value: medians
	// over the jobs for which it was known.
	LateKnown    time.Duration `json:"late-known-ns"`
	TooLateKnown time.Duration `json:"too-late-known-ns"`
	// Slowest are the late and worthless jobs with the longest waits.
	Slowest []JobReport `json:"slowest"`
}

// JobReport is about one job.
type JobReport struct {
	Job   string                   `json:"job"`
	Took  time.Duration            `json:"took-ns"`
	Done  bool                     `json:"done"`
	Parts Parts                    `json:"parts-ns"`
	Waits map[string]time.Duration `json:"waits-ns"`
}

// minOvertakes is from how many starts of younger jobs a step counts as overtaken.
const minOvertakes = 5

// Report returns the analysis, with at most the given number of slowest jobs a queue.
func (l *Log) Report(slowest int) Report {
	byQueue := map[string][]*jobHistory{}
	for _, id := range slices.Sorted(maps.Keys(l.jobs)) {
		if j := l.jobs[id]; !j.accepted.IsZero() {
			byQueue[j.queue] = append(byQueue[j.queue], j)
		}
	}
	out := Report{Room: l.room}
	for _, queue := range slices.Sorted(maps.Keys(byQueue)) {
		out.Queues = append(out.Queues, l.queueReport(queue, byQueue[queue], slowest))
	}
	return out
}

func (l *Log) queueReport(queue string, jobs []*jobHistory, slowest int) QueueReport {
	q := QueueReport{Queue: queue, Accepted: len(jobs), Refused: l.refused[queue], Waits: map[string]time.Duration{}, Interrupted: map[string]int{}}
	var late, tooLate []time.Duration
	done := 0
	for _, j := range jobs {
		spans := j.spans(l.end)
		parts := j.parts(spans)
		q.countOutcome(j, l.end)
		if j.state == "done" {
			done++
			q.Mean.add(parts)
		}
		l.countSpread(&q, j, spans)
		for reason, d := range j.waits {
			q.Waits[reason] += d
		}
		for reason, n := range j.interrupted {
			q.Interrupted[reason] += n
		}
		if !j.lateKnown.IsZero() {
			late = append(late, j.lateKnown.Sub(j.accepted))
		}
		if !j.tooLateKnown.IsZero() {
			tooLate = append(tooLate, j.tooLateKnown.Sub(j.accepted))
		}
		if took, ok := j.isLate(l.end); ok {
			q.Slowest = append(q.Slowest, JobReport{j.id, took, j.state == "done", parts, j.waits})
		}
	}
	q.Mean.divide(done)
	for reason := range q.Waits {
		q.Waits[reason] /= time.Duration(len(jobs))
	}
	q.LateKnown, q.TooLateKnown = median(late), median(tooLate)
	slices.SortFunc(q.Slowest, func(a, b JobReport) int { return cmp.Or(cmp.Compare(b.Took, a.Took), cmp.Compare(a.Job, b.Job)) })
	q.Slowest = q.Slowest[:min(len(q.Slowest), slowest)]
	return q
}

// isLate returns how long the job took, or has taken up to end, and whether it is late.
// Jobs that were cancelled or failed are not.
func (j *jobHistory) isLate(end time.Time) (time.Duration, bool) {
	switch {
	case j.state == "done":
		end = j.ended
	case j.state != "" || j.objective == 0:
		return 0, false
	}
	took := end.Sub(j.accepted)
	return took, took > j.objective
}

func (q *QueueReport) countOutcome(j *jobHistory, end time.Time) {
	took, late := j.isLate(end)
	switch {
	case j.state == "cancelled":
		q.Cancelled++
	case j.state == "failed":
		q.Failed++
	case late && took > lateFactor*j.objective:
		q.Worthless++
	case late:
		q.Late++
	case j.state == "done":
		q.OnTime++
	}
}

// countSpread counts the steps of a job that were spread and overtaken.
func (l *Log) countSpread(q *QueueReport, j *jobHistory, spans []span) {
	for _, x := range spans {
		q.Steps++
		if x.spread.Sub(x.first) < wideSpread {
			continue
		}
		q.Spread++
		first, _ := slices.BinarySearchFunc(l.starts, x.first, func(s start, at time.Time) int { return s.at.Compare(at) })
		overtakes := 0
		for _, s := range l.starts[first:] {
			if s.at.After(x.spread) {
				break
			}
			if s.job.queue == j.queue && s.job.accepted.After(j.accepted) {
				overtakes++
			}
		}
		if overtakes >= minOvertakes {
			q.Overtaken++
		}
	}
}

func (p *Parts) divide(n int) {
	if n == 0 {
		return
	}
	p.ToFirst /= time.Duration(n)
	p.Spread /= time.Duration(n)
	p.Repeated /= time.Duration(n)
	p.Running /= time.Duration(n)
}

func median(d []time.Duration) time.Duration {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[len(d)/2]
}
