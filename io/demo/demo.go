// Package demo runs an end-to-end check of a small deployment: requests, batch jobs
// and a configuration change. It checks that no outcome reported to a caller is
// false, that no job is completed twice, and that all registered entries apply the
// changed configuration.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"time"

	"rosemarygap/core/entry"
	"rosemarygap/core/operator"
	"rosemarygap/core/status"
	"rosemarygap/core/wire"
	"rosemarygap/core/worker"
	"rosemarygap/io/httpjson"
	"rosemarygap/io/load"
	standin "rosemarygap/io/standin/worker"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// Options are the command-line options of rosemarygap-demo.
type Options struct {
	Entries     []netip.AddrPort `arg:"--entry,required" help:"caller addresses of the entries"`
	Operators   []netip.AddrPort `arg:"--operator,required" help:"operator addresses of the entries"`
	Endpoints   []netip.AddrPort `arg:"--endpoint,required" help:"addresses of the endpoint stand-ins"`
	Workers     []netip.AddrPort `arg:"--worker" help:"addresses of the worker stand-ins that are not killed"`
	Config      string           `arg:"--config,required" help:"path of the initial configuration document"`
	StartedFile string           `arg:"--started" help:"path of a file that is created when the load starts"`
	Jobs        int              `arg:"--jobs" default:"24" help:"number of batch jobs to submit"`
	Rate        float64          `arg:"--rate" default:"150" help:"mean number of requests per second"`
	Duration    time.Duration    `arg:"--duration" default:"20s" help:"how long to send requests"`
	Seed        uint64           `arg:"--seed" default:"1" help:"seed of the load"`
}

// Report is the result of the demo, printed as its last line. MinRevision is the
// lowest configuration revision in force at any registered entry.
type Report struct {
	load.Result
	load.Audit
	JobsSubmitted int   `json:"jobs-submitted"`
	JobsFinished  int   `json:"jobs-finished"`
	DuplicateJobs int   `json:"job-doubles"`
	Evictions     int   `json:"evictions"`
	MinRevision   int64 `json:"config-revision-everywhere"`
	Passed        bool  `json:"passed"`
}

// ErrChecksFailed means that at least one check of the demo failed.
var ErrChecksFailed = errors.New("demo checks failed")

// stepTimeout limits each wait of the demo, for example the wait for a request to
// be accepted, or for the jobs and the configuration after the load.
const stepTimeout = 25 * time.Second

// runner is the state of one run of the demo.
type runner struct {
	Options
	client *httpjson.Client
	report Report
}

// Run applies the initial configuration, sends requests and submits jobs, changes
// the configuration, and prints the report to w. It returns ErrChecksFailed if a
// check failed.
func Run(ctx context.Context, o Options, w io.Writer) error {
	d := &runner{Options: o, client: httpjson.NewClient(5 * time.Second)}
	defer d.client.Close()
	if err := d.runSteps(ctx); err != nil {
		return err
	}
	d.report.Passed = d.passed()
	b, err := json.Marshal(d.report)
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	fmt.Fprintln(w, string(b))
	if !d.report.Passed {
		return ErrChecksFailed
	}
	return nil
}

func (d *runner) runSteps(ctx context.Context) error {
	if err := d.applyInitialConfig(ctx); err != nil {
		return err
	}
	if err := d.waitFor(ctx, stepTimeout, d.allEntriesServe); err != nil {
		return errors.WithMessage(err, "wait for entries to serve requests")
	}
	if err := d.createStartedFile(); err != nil {
		return err
	}
	jobs := make(chan error, 1)
	go func() { jobs <- d.submitJobs(ctx) }()
	plan := load.Plan{Entries: d.Entries, Service: "catalogue", Rate: d.Rate,
		Duration: d.Duration, Deadline: 2 * time.Second, NonIdempotent: 0.3, ResponseSize: 512, Seed: d.Seed}
	observations, err := load.Run(ctx, plan)
	if err != nil {
		return errors.WithMessage(err, "load")
	}
	d.report.Result = load.Summarize(observations)
	if err := <-jobs; err != nil {
		return errors.WithMessage(err, "submit jobs")
	}
	revision, err := d.changeConfig(ctx)
	if err != nil {
		return errors.WithMessage(err, "change configuration")
	}
	d.waitForConvergence(ctx, revision)
	d.report.Audit, err = load.AuditOutcomes(ctx, d.Endpoints, observations)
	return err
}

// createStartedFile creates the file for which the demo script waits before it
// injects faults.
func (d *runner) createStartedFile() error {
	if d.StartedFile == "" {
		return nil
	}
	return errors.Wrap(os.WriteFile(d.StartedFile, nil, 0o644), "create started file")
}

// passed reports whether all checks succeeded. Fewer than a tenth of the requests may
// have no valid response, because scripts/demo.sh kills an entry during the load. The
// audit still checks the outcomes of these requests. The changed configuration has a
// revision above 1, the revision of the initial one.
func (d *runner) passed() bool {
	r := &d.report
	return r.WrongAnswers == 0 && !r.Audit.HasViolations() && r.JobsFinished == r.JobsSubmitted &&
		r.DuplicateJobs == 0 && r.MinRevision > 1 && r.ValidAnswers > r.Requests*9/10
}

