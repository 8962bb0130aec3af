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
	// watchWait bounds a waiting watch, so that a connection that went silent
	// is found.
	watchWait = 2 * time.Second
	// readLimit is how long a read may take; a slow store takes 300 ms.
	readLimit = 900 * time.Millisecond
	// readPause separates failed reads.
	readPause = 100 * time.Millisecond
	// followerPause separates two watches of an entry that does not schedule,
	// so that it reads changes in batches.
	followerPause = 40 * time.Millisecond
	// configurationEvery is how often the configuration is read beside its
	// watch, which may hear nothing for a second.
	configurationEvery = 700 * time.Millisecond
)

// jobView is what callers are told of a job.
type jobView struct {
	queue     string
	state     job.State
	cancelled bool
	started   bool
	// live is true while the job's own key is there; revision is that key's.
	live     bool
	revision int64
}

// shown returns the state that callers are told.
func (v *jobView) shown() job.State {
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

// change is one change of the store that the control goroutine follows.
type change struct {
	kind     job.KeyKind
	id       string
	value    []byte
	revision int64
	removed  bool
}

// mirror is this entry's copy of the scheduler's keys.
//
// Invariant: what it says of a job was true in the store at some time; a
// final state is final. Only its own goroutines write it.
type mirror struct {
	log     hclog.Logger
	store   *platform.Store
	health  *process.Dependency
	changes chan change
	cfg     atomic.Pointer[job.Configuration]
	synced  atomic.Bool
	// leading is true while this entry schedules.
	leading atomic.Bool

	mu    sync.RWMutex
	jobs  map[string]*jobView
	owner job.Ownership
	// alive is true while the owner renews its lease.
	alive bool
}

func newMirror(l hclog.Logger, s *platform.Store) *mirror {
	return &mirror{log: l, store: s, health: process.NewDependency("store", l),
		changes: make(chan change, 256), jobs: map[string]*jobView{}}
}

// view returns what is known of a job.
func (m *mirror) view(id string) (jobView, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	v := m.jobs[id]
	if v == nil {
		return jobView{}, false
	}
	return *v, true
}

// pending counts the accepted jobs of a queue of which no task has started.
func (m *mirror) pending(queue string) int {
	m.mu.RLock()
	defer m.mu.RUnlock()
	n := 0
	for _, v := range m.jobs {
		if v.queue == queue && v.live && v.shown() == job.Queued {
			n++
		}
	}
	return n
}

// ownership returns the newest ownership and whether its holder is alive.
func (m *mirror) ownership() (job.Ownership, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.owner, m.alive
}

// follow keeps the copy up to date.
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
		m.health.Observe(err)
		if err != nil {
			process.Pause(ctx, readPause, nil)
			continue
		}
		revision = next
		if !m.leading.Load() {
			process.Pause(ctx, followerPause, nil)
		}
	}
	return nil
}

func (m *mirror) followOnce(ctx context.Context, revision int64) (int64, error) {
	if revision == 0 {
		return m.list(ctx)
	}
	limited, cancel := context.WithTimeout(ctx, watchWait+readLimit)
	defer cancel()
	c, err := m.store.Watch(limited, job.KeyRoot, revision, watchWait)
	if err != nil {
		return revision, err
	}
	for _, i := range c.Items {
		m.apply(ctx, i)
	}
	return max(revision, c.Revision), nil
}

