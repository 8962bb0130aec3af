package caller

import (
	"slices"
	"time"
)

// claimRecord holds the tokens of the claims of one id. There may be several
// tokens while entries disagree; at most one of these claims was granted.
type claimRecord struct {
	tokens    []string
	expiresAt time.Time
}

// expiryEntry is the expiration time of one record in the expiry queue.
type expiryEntry struct {
	key       string
	expiresAt time.Time
}

// Ledger keeps claims for ClaimRetention. Its owner serializes calls to its
// methods.
type Ledger struct {
	claims      map[string]claimRecord
	expiryQueue []expiryEntry
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{claims: make(map[string]claimRecord)} }

// Record records c and returns Granted, unless the ledger has another claim of
// its id; then it returns Repeated.
func (l *Ledger) Record(c Claim, now time.Time) Verdict {
	l.expire(now)
	for _, t := range l.claims[c.key()].tokens {
		if t != c.Token {
			return Repeated
		}
	}
	l.add(c.key(), c.Token, now)
	return Granted
}

func (l *Ledger) add(key, token string, now time.Time) {
	r, ok := l.claims[key]
	if !ok {
		r.expiresAt = now.Add(ClaimRetention)
		l.expiryQueue = append(l.expiryQueue, expiryEntry{key, r.expiresAt})
	}
	if !slices.Contains(r.tokens, token) {
		r.tokens = append(r.tokens, token)
	}
	l.claims[key] = r
}

func (l *Ledger) expire(now time.Time) {
	// A record that was released and added again expires later than its first
	// entry in the queue.
	n := 0
	for n < len(l.expiryQueue) && now.After(l.expiryQueue[n].expiresAt) {
		if r := l.claims[l.expiryQueue[n].key]; !r.expiresAt.After(l.expiryQueue[n].expiresAt) {
			delete(l.claims, l.expiryQueue[n].key)
		}
		n++
	}
	l.expiryQueue = l.expiryQueue[n:]
}

// Release removes c, whose request was not run.
func (l *Ledger) Release(c Claim) {
	r, ok := l.claims[c.key()]
	if !ok {
		return
	}
	r.tokens = slices.DeleteFunc(r.tokens, func(t string) bool { return t == c.Token })
	l.claims[c.key()] = r
	if len(r.tokens) == 0 {
		delete(l.claims, c.key())
	}
}
