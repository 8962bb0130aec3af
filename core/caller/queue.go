package caller

import (
	"container/heap"
	"slices"
	"time"
)

// Waiter is one queued request.
type Waiter[T any] struct {
	Item     T
	Deadline time.Time

	// index is the place in the heap, or -1 outside it.
	index int
	seq   int64
}

// Queue holds the requests that wait for a slot, the earliest deadline first.
// Its owner serialises calls.
type Queue[T any] struct {
	heap waiters[T]
	seq  int64
}

// waiters implements heap.Interface.
type waiters[T any] []*Waiter[T]

func (h waiters[T]) Len() int { return len(h) }
func (h waiters[T]) Less(i, j int) bool {
	return h[i].before(h[j])
}
func (h waiters[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *waiters[T]) Push(x any) {
	w := x.(*Waiter[T])
	w.index = len(*h)
	*h = append(*h, w)
}
func (h *waiters[T]) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	w.index = -1
	return w
}

func (w *Waiter[T]) before(o *Waiter[T]) bool {
	if !w.Deadline.Equal(o.Deadline) {
		return w.Deadline.Before(o.Deadline)
	}
	return w.seq < o.seq
}

// Len returns the number of waiters.
func (q *Queue[T]) Len() int { return len(q.heap) }

// Push adds a waiter.
func (q *Queue[T]) Push(item T, deadline time.Time) *Waiter[T] {
	q.seq++
	w := &Waiter[T]{Item: item, Deadline: deadline, seq: q.seq}
	heap.Push(&q.heap, w)
	return w
}

// Pop removes the waiter with the earliest deadline.
func (q *Queue[T]) Pop() *Waiter[T] { return heap.Pop(&q.heap).(*Waiter[T]) }

// Remove takes w out and reports whether it still waited.
func (q *Queue[T]) Remove(w *Waiter[T]) bool {
	if w.index < 0 {
		return false
	}
	heap.Remove(&q.heap, w.index)
	return true
}

// Ahead returns how many waiters have a deadline no later than d.
func (q *Queue[T]) Ahead(d time.Time) int {
	n := 0
	for _, w := range q.heap {
		if !w.Deadline.After(d) {
			n++
		}
	}
	return n
}

// InTime reports whether a request that n others precede can be answered
// before deadline, going by the measured pace.
func CanFinishInTime(p *ServiceTimeEstimator, n int, deadline, now time.Time) bool {
	return !now.Add(ExpectedWait(p, n, now) + p.RequiredTime()).After(deadline)
}

// Wait returns the expected wait of a request that n others precede.
func ExpectedWait(p *ServiceTimeEstimator, n int, now time.Time) time.Duration {
	return time.Duration(n+1) * p.ReleaseInterval(now)
}

// TakeLate removes and returns the waiters that can no longer be answered in
// time. Removing one brings those behind it forward.
func (q *Queue[T]) RemoveLate(p *ServiceTimeEstimator, now time.Time) []*Waiter[T] {
	sorted := slices.Clone(q.heap)
	slices.SortFunc(sorted, func(a, b *Waiter[T]) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	var late []*Waiter[T]
	ahead := 0
	for _, w := range sorted {
		if CanFinishInTime(p, ahead, w.Deadline, now) {
			ahead++
			continue
		}
		heap.Remove(&q.heap, w.index)
		late = append(late, w)
	}
	return late
}
