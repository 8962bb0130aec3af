package agent

import (
	"context"
	"encoding/json"
	"time"

	"rosemarygap/core/event"
	"rosemarygap/core/job"
	"rosemarygap/core/status"
	"rosemarygap/io/process"
	"rosemarygap/platform"

	"github.com/pkg/errors"
)

// Limits on the age of what a start depends on. Together they bound the time between
// the cancellation of a job, or the end of a task, and the last start of it, whatever
// the order met on its way: a queue of the owner or of the agent, a slow link, a
// worker that answers nothing.
const (
	// startBound is how long after the end of a run is acknowledged no other run of its
	// task may start on the platform. maxOrdersAge is the longest time since the agent had
	// all orders of the owner: a call may take effect until it times out.
	startBound   = time.Second
	maxOrdersAge = startBound - workerCallTimeout
	// defaultCancelDelay applies if the settings have no Bounds.MaxCancelDelay.
	// startMargin is how much earlier than a bound the last start is sent.
	defaultCancelDelay = 3 * time.Second
	startMargin        = time.Second
	// storeFailureValidity is how long the agent, after it could not read the
	// cancellations or evacuations either, trusts that nobody can store one.
	storeFailureValidity = time.Second
	// confirmTimeout is the timeout for reading the cancellations, and that for
	// reading the evacuations.
	confirmTimeout = 600 * time.Millisecond
	// confirmPause is the pause before a start is considered again that waits for
	// the store to be read.
	confirmPause = 20 * time.Millisecond
)

// maxCancellationsAge returns how old the knowledge of the cancellations may be at a start
// that must reach the worker within cancelDelay of a cancellation; 0 means that the
// settings do not say.
func maxCancellationsAge(cancelDelay time.Duration) time.Duration {
	if cancelDelay == 0 {
		cancelDelay = defaultCancelDelay
	}
	return max(cancelDelay-startMargin, cancelDelay/2)
}

// freshness is what the agent knows about the age of its knowledge.
type freshness struct {
	// ordersCompleteAt is a time at which the agent had all orders of the owner.
	ordersCompleteAt time.Time
	// cancellationsKnownAt is a time at which the owner, or the agent by its own
	// reading, knew all acknowledged cancellations.
	cancellationsKnownAt time.Time
	// cancelled are the jobs whose cancellations the agent itself has read last.
	cancelled map[string]bool
	// storeFailedAt is when the agent last failed to read the cancellations.
	storeFailedAt time.Time
}

// apply applies a reply to a report that was sent at sentAt and received at now.
func (f *freshness) apply(r *job.Freshness, sentAt, now time.Time) {
	if r == nil {
		// An owner of an earlier build does not tell.
		f.ordersCompleteAt, f.cancellationsKnownAt = now, now
		return
	}
	if r.Partial {
		return
	}
	madeAt := replyMadeAt(r, sentAt, now)
	f.ordersCompleteAt = job.Later(f.ordersCompleteAt, madeAt)
	f.cancellationsKnownAt = job.Later(f.cancellationsKnownAt, madeAt.Add(-max(0, r.CancellationsAge)))
}

// replyMadeAt returns a time at or before which a reply to a report was made that was
// sent at sentAt and received at now. A malformed r.Held must not make knowledge newer.
func replyMadeAt(r *job.Freshness, sentAt, now time.Time) time.Time {
	return sentAt.Add(max(0, min(r.Held, now.Sub(sentAt))))
}

// startPermission tells whether a start may be sent now.
type startPermission int

const (
	startPermitted startPermission = iota
	// startOutdated means that the owner may have withdrawn the start long ago.
	startOutdated
	// startUnconfirmed means that the cancellations and evacuations have to be read
	// first.
	startUnconfirmed
	// startEvacuated means that the zone of the worker is evacuated.
	startEvacuated
)

