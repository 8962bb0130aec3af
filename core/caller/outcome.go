// Package caller implements the life cycle of a request that a caller sends to
// an entry, which is a process that forwards requests to endpoints. The package
// determines what an attempt proves, when a retry is allowed, how long a request
// may wait for a slot, which entry decides whether a request id is a repeat, and
// which outcome is reported to the caller. A slot is the capacity of an endpoint
// for one request at a time.
//
// Invariant: the outcome not-run is reported only if every attempt proved that
// the request did not run; a non-idempotent request is dispatched again only
// after such a proof. A Request belongs to the goroutine that serves it.
package caller

import "time"

// Outcome is the result of a request as it is reported to the caller.
type Outcome string

// Outcomes of a request.
const (
	// Answered means that the response is the endpoint's complete answer.
	Answered Outcome = "answered"
	// NotRun means that no endpoint ran the request.
	NotRun Outcome = "not-run"
	// Unknown means that an endpoint may have run the request.
	Unknown Outcome = "unknown"
)

// Result is what one attempt proved about the request.
type Result int

// Results of an attempt.
const (
	// NotSent means that no byte can have reached an endpoint.
	NotSent Result = iota
	// Refused means that the endpoint reported that it did not run the
	// request.
	Refused
	// Complete means that the complete answer arrived.
	Complete
	// Indeterminate means that bytes were sent and no complete answer
	// arrived, so that the request may have run.
	Indeterminate
)

// State is a stage in the life cycle of a request.
type State int

// States of a request, in the order in which it passes through them. A request
// that gets a slot at once skips Queued. A retried request that waits for a slot
// returns from Dispatched to Queued.
const (
	Received State = iota
	Queued
	Dispatched
	Ended
)

// Request is the state of one request.
type Request struct {
	ID         string
	Service    string
	Idempotent bool
	// IDFromCaller is true if the caller chose the id, so that a repeated
	// request can have the same one.
	IDFromCaller bool
	Deadline     time.Time

	state      State
	attempts   int
	mayHaveRun bool
	answered   bool
}

// State returns the current state of the request.
func (q *Request) State() State { return q.state }

// Attempts returns the number of dispatches so far.
func (q *Request) Attempts() int { return q.attempts }

// MarkQueued records that the request waits for a slot.
func (q *Request) MarkQueued() { q.state = Queued }

// MarkDispatched records a dispatch and returns its attempt number, from 1.
func (q *Request) MarkDispatched() int {
	q.state = Dispatched
	q.attempts++
	return q.attempts
}

// Record records what the latest attempt proved.
func (q *Request) Record(r Result) {
	switch r {
	case Complete:
		q.answered = true
	case Indeterminate:
		q.mayHaveRun = true
	}
}

// MarkRepeated records that an earlier request with the same id may have run.
func (q *Request) MarkRepeated() { q.mayHaveRun = true }

// MayRetry reports whether the state of the request allows another dispatch.
// The caller of MayRetry checks the retry budget and the deadline.
func (q *Request) MayRetry() bool {
	return !q.answered && (q.Idempotent || !q.mayHaveRun)
}

// NeedsClaim reports whether the request's id must be claimed before its
// first dispatch. Only an id that the caller chose can be repeated.
func (q *Request) NeedsClaim() bool { return q.IDFromCaller && !q.Idempotent }

// End ends the request and returns the outcome to report to the caller. It may
// be called again and then returns the same outcome. No dispatch or result may be
// recorded after it.
func (q *Request) End() Outcome {
	q.state = Ended
	switch {
	case q.answered:
		return Answered
	case q.mayHaveRun:
		return Unknown
	default:
		return NotRun
	}
}
