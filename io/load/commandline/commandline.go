// Package commandline implements the command line of the load generator.
package commandline

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"rosemarygap/core/status"
	"rosemarygap/core/wire"
	"rosemarygap/io/load"
	"rosemarygap/io/process"

	"github.com/alexflint/go-arg"
)

// Options are the options that the run and check subcommands share.
type Options struct {
	Entry              []netip.AddrPort `arg:"--entry,required" help:"caller addresses of the entries, IP:PORT; may be the address of a load balancer"`
	ReadinessAddresses []netip.AddrPort `arg:"--ready" help:"admin addresses of the entries, in the same order; the tool polls /ready at each and sends no requests to entries that are not ready"`
	Rate               float64          `arg:"--rate" default:"100" help:"mean number of requests per second; greater than 0, at most 100000"`
	Duration           time.Duration    `arg:"--duration" default:"30s" help:"how long to send requests; at most 24h"`
	Service            string           `arg:"--service" help:"service to call, unless --class is given"`
	Path               string           `arg:"--path" default:"/enquiry" help:"path to request from the service, unless --class is given"`
	Deadline           time.Duration    `arg:"--deadline" default:"2s" help:"deadline of each request, unless --class is given"`
	NonIdempotent      float64          `arg:"--non-idempotent" default:"0" help:"fraction of requests marked non-idempotent, 0 to 1, unless --class is given"`
	Class              []string         `arg:"--class,separate" help:"a class of requests: NAME,SHARE,SERVICE,PATH,DEADLINE,NON-IDEMPOTENT; may be repeated; SHARE is relative to the shares of all classes"`
	ResponseSize       int              `arg:"--size" default:"0" help:"response length to request from endpoint stand-ins, in bytes; 0 to 16777216"`
	CheckStandin       bool             `arg:"--stand-in" help:"check that each response is the one that an endpoint stand-in gives to this request; otherwise every complete response with a status below 500 is valid"`
	Seed               uint64           `arg:"--seed" default:"1" help:"seed of the arrival times, classes and entries; the same seed generates the same load"`
	FaultAfter         time.Duration    `arg:"--fault-after" default:"0s" help:"time from the start of the run to the fault injection; with --fault-at"`
	FaultAt            string           `arg:"--fault-at" help:"address of the stand-in that receives the fault, IP:PORT"`
	FaultPath          string           `arg:"--fault-path" default:"/control/faults" help:"path of the fault interface; /faults for platform and worker stand-ins"`
	Fault              string           `arg:"--fault" help:"fault settings as JSON, for example {\"slow\":10}"`
}

// maxResponseSize is the largest response that the endpoint stand-in sends, in
// bytes.
const maxResponseSize = 16 << 20

// Run is the run subcommand. It generates the load and prints the result.
type Run struct {
	Options
	JSON           bool             `arg:"--json" help:"print one JSON object instead of a table"`
	AuditEndpoints []netip.AddrPort `arg:"--audit" help:"addresses of the endpoint stand-ins whose executions are compared with the reported outcomes"`
}

// Check is the check subcommand. It prints the plan and sends no requests.
type Check struct{ Options }

// Program contains the subcommands of the load generator.
type Program struct {
	Run   *Run   `arg:"subcommand:run" help:"generate the load and print outcomes and latencies"`
	Check *Check `arg:"subcommand:check" help:"validate the options and print the plan as JSON without sending requests"`
}

// Description returns the text that --help prints first.
func (Program) Description() string {
	return `Sends requests to a deployment of rosemarygap in an open loop: arrivals follow a
schedule and never wait for responses. Latency is measured from the scheduled
arrival, so it includes stalls in full (no coordinated omission).`
}

// Epilogue returns the text that --help prints last.
func (Program) Epilogue() string {
	return `Exit codes: 0 success, 1 failure or audit violation, 2 invalid options (the code,
the flag and the value are printed as JSON).

Example with two entries and no load balancer:
  rosemarygap-load run --entry 10.0.0.1:8080 --entry 10.0.0.2:8080 \
    --ready 10.0.0.1:9100 --ready 10.0.0.2:9100 --rate 200 --duration 1m \
    --class enquiry,0.9,catalogue,/enquiry,500ms,0 --class booking,0.1,catalogue,/book,2s,1`
}

