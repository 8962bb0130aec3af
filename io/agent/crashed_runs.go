package agent

import (
	"slices"
	"time"

	"rosemarygap/core/job"
)

// crashedRunTTL is how long the runs that crashed are reported to new owners. An owner may
// be replaced before it has stored what it was told.
const crashedRunTTL = 15 * time.Second

// crashedRun is a run that ended with the crash of its worker.
type crashedRun struct {
	job.AbsentRun
	crashedAt time.Time
	// reportedTo is the epoch of the newest owner that has received it.
	reportedTo int64
}

// recordCrash records the runs of the current incarnation of the worker, which has crashed.
// The caller holds s.mu.
func (s *state) recordCrash(now time.Time) {
	if s.left || s.worker.Draining {
		return
	}
	add := func(k runKey, unsure bool) {
		sentAt, ok := s.sentAt[k]
		if !ok {
			sentAt = s.begunAt // an earlier process of the agent sent it
		}
		age := max(0, s.aliveAt.Sub(sentAt)).Round(time.Millisecond)
		s.crashedRuns = append(s.crashedRuns, crashedRun{AbsentRun: job.AbsentRun{Task: k.task, Run: k.run, Reason: job.CrashedReason(age, unsure)}, crashedAt: now})
	}
	for _, r := range s.runList.Running {
		add(runKey{r.Task, r.Run}, false)
	}
	for k, r := range s.runs {
		u, unanswered := s.unansweredStarts[k]
		mayRun := unanswered && u.worker == s.worker.ID && u.incarnation == s.worker.Incarnation
		if r.state == runStarted || r.state == runOrdered && mayRun {
			add(k, r.state == runOrdered)
		}
	}
}

// unreportedCrashes returns the runs that crashed and were not reported to the current owner.
// The caller holds s.mu.
func (s *state) unreportedCrashes(now time.Time) []job.AbsentRun {
	s.crashedRuns = slices.DeleteFunc(s.crashedRuns, func(r crashedRun) bool { return now.Sub(r.crashedAt) > crashedRunTTL })
	var out []job.AbsentRun
	for _, r := range s.crashedRuns {
		if r.reportedTo != s.epoch {
			out = append(out, r.AbsentRun)
		}
	}
	return out
}

// markCrashesReported records that the owner of an epoch has received the reported runs. The
// caller holds s.mu.
func (s *state) markCrashesReported(reported []job.AbsentRun, epoch int64) {
	for i := range s.crashedRuns {
		if r := &s.crashedRuns[i]; slices.Contains(reported, r.AbsentRun) {
			r.reportedTo = epoch
		}
	}
}

// recordSent records that the start of a run is about to be sent.
func (s *state) recordSent(o job.Order, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := runKey{o.Task, o.Run}
	if _, ok := s.sentAt[k]; !ok {
		s.sentAt[k] = now
	}
}

// forgetSent forgets when the starts of runs were sent that are neither listed nor expected to
// be. The caller holds s.mu.
func (s *state) forgetSent() {
	listed := make(map[runKey]bool, len(s.runList.Running))
	for _, r := range s.runList.Running {
		listed[runKey{r.Task, r.Run}] = true
	}
	for k := range s.sentAt {
		if s.runs[k] == nil && !listed[k] {
			delete(s.sentAt, k)
		}
	}
}
