// Package demo drives a small deployment through the whole path and checks
// the promises: requests, batch jobs and a change of configuration.
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

// Options are the addresses and sizes of the demo.
type Options struct {
	Entries     []netip.AddrPort `arg:"--entry,required" help:"caller addresses of the entries"`
	Operators   []netip.AddrPort `arg:"--operator,required" help:"operator addresses of the entries"`
	Endpoints   []netip.AddrPort `arg:"--endpoint,required" help:"addresses of the endpoint stand-ins"`
	Workers     []netip.AddrPort `arg:"--worker" help:"addresses of the worker stand-ins that survive"`
	Config      string           `arg:"--config,required" help:"path of the first configuration"`
	StartedFile string           `arg:"--started" help:"path of a file to create when the load starts"`
	Jobs        int              `arg:"--jobs" default:"24" help:"batch jobs to submit"`
	Rate        float64          `arg:"--rate" default:"150" help:"requests a second"`
	Duration    time.Duration    `arg:"--duration" default:"20s" help:"time of the load"`
	Seed        uint64           `arg:"--seed" default:"1" help:"seed of the load"`
}

// Line is the last line that the demo prints.
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

// ErrBroken means that a promise was broken.
var ErrChecksFailed = errors.New("promise broken")

// settleLimit bounds the wait for jobs and configuration after the load.
const settleLimit = 25 * time.Second

// demo is one run.
type demo struct {
	Options
	client *httpjson.Client
	line   Report
}

// Run applies the configuration, drives requests and jobs, changes the
// configuration, and prints the line to w.
func Run(ctx context.Context, o Options, w io.Writer) error {
	d := &demo{Options: o, client: httpjson.NewClient(5 * time.Second)}
	defer d.client.Close()
	if err := d.steps(ctx); err != nil {
		return err
	}
	d.line.Passed = d.passed()
	b, err := json.Marshal(d.line)
	if err != nil {
		return errors.Wrap(err, "encode line")
	}
	fmt.Fprintln(w, string(b))
	if !d.line.Passed {
		return ErrChecksFailed
	}
	return nil
}

func (d *demo) steps(ctx context.Context) error {
	if err := d.firstConfig(ctx); err != nil {
		return err
	}
	if err := d.waitFor(ctx, settleLimit, d.serving); err != nil {
		return errors.WithMessage(err, "first request")
	}
	if err := d.markStarted(); err != nil {
		return err
	}
	jobs := make(chan error, 1)
	go func() { jobs <- d.submitAll(ctx) }()
	p := load.Plan{Entries: d.Entries, Service: "catalogue", Rate: d.Rate,
		Duration: d.Duration, Deadline: 2 * time.Second, NonIdempotent: 0.3, ResponseSize: 512, Seed: d.Seed}
	os, err := load.Run(ctx, p)
	if err != nil {
		return errors.WithMessage(err, "load")
	}
	d.line.Result = load.Summarize(os)
	if err := <-jobs; err != nil {
		return errors.WithMessage(err, "submit jobs")
	}
	want, err := d.changeConfig(ctx)
	if err != nil {
		return errors.WithMessage(err, "change configuration")
	}
	d.settle(ctx, want)
	d.line.Audit, err = load.AuditOutcomes(ctx, d.Endpoints, os)
	return err
}

// markStarted tells the script that the faults may begin.
func (d *demo) markStarted() error {
	if d.StartedFile == "" {
		return nil
	}
	return errors.Wrap(os.WriteFile(d.StartedFile, nil, 0o644), "mark the start")
}

// passed reports whether every promise held. A request without an answer is
// an entry's kill; it is not counted against the promises, which the audit
// checks for it as for all others.
func (d *demo) passed() bool {
	l := &d.line
	return l.WrongAnswers == 0 && !l.Audit.HasViolations() && l.JobsFinished == l.JobsSubmitted &&
		l.DuplicateJobs == 0 && l.MinRevision > 1 && l.ValidAnswers > l.Requests*9/10
}

// anywhere tries the operators' interface of one entry after another.
func (d *demo) anywhere(ctx context.Context, method, path string, in, out any) error {
	err := error(status.ErrUnreachable)
	for _, a := range d.Operators {
		err = d.client.Call(ctx, method, a, path, in, out)
		if !errors.Is(err, status.ErrUnreachable) {
			return err
		}
	}
	return err
}

