package event

import (
	"net/netip"
	"time"

	"rosemarygap/core/status"
)

// Request names a request.
func Request(id string) Field { return Field{"request", id} }

// Service names a service.
func Service(name string) Field { return Field{"service", name} }

// Endpoint names an endpoint.
func Endpoint(id string) Field { return Field{"endpoint", id} }

// Entry names an entry VM.
func Entry(id string) Field { return Field{"entry", id} }

// Worker names a worker VM.
func Worker(id string) Field { return Field{"worker", id} }

// Job names a batch job.
func Job(id string) Field { return Field{"job", id} }

// Attempt counts the starts of a task or the dispatches of a request.
func Attempt(n int) Field { return Field{"attempt", n} }

// Cell names a scheduling cell.
func Cell(id int) Field { return Field{"cell", id} }

// Epoch numbers an ownership of a cell.
func Epoch(n int64) Field { return Field{"epoch", n} }

// Sequence numbers a journal entry.
func Sequence(n int64) Field { return Field{"sequence", n} }

// Revision numbers an accepted configuration.
func Revision(n int64) Field { return Field{"revision", n} }

// State names a state of the subject.
func State(s string) Field { return Field{"state", s} }

// Reason gives a stable reason code.
func Reason(c status.Code) Field { return Field{"reason", string(c)} }

// Outcome gives a request's outcome.
func Outcome(s string) Field { return Field{"outcome", s} }

// Elapsed gives a duration.
func Elapsed(d time.Duration) Field { return Field{"elapsed", d} }

// Address gives a socket address.
func Address(a netip.AddrPort) Field { return Field{"address", a.String()} }

// Count gives a number of items.
func Count(n int) Field { return Field{"count", n} }

// Level counts the probations of a worker in a row.
func Level(n int) Field { return Field{"level", n} }

// Team names a team.
func Team(name string) Field { return Field{"team", name} }

// Other names the second cell of a transfer.
func Other(cell int) Field { return Field{"other", cell} }

// Throttle gives a share of processors in thousandths; 0 means no limit.
func Throttle(milli int) Field { return Field{"throttle", milli} }

// Queue names a queue of jobs by its host and prefix.
func Queue(id string) Field { return Field{"queue", id} }

// Task names one task of a job.
func Task(name string) Field { return Field{"task", name} }

// Decision names what was decided.
func Decision(s string) Field { return Field{"decision", s} }

// Age gives how old the input of a decision was.
func Age(d time.Duration) Field { return Field{"age", d} }

// Dependency names a peer that a process depends on.
func Dependency(name string) Field { return Field{"dependency", name} }

// Incarnation tells the lives of a worker apart.
func Incarnation(n int64) Field { return Field{"incarnation", n} }