// permitStart tells whether a start may be sent at now. If neither the owner nor the
// agent is served by the store, it permits the start: the store is then most likely
// down for everyone, and nobody can cancel a job.
func (s *state) permitStart(now time.Time) startPermission {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := &s.freshness
	switch {
	case job.Age(f.ordersCompleteAt, now) > maxOrdersAge:
		return startOutdated
	case job.Age(f.cancellationsKnownAt, now) <= s.maxCancellationsAge, job.Age(f.storeFailedAt, now) <= storeFailureValidity:
		return s.zone.permit(s.maxEvacuationsAge, now)
	default:
		return startUnconfirmed
	}
}

// recordCancellations applies the cancellations that the store had at began or later,
// if err is nil, and otherwise that they could not be read.
func (s *state) recordCancellations(ids []string, began time.Time, err error, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.freshness.storeFailedAt = now
		return
	}
	s.freshness.cancellationsKnownAt = job.Later(s.freshness.cancellationsKnownAt, began)
	s.freshness.storeFailedAt = time.Time{}
	s.freshness.cancelled = make(map[string]bool, len(ids))
	for _, id := range ids {
		s.freshness.cancelled[id] = true
	}
}

// isJobCancelled reports whether the agent has read that the job of a start is
// cancelled.
func (s *state) isJobCancelled(o job.Order) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, err := job.ParseTask(o.Task)
	return err == nil && s.freshness.cancelled[t.Job]
}

// confirmLoop reads the cancellations and evacuations from the store whenever a start
// waits for that. This is needed only while the owner cannot read them.
func (a *Agent) confirmLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.wakeConfirm:
		}
		if a.state.permitStart(time.Now()) != startUnconfirmed {
			continue
		}
		began := time.Now()
		evacuations := a.readEvacuations(ctx)
		ids, err := a.readCancellations(ctx)
		var zones zonesRead
		if evacuations != nil {
			zones = <-evacuations
		}
		if ctx.Err() != nil {
			return nil
		}
		a.state.recordCancellations(ids, began, err, time.Now())
		if evacuations != nil {
			a.state.recordEvacuations(zones, time.Now())
		}
		if err == nil {
			err = zones.err
		}
		event.CancellationsRead.Emit(a.log, event.Count(len(ids)), event.Elapsed(time.Since(began)), event.Reason(status.Code(errorText(err))))
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// readCancellations returns the IDs of the jobs with a durable cancellation whose
// final state is not durable yet. If there is a later owner, whose final states the
// agent does not know, the agent follows it, which supersedes the waiting starts.
func (a *Agent) readCancellations(ctx context.Context) ([]string, error) {
	callCtx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	items, err := a.listAll(callCtx, job.KeyCancellations)
	if err != nil {
		return nil, errors.Wrap(err, "read cancellations")
	}
	ids := make([]string, len(items))
	for n, i := range items {
		_, ids[n] = job.ParseKey(i.Key)
	}
	i, err := a.store.Get(callCtx, job.KeyOwner)
	if err != nil {
		return nil, errors.Wrap(err, "read the owner")
	}
	var o job.Ownership
	if err := json.Unmarshal(i.Value, &o); err != nil {
		return nil, errors.Wrap(err, job.KeyOwner)
	}
	a.setOwner(o)
	return ids, nil
}

// listAll returns all items of the store under prefix.
func (a *Agent) listAll(ctx context.Context, prefix string) ([]platform.Item, error) {
	var items []platform.Item
	for after, more := "", true; more; {
		p, err := a.store.List(ctx, prefix, after)
		if err != nil {
			return nil, err
		}
		items = append(items, p.Items...)
		more = p.More && len(p.Items) > 0
		if more {
			after = p.Items[len(p.Items)-1].Key
		}
	}
	return items, nil
}

// postponeStart has a start considered again after the store was read.
func (a *Agent) postponeStart(o queuedOrder) {
	process.Wake(a.wakeConfirm)
	time.AfterFunc(confirmPause, func() { a.orders.push(o) })
}
