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

// Limits of the requests of client accounts.
const (
	// defaultTimeout is the timeout of a request that does not specify one.
	defaultTimeout = 3 * time.Second
	// responseMargin is the time left for the response to arrive before the
	// deadline. A timeout that is shorter than twice the margin is halved
	// instead: the store answers in 4 ms, so the other half is enough for a
	// call.
	responseMargin = 150 * time.Millisecond
	// storeCallTimeout is the timeout of one call to the store.
	storeCallTimeout = 700 * time.Millisecond
	// storeRetryPause is the pause between a failed call to the store and its
	// retry.
	storeRetryPause = 40 * time.Millisecond
	// maxRefusalRetry is how long a write that the store refuses is retried. If
	// one node of the store refuses calls only briefly, it accepts them again
	// within this time. If the refusals last longer, a retry at another entry is
	// more likely to succeed.
	maxRefusalRetry = 300 * time.Millisecond
	// retryAfter is the delay after which a client account should retry at
	// another entry.
	retryAfter = time.Second
	// defaultMaxBodyBytes is the maximum size of a request body unless the
	// configuration sets another one.
	defaultMaxBodyBytes = 256 << 10
)

// errUnknownOutcome means that it is unknown whether the store made a change.
var errUnknownOutcome = errors.New("unknown-outcome")

// callerHandler returns the handler for the requests of client accounts.
func (s *Scheduler) callerHandler() http.Handler {
	e := httpjson.NewServer()
	e.Any("/*", s.serveCaller)
	return e
}

// request is a request of a client account for one queue or job.
type request struct {
	echo.Context
	ctx        context.Context
	cfg        *job.Configuration
	queue      *job.Queue
	id         string
	receivedAt time.Time
}

func (s *Scheduler) serveCaller(x echo.Context) error {
	if s.stopping.Load() {
		x.Response().Header().Set("Connection", "close")
	}
	cfg := s.mirror.cfg.Load()
	if cfg == nil {
		return status.RetryIn(status.ErrNoConfiguration, retryAfter)
	}
	r := x.Request()
	host, _, _ := strings.Cut(r.Host, ":")
	q := cfg.Match(host, r.URL.Path)
	if q == nil {
		return status.ErrNotFound
	}
	timeout := platform.CallerTimeout(r.Header)
	if timeout == 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout-min(responseMargin, timeout/2))
	defer cancel()
	req := &request{x, ctx, cfg, q, r.URL.Path[len(q.Prefix):], time.Now()}
	switch {
	case r.Method == http.MethodGet && req.id == "":
		return x.JSONBlob(http.StatusOK, platform.EncodePending(s.mirror.countPending(q.ID())))
	case !job.ValidID(req.id):
		return status.At(status.ErrBadName, "id", req.id)
	case r.Method == http.MethodPost:
		return s.submit(req)
	case r.Method == http.MethodGet:
		return s.serveState(req)
	case r.Method == http.MethodDelete:
		return s.cancel(req)
	default:
		return status.ErrMethodNotServed
	}
}

// submit stores a job. Submitting a stored job again succeeds.
func (s *Scheduler) submit(r *request) error {
	var stored relayReply
	j, err := r.decodeJob(s.jobZone())
	if err == nil {
		err = s.admit(r.ctx, &j)
	}
	if err == nil {
		s.announce(j.ID)
		stored, err = s.storeOrRelay(r.ctx, &relayRequest{Job: &j})
	}
	if err != nil {
		countSubmission(string(status.CodeOf(callerError(err))), time.Since(r.receivedAt))
		event.SubmissionRefused.Emit(s.log, event.Job(r.id), event.Queue(r.queue.ID()),
			event.Elapsed(time.Since(r.receivedAt)), event.Reason(status.Code(err.Error())))
		if errors.Is(err, status.ErrOverloaded) {
			return refuseOverloaded(r, err)
		}
		if errors.Is(err, platform.ErrNoEffect) && s.unresolved.mayBeStored(r.id, time.Now()) {
			err = errUnknownOutcome // this attempt had no effect, but an earlier one may have
		}
		return callerError(err)
	}
	countSubmission("accepted", time.Since(r.receivedAt))
	event.SubmissionAccepted.Emit(s.log, event.Job(r.id), event.Queue(r.queue.ID()),
		event.Elapsed(time.Since(r.receivedAt)), event.Revision(r.cfg.Version), event.Objective(r.queue.Objective(&j)))
	state := job.Queued
	if stored.State.IsFinal() {
		state = stored.State
	}
	return r.JSONBlob(http.StatusOK, platform.EncodeState(state))
}

