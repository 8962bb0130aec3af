package caller

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Shares of the retry budget, in thousandths of a retry.
const (
	// retryShare is what one first dispatch adds: retries add at most a
	// tenth to the load.
	retryShare = 100
	retryCost  = 1000
	// maxSaved bounds the retries that quiet times save up.
	maxSaved = 20 * retryCost
)

// Budget bounds the retries of a service by a share of its first dispatches.
// It starts empty, so the bound holds over every span of time from the start.
// It is safe for concurrent use.
type RetryBudget struct {
	mu    sync.Mutex
	saved int
}

// Earn notes a first dispatch.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.saved+retryShare, maxSaved)
}

// Take takes one retry and reports whether the budget held it.
func (b *RetryBudget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < retryCost {
		return false
	}
	b.saved -= retryCost
	return true
}

// Return gives back a retry that was taken and not made.
func (b *RetryBudget) Refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.saved+retryCost, maxSaved)
}

// Bounds of delays.
const (
	firstBackoff  = 5 * time.Millisecond
	maxBackoff    = 200 * time.Millisecond
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Backoff returns the delay before a retry: random, up to a bound that
// doubles with each attempt.
func Backoff(attempts int) time.Duration {
	bound := min(firstBackoff<<min(attempts, 8), maxBackoff)
	return rand.N(bound) + 1
}

// RetryAfter spreads the time at which refused callers come back over half to
// one and a half times d, so that they do not come back together.
func RetryAfter(d time.Duration) time.Duration {
	d = min(max(d, minRetryAfter), maxRetryAfter)
	return d/2 + rand.N(d)
}
