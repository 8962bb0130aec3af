package caller

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Amounts of the retry budget, in thousandths of a retry.
const (
	// tokensPerDispatch is what one first dispatch adds, so that retries add
	// at most a tenth to the load.
	tokensPerDispatch = 100
	tokensPerRetry    = 1000
	// maxTokens bounds the burst of retries after a period without any.
	maxTokens = 20 * tokensPerRetry
)

// RetryBudget is a token bucket that limits the retries of a service to a
// fraction of its first dispatches. The bucket starts empty, so that the limit
// holds from the first dispatch on. It is safe for concurrent use.
type RetryBudget struct {
	mu     sync.Mutex
	tokens int
}

// Deposit adds the tokens of one first dispatch.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+tokensPerDispatch, maxTokens)
}

// TryWithdraw withdraws the tokens of one retry and reports whether the budget
// had enough of them.
func (b *RetryBudget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < tokensPerRetry {
		return false
	}
	b.tokens -= tokensPerRetry
	return true
}

// Refund puts back the tokens of a retry that was withdrawn but not sent.
func (b *RetryBudget) Refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+tokensPerRetry, maxTokens)
}

// Limits of the delay before this entry's own retries, and of the delay that a
// caller is told to wait before it repeats a request.
const (
	baseBackoff   = 5 * time.Millisecond
	maxBackoff    = 200 * time.Millisecond
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Backoff returns a random delay before a retry. Its upper bound doubles with
// each attempt, up to maxBackoff. Limiting the shift keeps it from overflowing.
func Backoff(attempts int) time.Duration {
	bound := min(baseBackoff<<min(attempts, 8), maxBackoff)
	return rand.N(bound) + 1
}

// RetryAfter clamps d to the range of minRetryAfter to maxRetryAfter. It returns a
// random delay between 0.5 and 1.5 times the result, so that refused callers do
// not retry all at once.
func RetryAfter(d time.Duration) time.Duration {
	d = min(max(d, minRetryAfter), maxRetryAfter)
	return d/2 + rand.N(d)
}