// refuseOverloaded responds to a submission for which there is no room. A status of 503 would
// say that the job never runs, but an earlier attempt with the same ID may have stored it; 504
// says that the client should submit it again.
func refuseOverloaded(r *request, err error) error {
	h := r.Response().Header()
	h.Set("Connection", "close")
	httpjson.SetRetryAfter(h, retryAfter)
	return r.JSON(http.StatusGatewayTimeout, wire.ErrorBodyOf(err))
}

// jobZone returns the zone of the jobs that this entry accepts. It is empty without fair
// shares: the stored form of a job is then that of earlier builds.
func (s *Scheduler) jobZone() string {
	if !s.fairShares {
		return ""
	}
	return s.cfg.Zone
}

// callerError returns the error to respond with to a client account. It
// replaces the errors of a write to the store, which mean that the write had no
// effect or that its outcome is unknown, and returns other errors unchanged.
func callerError(err error) error {
	switch {
	case errors.Is(err, platform.ErrNoEffect):
		return status.RetryIn(status.ErrStoreUnavailable, retryAfter)
	case errors.Is(err, errUnknownOutcome):
		return status.ErrDeadlineExceeded
	default:
		return err
	}
}

// decodeJob decodes the job of a submission. The zone is that of the entry, or empty.
func (r *request) decodeJob(zone string) (job.Job, error) {
	limit := r.cfg.MaxBody
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	b, err := wire.ReadBody(r.Request().Body, limit)
	if err != nil {
		return job.Job{}, err
	}
	done, err := httpjson.ReserveDecoding(r.ctx, wire.DecodedBytes(b, platform.MaxDecodedSteps))
	if err != nil {
		return job.Job{}, err
	}
	defer done()
	j, err := platform.DecodeJob(b)
	if err != nil {
		return job.Job{}, errors.WithMessage(status.ErrMalformedJSON, err.Error())
	}
	j.ID, j.Queue, j.Accepted, j.AcceptedQueue = r.id, r.queue.ID(), time.Now(), *r.queue
	j.Zone = zone
	return j, j.ValidateSubmission()
}

// storeJob makes j durable. The write requires that the store has neither a
// live job nor a final state under the ID, so repeating it cannot store the job
// twice. The reply has the state of a job that has ended or was withdrawn before.
func (s *Scheduler) storeJob(ctx context.Context, j *job.Job) (relayReply, error) {
	if v, ok := s.mirror.view(j.ID); ok && (v.live || v.state.IsFinal()) {
		return relayReply{State: v.state}, nil
	}
	txn := platform.Transaction{
		Conditions: []platform.Condition{{Key: job.JobKey(j.ID)}, {Key: job.FinalKey(j.ID)}},
		Writes:     []platform.Write{{Key: job.JobKey(j.ID), Value: mustJSON(j)}},
	}
	revision, current, err := s.commitWithRetry(ctx, txn)
	if errors.Is(err, errUnknownOutcome) {
		s.unresolved.record(j.ID, time.Now())
	}
	if errors.Is(err, platform.ErrConflict) {
		return s.acceptWithdrawn(ctx, j, current)
	}
	if err == nil {
		s.mirror.recordAccepted(j, revision)
		s.recordAdmitted(j)
		s.notifyOwner(notice{ID: j.ID, Revision: revision, Job: mustJSON(j)})
	}
	return relayReply{}, err
}

// acceptWithdrawn accepts a job as cancelled if it was withdrawn, according to the items that
// prevented its write: from now on client accounts are told its state. A job that is stored is
// accepted as it is.
func (s *Scheduler) acceptWithdrawn(ctx context.Context, j *job.Job, current []platform.Item) (relayReply, error) {
	for _, i := range current {
		if kind, _ := job.ParseKey(i.Key); kind != job.KeyKindFinal || i.Revision == 0 || i.Removed {
			continue
		}
		f, err := decodeFinal(i)
		if err != nil || !f.Withdrawn {
			return relayReply{State: f.State}, err
		}
		_, _, err = s.commitWithRetry(ctx, platform.Transaction{
			Conditions: []platform.Condition{{Key: i.Key, Revision: i.Revision}},
			Writes:     []platform.Write{{Key: i.Key, Value: mustJSON(job.Final{ID: j.ID, Queue: j.Queue, State: job.Cancelled, Ended: f.Ended})}}})
		if errors.Is(err, platform.ErrConflict) {
			err = nil // another submission of the job came first
		}
		return relayReply{State: job.Cancelled}, err
	}
	return relayReply{}, nil
}

