package scheduler

import (
	"context"
	"net/http"
	"strings"
	"time"

	"rosemarygap/core/event"
	"rosemarygap/core/job"
	"rosemarygap/core/status"
	"rosemarygap/core/wire"
	"rosemarygap/io/httpjson"
	"rosemarygap/io/process"
	"rosemarygap/platform"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
)

// Limits of callers' requests.
const (
	// defaultTimeout is the deadline of a request that names none.
	defaultTimeout = 3 * time.Second
	// answerMargin leaves time for the answer to arrive before the deadline;
	// it is at most half of a short deadline, as the store answers in 4 ms.
	answerMargin = 150 * time.Millisecond
	// tryLimit bounds one call to the store for a caller.
	tryLimit = 700 * time.Millisecond
	// tryPause separates calls that the store refused.
	tryPause = 40 * time.Millisecond
	// refusalPatience is how long a refusing store is asked again: a short
	// rejection of one node is over sooner, and a longer one is better met at
	// another entry.
	refusalPatience = 300 * time.Millisecond
	// retrySoon is when another entry may serve what this one cannot.
	retrySoon = time.Second
	// defaultMaxBody bounds a body before a configuration says otherwise.
	defaultMaxBody = 256 << 10
)

// errUnknownOutcome means that the store may have taken a change.
var errUnknownOutcome = errors.New("unknown-outcome")

// callerHandler serves client accounts.
func (s *Scheduler) callerHandler() http.Handler {
	e := httpjson.NewServer()
	e.Any("/*", s.serveCaller)
	return e
}

// request is one request of a client account.
type request struct {
	echo.Context
	ctx   context.Context
	cfg   *job.Configuration
	queue *job.Queue
	id    string
	begin time.Time
}