// list reads everything anew.
func (m *mirror) list(ctx context.Context) (int64, error) {
	items, revision, err := listAll(ctx, m.store, job.KeyRoot)
	if err != nil {
		return 0, err
	}
	m.mu.Lock()
	m.jobs = map[string]*jobView{}
	m.alive = false
	m.mu.Unlock()
	// The owner comes first: an owner that was replaced must not see jobs that
	// its successor may have started.
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
		limited, cancel := context.WithTimeout(ctx, readLimit)
		p, err := s.List(limited, prefix, after)
		cancel()
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

// apply takes in one change and passes it on.
func (m *mirror) apply(ctx context.Context, i platform.Item) {
	kind, id := job.ParseKey(i.Key)
	if kind == job.KeyKindOther {
		return
	}
	if err := m.applyTo(kind, id, i); err != nil {
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

func (m *mirror) applyTo(kind job.KeyKind, id string, i platform.Item) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch kind {
	case job.KeyKindOwner:
		if !i.Removed {
			return json.Unmarshal(i.Value, &m.owner)
		}
	case job.KeyKindOwnerLease:
		m.alive = !i.Removed
	case job.KeyKindJob:
		return m.applyJob(id, i)
	case job.KeyKindProgress:
		if i.Removed {
			return nil
		}
		var p struct {
			Started bool `json:"started"`
		}
		err := json.Unmarshal(i.Value, &p)
		m.row(id).started = p.Started
		return err
	case job.KeyKindCancelled:
		if !i.Removed {
			m.row(id).cancelled = true
		}
	case job.KeyKindFinal:
		if i.Removed {
			delete(m.jobs, id)
			return nil
		}
		var f job.Final
		err := json.Unmarshal(i.Value, &f)
		v := m.row(id)
		v.state, v.queue = f.State, f.Queue
		return err
	}
	return nil
}

func (m *mirror) applyJob(id string, i platform.Item) error {
	v := m.row(id)
	v.live = !i.Removed
	if i.Removed {
		return nil
	}
	v.revision = i.Revision
	var head struct {
		Queue string `json:"queue"`
	}
	err := json.Unmarshal(i.Value, &head)
	v.queue = head.Queue
	return err
}

func (m *mirror) row(id string) *jobView {
	v := m.jobs[id]
	if v == nil {
		v = &jobView{}
		m.jobs[id] = v
	}
	return v
}

// accepted notes a job that this entry stored itself.
func (m *mirror) accepted(j *job.Job, revision int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := m.row(j.ID)
	v.queue, v.live = j.Queue, true
	v.revision = max(v.revision, revision)
}

// cancelled notes a cancellation that this entry stored itself.
func (m *mirror) cancelled(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.row(id).cancelled = true
}

// followConfiguration keeps the configuration up to date by its watch.
func (m *mirror) followConfiguration(ctx context.Context) error {
	revision := int64(0)
	for ctx.Err() == nil {
		var err error
		if revision == 0 {
			revision, err = m.readConfiguration(ctx)
		} else {
			revision, err = m.watchConfiguration(ctx, revision)
		}
		if errors.Is(err, platform.ErrCompacted) {
			revision = 0
		} else if err != nil {
			process.Pause(ctx, readPause, nil)
		}
	}
	return nil
}

func (m *mirror) watchConfiguration(ctx context.Context, revision int64) (int64, error) {
	limited, cancel := context.WithTimeout(ctx, watchWait+readLimit)
	defer cancel()
	c, err := m.store.Watch(limited, platform.ConfigurationKey, revision, watchWait)
	if err != nil {
		return revision, err
	}
	for _, i := range c.Items {
		if i.Key == platform.ConfigurationKey && !i.Removed {
			m.configure(ctx, i.Value)
		}
	}
	return max(revision, c.Revision), nil
}

// checkConfiguration reads the configuration from time to time, since a
// watch may miss a change for longer than it may take to be in force.
func (m *mirror) checkConfiguration(ctx context.Context) error {
	last := int64(0)
	for ctx.Err() == nil {
		process.Pause(ctx, configurationEvery, nil)
		limited, cancel := context.WithTimeout(ctx, readLimit)
		i, err := m.store.Get(limited, platform.ConfigurationKey)
		cancel()
		if err == nil && i.Revision > last {
			last = i.Revision
			m.configure(ctx, i.Value)
		}
	}
	return nil
}

func (m *mirror) readConfiguration(ctx context.Context) (int64, error) {
	limited, cancel := context.WithTimeout(ctx, readLimit)
	defer cancel()
	p, err := m.store.List(limited, platform.ConfigurationKey, "")
	if err != nil {
		return 0, err
	}
	for _, i := range p.Items {
		if i.Key == platform.ConfigurationKey {
			m.configure(ctx, i.Value)
		}
	}
	return p.Revision, nil
}

// configure brings a configuration into force unless a newer one is.
func (m *mirror) configure(ctx context.Context, value []byte) {
	c, err := platform.DecodeConfiguration(value)
	if err != nil {
		event.MessageRefused.Emit(m.log, event.Dependency("operator"), event.Reason(status.Code(err.Error())))
		return
	}
	for {
		old := m.cfg.Load()
		if old != nil && old.Version >= c.Version {
			return
		}
		if m.cfg.CompareAndSwap(old, c) {
			break
		}
	}
	event.ConfigurationInForce.Emit(m.log, event.Revision(c.Version), event.Count(len(c.Queues)))
	select {
	case m.changes <- change{}:
	case <-ctx.Done():
	}
}

// finalState reads the state of a job that has ended.
func finalState(i platform.Item) (job.State, error) {
	var f job.Final
	err := json.Unmarshal(i.Value, &f)
	return f.State, errors.Wrap(err, i.Key)
}
