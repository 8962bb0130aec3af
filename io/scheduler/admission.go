package scheduler

import (
	"context"
	"maps"
	"net/netip"
	"sync"
	"time"

	"rosemarygap/core/event"
	"rosemarygap/core/job"
	"rosemarygap/core/status"
)

// Parameters of notices between entries with admission. They are in the query, since
// an owner of an earlier build refuses unknown fields.
const (
	// forecastParameter asks for a noticeReply.
	forecastParameter = "forecast"
	// inquiryParameter marks a notice that asks whether the owner knows of the job. A
	// notice of revision 0 without it announces that a write of the job begins. Owners
	// without admission ignore notices of revision 0.
	inquiryParameter = "inquiry"
)

// Limits of admission.
const (
	// inquiryTimeout is the timeout of an inquiry before a refusal. An entry on a
	// tenth of a processor answers within its next share of 100 ms.
	inquiryTimeout = 250 * time.Millisecond
	// askingPeriod is how long an entry counts among those that ask for forecasts.
	askingPeriod = 10 * time.Second
	// ignoredLogInterval is the least time between two events of ignored forecasts.
	ignoredLogInterval = time.Second
)

// noticeReply is the owner's reply to a notice with forecastParameter.
type noticeReply struct {
	Forecast *job.Forecast `json:"forecast,omitempty"`
	// Epoch is that of the owner's newest forecast, or 0 without a recent one. Known is
	// true if the job may be stored. Both are set in the reply to an inquiry.
	Epoch int64 `json:"epoch,omitempty"`
	Known bool  `json:"known,omitempty"`
}

// admission is the state of an entry that refuses jobs by forecast. It is used by
// several goroutines.
type admission struct {
	// known are the jobs of whose writes this entry has heard.
	known     begunWrites
	mu        sync.Mutex
	decisions *job.Admission
	ignoredAt time.Time
	// newest is the newest forecast of this entry's cell, made at madeAt, or nil while
	// this entry is not the owner.
	newest *job.Forecast
	madeAt time.Time
	// asking are the entries that asked for a forecast, by the time of the last request.
	asking map[netip.Addr]time.Time
}

func newAdmission() *admission {
	return &admission{decisions: job.NewAdmission(), asking: map[netip.Addr]time.Time{}}
}

// publish makes f the forecast of this entry's cell.
func (a *admission) publish(f *job.Forecast, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	maps.DeleteFunc(a.asking, func(_ netip.Addr, at time.Time) bool { return job.Age(at, now) > askingPeriod })
	f.Entries = 1 + len(a.asking)
	a.newest, a.madeAt = f, now
}

// retract forgets the forecast of this entry's cell at the end of an ownership.
func (a *admission) retract() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.newest = nil
}

// forecast returns the forecast of this entry's cell with its age, or nil.
func (a *admission) forecast(now time.Time) *job.Forecast {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.newest == nil {
		return nil
	}
	f := *a.newest
	f.Age = job.Age(a.madeAt, now)
	return &f
}

// askForecast reports whether this entry should ask for a forecast with a notice that
// it sends now.
func (a *admission) askForecast(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.decisions.AskForecast(now)
}

// receiveForecast takes over a forecast whose request was sent at sentAt. It logs one
// that is ignored.
func (s *Scheduler) receiveForecast(f *job.Forecast, sentAt time.Time) {
	cfg := s.mirror.cfg.Load()
	if f == nil || cfg == nil {
		return
	}
	o, _ := s.mirror.ownership()
	now := time.Now()
	a := s.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	err := a.decisions.Receive(f, sentAt, now, o.Epoch, cfg)
	if err != nil && now.Sub(a.ignoredAt) >= ignoredLogInterval {
		a.ignoredAt = now
		event.ForecastIgnored.Emit(s.log, event.Epoch(f.Epoch), event.Age(f.Age+now.Sub(sentAt)), event.Reason(status.Code(err.Error())))
	}
}

