package scheduler

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"rosemarygap/core/job"
	"rosemarygap/io/process"
	"rosemarygap/platform"

	"github.com/pkg/errors"
)

// Periods and limits of the election.
const (
	// ownerLeaseTTL is how long the owner counts as alive without a renewal.
	ownerLeaseTTL = 1200 * time.Millisecond
	// renewInterval is the time between two renewals of the lease. It leaves time
	// for two retries before the lease ends.
	renewInterval = 350 * time.Millisecond
	// failedCheckPause is the pause after an ownership check that failed. An owner
	// that is cut off from the store hands over as soon as it knows.
	failedCheckPause = 60 * time.Millisecond
	// electionCallTimeout is the timeout of an ownership check with a renewal,
	// and of a resignation. A claim may take twice as long.
	electionCallTimeout = 600 * time.Millisecond
	// campaignInterval is the time between two checks whether there is an
	// owner.
	campaignInterval = 60 * time.Millisecond
	// campaignDelay, divided by the fraction of a processor that the entry may
	// use, is how long an entry waits before a claim, so that faster entries
	// claim first. A fraction below minCPUShare counts as minCPUShare.
	// campaignJitter spreads the claims of entries with equal fractions.
	campaignDelay  = 25 * time.Millisecond
	campaignJitter = 80 * time.Millisecond
	minCPUShare    = 0.05
)

// Errors of the election.
var (
	errOwned      = errors.New("another entry is the owner")
	errSuperseded = errors.New("another entry has become the owner")
	errCutOff     = errors.New("resigned through another entry, being cut off from the store")
)

// ownerSession is one period during which this entry is the owner.
type ownerSession struct {
	ownership job.Ownership
	// ownerRevision is the revision of the owner's key, journalRevision that of
	// the journal's key.
	ownerRevision, journalRevision int64
	leaseID                        int64
	// renewedAt is when the last renewal of the lease was attempted, and
	// cancellationsReadAt when the last reading of the cancellations began.
	renewedAt, cancellationsReadAt time.Time
	// done is closed when the ownership ends.
	done chan struct{}
}

// campaign runs the election goroutine until ctx ends. It claims the ownership
// whenever there is no live owner, and keeps it until it is lost.
func (s *Scheduler) campaign(ctx context.Context) error {
	for ctx.Err() == nil {
		process.Pause(ctx, campaignInterval, s.ownerEnded)
		if !s.mirror.synced.Load() || s.stopping.Load() {
			continue
		}
		// After this entry has removed the lease, the store is asked: the watch may not
		// have delivered the removal yet.
		if !s.claimAtOnce.Swap(false) && !s.awaitTurn(ctx) {
			continue
		}
		session, err := s.claim(ctx)
		s.mirror.storeHealth.Observe(ignoreOwnershipConflict(err))
		if err == nil {
			s.runSession(ctx, session)
		}
	}
	return nil
}

// awaitTurn waits before a claim so that faster entries claim first. It reports whether
// there is no live owner before and after.
func (s *Scheduler) awaitTurn(ctx context.Context) bool {
	if _, alive := s.mirror.ownership(); alive {
		return false
	}
	process.Pause(ctx, s.claimDelay(), nil)
	_, alive := s.mirror.ownership()
	return !alive && !s.stopping.Load() && ctx.Err() == nil
}

// claimDelay returns how long this entry waits before a claim: the less of a processor it
// may use, the longer, and a random time.
func (s *Scheduler) claimDelay() time.Duration {
	return time.Duration(float64(campaignDelay)/max(s.cfg.CPUShare, minCPUShare)) + rand.N(campaignJitter)
}

// ignoreOwnershipConflict returns nil for errors that mean that the store
// answered but another entry is the owner or a condition failed. It returns
// other errors unchanged.
func ignoreOwnershipConflict(err error) error {
	if errors.Is(err, errOwned) || errors.Is(err, platform.ErrConflict) {
		return nil
	}
	return err
}

