package caller

import (
	"slices"
	"time"
)

// record is what is known of the claims of one id. There may be more than one
// while entries disagree; at most one of them was granted.
type record struct {
	tokens []string
	until  time.Time
}

// expiring is the end of a record, in the order of their ends.
type expiring struct {
	key   string
	until time.Time
}

// Ledger remembers claims for Memory. Its owner serialises calls.
type Ledger struct {
	claims map[string]record
	expiry []expiring
}

// NewLedger returns a ledger without claims.
func NewLedger() *Ledger { return &Ledger{claims: make(map[string]record)} }

// Note records c unless another claim of its id is known.
func (l *Ledger) Record(c Claim, now time.Time) Verdict {
	l.expire(now)
	for _, t := range l.claims[c.key()].tokens {
		if t != c.Token {
			return Repeated
		}
	}
	l.remember(c.key(), c.Token, now)
	return Granted
}

func (l *Ledger) remember(key, token string, now time.Time) {
	r, ok := l.claims[key]
	if !ok {
		r.until = now.Add(ClaimRetention)
		l.expiry = append(l.expiry, expiring{key, r.until})
	}
	if !slices.Contains(r.tokens, token) {
		r.tokens = append(r.tokens, token)
	}
	l.claims[key] = r
}

func (l *Ledger) expire(now time.Time) {
	n := 0
	for n < len(l.expiry) && now.After(l.expiry[n].until) {
		if r := l.claims[l.expiry[n].key]; !r.until.After(l.expiry[n].until) {
			delete(l.claims, l.expiry[n].key)
		}
		n++
	}
	l.expiry = l.expiry[n:]
}

// Release forgets c, whose request was not run.
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