// commitWithRetry repeats a conditional write until the store answers, ctx ends or
// this entry counts as cut off from the store. As long as no attempt has an unknown
// outcome, it gives up after maxRefusalRetry. With platform.ErrConflict, it returns the
// current items of the conditions.
func (s *Scheduler) commitWithRetry(ctx context.Context, txn platform.Transaction) (int64, []platform.Item, error) {
	begin := time.Now()
	uncertain := false
	if ctx.Err() != nil {
		return 0, nil, errors.WithMessage(platform.ErrNoEffect, "deadline passed before the first call to the store")
	}
	for {
		callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
		revision, current, err := s.store.Commit(callCtx, txn)
		cancel()
		switch {
		case err == nil, errors.Is(err, platform.ErrConflict):
			return revision, current, err
		case errors.Is(err, platform.ErrUnknownOutcome):
			uncertain = true
		case !errors.Is(err, platform.ErrNoEffect):
			return 0, nil, err
		case !uncertain && time.Since(begin) > maxRefusalRetry:
			return 0, nil, err
		}
		process.Pause(ctx, storeRetryPause, nil)
		if ctx.Err() != nil || s.storeOutage.CutOff() {
			if uncertain {
				return 0, nil, errUnknownOutcome
			}
			return 0, nil, err
		}
	}
}

// serveState responds with the state of a job.
func (s *Scheduler) serveState(r *request) error {
	reply, err := s.lookUpState(r.ctx, r.id)
	if s.storeOutage.CutOff() && !reply.State.IsFinal() {
		// The owner knows newer states than this entry.
		if newer, relayErr := s.relay(r.ctx, &relayRequest{State: r.id}); relayErr == nil {
			reply, err = newer, nil
		}
	}
	switch {
	case err != nil:
		event.StateUnknown.Emit(s.log, event.Job(r.id), event.Reason(status.Code(err.Error())))
		return status.RetryIn(status.ErrStoreUnavailable, retryAfter)
	case !reply.Found:
		return r.NoContent(http.StatusGone)
	}
	return r.JSONBlob(http.StatusOK, platform.EncodeState(reply.State))
}

// lookUpState returns the state of a job according to the mirror and the store.
func (s *Scheduler) lookUpState(ctx context.Context, id string) (relayReply, error) {
	v, ok := s.mirror.view(id)
	switch {
	case !ok || !v.live && !v.state.IsFinal():
	case v.state.IsFinal(), v.longRunning:
		return relayReply{Found: true, State: v.reportedState()}, nil
	default:
		return relayReply{Found: true, State: s.newestState(ctx, id, v)}, nil
	}
	if s.storeOutage.CutOff() {
		return relayReply{}, errors.WithMessage(platform.ErrNoEffect, "cut off from the store")
	}
	state, err := s.readState(ctx, id)
	if errors.Is(err, platform.ErrNotFound) {
		return relayReply{}, nil
	}
	return relayReply{Found: err == nil, State: state}, err
}

// finalReadTimeout is the timeout of the read of a final state. The store takes
// 300 ms for an answer while it is slow.
const finalReadTimeout = 350 * time.Millisecond

// newestState returns the state of a live job with the given view: the final state in
// the store if there is one, and otherwise that of the view. A client account acts on
// the end of its job, and asks often after the last task has ended.
func (s *Scheduler) newestState(ctx context.Context, id string, v jobView) job.State {
	if s.storeOutage.CutOff() {
		return v.reportedState()
	}
	callCtx, cancel := context.WithTimeout(ctx, finalReadTimeout)
	defer cancel()
	i, err := s.store.Get(callCtx, job.FinalKey(id))
	if err == nil {
		var f job.Final
		if f, err = decodeFinal(i); err == nil {
			s.mirror.recordFinal(id, f.State)
			return f.State
		}
	}
	if !errors.Is(err, platform.ErrNotFound) {
		event.StateUnknown.Emit(s.log, event.Job(id), event.Reason(status.Code(err.Error())))
	}
	return v.reportedState()
}

// foundJob is what the store has of a job.
type foundJob struct {
	// revision is that of the key of a live job, or 0.
	revision int64
	// final is the final state of a job that is not live.
	final job.Final
}

// findJob returns what the store has of a job. The error is platform.ErrNotFound if it has
// neither the key of a live job nor a final state. One transaction deletes the key of the live
// job and adds the final state. The key of the live job is read first, so that a job that ends
// between the two reads is found.
func (s *Scheduler) findJob(ctx context.Context, id string) (foundJob, error) {
	i, err := s.getWithRetry(ctx, job.JobKey(id))
	if !errors.Is(err, platform.ErrNotFound) {
		return foundJob{revision: i.Revision}, err
	}
	i, err = s.getWithRetry(ctx, job.FinalKey(id))
	if err != nil {
		return foundJob{}, err
	}
	f, err := decodeFinal(i)
	return foundJob{final: f}, err
}

