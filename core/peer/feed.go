package peer

import (
	"time"

	"rosemarygap/core/clock"
	"rosemarygap/core/wire"
)

// FeedChange is one announcement that the requester lacks, with the index that
// identifies it in the bitmaps of later deltas.
type FeedChange[T any] struct {
	Index int           `json:"index"`
	Value T             `json:"value"`
	Age   wire.Duration `json:"age"`
}

// Cursor is the position up to which a requester has received a feed. Next is the index
// of the first announcement that the requester lacks. Generation identifies the
// numbering of the feed that Next refers to.
type Cursor struct {
	Generation int64 `json:"generation"`
	Next       int   `json:"next"`
}

// Delta is the part of a feed that a requester lacks: the changes since its
// cursor, and a bitmap of the indexes whose announcements are at most Window old.
// The requester assumes that the announcements in the bitmap are exactly Window
// old, so relaying a bit never reduces the age of an announcement.
type Delta[T any] struct {
	Cursor    Cursor          `json:"cursor"`
	Changes   []FeedChange[T] `json:"changes,omitempty"`
	Refreshed []byte          `json:"heard,omitempty"`
	Window    wire.Duration   `json:"window"`
}

type feedRow[T any] struct {
	key   string
	value T
	// announcedAt is the latest known time of the announcement.
	announcedAt time.Time
	live        bool
}

// Feed numbers announcements in the order of their changes, so that other entries
// receive each change once and each refresh as one bit. Announcements are refreshed
// periodically; a refresh isn't a change.
type Feed[T any] struct {
	generation int64
	rows       []feedRow[T]
	index      map[string]int
	equal      func(a, b T) bool
}

// Conditions for renumbering a feed.
const (
	// maxRowsPerLiveRow is the maximum ratio of all rows to rows that aren't deleted.
	// Above it a feed is renumbered.
	maxRowsPerLiveRow = 4
	// renumberMinRows is the number of rows up to which a feed is never renumbered.
	renumberMinRows = 64
)

// NewFeed returns an empty feed. The equal function reports whether two values
// differ at most in fields that every refresh changes. The generation must differ
// between processes.
func NewFeed[T any](generation int64, equal func(a, b T) bool) *Feed[T] {
	return &Feed[T]{generation: generation, index: make(map[string]int), equal: equal}
}

// Put adds or refreshes an announcement that was made at announcedAt or earlier.
func (f *Feed[T]) Put(key string, v T, announcedAt time.Time) {
	i, ok := f.index[key]
	if !ok || !f.equal(f.rows[i].value, v) {
		i = f.add(key, v, announcedAt)
	}
	r := &f.rows[i]
	if announcedAt.After(r.announcedAt) {
		r.announcedAt = announcedAt
	}
}

func (f *Feed[T]) add(key string, v T, announcedAt time.Time) int {
	f.Delete(key)
	f.rows = append(f.rows, feedRow[T]{key: key, value: v, announcedAt: announcedAt, live: true})
	f.index[key] = len(f.rows) - 1
	return len(f.rows) - 1
}

// Delete removes the announcement with the given key.
func (f *Feed[T]) Delete(key string) {
	i, ok := f.index[key]
	if !ok {
		return
	}
	f.rows[i] = feedRow[T]{}
	delete(f.index, key)
	if len(f.rows) > renumberMinRows && len(f.index)*maxRowsPerLiveRow < len(f.rows) {
		f.renumber()
	}
}

// Expire deletes announcements that are older than retention.
func (f *Feed[T]) Expire(retention time.Duration, now time.Time) {
	for i := 0; i < len(f.rows); i++ {
		if f.rows[i].live && clock.Elapsed(f.rows[i].announcedAt, now) > retention {
			f.Delete(f.rows[i].key)
		}
	}
}

// renumber removes deleted rows. It increments the generation, which makes
// requesters read the feed from the start.
func (f *Feed[T]) renumber() {
	old := f.rows
	f.generation++
	f.rows = nil
	for _, r := range old {
		if r.live {
			f.index[r.key] = len(f.rows)
			f.rows = append(f.rows, r)
		}
	}
}

// DeltaSince returns the delta for a requester with cursor c.
func (f *Feed[T]) DeltaSince(c Cursor, window time.Duration, now time.Time) Delta[T] {
	if c.Generation != f.generation || c.Next > len(f.rows) || c.Next < 0 {
		c = Cursor{}
	}
	d := Delta[T]{Cursor: Cursor{f.generation, len(f.rows)}, Window: wire.Duration(window)}
	d.Refreshed = make([]byte, (len(f.rows)+7)/8)
	for i := range f.rows {
		r := &f.rows[i]
		if !r.live {
			continue
		}
		age := clock.Elapsed(r.announcedAt, now)
		if age <= window {
			d.Refreshed[i/8] |= 1 << (i % 8)
		}
		if i >= c.Next {
			d.Changes = append(d.Changes, FeedChange[T]{i, r.value, wire.Duration(age)})
		}
	}
	return d
}

// Key identifies one incarnation of an endpoint or worker.
type Key struct {
	ID          string
	Incarnation int64
}

// Mirror maps the indexes of another entry's feed to keys. It needs little memory if
// the ID of each Key is the same string as in the receiver's table of endpoints or
// workers.
type Mirror[T any] struct {
	cursor Cursor
	keys   []Key
}

// Cursor returns the cursor for the next request.
func (m *Mirror[T]) Cursor() Cursor { return m.cursor }

// Apply applies the delta in the response to a request sent at sentAt. It calls
// onChange, which returns the key of the announcement, for each new announcement, and
// onRefresh for each bit of the bitmap. Both receive the assumed time of the
// announcement: ages count from sentAt, so a delayed response doesn't extend the
// lifetime of an announcement. A negative age counts as 0: the announcement would
// outlive its time to live.
func (m *Mirror[T]) Apply(d Delta[T], sentAt time.Time, onChange func(v T, announcedAt time.Time) Key,
	onRefresh func(k Key, announcedAt time.Time)) {
	if d.Cursor.Generation != m.cursor.Generation {
		m.keys = nil
	}
	if d.Cursor.Next < 0 || d.Cursor.Next > maxFeedRows {
		return
	}
	m.cursor = d.Cursor
	if grow := d.Cursor.Next - len(m.keys); grow > 0 {
		m.keys = append(m.keys, make([]Key, grow)...)
	}
	for _, c := range d.Changes {
		if c.Index >= 0 && c.Index < len(m.keys) {
			m.keys[c.Index] = onChange(c.Value, sentAt.Add(-max(0, c.Age.Std())))
		}
	}
	announcedAt := sentAt.Add(-max(0, d.Window.Std()))
	for i, k := range m.keys {
		if k.ID != "" && i/8 < len(d.Refreshed) && d.Refreshed[i/8]&(1<<(i%8)) != 0 {
			onRefresh(k, announcedAt)
		}
	}
}

// maxFeedRows is the maximum number of rows that is accepted from another entry.
const maxFeedRows = 1 << 20
