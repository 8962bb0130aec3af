package scheduler

import (
	"maps"
	"sync"
	"time"

	"rosemarygap/core/job"
)

const (
	// begunWriteTTL is how long a write is remembered. All mirrors have the job by then, its
	// caller has made its four attempts, and the store has carried out what it carries out late.
	begunWriteTTL = time.Minute
	// maxBegunWrites limits the writes that are remembered, to about 2 MB. Beyond it, every
	// job counts as one that may be stored for begunWriteTTL.
	maxBegunWrites = 16384
)

// begunWrites are the jobs whose writes have recently begun, as far as their outcome matters to
// a later refusal: it must not say that such a job never runs. The zero value is empty. It is safe
// for concurrent use.
type begunWrites struct {
	mu  sync.Mutex
	ids map[string]time.Time
	// unsureUntil is until when others may have been forgotten.
	unsureUntil time.Time
}

// record records that a write of the job began.
func (b *begunWrites) record(id string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ids) >= maxBegunWrites {
		maps.DeleteFunc(b.ids, func(_ string, at time.Time) bool { return job.Age(at, now) > begunWriteTTL })
	}
	if len(b.ids) >= maxBegunWrites {
		clear(b.ids)
		b.unsureUntil = now.Add(begunWriteTTL)
	}
	if b.ids == nil {
		b.ids = map[string]time.Time{}
	}
	b.ids[id] = now
}

// mayBeStored reports whether a write of the job may have begun.
func (b *begunWrites) mayBeStored(id string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at, ok := b.ids[id]
	return now.Before(b.unsureUntil) || ok && job.Age(at, now) <= begunWriteTTL
}
