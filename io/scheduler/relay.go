package scheduler

import (
	"context"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"rosemarygap/core/event"
	"rosemarygap/core/job"
	"rosemarygap/core/status"
	"rosemarygap/io/httpjson"
	"rosemarygap/io/process"
	"rosemarygap/platform"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
)

// relayPath is the path to which an entry that is cut off from the store posts a
// relayRequest.
const relayPath = "/v1/entries/relay"

// zoneParameter is the query parameter with the zone of a relayed job.
const zoneParameter = "zone"

// maxZoneBytes is the maximum length of the zone of a relayed job.
const maxZoneBytes = 256

// Timeouts of relays.
const (
	// relayTimeout is the timeout of one relay. An owner that was cut off or has
	// ended does not answer; the next attempt may reach its successor.
	relayTimeout = 700 * time.Millisecond
	// relayDialTimeout is the longest time to connect to another entry. An entry that
	// is cut off from the others, too, must know soon that nothing was sent.
	relayDialTimeout = 150 * time.Millisecond
	// maxRelayTimeout limits the timeout that the relaying entry asks for.
	maxRelayTimeout = 10 * time.Second
)

// relayRequest asks another entry to do with the store what this entry cannot. One of
// the first five fields is set. All of them can be repeated without further effect.
type relayRequest struct {
	// Job is the job to store.
	Job *job.Job `json:"job,omitempty"`
	// Cancel is the ID of the job to cancel.
	Cancel string `json:"cancel,omitempty"`
	// State is the ID of the job whose state is asked for.
	State string `json:"state,omitempty"`
	// Resign is the revision of the owner's key at which its holder resigns.
	Resign int64 `json:"resign,omitempty"`
	// Probe asks only whether the store serves the other entry.
	Probe bool `json:"probe,omitempty"`
	// Timeout is how long the relaying entry waits.
	Timeout time.Duration `json:"timeout-ns"`
}

// relayReply is the answer to a relayRequest.
type relayReply struct {
	// Found is false if the job to cancel or whose state is asked for does not exist.
	Found bool      `json:"found"`
	State job.State `json:"state,omitempty"`
}

// storeOrRelay does what the request asks for: with the store or, while this entry is
// cut off from the store, through the owner. The error is platform.ErrNoEffect if the
// request had no effect, and errUnknownOutcome if that is not known when ctx ends.
func (s *Scheduler) storeOrRelay(ctx context.Context, req *relayRequest) (relayReply, error) {
	uncertain := false
	for {
		reply, err := s.storeOrRelayOnce(ctx, req)
		switch {
		case errors.Is(err, errUnknownOutcome):
			uncertain = true
			if req.Job != nil {
				s.unresolved.record(req.Job.ID, time.Now())
			}
		case !errors.Is(err, platform.ErrNoEffect), !uncertain:
			return reply, err
		}
		process.Pause(ctx, storeRetryPause, nil)
		if ctx.Err() != nil {
			return relayReply{}, errUnknownOutcome
		}
	}
}

// storeOrRelayOnce makes one attempt. If the store does not serve the attempt and this
// entry then counts as cut off, the attempt is relayed.
func (s *Scheduler) storeOrRelayOnce(ctx context.Context, req *relayRequest) (relayReply, error) {
	if s.storeOutage.CutOff() {
		return s.relay(ctx, req)
	}
	reply, err := s.carryOut(ctx, req)
	notServed := errors.Is(err, errUnknownOutcome) || errors.Is(err, platform.ErrNoEffect)
	if !notServed || !s.storeOutage.CutOff() || ctx.Err() != nil {
		return reply, err
	}
	relayed, relayErr := s.relay(ctx, req)
	if errors.Is(relayErr, platform.ErrNoEffect) {
		return relayed, err
	}
	return relayed, relayErr
}

// carryOut does what the request asks for with the store.
func (s *Scheduler) carryOut(ctx context.Context, req *relayRequest) (relayReply, error) {
	switch {
	case req.Job != nil:
		return s.storeJob(ctx, req.Job)
	case req.Cancel != "":
		return s.storeCancellation(ctx, req.Cancel)
	case req.Probe:
		return relayReply{}, nil
	case req.Resign != 0:
		return relayReply{}, s.commitResignation(ctx, req.Resign)
	default:
		return s.lookUpState(ctx, req.State)
	}
}