// admit returns an error if the job is refused: status.ErrNoRoom or
// status.ErrCannotBePlaced with the delay of a retry. A job that may be stored is not
// refused. That the mirror does not know it proves nothing, since the answer to an
// attempt at another entry may have been lost, so the owner must say so, to which each
// entry announces its writes.
func (s *Scheduler) admit(ctx context.Context, j *job.Job) error {
	a := s.admission
	if a == nil {
		return nil
	}
	if v, ok := s.mirror.view(j.ID); ok && (v.live || v.cancelled || v.state.IsFinal()) || a.known.mayBeStored(j.ID, time.Now()) {
		return nil
	}
	o, _ := s.mirror.ownership()
	a.mu.Lock()
	r := a.decisions.Decide(j, &j.AcceptedQueue, o.Epoch, time.Now())
	a.mu.Unlock()
	if r == nil || !s.confirmRefusal(ctx, j.ID, r.Epoch, o) {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return status.RetryIn(r.Reason, a.decisions.RecordRefused(r, j.ID, &j.AcceptedQueue, time.Now()))
}

// confirmRefusal reports whether the owner of the epoch of the forecast confirms that
// no write of the job has begun. Without its answer, the job is accepted.
func (s *Scheduler) confirmRefusal(ctx context.Context, id string, epoch int64, o job.Ownership) bool {
	if s.mirror.isOwner.Load() {
		reply := s.answerInquiry(id)
		return reply.Epoch == epoch && !reply.Known
	}
	ctx, cancel := context.WithTimeout(ctx, inquiryTimeout)
	defer cancel()
	reply, err := s.postNotice(ctx, o, &notice{ID: id}, true)
	return err == nil && reply.Epoch == epoch && !reply.Known
}

// answerInquiry returns the answer of this entry, the owner, to an inquiry.
func (s *Scheduler) answerInquiry(id string) noticeReply {
	now := time.Now()
	f := s.admission.forecast(now)
	if f == nil || f.Age > job.MaxForecastAge {
		return noticeReply{}
	}
	_, ok := s.mirror.view(id)
	return noticeReply{Epoch: f.Epoch, Known: ok || s.admission.known.mayBeStored(id, now)}
}

// answerNotice returns the reply of this entry, the owner, to a notice of another
// entry that asks for one.
func (s *Scheduler) answerNotice(n *notice, from netip.Addr, inquiry, forecast bool) noticeReply {
	var reply noticeReply
	now := time.Now()
	if inquiry {
		reply = s.answerInquiry(n.ID)
	} else {
		s.admission.known.record(n.ID, now)
	}
	if forecast {
		reply.Forecast = s.admission.forecast(now)
	}
	s.admission.mu.Lock()
	defer s.admission.mu.Unlock()
	s.admission.asking[from] = now
	return reply
}

// announce tells the owner that a write of the job begins.
func (s *Scheduler) announce(id string) {
	if s.admission == nil {
		return
	}
	s.admission.known.record(id, time.Now())
	if !s.mirror.isOwner.Load() {
		s.notifyOwner(notice{ID: id})
	}
}

// recordAdmitted adds a job that this entry has stored to the work that it accepted.
func (s *Scheduler) recordAdmitted(j *job.Job) {
	if s.admission == nil {
		return
	}
	s.admission.mu.Lock()
	defer s.admission.mu.Unlock()
	s.admission.decisions.RecordAccepted(j, &j.AcceptedQueue, time.Now())
}

// updateForecast makes a forecast if one is due.
func (c *control) updateForecast(now time.Time) {
	a := c.s.admission
	if a == nil || now.Sub(c.forecastAt) < job.ForecastInterval {
		return
	}
	c.forecastAt = now
	f, ok := c.cell.Forecast(now)
	if !ok {
		a.retract()
		return
	}
	a.publish(&f, now)
	c.s.receiveForecast(a.forecast(now), now)
}

// recordLoaded records the jobs of the loaded state, of which the mirror may not know
// yet.
func (a *admission) recordLoaded(x loadedState, now time.Time) {
	for _, i := range x.items {
		switch kind, id := job.ParseKey(i.Key); kind {
		case job.KeyKindJob, job.KeyKindFinal:
			a.known.record(id, now)
		}
	}
}

// WithAdmission refuses jobs by the owner's forecast of their end.
func WithAdmission() Option { return func(s *Scheduler) { s.admission = newAdmission() } }
