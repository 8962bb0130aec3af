package event

import (
	"net/netip"
	"time"

	"rosemarygap/core/status"
)

// Request returns the field with the id of a request.
func Request(id string) Field { return Field{"request", id} }

// OtherWorker returns the field with the id of the worker of a task's other run.
func OtherWorker(id string) Field { return Field{"other-worker", id} }

// Gain returns the field with the time by which something is expected to end sooner.
func Gain(d time.Duration) Field { return Field{"gain", d} }

// Service returns the field with the name of a service.
func Service(name string) Field { return Field{"service", name} }

// Endpoint returns the field with the id of an endpoint.
func Endpoint(id string) Field { return Field{"endpoint", id} }

// Entry returns the field with the id of an entry VM.
func Entry(id string) Field { return Field{"entry", id} }

// Worker returns the field with the id of a worker.
func Worker(id string) Field { return Field{"worker", id} }

// Job returns the field with the id of a batch job.
func Job(id string) Field { return Field{"job", id} }

// Attempt returns the field with the attempt number of a task start or a request
// dispatch.
func Attempt(n int) Field { return Field{"attempt", n} }

// Cell returns the field with the number of a scheduling cell, which is a
// shard of workers and jobs with one owner.
func Cell(id int) Field { return Field{"cell", id} }

// Epoch returns the field with the epoch of an ownership of a cell or of the
// scheduler.
func Epoch(n int64) Field { return Field{"epoch", n} }

// Process returns the field with the number of a process of an agent, its start time in
// nanoseconds.
func Process(n int64) Field { return Field{"process", n} }

// Generation returns the field with the number of what an owner knows of an agent.
func Generation(n int64) Field { return Field{"generation", n} }

// Sequence returns the field with the sequence number of a journal record.
func Sequence(n int64) Field { return Field{"sequence", n} }

// Revision returns the field with the revision of an accepted configuration.
func Revision(n int64) Field { return Field{"revision", n} }

// State returns the field with the state of the endpoint or worker that the
// event concerns.
func State(s string) Field { return Field{"state", s} }

// Reason returns the field with a stable reason code, or with the text of an error
// that has no code.
func Reason(c status.Code) Field { return Field{"reason", string(c)} }

// Outcome returns the field with the outcome of a request, cancellation or
// order.
func Outcome(s string) Field { return Field{"outcome", s} }

// Elapsed returns the field with a duration.
func Elapsed(d time.Duration) Field { return Field{"elapsed", d} }

// Waited returns the field with the time before the first attempt.
func Waited(d time.Duration) Field { return Field{"waited", d} }

// Address returns the field with a socket address.
func Address(a netip.AddrPort) Field { return Field{"address", a.String()} }

// Priority returns the field with the priority of a queue; 0 is the most urgent.
func Priority(n int) Field { return Field{"priority", n} }

// Count returns the field with a number of items.
func Count(n int) Field { return Field{"count", n} }

// Allowed returns the field with the number of workers that the advisor allows.
func Allowed(n int) Field { return Field{"allowed", n} }

// Starting returns the field with the number of runs that had only just started.
func Starting(n int) Field { return Field{"starting", n} }

// Jobs returns the field with a number of jobs.
func Jobs(n int) Field { return Field{"jobs", n} }

// Level returns the field with the number of probations of a worker since its
// last success.
func Level(n int) Field { return Field{"level", n} }

// Step returns the field with the name of a step of a job, which the names of its tasks
// begin with.
func Step(name string) Field { return Field{"step", name} }

// Objective returns the field with the latency objective of a job.
func Objective(d time.Duration) Field { return Field{"objective", d} }

// Capacity returns the field with processors in thousandths.
func Capacity(milli int) Field { return Field{"capacity", milli} }

// Free returns the field with processors that are not in use, in thousandths.
func Free(milli int) Field { return Field{"free", milli} }

// Reserved returns the field with processors that tasks reserve, in thousandths.
func Reserved(milli int) Field { return Field{"reserved", milli} }

// Team returns the field with the name of a team.
func Team(name string) Field { return Field{"team", name} }

// Other returns the field with the other cell of a quota transfer.
func Other(cell int) Field { return Field{"other", cell} }

// Throttle returns the field with a share of processors. Event 3053 gives it in
// thousandths, where 0 means no limit; event 7033 gives it in percent.
func Throttle(share int) Field { return Field{"throttle", share} }

// Slowdown returns the field with the factor by which tasks take longer, in percent.
func Slowdown(percent int) Field { return Field{"slowdown", percent} }

// Queue returns the field with the id of a job queue, which consists of its host
// and path prefix.
func Queue(id string) Field { return Field{"queue", id} }

// Kind returns the field with a kind of tasks: regular or best-effort.
func Kind(s string) Field { return Field{"kind", s} }

// Task returns the field with the name of one task of a job.
func Task(name string) Field { return Field{"task", name} }

// Decision returns the field with the kind of a decision.
func Decision(s string) Field { return Field{"decision", s} }

// Age returns the field with the age of the input of a decision.
func Age(d time.Duration) Field { return Field{"age", d} }

// Dependency returns the field with the name of a process or service that a
// process calls.
func Dependency(name string) Field { return Field{"dependency", name} }

// Zone returns the field with the name of an availability zone.
func Zone(name string) Field { return Field{"zone", name} }

// Incarnation returns the field with the incarnation number of a worker, which
// rises with each start of the worker.
func Incarnation(n int64) Field { return Field{"incarnation", n} }

// Listener returns the field with the name of a listener.
func Listener(name string) Field { return Field{"listener", name} }

// Closed returns the field with the number of connections that were closed.
func Closed(n int) Field { return Field{"closed", n} }

// Refused returns the field with the number of requests and connections that were refused.
func Refused(n int) Field { return Field{"refused", n} }
