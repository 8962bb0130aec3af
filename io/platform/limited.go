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

// Limits of the calls of one process to the store.
const (
	// CallsPerSecond is the rate limit of all calls; a watch counts as one call.
	CallsPerSecond = 100
	// callBurst is the number of calls that may exceed the rate at once.
	callBurst = 50
	// initialBackoff and maxBackoff are the initial and the maximum mean delay
	// before a probe while the circuit breaker is open. Each delay is drawn at
	// random around its mean.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 3 * time.Second
	// breakerThreshold is the number of consecutive calls without a response
	// that opens the circuit breaker.
	breakerThreshold = 3
)

// LimitedStore is a Store with a rate limit and a circuit breaker for a service
// that does not respond.
//
// Invariant: after breakerThreshold consecutive calls without a response, the
// breaker is open. No call is sent until the backoff has passed, and then one
// probe at a time until the service responds to a call. A call that is held back
// fails with status.ErrStoreUnavailable and has no effect.
type LimitedStore struct {
	store         Store
	limiter       *rate.Limiter
	sentCalls     *metrics.Counter
	heldBackCalls *metrics.Counter

	mu         sync.Mutex
	backoff    *backoff.ExponentialBackOff
	unanswered int // consecutive calls without a response
	probing    bool
	retryAt    time.Time
}

// NewLimitedStore returns a Store that passes calls on to s within the limits and
// counts them.
func NewLimitedStore(s Store) *LimitedStore {
	b := backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(initialBackoff),
		backoff.WithMaxInterval(maxBackoff),
		backoff.WithMaxElapsedTime(0))
	return &LimitedStore{
		store:         s,
		limiter:       rate.NewLimiter(CallsPerSecond, callBurst),
		sentCalls:     metrics.GetOrCreateCounter("rosemarygap_store_calls_total"),
		heldBackCalls: metrics.GetOrCreateCounter("rosemarygap_store_calls_held_back_total"),
		backoff:       b,
	}
}

var _ Store = (*LimitedStore)(nil)

// admit waits for the rate limit. It returns status.ErrStoreUnavailable if the
// circuit breaker holds the call back or ctx ends first.
func (l *LimitedStore) admit(ctx context.Context) error {
	if !l.allowCall() {
		l.heldBackCalls.Inc()
		return status.ErrStoreUnavailable
	}
	if err := l.limiter.Wait(ctx); err != nil {
		l.cancelAdmission()
		return status.ErrStoreUnavailable
	}
	l.sentCalls.Inc()
	return nil
}

// allowCall reports whether the circuit breaker lets a call through. If the
// breaker is open, that call is the probe.
func (l *LimitedStore) allowCall() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unanswered < breakerThreshold {
		return true
	}
	if l.probing || time.Now().Before(l.retryAt) {
		return false
	}
	l.probing = true
	return true
}

// isOpen reports whether the circuit breaker is open.
func (l *LimitedStore) isOpen() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unanswered >= breakerThreshold
}

// recordResult records the result of a call that was sent. A call that failed
// after its ctx ended gives no information about the service and does not count.
func (l *LimitedStore) recordResult(ctx context.Context, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.probing = false
	switch {
	case !errors.Is(err, status.ErrStoreUnavailable):
		l.unanswered = 0
		l.backoff.Reset()
	case ctx.Err() == nil:
		l.unanswered++
		if now := time.Now(); l.unanswered >= breakerThreshold && !now.Before(l.retryAt) {
			l.retryAt = now.Add(l.backoff.NextBackOff())
		}
	}
}

// cancelAdmission is called for an admitted call that is not sent.
func (l *LimitedStore) cancelAdmission() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.probing = false
}

// callLimited makes one call within the limits.
func callLimited[T any](ctx context.Context, l *LimitedStore, call func() (T, error)) (T, error) {
	var none T
	if err := l.admit(ctx); err != nil {
		return none, err
	}
	v, err := call()
	l.recordResult(ctx, err)
	return v, err
}

// Get implements Store.
func (l *LimitedStore) Get(ctx context.Context, key string) (KeyValue, error) {
	return callLimited(ctx, l, func() (KeyValue, error) { return l.store.Get(ctx, key) })
}

// List implements Store.
func (l *LimitedStore) List(ctx context.Context, prefix string) (Changes, error) {
	return callLimited(ctx, l, func() (Changes, error) { return l.store.List(ctx, prefix) })
}

// Put implements Store.
func (l *LimitedStore) Put(ctx context.Context, w Write) (int64, error) {
	return callLimited(ctx, l, func() (int64, error) { return l.store.Put(ctx, w) })
}

// Delete implements Store.
func (l *LimitedStore) Delete(ctx context.Context, key string, expect int64) error {
	return l.callWithoutResult(ctx, func() error { return l.store.Delete(ctx, key, expect) })
}

// Grant implements Store.
func (l *LimitedStore) Grant(ctx context.Context, ttl time.Duration) (string, error) {
	return callLimited(ctx, l, func() (string, error) { return l.store.Grant(ctx, ttl) })
}

// KeepAlive implements Store.
func (l *LimitedStore) KeepAlive(ctx context.Context, lease string) error {
	return l.callWithoutResult(ctx, func() error { return l.store.KeepAlive(ctx, lease) })
}

// Revoke implements Store.
func (l *LimitedStore) Revoke(ctx context.Context, lease string) error {
	return l.callWithoutResult(ctx, func() error { return l.store.Revoke(ctx, lease) })
}

// Watch implements Store. A watch waits for a long time, so it is never the probe
// that finds out whether the service responds again.
func (l *LimitedStore) Watch(ctx context.Context, prefix string, after int64) (Changes, error) {
	if l.isOpen() {
		l.heldBackCalls.Inc()
		return Changes{}, status.ErrStoreUnavailable
	}
	return callLimited(ctx, l, func() (Changes, error) { return l.store.Watch(ctx, prefix, after) })
}

// callWithoutResult makes one call that returns no value within the limits.
func (l *LimitedStore) callWithoutResult(ctx context.Context, call func() error) error {
	if err := l.admit(ctx); err != nil {
		return err
	}
	err := call()
	l.recordResult(ctx, err)
	return err
}