// Plan returns the plan that the options describe. Its errors have a status code
// and name the flag and the value.
func (o *Options) Plan() (load.Plan, error) {
	p := load.Plan{Entries: o.Entry, ReadinessAddresses: o.ReadinessAddresses, Rate: o.Rate, Duration: o.Duration,
		ResponseSize: o.ResponseSize, Seed: o.Seed, AcceptAnyAnswer: !o.CheckStandin}
	if o.ResponseSize < 0 || o.ResponseSize > maxResponseSize {
		return p, status.At(status.ErrBadSetting, "--size", strconv.Itoa(o.ResponseSize))
	}
	p.Classes = []load.Class{{Name: "all", Share: 1, Service: o.Service, Path: o.Path,
		Deadline: o.Deadline, NonIdempotent: o.NonIdempotent}}
	if len(o.Class) > 0 {
		p.Classes = nil
	}
	for _, text := range o.Class {
		c, err := parseClass(text)
		if err != nil {
			return p, err
		}
		p.Classes = append(p.Classes, c)
	}
	fault, err := o.fault()
	if err != nil {
		return p, err
	}
	p.Fault = fault
	return p, p.Validate()
}

func (o *Options) fault() (*load.Fault, error) {
	if o.FaultAt == "" && o.Fault == "" {
		return nil, nil
	}
	addr, err := netip.ParseAddrPort(o.FaultAt)
	if err != nil {
		return nil, status.At(status.ErrBadSetting, "--fault-at", o.FaultAt)
	}
	if !json.Valid([]byte(o.Fault)) {
		return nil, status.At(status.ErrBadSetting, "--fault", o.Fault)
	}
	if o.FaultAfter < 0 || o.FaultAfter > o.Duration {
		return nil, status.At(status.ErrBadSetting, "--fault-after", o.FaultAfter.String())
	}
	return &load.Fault{After: o.FaultAfter, To: addr, Path: o.FaultPath, Body: json.RawMessage(o.Fault)}, nil
}

// classFieldCount is the number of comma-separated fields in a --class value.
const classFieldCount = 6

func parseClass(text string) (load.Class, error) {
	invalid := status.At(status.ErrBadSetting, "--class", text)
	fields := strings.Split(text, ",")
	if len(fields) != classFieldCount {
		return load.Class{}, invalid
	}
	share, err1 := strconv.ParseFloat(fields[1], 64)
	deadline, err2 := time.ParseDuration(fields[4])
	nonIdempotent, err3 := strconv.ParseFloat(fields[5], 64)
	if err1 != nil || err2 != nil || err3 != nil || !strings.HasPrefix(fields[3], "/") {
		return load.Class{}, invalid
	}
	return load.Class{Name: fields[0], Share: share, Service: fields[2], Path: fields[3],
		Deadline: deadline, NonIdempotent: nonIdempotent}, nil
}

// Report is the result of a run as printed by --json.
type Report struct {
	load.Result
	Classes []load.ClassResult `json:"classes"`
	// FaultCode is the status code of the error if the fault was not injected.
	FaultCode status.Code `json:"fault-code,omitempty"`
	Audit     *load.Audit `json:"audit,omitempty"`
}

// Execute generates the load and prints the report to w. It returns an error if
// the audit found violations.
func (r *Run) Execute(ctx context.Context, w io.Writer) error {
	p, err := r.Plan()
	if err != nil {
		return err
	}
	observations, err := load.Run(ctx, p)
	report := Report{Result: load.Summarize(observations), Classes: load.SummarizeClasses(observations)}
	if err != nil {
		report.FaultCode = status.CodeOf(err)
	}
	if len(r.AuditEndpoints) > 0 {
		a, err := load.AuditOutcomes(context.WithoutCancel(ctx), r.AuditEndpoints, observations)
		if err != nil {
			return err
		}
		report.Audit = &a
	}
	if r.JSON {
		err = json.NewEncoder(w).Encode(report)
	} else {
		err = printTable(w, &report)
	}
	if err == nil && report.Audit != nil && report.Audit.HasViolations() {
		return errAuditFailed
	}
	return err
}

// Execute validates the options and prints the plan to w as JSON.
func (c *Check) Execute(w io.Writer) error {
	p, err := c.Plan()
	if err != nil {
		return err
	}
	return json.NewEncoder(w).Encode(summarize(&p))
}

// Main runs the subcommand given on the command line and returns the exit code.
func Main() int {
	var p Program
	parser := arg.MustParse(&p)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var err error
	switch {
	case p.Run != nil:
		err = p.Run.Execute(ctx, os.Stdout)
	case p.Check != nil:
		err = p.Check.Execute(os.Stdout)
	default:
		parser.WriteHelp(os.Stderr)
		return process.ExitUsage
	}
	return exitCode(err)
}

func exitCode(err error) int {
	if err == nil {
		return process.ExitOK
	}
	b, _ := json.Marshal(wire.ErrorBodyOf(err))
	fmt.Fprintln(os.Stderr, string(b))
	if status.CodeOf(err) == status.ErrBadSetting.Code() {
		return process.ExitUsage
	}
	return process.ExitFailed
}
