package peer

import (
	"time"

	"rosemarygap/core/clock"
	"rosemarygap/core/wire"
)

// Change is one announcement that the asker did not have, with the index that
// later digests use for it.
type FeedChange[T any] struct {
	Index int           `json:"index"`
	Value T             `json:"value"`
	Age   wire.Duration `json:"age"`
}

// Cursor says how much of a feed the asker has.
type Cursor struct {
	Generation int64 `json:"generation"`
	Next       int   `json:"next"`
}

// Delta is what a feed has for an asker: changes since its cursor, and a
// bitmap of the indexes whose announcements are at most Window old. The asker
// takes them for that old, so passing a bit on makes nothing younger.
type Delta[T any] struct {
	Cursor    Cursor          `json:"cursor"`
	Changes   []FeedChange[T] `json:"changes,omitempty"`
	Refreshed []byte          `json:"heard,omitempty"`
	Window    wire.Duration   `json:"window"`
}

type feedRow[T any] struct {
	key   string
	value T
	// made is when the announcement was made, as far as known.
	made time.Time
	live bool
}

// Feed numbers announcements in the order in which they changed, so that
// other entries get each change once and refreshes as one bit.
type Feed[T any] struct {
	generation int64
	rows       []feedRow[T]
	index      map[string]int
	same       func(a, b T) bool
}

// Limits of a feed's numbering.
const (
	// sparse is the share of live rows, as one in sparse, under which a feed
	// is numbered anew.
	sparse = 4
	// smallFeed is never numbered anew.
	smallFeed = 64
)

// NewFeed returns an empty feed. Values that are the same differ only in what
// each refresh changes. The generation must differ between processes.
func NewFeed[T any](generation int64, same func(a, b T) bool) *Feed[T] {
	return &Feed[T]{generation: generation, index: make(map[string]int), same: same}
}

// Note takes in an announcement that was made at made at the latest.
func (f *Feed[T]) Put(key string, v T, made time.Time) {
	i, ok := f.index[key]
	if !ok || !f.same(f.rows[i].value, v) {
		i = f.add(key, v, made)
	}
	r := &f.rows[i]
	if made.After(r.made) {
		r.made = made
	}
}

func (f *Feed[T]) add(key string, v T, made time.Time) int {
	f.Delete(key)
	f.rows = append(f.rows, feedRow[T]{key: key, value: v, made: made, live: true})
	f.index[key] = len(f.rows) - 1
	return len(f.rows) - 1
}

// Drop removes an announcement.
func (f *Feed[T]) Delete(key string) {
	i, ok := f.index[key]
	if !ok {
		return
	}
	f.rows[i] = feedRow[T]{}
	delete(f.index, key)
	if len(f.rows) > smallFeed && len(f.index)*sparse < len(f.rows) {
		f.renumber()
	}
}

// Expire drops announcements made longer than keep ago.
func (f *Feed[T]) Expire(keep time.Duration, now time.Time) {
	for i := 0; i < len(f.rows); i++ {
		if f.rows[i].live && clock.Elapsed(f.rows[i].made, now) > keep {
			f.Delete(f.rows[i].key)
		}
	}
}

// renumber closes the gaps; askers notice the new generation and begin anew.
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

// Since returns what an asker with cursor c lacks.
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
		age := clock.Elapsed(r.made, now)
		if age <= window {
			d.Refreshed[i/8] |= 1 << (i % 8)
		}
		if i >= c.Next {
			d.Changes = append(d.Changes, FeedChange[T]{i, r.value, wire.Duration(age)})
		}
	}
	return d
}

// Key names one incarnation of an endpoint or worker.
type Key struct {
	ID          string
	Incarnation int64
}

// Mirror is what one entry keeps of another entry's feed: what each index
// stands for. A Key whose ID is shared with the receiver's table keeps it small.
type Mirror[T any] struct {
	cursor Cursor
	keys   []Key
}

// Cursor returns what to ask for next.
func (m *Mirror[T]) Cursor() Cursor { return m.cursor }

// Absorb takes in the answer to a question asked at asked. It calls changed
// for each new announcement, which returns its key, and refreshed for each bit,
// with the latest time at which the announcement may have been made: ages
// count from the question, so an answer that was long under way extends
// nothing.
func (m *Mirror[T]) Apply(d Delta[T], asked time.Time, changed func(v T, made time.Time) Key,
	refreshed func(k Key, made time.Time)) {
	if d.Cursor.Generation != m.cursor.Generation {
		m.keys = nil
	}
	if d.Cursor.Next < 0 || d.Cursor.Next > maxFeed {
		return
	}
	m.cursor = d.Cursor
	if grow := d.Cursor.Next - len(m.keys); grow > 0 {
		m.keys = append(m.keys, make([]Key, grow)...)
	}
	for _, c := range d.Changes {
		if c.Index >= 0 && c.Index < len(m.keys) {
			m.keys[c.Index] = changed(c.Value, asked.Add(-c.Age.Std()))
		}
	}
	made := asked.Add(-d.Window.Std())
	for i, k := range m.keys {
		if k.ID != "" && i/8 < len(d.Refreshed) && d.Refreshed[i/8]&(1<<(i%8)) != 0 {
			refreshed(k, made)
		}
	}
}

// maxFeed bounds the numbering that is accepted from another entry.
const maxFeed = 1 << 20
