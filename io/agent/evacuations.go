package agent

import (
	"context"
	"slices"
	"time"

	"rosemarygap/core/job"
	"rosemarygap/platform"

	"github.com/pkg/errors"
)

// maxEvacuationsAge returns how old the knowledge of the evacuated zones may be at a start
// that must reach the worker within delay of an evacuation. It is 0 if zones cannot be
// evacuated.
func maxEvacuationsAge(delay time.Duration) time.Duration {
	if delay <= 0 {
		return 0
	}
	return max(delay-startMargin, delay/2)
}

// zoneKnowledge is what the agent knows about the evacuation of its worker's zone.
type zoneKnowledge struct {
	// knownAt is a time at which the owner, or the agent by its own reading, knew all
	// evacuations.
	knownAt   time.Time
	evacuated bool
	// storeFailedAt is when the agent last failed to read the evacuations.
	storeFailedAt time.Time
}

// apply applies a reply to a report that was sent at sentAt and received at now. Also a
// reply without some of the orders has all that the owner knows of the zone.
func (z *zoneKnowledge) apply(r *job.Freshness, sentAt, now time.Time) {
	switch {
	case r == nil:
		// An owner of an earlier build does not tell.
		z.update(now, false)
	case r.EvacuationsAge == nil:
		z.update(replyMadeAt(r, sentAt, now), false)
	default:
		z.update(replyMadeAt(r, sentAt, now).Add(-max(0, *r.EvacuationsAge)), r.ZoneEvacuated)
	}
}

// update applies knowledge of the given time unless newer knowledge is there.
func (z *zoneKnowledge) update(knownAt time.Time, evacuated bool) {
	if knownAt.After(z.knownAt) {
		z.knownAt, z.evacuated = knownAt, evacuated
	}
}

// permit tells whether a start may be sent at now, by the zone alone. If the agent is not
// served by the store either, the last known state of the zone counts, like that of the
// cancellations.
func (z *zoneKnowledge) permit(maxAge time.Duration, now time.Time) startPermission {
	switch {
	case maxAge == 0:
		return startPermitted
	case job.Age(z.knownAt, now) > maxAge && job.Age(z.storeFailedAt, now) > storeFailureValidity:
		return startUnconfirmed
	case z.evacuated:
		return startEvacuated
	default:
		return startPermitted
	}
}

// zonesRead is the outcome of a reading of the evacuated zones that began at began.
type zonesRead struct {
	zones []string
	began time.Time
	err   error
}

// readEvacuations begins to read the evacuated zones beside the cancellations, so that
// the two together take no longer than one. It returns nil if zones cannot be evacuated.
func (a *Agent) readEvacuations(ctx context.Context) <-chan zonesRead {
	if a.state.maxEvacuationsAge == 0 {
		return nil
	}
	done := make(chan zonesRead, 1)
	go func() {
		x := zonesRead{began: time.Now()}
		callCtx, cancel := context.WithTimeout(ctx, confirmTimeout)
		defer cancel()
		var items []platform.Item
		items, x.err = a.listAll(callCtx, platform.EvacuationPrefix)
		x.zones, x.err = platform.EvacuatedZones(items), errors.Wrap(x.err, "read evacuations")
		done <- x
	}()
	return done
}

// recordEvacuations applies the outcome of a reading that was received at now.
func (s *state) recordEvacuations(x zonesRead, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case x.err != nil:
		s.zone.storeFailedAt = now
	case s.worker != nil:
		s.zone.storeFailedAt = time.Time{}
		s.zone.update(x.began, slices.Contains(x.zones, s.worker.Zone))
	}
}