// readState returns the state of a job according to the store. It does not
// read the progress of a live job, whose state is returned as Queued. The error is
// platform.ErrNotFound if the job is not known to client accounts.
func (s *Scheduler) readState(ctx context.Context, id string) (job.State, error) {
	found, err := s.findJob(ctx, id)
	switch {
	case err != nil:
		return "", err
	case found.revision != 0:
		return job.Queued, nil
	case found.final.Withdrawn:
		return "", platform.ErrNotFound
	default:
		return found.final.State, nil
	}
}

// getWithRetry repeats a read until the store answers, ctx ends or this entry counts
// as cut off from the store.
func (s *Scheduler) getWithRetry(ctx context.Context, key string) (platform.Item, error) {
	for {
		callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
		i, err := s.store.Get(callCtx, key)
		cancel()
		if err == nil || errors.Is(err, platform.ErrNotFound) {
			return i, err
		}
		process.Pause(ctx, storeRetryPause, nil)
		if ctx.Err() != nil || s.storeOutage.CutOff() {
			return i, err
		}
	}
}

// cancel cancels a job and responds once the cancellation is durable.
func (s *Scheduler) cancel(r *request) error {
	reply, err := s.storeOrRelay(r.ctx, &relayRequest{Cancel: r.id})
	found := reply.Found
	outcome := "cancelled"
	switch {
	case err != nil:
		outcome = err.Error()
	case !found:
		outcome = "unknown-job"
	}
	event.CancellationAnswered.Emit(s.log, event.Job(r.id), event.Elapsed(time.Since(r.receivedAt)), event.Outcome(outcome))
	switch {
	case err != nil:
		return callerError(err)
	case !found:
		return r.NoContent(http.StatusGone)
	}
	state := job.Cancelled
	if reply.State.IsFinal() {
		state = reply.State
	}
	return r.JSONBlob(http.StatusOK, platform.EncodeState(state))
}

// storeCancellation makes the cancellation of a live job durable and reports
// whether the job exists, and its state if it has ended. Then it does nothing. A job that
// does not exist is withdrawn.
func (s *Scheduler) storeCancellation(ctx context.Context, id string) (relayReply, error) {
	v, ok := s.mirror.view(id)
	if ok && v.state.IsFinal() {
		return relayReply{Found: true, State: v.state}, nil
	}
	revision := v.revision
	for ctx.Err() == nil {
		if revision == 0 {
			found, err := s.findJob(ctx, id)
			switch {
			case errors.Is(err, platform.ErrNotFound):
				if err = s.withdraw(ctx, id); errors.Is(err, platform.ErrConflict) {
					continue // the write of the job, or an earlier attempt to withdraw it, took effect
				}
				return relayReply{}, err
			case err != nil:
				return relayReply{}, err
			case found.final.Withdrawn:
				return relayReply{}, nil
			case found.revision == 0:
				return relayReply{Found: true, State: found.final.State}, nil
			}
			revision = found.revision
		}
		stored, _, err := s.commitWithRetry(ctx, platform.Transaction{
			Conditions: []platform.Condition{{Key: job.JobKey(id), Revision: revision}},
			Writes:     []platform.Write{{Key: job.CancelledKey(id), Value: []byte("{}")}}})
		if !errors.Is(err, platform.ErrConflict) {
			if err == nil {
				s.mirror.recordCancelled(id)
				s.notifyOwner(notice{ID: id, Revision: stored})
			}
			return relayReply{Found: true}, err
		}
		revision = 0
	}
	return relayReply{}, errUnknownOutcome
}

// withdraw makes sure that a job that the store does not have is never stored as a live one: the
// write of its submission may still be under way, and its client account is told that the job
// does not exist. The error is platform.ErrConflict if the store has the job or its final state.
func (s *Scheduler) withdraw(ctx context.Context, id string) error {
	_, _, err := s.commitWithRetry(ctx, platform.Transaction{
		Conditions: []platform.Condition{{Key: job.JobKey(id)}, {Key: job.FinalKey(id)}},
		Writes:     []platform.Write{{Key: job.FinalKey(id), Value: mustJSON(job.Final{ID: id, State: job.Cancelled, Ended: time.Now(), Withdrawn: true})}}})
	return err
}
