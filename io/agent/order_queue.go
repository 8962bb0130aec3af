package agent

import (
	"context"
	"sync"
	"time"

	"rosemarygap/core/job"
	"rosemarygap/io/process"
)

// queuedOrder is an order that the agent has received and not settled.
type queuedOrder struct {
	job.Order
	epoch      int64
	receivedAt time.Time
	// firstCallAt is the time of the first call to the worker for the order, or zero.
	firstCallAt time.Time
	// revoked is true for a start that must be made impossible by a stop of its run.
	revoked bool
	// unanswered is true for a start of which a call had no answer.
	unanswered bool
	// unconfirmed is true for a start that waits for the store to be read.
	unconfirmed bool
	// calls is the number of calls that were made to start the run or, if isStop, to
	// stop it.
	calls int
}

// isStop reports whether the next call for the order stops the run.
func (o *queuedOrder) isStop() bool { return o.Kind == job.OrderStop || o.revoked }

// revoke makes the next call for a start stop its run.
func (o *queuedOrder) revoke() { o.revoked, o.unconfirmed, o.calls = true, false, 0 }

// beginCall records a call for the order.
func (o *queuedOrder) beginCall(now time.Time) {
	if o.firstCallAt.IsZero() {
		o.firstCallAt = now
	}
	o.calls++
}

// waited returns how long the order waited for its first call, or has waited.
func (o *queuedOrder) waited(now time.Time) time.Duration {
	if !o.firstCallAt.IsZero() {
		now = o.firstCallAt
	}
	return now.Sub(o.receivedAt)
}

// orderQueue holds the unsettled orders for which no call is in progress. An order
// that the worker does not answer returns to the queue after each call, so that it
// delays the others by one call at most. It is safe for concurrent use.
//
// Load pattern: a worker that answers no orders, while many jobs are cancelled. The
// first calls of stops precede everything else, since a stop may take effect
// although its answer is lost.
type orderQueue struct {
	mu sync.Mutex
	// stops have had no call yet. repeatedStops have had at least one.
	stops, starts, repeatedStops []queuedOrder
	// wakeAny and wakeStops wake an executor of the respective kind.
	wakeAny, wakeStops chan struct{}
}

func newOrderQueue() *orderQueue {
	return &orderQueue{wakeAny: make(chan struct{}, 1), wakeStops: make(chan struct{}, 1)}
}

// push adds an order.
func (q *orderQueue) push(o queuedOrder) {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case !o.isStop():
		q.starts = append(q.starts, o)
	case o.calls == 0:
		q.stops = append(q.stops, o)
	default:
		q.repeatedStops = append(q.repeatedStops, o)
	}
	waitingOrders.Inc()
	process.Wake(q.wakeAny)
	if o.isStop() {
		process.Wake(q.wakeStops)
	}
}

// next waits for an order and removes it from the queue. If stopsOnly is true, it
// returns only orders whose next call is a stop. It returns false if ctx ends before.
func (q *orderQueue) next(ctx context.Context, stopsOnly bool) (queuedOrder, bool) {
	wake := q.wakeAny
	if stopsOnly {
		wake = q.wakeStops
	}
	for {
		if o, ok := q.pop(stopsOnly); ok {
			return o, true
		}
		select {
		case <-ctx.Done():
			return queuedOrder{}, false
		case <-wake:
		}
	}
}

// pop removes the first order of the first list that has one. It wakes another
// executor if there are further orders.
func (q *orderQueue) pop(stopsOnly bool) (queuedOrder, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	lists := []*[]queuedOrder{&q.stops, &q.starts, &q.repeatedStops}
	if stopsOnly {
		lists = []*[]queuedOrder{&q.stops, &q.repeatedStops}
	}
	for _, l := range lists {
		if len(*l) == 0 {
			continue
		}
		o := (*l)[0]
		*l = (*l)[1:]
		waitingOrders.Dec()
		q.wakeNext()
		return o, true
	}
	return queuedOrder{}, false
}

// wakeNext wakes executors for the remaining orders. The caller holds q.mu.
func (q *orderQueue) wakeNext() {
	stops := len(q.stops) + len(q.repeatedStops)
	if stops+len(q.starts) > 0 {
		process.Wake(q.wakeAny)
	}
	if stops > 0 {
		process.Wake(q.wakeStops)
	}
}