// claim makes this entry the owner if there is no live owner. The error is
// errOwned if there is one, and platform.ErrConflict if another entry becomes
// the owner at the same time.
func (s *Scheduler) claim(ctx context.Context) (*ownerSession, error) {
	callCtx, cancel := context.WithTimeout(ctx, 2*electionCallTimeout)
	defer cancel()
	_, err := s.store.Get(callCtx, job.KeyOwnerLease)
	if err == nil {
		return nil, errOwned
	}
	if !errors.Is(err, platform.ErrNotFound) {
		return nil, err
	}
	item, last, err := s.readOwner(callCtx)
	if err != nil {
		return nil, err
	}
	session := &ownerSession{done: make(chan struct{}), ownership: job.Ownership{Epoch: last.Epoch + 1,
		Holder: s.cfg.Name, Process: s.processID, Address: s.peerAddress()}}
	if session.leaseID, err = s.store.GrantLease(callCtx, ownerLeaseTTL); err != nil {
		return nil, err
	}
	session.ownerRevision, _, err = s.store.Commit(callCtx, platform.Transaction{
		Conditions: []platform.Condition{{Key: job.KeyOwner, Revision: item.Revision}, {Key: job.KeyOwnerLease}},
		Writes: []platform.Write{
			{Key: job.KeyOwner, Value: mustJSON(session.ownership)},
			{Key: job.KeyJournal, Value: mustJSON(job.JournalPosition{Epoch: session.ownership.Epoch})},
			{Key: job.KeyOwnerLease, Value: mustJSON(session.ownership), Lease: session.leaseID},
		}})
	session.journalRevision = session.ownerRevision
	return session, err
}

// readOwner returns the item of the owner's key and the ownership in it. Both
// are zero if there has never been an owner.
func (s *Scheduler) readOwner(ctx context.Context) (platform.Item, job.Ownership, error) {
	var o job.Ownership
	i, err := s.store.Get(ctx, job.KeyOwner)
	if errors.Is(err, platform.ErrNotFound) {
		return platform.Item{}, o, nil
	}
	if err != nil {
		return platform.Item{}, o, err
	}
	return i, o, errors.Wrap(json.Unmarshal(i.Value, &o), job.KeyOwner)
}

// runSession loads the state, sends it to the control goroutine, and keeps the
// ownership until it is lost.
func (s *Scheduler) runSession(ctx context.Context, session *ownerSession) {
	s.mirror.isOwner.Store(true)
	defer s.mirror.isOwner.Store(false)
	// Discard a signal about an earlier session.
	select {
	case <-s.superseded:
	default:
	}
	s.sendToControl(ctx, session)
	loaded := make(chan error, 1)
	go func() { loaded <- s.loadState(ctx, session) }()
	followCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	followed := make(chan error, 1)
	if s.cfg.Bounds.MaxEvacuationDelay > 0 {
		go func() { followed <- s.followEvacuations(followCtx, session) }()
	} else {
		followed <- nil
	}
	reason := s.keepOwnership(ctx, session)
	close(session.done)
	cancel()
	<-followed
	<-loaded
	s.sendToControl(context.WithoutCancel(ctx), ownershipLost{session, reason})
}

// keepOwnership checks and renews the ownership until it is lost. It returns the
// reason for the loss.
func (s *Scheduler) keepOwnership(ctx context.Context, session *ownerSession) error {
	for {
		err := s.checkAndRenew(ctx, session)
		interval := renewInterval
		switch {
		case errors.Is(err, errSuperseded):
			return err
		case err != nil && s.handOver(ctx, session):
			return errCutOff
		case err != nil:
			interval = failedCheckPause
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.superseded:
			return errSuperseded
		case <-s.stop:
		case <-s.ownershipCheckRequests:
		case <-time.After(interval):
		}
		if s.stopping.Load() {
			s.resign(session)
			return errors.New("planned stop")
		}
	}
}

// checkAndRenew reads the owner's key, confirms the ownership to the control
// goroutine, and renews the lease if a renewal is due. The error is
// errSuperseded if there is a later owner.
func (s *Scheduler) checkAndRenew(ctx context.Context, session *ownerSession) error {
	callCtx, cancel := context.WithTimeout(ctx, electionCallTimeout)
	defer cancel()
	handled := make(chan struct{})
	s.sendToControl(callCtx, ownershipCheckStarted{handled})
	select {
	case <-handled:
	case <-callCtx.Done():
		return callCtx.Err()
	}
	cancellations := s.readCancellations(callCtx, session)
	began := time.Now()
	i, err := s.store.Get(callCtx, job.KeyOwner)
	switch {
	case err != nil:
		return err
	case i.Revision != session.ownerRevision:
		return errSuperseded
	}
	s.sendToControl(callCtx, ownershipConfirmed{began})
	if err := s.renewLease(callCtx, session); err != nil {
		return err
	}
	return s.confirmCancellations(callCtx, session, cancellations)
}