// callAnyEntry calls the operator interface of each entry in turn until one is
// reachable.
func (d *runner) callAnyEntry(ctx context.Context, method, path string, in, out any) error {
	err := error(status.ErrUnreachable)
	for _, a := range d.Operators {
		err = d.client.Call(ctx, method, a, path, in, out)
		if !errors.Is(err, status.ErrUnreachable) {
			return err
		}
	}
	return err
}

func (d *runner) waitFor(ctx context.Context, limit time.Duration, ready func(context.Context) bool) error {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		if ready(ctx) {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("timed out")
}

func (d *runner) applyInitialConfig(ctx context.Context) error {
	doc, err := readConfig(d.Config)
	if err != nil {
		return err
	}
	edit := operator.Edit{ChangeID: uuid.NewString(), Document: *doc}
	return d.waitFor(ctx, stepTimeout, func(ctx context.Context) bool {
		return d.callAnyEntry(ctx, http.MethodPut, "/api/config", edit, nil) == nil
	})
}

// allEntriesServe reports whether every entry forwards a request to an endpoint
// and returns its response.
func (d *runner) allEntriesServe(ctx context.Context) bool {
	for _, e := range d.Entries {
		if d.client.Call(ctx, http.MethodGet, e, "/services/catalogue/ping", nil, nil) != nil {
			return false
		}
	}
	return true
}

func (d *runner) changeConfig(ctx context.Context) (int64, error) {
	var current, accepted operator.AcceptedConfig
	if err := d.callAnyEntry(ctx, http.MethodGet, "/api/config", nil, &current); err != nil {
		return 0, err
	}
	edit := operator.Edit{Revision: current.Revision, ChangeID: uuid.NewString(), Document: current.Document}
	edit.Document.Services[0].QueueLimit++
	err := d.waitFor(ctx, stepTimeout, func(ctx context.Context) bool {
		return d.callAnyEntry(ctx, http.MethodPut, "/api/config", edit, &accepted) == nil
	})
	return accepted.Revision, err
}

// waitForConvergence waits until all jobs have finished and the revision is in
// force at every registered entry, and records both in the report.
func (d *runner) waitForConvergence(ctx context.Context, revision int64) {
	_ = d.waitFor(ctx, stepTimeout, func(ctx context.Context) bool {
		d.countJobs(ctx)
		d.report.MinRevision = d.minRevision(ctx)
		return d.report.JobsFinished == d.report.JobsSubmitted && d.report.MinRevision == revision
	})
	d.report.DuplicateJobs = d.countDuplicates(ctx)
}

// minRevision returns the lowest configuration revision in force at any registered
// entry, or 0 if the status is not available.
func (d *runner) minRevision(ctx context.Context) int64 {
	var all []entry.Status
	if d.callAnyEntry(ctx, http.MethodGet, "/api/status", nil, &all) != nil || len(all) == 0 {
		return 0
	}
	lowest := all[0].Revision
	for _, s := range all {
		lowest = min(lowest, s.Revision)
	}
	return lowest
}

// submitJobs submits the jobs at regular intervals while the load runs. The
// configuration document must contain the team and the batch class of the jobs.
func (d *runner) submitJobs(ctx context.Context) error {
	interval := d.Duration / time.Duration(d.Jobs+1)
	for i := range d.Jobs {
		j := worker.Job{
			ID:      fmt.Sprintf("build-%03d", i),
			Team:    "press",
			Class:   "catalogue-build",
			Need:    worker.Resources{Processors: 2000, Memory: 2048, Slots: 1},
			RunTime: wire.Duration(4 * time.Second),
			Payload: `{"run-time":"4s"}`,
		}
		err := d.waitFor(ctx, stepTimeout, func(ctx context.Context) bool {
			return d.callAnyEntry(ctx, http.MethodPost, "/api/jobs", j, nil) == nil
		})
		if err != nil {
			return err
		}
		d.report.JobsSubmitted++
		time.Sleep(interval)
	}
	return nil
}

func (d *runner) countJobs(ctx context.Context) {
	var rows []worker.JobRow
	if d.callAnyEntry(ctx, http.MethodGet, "/api/jobs", nil, &rows) != nil {
		return
	}
	d.report.JobsFinished, d.report.Evictions = 0, 0
	for _, j := range rows {
		if j.State == worker.Finished {
			d.report.JobsFinished++
		}
		d.report.Evictions += j.Evictions
	}
}

// countDuplicates returns the number of jobs that more than one execution
// completed.
func (d *runner) countDuplicates(ctx context.Context) int {
	done := make(map[string]int)
	duplicates := 0
	for _, a := range d.Workers {
		var runs []standin.Run
		if d.client.Call(ctx, http.MethodGet, a, "/ran", nil, &runs) != nil {
			continue
		}
		for _, r := range runs {
			if r.State != worker.TaskDone {
				continue
			}
			done[r.Job]++
			if done[r.Job] == 2 {
				duplicates++
			}
		}
	}
	return duplicates
}
