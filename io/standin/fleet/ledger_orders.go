package fleet

import (
	"encoding/json"
	"time"

	"rosemarygap/core/job"
	"rosemarygap/platform"
)

// maxOrderDelay is how long orders of an earlier epoch may still arrive after the first
// order of a later one: an agent has several calls under way at a time, each of which
// takes up to 400 ms.
const maxOrderDelay = time.Second

// ownerRecords is what the ledger knows of the owners and their orders.
type ownerRecords struct {
	// owners are the ownerships that the store has accepted, by epoch.
	owners map[int64]job.Ownership
	newest int64
	// decided is the scheduler that made decisions in an epoch.
	decided map[int64]string
	// tokens are the highest fencing tokens that reached the workers.
	tokens map[string]tokenRecord
}

// tokenRecord is a fencing token and when it reached a worker first.
type tokenRecord struct {
	token int64
	at    time.Time
}

func newOwnerRecords() ownerRecords {
	return ownerRecords{owners: map[int64]job.Ownership{}, decided: map[int64]string{}, tokens: map[string]tokenRecord{}}
}

// RecordWrite records and checks a write that the store has accepted, if it is one of an
// ownership.
func (l *Ledger) RecordWrite(i platform.Item) {
	if i.Key != job.KeyOwner || i.Removed {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var o job.Ownership
	if err := json.Unmarshal(i.Value, &o); err != nil {
		l.addViolation("the store has the ownership %q: %v", i.Value, err)
		return
	}
	r := &l.orders
	if old, ok := r.owners[o.Epoch]; ok && (old.Holder != o.Holder || old.Process != o.Process) {
		l.addViolation("%s (%d) and %s (%d) both own epoch %d", old.Holder, old.Process, o.Holder, o.Process, o.Epoch)
	}
	if o.Epoch < r.newest {
		l.addViolation("%s owns epoch %d after epoch %d", o.Holder, o.Epoch, r.newest)
	}
	r.owners[o.Epoch], r.newest = o, max(r.newest, o.Epoch)
}

// RecordDecision records and checks that a scheduler has logged a decision of an epoch.
func (l *Ledger) RecordDecision(scheduler string, epoch int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.judged["decisions"]++
	if other, ok := l.orders.decided[epoch]; ok && other != scheduler {
		l.addViolation("%s and %s both made decisions in epoch %d", other, scheduler, epoch)
	}
	l.orders.decided[epoch] = scheduler
}

// RecordToken records and checks the fencing token of a call that reached a worker. Tests
// of the worker alone record no owners; the token is not checked against them then.
func (l *Ledger) RecordToken(worker, agent string, token int64, arrived time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &l.orders
	if _, ok := r.owners[token]; !ok && len(r.owners) > 0 {
		l.addViolation("worker %s got an order with token %d, which no scheduler owned", worker, token)
	}
	highest := r.tokens[worker]
	if token > highest.token {
		r.tokens[worker] = tokenRecord{token, arrived}
		l.judged["tokens"]++
		return
	}
	if late := arrived.Sub(highest.at); token < highest.token && late > maxOrderDelay && l.inTouch(arrived, agent) {
		l.addViolation("worker %s got an order with token %d %v after one with token %d", worker, token, late, highest.token)
	}
}
