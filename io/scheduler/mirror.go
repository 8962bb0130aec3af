package scheduler

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"rosemarygap/core/event"
	"rosemarygap/core/job"
	"rosemarygap/core/status"
	"rosemarygap/io/process"
	"rosemarygap/platform"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
)

// Periods and limits of reading the store.
const (
	// watchWait is the longest wait of a watch. It is bounded so that a dead
	// connection is detected.
	watchWait = 2 * time.Second
	// readTimeout is the timeout of a small read, and of the first byte of a large
	// one. A slow store takes 300 ms for a read.
	readTimeout = 900 * time.Millisecond
	// readRetryPause is the pause after a failed read.
	readRetryPause = 100 * time.Millisecond
	// followerWatchPause is the pause between two watches of an entry that is
	// not the owner, so that it reads changes in batches: the calls of all entries
	// share the limits of the store. What must be newer is read when it is needed,
	// such as the final state of a job that a client account asks for, or has a
	// watch of its own, such as the owner.
	followerWatchPause = 400 * time.Millisecond
)

// jobView is the state of a job from which client accounts are answered.
type jobView struct {
	queue     string
	state     job.State
	cancelled bool
	started   bool
	// live is true while the key of the live job exists. The revision is that
	// of this key.
	live     bool
	revision int64
	// longRunning is true for a job that ends only by a cancellation.
	longRunning bool
}

// reportedState returns the state that is reported to the client account.
func (v *jobView) reportedState() job.State {
	switch {
	case v.state.IsFinal():
		return v.state
	case v.cancelled:
		return job.Cancelled
	case v.started:
		return job.Running
	default:
		return job.Queued
	}
}

// change is a change of the store for the control goroutine. The zero value
// announces a new configuration.
type change struct {
	kind     job.KeyKind
	id       string
	value    []byte
	revision int64
	removed  bool
}

// mirror is this entry's copy of the scheduler's keys in the store.
//
// Invariant: the state of a job in the mirror was its state in the store at
// some time, and a final state stays final. The mutex mu guards the
// fields below it.
type mirror struct {
	log         hclog.Logger
	store       *platform.Store
	storeHealth *process.Dependency
	// changes delivers changes to the control goroutine.
	changes chan change
	cfg     atomic.Pointer[job.Configuration]
	// synced is true once the mirror has read all items.
	synced atomic.Bool
	// isOwner is true while this entry is the owner.
	isOwner atomic.Bool

	mu    sync.RWMutex
	jobs  map[string]*jobView
	owner job.Ownership
	// ownerAlive is true while the key of the owner's lease exists.
	// ownerLeaseRevision is the revision of the store up to which this is known.
	ownerAlive         bool
	ownerLeaseRevision int64
}

func newMirror(l hclog.Logger, s *platform.Store) *mirror {
	return &mirror{log: l, store: s, storeHealth: process.NewDependency("store", l),
		changes: make(chan change, 256), jobs: map[string]*jobView{}}
}

// view returns the view of a job, and whether the mirror has the job.
func (m *mirror) view(id string) (jobView, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	v := m.jobs[id]
	if v == nil {
		return jobView{}, false
	}
	return *v, true
}

// countPending returns the number of accepted jobs of a queue of which no task
// has started.
func (m *mirror) countPending(queue string) int {
	m.mu.RLock()
	defer m.mu.RUnlock()
	n := 0
	for _, v := range m.jobs {
		if v.queue == queue && v.live && v.reportedState() == job.Queued {
			n++
		}
	}
	return n
}

// ownership returns the newest ownership, and whether its holder still renews
// the lease.
func (m *mirror) ownership() (job.Ownership, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.owner, m.ownerAlive
}

// follow keeps the mirror up to date until ctx ends.
func (m *mirror) follow(ctx context.Context) error {
	revision := int64(0)
	for ctx.Err() == nil {
		next, err := m.followOnce(ctx, revision)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, platform.ErrCompacted) {
			revision = 0
			continue
		}
		m.storeHealth.Observe(err)
		if err != nil {
			process.Pause(ctx, readRetryPause, nil)
			continue
		}
		revision = next
		if !m.isOwner.Load() {
			process.Pause(ctx, followerWatchPause, nil)
		}
	}
	return nil
}

// followOnce applies the changes after the given revision and returns the
// revision to continue from. Revision 0 reads all items.
func (m *mirror) followOnce(ctx context.Context, revision int64) (int64, error) {
	if revision == 0 {
		return m.reload(ctx)
	}
	callCtx, cancel := context.WithTimeout(ctx, watchWait+readTimeout)
	defer cancel()
	c, err := m.store.Watch(callCtx, job.KeyRoot, revision, watchWait)
	if err != nil {
		return revision, err
	}
	for _, i := range c.Items {
		m.apply(ctx, i)
	}
	return max(revision, c.Revision), nil
}