// renewLease renews the owner's lease if a renewal is due.
func (s *Scheduler) renewLease(ctx context.Context, session *ownerSession) error {
	if time.Since(session.renewedAt) < renewInterval {
		return nil
	}
	session.renewedAt = time.Now()
	err := s.store.RenewLease(ctx, session.leaseID)
	_, alive := s.mirror.ownership()
	if errors.Is(err, platform.ErrNotFound) || err == nil && !alive {
		return s.replaceLease(ctx, session)
	}
	return err
}

// replaceLease publishes the ownership under a new lease after the old lease
// has expired.
func (s *Scheduler) replaceLease(ctx context.Context, session *ownerSession) error {
	leaseID, err := s.store.GrantLease(ctx, ownerLeaseTTL)
	if err != nil {
		return err
	}
	_, _, err = s.store.Commit(ctx, platform.Transaction{
		Conditions: []platform.Condition{{Key: job.KeyOwner, Revision: session.ownerRevision}},
		Writes:     []platform.Write{{Key: job.KeyOwnerLease, Value: mustJSON(session.ownership), Lease: leaseID}}})
	if errors.Is(err, platform.ErrConflict) {
		return errSuperseded
	}
	if err == nil {
		session.leaseID = leaseID
	}
	return err
}

// resign deletes the key of the owner's lease, so that another entry can take
// over at once.
func (s *Scheduler) resign(session *ownerSession) {
	ctx, cancel := context.WithTimeout(context.Background(), electionCallTimeout)
	defer cancel()
	s.mirror.storeHealth.Observe(s.commitResignation(ctx, session.ownerRevision))
}

// commitResignation deletes the key of the owner's lease if the owner's key has the
// given revision. It does nothing if there is a later owner.
func (s *Scheduler) commitResignation(ctx context.Context, ownerRevision int64) error {
	_, _, err := s.store.Commit(ctx, platform.Transaction{
		Conditions: []platform.Condition{{Key: job.KeyOwner, Revision: ownerRevision}},
		Deletes:    []string{job.KeyOwnerLease}})
	return ignoreOwnershipConflict(err)
}

// handOver resigns through another entry if this entry is cut off from the store, and
// reports whether that succeeded. Without it the other entries would wait until the
// owner's lease expires. It fails if the store serves no entry: then the owner goes on.
func (s *Scheduler) handOver(ctx context.Context, session *ownerSession) bool {
	if !s.storeOutage.CutOff() {
		return false
	}
	_, err := s.relay(ctx, &relayRequest{Resign: session.ownerRevision})
	return err == nil
}

// loadState reads all items of the scheduler and sends them to the control
// goroutine. It retries until the ownership ends. It begins once the control goroutine
// knows the session: until then, that goroutine ignores changes of the store, which the
// items must have.
func (s *Scheduler) loadState(ctx context.Context, session *ownerSession) error {
	reached := make(chan struct{})
	s.sendToControl(ctx, barrier{reached})
	select {
	case <-reached:
	case <-session.done:
		return errSuperseded
	case <-ctx.Done():
		return ctx.Err()
	}
	for ctx.Err() == nil {
		began := time.Now()
		items, revision, err := listAll(ctx, s.store, job.KeyRoot)
		if err == nil {
			s.sendToControl(ctx, loadedState{session, items, revision, began})
			return nil
		}
		s.mirror.storeHealth.Observe(err)
		select {
		case <-session.done:
			return err
		case <-time.After(readRetryPause):
		}
	}
	return ctx.Err()
}

// mustJSON encodes a value of a type of the scheduler. Encoding these types
// cannot fail.
func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(errors.Wrap(err, "encode a value as JSON"))
	}
	return b
}
