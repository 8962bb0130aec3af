package job

import (
	"strings"
	"time"
)

// deliveryTimeout is how long a reply with orders may be in transit before the
// orders are sent again in the reply to another request. Agents abandon a report
// after this time.
const deliveryTimeout = 500 * time.Millisecond

// delivery is the newest reply with orders to an agent. An agent has two requests
// at its owner, a long poll and a report. It acknowledges orders by the sequence
// up to which it has received them, so every reply with orders has all pending
// ones. Under a burst of starts, sending them in both replies would multiply the
// bytes on the owner's link until replies time out and are sent again: while one
// reply is in transit, the other one gets no orders.
type delivery struct {
	// sequence is the number of the newest order in the reply.
	sequence int64
	// longPoll is true if the reply was to a long poll.
	longPoll bool
	// sentAt is zero if no reply is in transit.
	sentAt time.Time
}

// excludes reports whether a reply to a long poll or, if longPoll is false, to a
// report must have no orders.
func (d *delivery) excludes(longPoll bool, now time.Time) bool {
	return !d.sentAt.IsZero() && d.longPoll != longPoll && now.Sub(d.sentAt) < deliveryTimeout
}

// update applies a request of the agent. The agent sends the next request of a
// kind only after it has received or abandoned the reply to the previous one.
func (d *delivery) update(r *Report) {
	if r.LongPoll == d.longPoll || r.Applied >= d.sequence {
		*d = delivery{}
	}
}

// addOrders adds orders to the reply. If shared is true, it adds the payload of
// each job only once; many tasks of one job may start on a worker.
func (r *Reply) addOrders(orders []Order, shared bool) {
	if !shared {
		r.Orders = orders
		return
	}
	r.Orders = make([]Order, len(orders))
	copy(r.Orders, orders)
	for i := range r.Orders {
		o := &r.Orders[i]
		if o.Payload == "" {
			continue
		}
		if r.Payloads == nil {
			r.Payloads = map[string]string{}
		}
		r.Payloads[jobOf(o.Task)] = o.Payload
		o.Payload = ""
	}
}

// CompleteOrders moves the shared payloads of the reply into its start orders.
func (r *Reply) CompleteOrders() {
	for i := range r.Orders {
		if o := &r.Orders[i]; o.Kind == OrderStart && o.Payload == "" {
			o.Payload = r.Payloads[jobOf(o.Task)]
		}
	}
	r.Payloads = nil
}

// jobOf returns the ID of the job of a task.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}