func (s *Scheduler) serveCaller(x echo.Context) error {
	if s.stopping.Load() {
		x.Response().Header().Set("Connection", "close")
	}
	cfg := s.mirror.cfg.Load()
	if cfg == nil {
		return status.RetryIn(status.ErrNoConfiguration, retrySoon)
	}
	r := x.Request()
	host, _, _ := strings.Cut(r.Host, ":")
	q := cfg.Match(host, r.URL.Path)
	if q == nil {
		return status.ErrNotFound
	}
	limit := platform.CallerTimeout(r.Header)
	if limit == 0 {
		limit = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(r.Context(), limit-min(answerMargin, limit/2))
	defer cancel()
	in := &request{x, ctx, cfg, q, r.URL.Path[len(q.Prefix):], time.Now()}
	switch {
	case r.Method == http.MethodGet && in.id == "":
		return x.JSONBlob(http.StatusOK, platform.EncodePending(s.mirror.pending(q.ID())))
	case !job.ValidID(in.id):
		return status.At(status.ErrBadName, "id", in.id)
	case r.Method == http.MethodPost:
		return s.submit(in)
	case r.Method == http.MethodGet:
		return s.tellState(in)
	case r.Method == http.MethodDelete:
		return s.cancel(in)
	default:
		return status.ErrMethodNotServed
	}
}

// submit stores a job. A job that is stored already is accepted again.
func (s *Scheduler) submit(r *request) error {
	j, err := r.decodeJob()
	if err == nil {
		err = s.storeJob(r.ctx, &j)
	}
	if err != nil {
		countSubmission(string(status.CodeOf(submissionFailure(err))), time.Since(r.begin))
		event.SubmissionRefused.Emit(s.log, event.Job(r.id), event.Queue(r.queue.ID()),
			event.Elapsed(time.Since(r.begin)), event.Reason(status.Code(err.Error())))
		return submissionFailure(err)
	}
	countSubmission("accepted", time.Since(r.begin))
	event.SubmissionAccepted.Emit(s.log, event.Job(r.id), event.Queue(r.queue.ID()),
		event.Elapsed(time.Since(r.begin)), event.Revision(r.cfg.Version))
	return r.JSONBlob(http.StatusOK, platform.EncodeState(job.Queued))
}

// submissionFailure maps the outcome of a store that did not answer: nothing
// was done, or it is unknown whether the job is stored.
func submissionFailure(err error) error {
	switch {
	case errors.Is(err, platform.ErrNoEffect):
		return status.RetryIn(status.ErrStoreUnavailable, retrySoon)
	case errors.Is(err, errUnknownOutcome):
		return status.ErrDeadlineExceeded
	default:
		return err
	}
}

func (r *request) decodeJob() (job.Job, error) {
	limit := r.cfg.MaxBody
	if limit <= 0 {
		limit = defaultMaxBody
	}
	b, err := wire.ReadBody(r.Request().Body, limit)
	if err != nil {
		return job.Job{}, err
	}
	j, err := platform.DecodeJob(b)
	if err != nil {
		return job.Job{}, errors.WithMessage(status.ErrMalformedJSON, err.Error())
	}
	j.ID, j.Queue, j.Accepted, j.AcceptedQueue = r.id, r.queue.ID(), time.Now(), *r.queue
	return j, j.Validate()
}

// storeJob makes j durable. The write requires that the job is neither live
// nor over, so repeating it cannot store it twice.
func (s *Scheduler) storeJob(ctx context.Context, j *job.Job) error {
	if v, ok := s.mirror.view(j.ID); ok && (v.live || v.state.IsFinal()) {
		return nil
	}
	cm := platform.Transaction{
		Conditions: []platform.Condition{{Key: job.JobKey(j.ID)}, {Key: job.FinalKey(j.ID)}},
		Writes:     []platform.Write{{Key: job.JobKey(j.ID), Value: mustJSON(j)}},
	}
	revision, err := s.commitForCaller(ctx, cm)
	if errors.Is(err, platform.ErrConflict) {
		return nil
	}
	if err == nil {
		s.mirror.accepted(j, revision)
		s.notify(notice{ID: j.ID, Revision: revision, Job: mustJSON(j)})
	}
	return err
}

// commitForCaller repeats a conditional write until the store answers or the
// deadline has come. Refusals are final sooner while nothing is in doubt.
func (s *Scheduler) commitForCaller(ctx context.Context, cm platform.Transaction) (int64, error) {
	begin := time.Now()
	doubt := false
	if ctx.Err() != nil {
		return 0, errors.WithMessage(platform.ErrNoEffect, "deadline passed before the store was called")
	}
	for {
		limited, cancel := context.WithTimeout(ctx, tryLimit)
		revision, _, err := s.store.Commit(limited, cm)
		cancel()
		switch {
		case err == nil, errors.Is(err, platform.ErrConflict):
			return revision, err
		case errors.Is(err, platform.ErrUnknownOutcome):
			doubt = true
		case !errors.Is(err, platform.ErrNoEffect):
			return 0, err
		case !doubt && time.Since(begin) > refusalPatience:
			return 0, err
		}
		process.Pause(ctx, tryPause, nil)
		if ctx.Err() != nil {
			if doubt {
				return 0, errUnknownOutcome
			}
			return 0, err
		}
	}
}

// tellState answers with a job's state, from the store if this entry does not
// know the job.
func (s *Scheduler) tellState(r *request) error {
	if v, ok := s.mirror.view(r.id); ok && (v.live || v.state.IsFinal()) {
		return r.JSONBlob(http.StatusOK, platform.EncodeState(v.shown()))
	}
	state, err := s.readState(r.ctx, r.id)
	if errors.Is(err, platform.ErrNotFound) {
		return r.NoContent(http.StatusGone)
	}
	if err != nil {
		event.StateUnknown.Emit(s.log, event.Job(r.id), event.Reason(status.Code(err.Error())))
		return status.RetryIn(status.ErrStoreUnavailable, retrySoon)
	}
	return r.JSONBlob(http.StatusOK, platform.EncodeState(state))
}

// findJob reads what the store has of a job: its own item, with live true, or
// that of its final state, or platform.ErrNotFound. The job's own key goes away
// when its final state appears, so it is read first.
func (s *Scheduler) findJob(ctx context.Context, id string) (i platform.Item, live bool, err error) {
	i, err = s.readForCaller(ctx, job.JobKey(id))
	if errors.Is(err, platform.ErrNotFound) {
		i, err = s.readForCaller(ctx, job.FinalKey(id))
		return i, false, err
	}
	return i, true, err
}

// readState reads a job's state from the store.
func (s *Scheduler) readState(ctx context.Context, id string) (job.State, error) {
	i, live, err := s.findJob(ctx, id)
	switch {
	case err != nil:
		return "", err
	case live:
		return job.Queued, nil
	default:
		return finalState(i)
	}
}

// readForCaller repeats a read until the store answers or the deadline comes.
func (s *Scheduler) readForCaller(ctx context.Context, key string) (platform.Item, error) {
	for {
		limited, cancel := context.WithTimeout(ctx, tryLimit)
		i, err := s.store.Get(limited, key)
		cancel()
		if err == nil || errors.Is(err, platform.ErrNotFound) {
			return i, err
		}
		process.Pause(ctx, tryPause, nil)
		if ctx.Err() != nil {
			return i, err
		}
	}
}

// cancel makes the cancellation of a live job durable.
func (s *Scheduler) cancel(r *request) error {
	found, err := s.storeCancellation(r.ctx, r.id)
	outcome := "cancelled"
	switch {
	case err != nil:
		outcome = err.Error()
	case !found:
		outcome = "unknown-job"
	}
	event.CancellationAnswered.Emit(s.log, event.Job(r.id), event.Elapsed(time.Since(r.begin)), event.Outcome(outcome))
	switch {
	case err != nil:
		return submissionFailure(err)
	case !found:
		return r.NoContent(http.StatusGone)
	}
	return r.JSONBlob(http.StatusOK, platform.EncodeState(job.Cancelled))
}

// storeCancellation reports whether the job was known.
func (s *Scheduler) storeCancellation(ctx context.Context, id string) (bool, error) {
	v, ok := s.mirror.view(id)
	if ok && v.state.IsFinal() {
		return true, nil
	}
	revision := v.revision
	for ctx.Err() == nil {
		if revision == 0 {
			i, live, err := s.findJob(ctx, id)
			switch {
			case errors.Is(err, platform.ErrNotFound):
				return false, nil
			case err != nil:
				return false, err
			case !live:
				return true, nil
			}
			revision = i.Revision
		}
		stored, err := s.commitForCaller(ctx, platform.Transaction{
			Conditions: []platform.Condition{{Key: job.JobKey(id), Revision: revision}},
			Writes:     []platform.Write{{Key: job.CancelledKey(id), Value: []byte("{}")}}})
		if !errors.Is(err, platform.ErrConflict) {
			if err == nil {
				s.mirror.cancelled(id)
				s.notify(notice{ID: id, Revision: stored})
			}
			return true, err
		}
		revision = 0
	}
	return false, errUnknownOutcome
}