func (d *demo) waitFor(ctx context.Context, limit time.Duration, ready func(context.Context) bool) error {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		if ready(ctx) {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("not in time")
}

func (d *demo) firstConfig(ctx context.Context) error {
	doc, err := readConfig(d.Config)
	if err != nil {
		return err
	}
	edit := operator.Edit{ChangeID: uuid.NewString(), Document: *doc}
	return d.waitFor(ctx, settleLimit, func(ctx context.Context) bool {
		return d.anywhere(ctx, http.MethodPut, "/api/config", edit, nil) == nil
	})
}

// serving reports whether every entry answers a request by an endpoint.
func (d *demo) serving(ctx context.Context) bool {
	for _, e := range d.Entries {
		if d.client.Call(ctx, http.MethodGet, e, "/services/catalogue/ping", nil, nil) != nil {
			return false
		}
	}
	return true
}

func (d *demo) changeConfig(ctx context.Context) (int64, error) {
	var now, done operator.AcceptedConfig
	if err := d.anywhere(ctx, http.MethodGet, "/api/config", nil, &now); err != nil {
		return 0, err
	}
	edit := operator.Edit{Revision: now.Revision, ChangeID: uuid.NewString(), Document: now.Document}
	edit.Document.Services[0].QueueLimit++
	err := d.waitFor(ctx, settleLimit, func(ctx context.Context) bool {
		return d.anywhere(ctx, http.MethodPut, "/api/config", edit, &done) == nil
	})
	return done.Revision, err
}

// settle waits until the jobs have finished and the configuration is in force
// at every entry that is registered, and counts both.
func (d *demo) settle(ctx context.Context, want int64) {
	_ = d.waitFor(ctx, settleLimit, func(ctx context.Context) bool {
		d.countJobs(ctx)
		d.line.MinRevision = d.everywhere(ctx)
		return d.line.JobsFinished == d.line.JobsSubmitted && d.line.MinRevision == want
	})
	d.line.DuplicateJobs = d.countDoubles(ctx)
}

// everywhere returns the lowest revision in force at any registered entry.
func (d *demo) everywhere(ctx context.Context) int64 {
	var all []entry.Status
	if d.anywhere(ctx, http.MethodGet, "/api/status", nil, &all) != nil || len(all) == 0 {
		return 0
	}
	lowest := all[0].Revision
	for _, s := range all {
		lowest = min(lowest, s.Revision)
	}
	return lowest
}

func (d *demo) submitAll(ctx context.Context) error {
	gap := d.Duration / time.Duration(d.Jobs+1)
	for i := range d.Jobs {
		j := worker.Job{
			ID:      fmt.Sprintf("build-%03d", i),
			Team:    "press",
			Class:   "catalogue-build",
			Need:    worker.Resources{Processors: 2000, Memory: 2048, Slots: 1},
			RunTime: wire.Duration(4 * time.Second),
			Payload: `{"run-time":"4s"}`,
		}
		err := d.waitFor(ctx, settleLimit, func(ctx context.Context) bool {
			return d.anywhere(ctx, http.MethodPost, "/api/jobs", j, nil) == nil
		})
		if err != nil {
			return err
		}
		d.line.JobsSubmitted++
		time.Sleep(gap)
	}
	return nil
}

func (d *demo) countJobs(ctx context.Context) {
	var rows []worker.JobRow
	if d.anywhere(ctx, http.MethodGet, "/api/jobs", nil, &rows) != nil {
		return
	}
	d.line.JobsFinished, d.line.Evictions = 0, 0
	for _, j := range rows {
		if j.State == worker.Finished {
			d.line.JobsFinished++
		}
		d.line.Evictions += j.Evictions
	}
}

// countDoubles counts jobs that more than one execution brought to an end.
func (d *demo) countDoubles(ctx context.Context) int {
	done := make(map[string]int)
	doubles := 0
	for _, a := range d.Workers {
		var ran []standin.Run
		if d.client.Call(ctx, http.MethodGet, a, "/ran", nil, &ran) != nil {
			continue
		}
		for _, r := range ran {
			if r.State != worker.TaskDone {
				continue
			}
			done[r.Job]++
			if done[r.Job] == 2 {
				doubles++
			}
		}
	}
	return doubles
}