// relay passes a request on to the owner or, if that had no effect, to the entries
// that sent notices to this entry last.
func (s *Scheduler) relay(ctx context.Context, req *relayRequest) (relayReply, error) {
	var targets []netip.AddrPort
	if o, _ := s.mirror.ownership(); o.Address.IsValid() && o.Address != s.peerAddress() {
		targets = append(targets, o.Address)
	}
	for _, target := range append(targets, s.recentPeers.list()...) {
		if reply, err := s.relayTo(ctx, target, req); !errors.Is(err, platform.ErrNoEffect) {
			return reply, err
		}
	}
	return relayReply{}, errors.WithMessagef(platform.ErrNoEffect, "cut off from the store (%s), and no other entry serves it",
		s.mirror.storeHealth.Reason())
}

// servesRequests reports whether this entry can serve requests of client accounts, with
// the store or through another entry.
func (s *Scheduler) servesRequests(ctx context.Context) bool {
	if !s.storeOutage.CutOff() {
		return true
	}
	_, err := s.relay(ctx, &relayRequest{Probe: true})
	return err == nil
}

// relayTo passes a request on to the entry at target.
func (s *Scheduler) relayTo(ctx context.Context, target netip.AddrPort, req *relayRequest) (relayReply, error) {
	callCtx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	sent := *req
	sent.Timeout = relayTimeout
	if deadline, ok := callCtx.Deadline(); ok {
		sent.Timeout = time.Until(deadline)
	}
	path := relayPath
	if req.Job != nil {
		sent.Job, path = forEarlierBuilds(req.Job)
	}
	var reply relayReply
	err := relayOutcome(s.relayClient.Call(callCtx, http.MethodPost, target, path, &sent, &reply))
	outcome := "served"
	if err != nil {
		outcome = err.Error()
	}
	event.RequestRelayed.Emit(s.log, event.Job(req.id()), event.Address(target), event.Outcome(outcome))
	return reply, err
}

// forEarlierBuilds returns a copy of a job without the fields that entries of earlier
// builds do not know, since these refuse a relay with unknown fields, and the path to
// which to relay it. The path has the zone, which earlier builds ignore.
func forEarlierBuilds(j *job.Job) (*job.Job, string) {
	out := *j
	out.Zone = ""
	out.AcceptedQueue.Weight, out.AcceptedQueue.BaseValue, out.AcceptedQueue.MaxValue = 0, 0, 0
	if j.Zone == "" {
		return &out, relayPath
	}
	return &out, relayPath + "?" + url.Values{zoneParameter: {j.Zone}}.Encode()
}

// id returns the ID of the job that the request is about.
func (r *relayRequest) id() string {
	if r.Job != nil {
		return r.Job.ID
	}
	return r.Cancel + r.State
}

// relayOutcome returns the error of a relayed request: platform.ErrNoEffect if the
// owner did nothing, and errUnknownOutcome if that is not known.
func relayOutcome(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, httpjson.ErrNotConnected), errors.Is(err, status.ErrStoreUnavailable),
		errors.Is(err, status.ErrNotFound): // an entry of an earlier build
		return errors.WithMessage(platform.ErrNoEffect, err.Error())
	default:
		return errors.WithMessage(errUnknownOutcome, err.Error())
	}
}

// handleRelay serves the requests that other entries relay.
func (s *Scheduler) handleRelay(x echo.Context) error {
	var req relayRequest
	if err := httpjson.Decode(x, &req); err != nil {
		return err
	}
	if err := req.check(); err != nil {
		return err
	}
	if req.Job != nil {
		if req.Job.Zone = x.QueryParam(zoneParameter); len(req.Job.Zone) > maxZoneBytes {
			return status.At(status.ErrOutOfRange, zoneParameter, strconv.Itoa(len(req.Job.Zone)))
		}
	}
	if s.storeOutage.CutOff() {
		return status.RetryIn(status.ErrStoreUnavailable, retryAfter)
	}
	if req.Job != nil {
		s.announce(req.Job.ID)
	}
	ctx, cancel := context.WithTimeout(x.Request().Context(), req.Timeout)
	defer cancel()
	reply, err := s.carryOut(ctx, &req)
	if err != nil {
		return callerError(err)
	}
	return x.JSON(http.StatusOK, &reply)
}

// check returns an error with a status code if a field is missing or malformed.
func (r *relayRequest) check() error {
	if r.Timeout <= 0 || r.Timeout > maxRelayTimeout {
		return status.At(status.ErrOutOfRange, "timeout-ns", r.Timeout.String())
	}
	if r.Resign != 0 || r.Probe {
		return nil
	}
	if !job.ValidID(r.id()) {
		return status.At(status.ErrBadName, "id", r.id())
	}
	if r.Job != nil {
		return r.Job.Validate()
	}
	return nil
}
