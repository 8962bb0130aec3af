package platform

import (
	"context"
	"sync"
	"time"

	"rosemarygap/core/status"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cenkalti/backoff/v4"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

// Limits of the calls of one process.
const (
	// CallsPerSecond bounds the calls of all kinds, a watch as one.
	CallsPerSecond = 100
	// callBurst is how many calls may follow one another at once.
	callBurst = 50
	// Delays after a call that the service did not answer; each is drawn
	// at random around its mean.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 3 * time.Second
	// spareAfter is how many calls in a row stay without an answer before
	// the service is spared.
	spareAfter = 3
)

// Limited is a Store that keeps calls below a limit and spares a service that
// does not answer.
//
// Invariant: after a few calls in a row without an answer, no other call leaves
// until the backoff has passed, and then one alone until one is answered. A call that
// is held back fails with status.ErrStoreUnavailable and has no effect.
type LimitedStore struct {
	store Store
	limit *rate.Limiter
	count *metrics.Counter
	spare *metrics.Counter

	mu      sync.Mutex
	backoff *backoff.ExponentialBackOff
	missed  int
	probing bool
	until   time.Time
}

// NewLimited returns s behind the limits, with metrics of its calls.
func NewLimitedStore(s Store) *LimitedStore {
	b := backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(firstBackoff),
		backoff.WithMaxInterval(maxBackoff),
		backoff.WithMaxElapsedTime(0))
	return &LimitedStore{
		store:   s,
		limit:   rate.NewLimiter(CallsPerSecond, callBurst),
		count:   metrics.GetOrCreateCounter("rosemarygap_store_calls_total"),
		spare:   metrics.GetOrCreateCounter("rosemarygap_store_calls_held_back_total"),
		backoff: b,
	}
}

var _ Store = (*LimitedStore)(nil)

// admit waits for the rate limit, or refuses while the service is spared.
func (l *LimitedStore) admit(ctx context.Context) error {
	if !l.open() {
		l.spare.Inc()
		return status.ErrStoreUnavailable
	}
	if err := l.limit.Wait(ctx); err != nil {
		l.withdraw()
		return status.ErrStoreUnavailable
	}
	l.count.Inc()
	return nil
}

// open reports whether a call may leave now.
func (l *LimitedStore) open() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.missed < spareAfter {
		return true
	}
	if l.probing || time.Now().Before(l.until) {
		return false
	}
	l.probing = true
	return true
}

func (l *LimitedStore) spared() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.missed >= spareAfter
}

// done takes in the result of a call that left. A call that its caller gave
// up tells nothing about the service.
func (l *LimitedStore) done(ctx context.Context, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.probing = false
	switch {
	case !errors.Is(err, status.ErrStoreUnavailable):
		l.missed = 0
		l.backoff.Reset()
	case ctx.Err() == nil:
		l.missed++
		if now := time.Now(); l.missed >= spareAfter && !now.Before(l.until) {
			l.until = now.Add(l.backoff.NextBackOff())
		}
	}
}

// withdraw takes back a call that was admitted and did not leave.
func (l *LimitedStore) withdraw() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.probing = false
}

// limited makes one call within the limits.
func limited[T any](ctx context.Context, l *LimitedStore, call func() (T, error)) (T, error) {
	var none T
	if err := l.admit(ctx); err != nil {
		return none, err
	}
	v, err := call()
	l.done(ctx, err)
	return v, err
}

// Get implements Store.
func (l *LimitedStore) Get(ctx context.Context, key string) (Entry, error) {
	return limited(ctx, l, func() (Entry, error) { return l.store.Get(ctx, key) })
}

// List implements Store.
func (l *LimitedStore) List(ctx context.Context, prefix string) (Changes, error) {
	return limited(ctx, l, func() (Changes, error) { return l.store.List(ctx, prefix) })
}

// Put implements Store.
func (l *LimitedStore) Put(ctx context.Context, w Write) (int64, error) {
	return limited(ctx, l, func() (int64, error) { return l.store.Put(ctx, w) })
}

// Delete implements Store.
func (l *LimitedStore) Delete(ctx context.Context, key string, expect int64) error {
	return l.plain(ctx, func() error { return l.store.Delete(ctx, key, expect) })
}

// Grant implements Store.
func (l *LimitedStore) Grant(ctx context.Context, ttl time.Duration) (string, error) {
	return limited(ctx, l, func() (string, error) { return l.store.Grant(ctx, ttl) })
}

// KeepAlive implements Store.
func (l *LimitedStore) KeepAlive(ctx context.Context, lease string) error {
	return l.plain(ctx, func() error { return l.store.KeepAlive(ctx, lease) })
}

// Revoke implements Store.
func (l *LimitedStore) Revoke(ctx context.Context, lease string) error {
	return l.plain(ctx, func() error { return l.store.Revoke(ctx, lease) })
}

// Watch implements Store. It waits long, so it is never the one call that
// finds out whether the service answers again.
func (l *LimitedStore) Watch(ctx context.Context, prefix string, after int64) (Changes, error) {
	if l.spared() {
		l.spare.Inc()
		return Changes{}, status.ErrStoreUnavailable
	}
	return limited(ctx, l, func() (Changes, error) { return l.store.Watch(ctx, prefix, after) })
}

// plain makes a call that returns no value.
func (l *LimitedStore) plain(ctx context.Context, call func() error) error {
	if err := l.admit(ctx); err != nil {
		return err
	}
	err := call()
	l.done(ctx, err)
	return err
}
