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

// Periods of ownership.
const (
	// ownerLease is how long the owner counts as alive without a renewal.
	ownerLease = 1200 * time.Millisecond
	// renewEvery leaves two more tries within the lease.
	renewEvery = 350 * time.Millisecond
	// claimLimit bounds a call of the election.
	claimLimit = 600 * time.Millisecond
	// campaignPause separates two looks at the owner.
	campaignPause = 60 * time.Millisecond
	// campaignDelay over an entry's share of a processor is how long it
	// leaves the claim to faster ones; campaignJitter keeps equals apart.
	campaignDelay  = 25 * time.Millisecond
	campaignJitter = 80 * time.Millisecond
	minShare       = 0.05
)

// Sentinels of the election.
var (
	errNotFree = errors.New("another entry holds the claim")
	errDeposed = errors.New("another entry took the claim")
)

// tenure is one ownership of this entry.
type tenure struct {
	ownership job.Ownership
	// revision is that of the owner's key, journal that of the journal's.
	revision, journal int64
	lease             int64
	// renewed is when the lease was last to be renewed.
	renewed time.Time
	// ended is closed once the ownership is over.
	ended chan struct{}
}

// campaign claims the ownership whenever nobody holds it, and keeps it.
func (s *Scheduler) campaign(ctx context.Context) error {
	for ctx.Err() == nil {
		process.Pause(ctx, campaignPause, nil)
		if !s.mirror.synced.Load() || s.stopping.Load() {
			continue
		}
		if _, alive := s.mirror.ownership(); alive {
			continue
		}
		delay := time.Duration(float64(campaignDelay) / max(s.cfg.CPUShare, minShare))
		process.Pause(ctx, delay+rand.N(campaignJitter), nil)
		if _, alive := s.mirror.ownership(); alive || s.stopping.Load() || ctx.Err() != nil {
			continue
		}
		t, err := s.claim(ctx)
		s.mirror.health.Observe(ignoreTaken(err))
		if err == nil {
			s.serve(ctx, t)
		}
	}
	return nil
}

// ignoreTaken drops the errors that say that the store answered.
func ignoreTaken(err error) error {
	if errors.Is(err, errNotFree) || errors.Is(err, platform.ErrConflict) {
		return nil
	}
	return err
}

// claim takes the ownership if nobody holds it.
func (s *Scheduler) claim(ctx context.Context) (*tenure, error) {
	limited, cancel := context.WithTimeout(ctx, 2*claimLimit)
	defer cancel()
	_, err := s.store.Get(limited, job.KeyOwnerLease)
	if err == nil {
		return nil, errNotFree
	}
	if !errors.Is(err, platform.ErrNotFound) {
		return nil, err
	}
	old, last, err := s.readOwner(limited)
	if err != nil {
		return nil, err
	}
	t := &tenure{ended: make(chan struct{}), ownership: job.Ownership{Epoch: last.Epoch + 1,
		Holder: s.cfg.Name, Process: s.process, Address: s.peerAddress()}}
	if t.lease, err = s.store.GrantLease(limited, ownerLease); err != nil {
		return nil, err
	}
	t.revision, _, err = s.store.Commit(limited, platform.Transaction{
		Conditions: []platform.Condition{{Key: job.KeyOwner, Revision: old.Revision}, {Key: job.KeyOwnerLease}},
		Writes: []platform.Write{
			{Key: job.KeyOwner, Value: mustJSON(t.ownership)},
			{Key: job.KeyJournal, Value: mustJSON(job.JournalPosition{Epoch: t.ownership.Epoch})},
			{Key: job.KeyOwnerLease, Value: mustJSON(t.ownership), Lease: t.lease},
		}})
	t.journal = t.revision
	return t, err
}

// readOwner returns the owner's item and ownership; both are zero if there
// never was one.
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

// serve loads the state, hands it to the control goroutine, and keeps the
// ownership until it is lost.
func (s *Scheduler) serve(ctx context.Context, t *tenure) {
	s.mirror.leading.Store(true)
	defer s.mirror.leading.Store(false)
	select {
	case <-s.deposed:
	default:
	}
	s.tell(ctx, t)
	loaded := make(chan error, 1)
	go func() { loaded <- s.load(ctx, t) }()
	reason := s.keep(ctx, t)
	close(t.ended)
	<-loaded
	s.tell(context.WithoutCancel(ctx), lost{t, reason})
}

// keep proves and renews the ownership until it is lost, and says why.
func (s *Scheduler) keep(ctx context.Context, t *tenure) error {
	for {
		if err := s.keepOnce(ctx, t); errors.Is(err, errDeposed) {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.deposed:
			return errDeposed
		case <-s.stop:
		case <-s.prove:
		case <-time.After(renewEvery):
		}
		if s.stopping.Load() {
			s.resign(t)
			return errors.New("planned stop")
		}
	}
}

func (s *Scheduler) keepOnce(ctx context.Context, t *tenure) error {
	limited, cancel := context.WithTimeout(ctx, claimLimit)
	defer cancel()
	taken := make(chan struct{})
	s.tell(limited, verifying{taken})
	select {
	case <-taken:
	case <-limited.Done():
		return limited.Err()
	}
	began := time.Now()
	i, err := s.store.Get(limited, job.KeyOwner)
	switch {
	case err != nil:
		return err
	case i.Revision != t.revision:
		return errDeposed
	}
	s.tell(limited, verified{began})
	if time.Since(t.renewed) < renewEvery {
		return nil
	}
	t.renewed = time.Now()
	err = s.store.RenewLease(limited, t.lease)
	_, alive := s.mirror.ownership()
	if errors.Is(err, platform.ErrNotFound) || err == nil && !alive {
		return s.reviveLease(limited, t)
	}
	return err
}

// reviveLease announces this owner again after its lease lapsed.
func (s *Scheduler) reviveLease(ctx context.Context, t *tenure) error {
	lease, err := s.store.GrantLease(ctx, ownerLease)
	if err != nil {
		return err
	}
	_, _, err = s.store.Commit(ctx, platform.Transaction{
		Conditions: []platform.Condition{{Key: job.KeyOwner, Revision: t.revision}},
		Writes:     []platform.Write{{Key: job.KeyOwnerLease, Value: mustJSON(t.ownership), Lease: lease}}})
	if errors.Is(err, platform.ErrConflict) {
		return errDeposed
	}
	if err == nil {
		t.lease = lease
	}
	return err
}

// resign lets another entry take over at once.
func (s *Scheduler) resign(t *tenure) {
	ctx, cancel := context.WithTimeout(context.Background(), claimLimit)
	defer cancel()
	_, _, err := s.store.Commit(ctx, platform.Transaction{
		Conditions: []platform.Condition{{Key: job.KeyOwner, Revision: t.revision}},
		Deletes:    []string{job.KeyOwnerLease}})
	s.mirror.health.Observe(ignoreTaken(err))
}

// load reads all live jobs and tells the control goroutine.
func (s *Scheduler) load(ctx context.Context, t *tenure) error {
	for ctx.Err() == nil {
		items, revision, err := listAll(ctx, s.store, job.KeyRoot)
		if err == nil {
			s.tell(ctx, loadedState{t, items, revision})
			return nil
		}
		s.mirror.health.Observe(err)
		select {
		case <-t.ended:
			return err
		case <-time.After(readPause):
		}
	}
	return ctx.Err()
}

// mustJSON marshals the scheduler's own types, which cannot fail.
func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(errors.Wrap(err, "encode own type"))
	}
	return b
}