// reload replaces the contents of the mirror by the items in the store.
func (m *mirror) reload(ctx context.Context) (int64, error) {
	items, revision, err := listAll(ctx, m.store, job.KeyRoot)
	if err != nil {
		return 0, err
	}
	m.mu.Lock()
	m.jobs = map[string]*jobView{}
	m.mu.Unlock()
	m.clearOwnerLeaseIfAbsent(items, revision)
	// The owner's key is applied first, so that a superseded owner does not see
	// jobs that its successor may have started.
	for _, i := range items {
		if i.Key == job.KeyOwner {
			m.apply(ctx, i)
		}
	}
	for _, i := range items {
		if i.Key != job.KeyOwner {
			m.apply(ctx, i)
		}
	}
	m.synced.Store(true)
	return revision, nil
}

// listAll returns all items under prefix and the revision of the first page.
func listAll(ctx context.Context, s *platform.Store, prefix string) ([]platform.Item, int64, error) {
	var items []platform.Item
	revision, after := int64(0), ""
	for {
		var p platform.Page
		err := readLarge(ctx, 0, func(ctx context.Context) (err error) {
			p, err = s.List(ctx, prefix, after)
			return err
		})
		if err != nil {
			return nil, 0, err
		}
		if revision == 0 {
			revision = p.Revision
		}
		items = append(items, p.Items...)
		if !p.More || len(p.Items) == 0 {
			return items, revision, nil
		}
		after = p.Items[len(p.Items)-1].Key
	}
}

// apply applies a change to the mirror and sends it to the control goroutine.
// Changes of progress, final states and learned parameters are not sent: only
// the owner writes these keys, so its cell has them already.
func (m *mirror) apply(ctx context.Context, i platform.Item) {
	kind, id := job.ParseKey(i.Key)
	if kind == job.KeyKindOther {
		return
	}
	if err := m.update(kind, id, i); err != nil {
		event.MessageRefused.Emit(m.log, event.Dependency("store"), event.Reason(status.Code(i.Key+": "+err.Error())))
		return
	}
	if kind == job.KeyKindProgress || kind == job.KeyKindFinal || kind == job.KeyKindLearned {
		return
	}
	select {
	case m.changes <- change{kind, id, i.Value, i.Revision, i.Removed}:
	case <-ctx.Done():
	}
}

// update applies a change to the mirror.
func (m *mirror) update(kind job.KeyKind, id string, i platform.Item) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch kind {
	case job.KeyKindOwner:
		if !i.Removed {
			return m.updateOwner(i)
		}
	case job.KeyKindOwnerLease:
		return m.updateOwnerLease(i)
	case job.KeyKindJob:
		return m.updateJob(id, i)
	case job.KeyKindProgress:
		if i.Removed {
			return nil
		}
		var p struct {
			Started bool `json:"started"`
		}
		err := json.Unmarshal(i.Value, &p)
		m.ensureView(id).started = p.Started
		return err
	case job.KeyKindCancelled:
		if !i.Removed {
			m.ensureView(id).cancelled = true
		}
	case job.KeyKindFinal:
		if i.Removed {
			delete(m.jobs, id)
			return nil
		}
		f, err := decodeFinal(i)
		if f.Withdrawn {
			return err // the job does not exist for client accounts
		}
		v := m.ensureView(id)
		v.state, v.queue = f.State, f.Queue
		return err
	}
	return nil
}

// updateJob applies a change of a live job's key. The caller holds m.mu.
func (m *mirror) updateJob(id string, i platform.Item) error {
	v := m.ensureView(id)
	v.live = !i.Removed
	if i.Removed {
		return nil
	}
	v.revision = i.Revision
	var partial struct {
		Queue string `json:"queue"`
		Steps []struct {
			LongRunning bool `json:"lasting"`
		} `json:"steps"`
	}
	err := json.Unmarshal(i.Value, &partial)
	v.queue = partial.Queue
	v.longRunning = len(partial.Steps) > 0 && partial.Steps[0].LongRunning
	return err
}

// ensureView returns the view of a job, which it adds if necessary. The caller
// holds m.mu.
func (m *mirror) ensureView(id string) *jobView {
	v := m.jobs[id]
	if v == nil {
		v = &jobView{}
		m.jobs[id] = v
	}
	return v
}

// recordAccepted adds a job that this entry has stored.
func (m *mirror) recordAccepted(j *job.Job, revision int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := m.ensureView(j.ID)
	v.queue, v.live, v.longRunning = j.Queue, true, j.Steps[0].LongRunning
	v.revision = max(v.revision, revision)
}

// recordFinal records the final state of a job that this entry has read.
func (m *mirror) recordFinal(id string, s job.State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ensureView(id).state = s
}

// recordCancelled records a cancellation that this entry has stored.
func (m *mirror) recordCancelled(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ensureView(id).cancelled = true
}

// decodeFinal returns the final state in the item of a job that has ended or was withdrawn.
func decodeFinal(i platform.Item) (job.Final, error) {
	var f job.Final
	err := json.Unmarshal(i.Value, &f)
	return f, errors.Wrap(err, i.Key)
}
