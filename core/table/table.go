// Package table provides a map with deterministic iteration order.
//
// Invariant: rows are kept in one dense slice, and the iteration order depends
// only on the sequence of operations, so that a replay visits the rows in the
// same order. A table has no locks and must be used by one goroutine only.
package table

// entry is a key with its row.
type entry[K comparable, V any] struct {
	key K
	row *V
}

// Table maps keys of type K to rows of type V.
type Table[K comparable, V any] struct {
	rows  []entry[K, V]
	index map[K]int
}

// New returns an empty table.
func New[K comparable, V any]() *Table[K, V] {
	return &Table[K, V]{index: make(map[K]int)}
}

// Len returns the number of rows.
func (t *Table[K, V]) Len() int { return len(t.rows) }

// Get returns the row with key k, or nil if there is none. The pointer is valid
// until the row is deleted.
func (t *Table[K, V]) Get(k K) *V {
	i, ok := t.index[k]
	if !ok {
		return nil
	}
	return t.rows[i].row
}

// Put inserts or overwrites the row with key k and returns it. Overwriting keeps
// the pointer of the row.
func (t *Table[K, V]) Put(k K, v V) *V {
	if i, ok := t.index[k]; ok {
		*t.rows[i].row = v
		return t.rows[i].row
	}
	row := &v
	t.index[k] = len(t.rows)
	t.rows = append(t.rows, entry[K, V]{k, row})
	return row
}

// Delete removes the row with key k, if there is one. The last row takes its place
// in the iteration order.
func (t *Table[K, V]) Delete(k K) {
	i, ok := t.index[k]
	if !ok {
		return
	}
	last := len(t.rows) - 1
	t.rows[i] = t.rows[last]
	t.index[t.rows[i].key] = i
	t.rows[last] = entry[K, V]{}
	t.rows = t.rows[:last]
	delete(t.index, k)
}

// All calls yield for each row until yield returns false. Rows may be modified
// but neither inserted nor deleted during the call.
func (t *Table[K, V]) All(yield func(K, *V) bool) {
	for _, e := range t.rows {
		if !yield(e.key, e.row) {
			return
		}
	}
}
