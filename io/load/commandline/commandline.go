// Package commandline holds the subcommands of the load tool.
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

// Options describe the load; run and check share them.
type Options struct {
	Entry              []netip.AddrPort `arg:"--entry,required" help:"caller addresses of the entries, IP:PORT; a balancer's address is one of them"`
	ReadinessAddresses []netip.AddrPort `arg:"--ready" help:"admin addresses of the entries in the same order; polled at /ready like a balancer does, and entries that are not ready get nothing"`
	Rate               float64          `arg:"--rate" default:"100" help:"mean arrivals a second; over 0, up to 100000"`
	Duration           time.Duration    `arg:"--duration" default:"30s" help:"time of the arrivals; up to 24h"`
	Service            string           `arg:"--service" help:"service that is asked, unless --class is given"`
	Path               string           `arg:"--path" default:"/enquiry" help:"path at the service, unless --class is given"`
	Deadline           time.Duration    `arg:"--deadline" default:"2s" help:"deadline sent with each request, unless --class is given"`
	NonIdempotent      float64          `arg:"--non-idempotent" default:"0" help:"share of requests marked non-idempotent, 0 to 1, unless --class is given"`
	Class              []string         `arg:"--class,separate" help:"a class of requests: NAME,SHARE,SERVICE,PATH,DEADLINE,NON-IDEMPOTENT; may be repeated; shares are weighed together"`
	ResponseSize       int              `arg:"--size" default:"0" help:"with stand-ins: length of the asked answer in bytes; 0 to 16777216"`
	CheckStandin       bool             `arg:"--stand-in" help:"check that each answer is the endpoint stand-in's own to the request; otherwise every complete answer with a status under 500 counts as whole"`
	Seed               uint64           `arg:"--seed" default:"1" help:"seed of the arrivals, classes and targets; the same seed draws the same load"`
	FaultAfter         time.Duration    `arg:"--fault-after" default:"0s" help:"when to set the fault, from the start; with --fault-at"`
	FaultAt            string           `arg:"--fault-at" help:"address of the stand-in whose switches are set once, IP:PORT"`
	FaultPath          string           `arg:"--fault-path" default:"/control/faults" help:"path of the switches; /faults for the platform's and workers' stand-ins"`
	Fault              string           `arg:"--fault" help:"the switches as JSON, for example {\"slow\":10}"`
}

// maxSize is the largest answer that the stand-in gives, in bytes.
const maxSize = 16 << 20

// Run drives the load and prints the result.
type Run struct {
	Options
	JSON           bool             `arg:"--json" help:"print one JSON object instead of a table"`
	AuditEndpoints []netip.AddrPort `arg:"--audit" help:"addresses of endpoint stand-ins whose journals are compared with what callers were told"`
}

// Check prints what run would do, and sends nothing.
type Check struct{ Options }

// Program is the command line.
type Program struct {
	Run   *Run   `arg:"subcommand:run" help:"drive the load and print what the callers met"`
	Check *Check `arg:"subcommand:check" help:"check the options and print the plan as JSON, without sending anything"`
}

// Description is shown by --help.
func (Program) Description() string {
	return `Drives requests against a deployment of rosemarygap with an open loop: arrivals
follow the clock and never wait for answers. Latency counts from the scheduled
arrival, so a stall shows in full (no coordinated omission).`
}

// Epilogue is shown at the end of --help.
func (Program) Epilogue() string {
	return `Exit codes: 0 done, 1 failed or a promise was broken, 2 wrong options (the code,
the flag and the value are printed as JSON).

Example, against two entries behind no balancer:
  rosemarygap-load run --entry 10.0.0.1:8080 --entry 10.0.0.2:8080 \
    --ready 10.0.0.1:9100 --ready 10.0.0.2:9100 --rate 200 --duration 1m \
    --class enquiry,0.9,catalogue,/enquiry,500ms,0 --class booking,0.1,catalogue,/book,2s,1`
}

// Plan returns the plan that the options describe, or a coded error.
func (o *Options) Plan() (load.Plan, error) {
	p := load.Plan{Entries: o.Entry, ReadinessAddresses: o.ReadinessAddresses, Rate: o.Rate, Duration: o.Duration,
		ResponseSize: o.ResponseSize, Seed: o.Seed, AcceptAnyAnswer: !o.CheckStandin}
	if o.ResponseSize < 0 || o.ResponseSize > maxSize {
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
	at, err := netip.ParseAddrPort(o.FaultAt)
	if err != nil {
		return nil, status.At(status.ErrBadSetting, "--fault-at", o.FaultAt)
	}
	if !json.Valid([]byte(o.Fault)) {
		return nil, status.At(status.ErrBadSetting, "--fault", o.Fault)
	}
	if o.FaultAfter < 0 || o.FaultAfter > o.Duration {
		return nil, status.At(status.ErrBadSetting, "--fault-after", o.FaultAfter.String())
	}
	return &load.Fault{After: o.FaultAfter, To: at, Path: o.FaultPath, Body: json.RawMessage(o.Fault)}, nil
}

// classFields is the number of fields of a class on the command line.
const classFields = 6

func parseClass(text string) (load.Class, error) {
	bad := status.At(status.ErrBadSetting, "--class", text)
	f := strings.Split(text, ",")
	if len(f) != classFields {
		return load.Class{}, bad
	}
	share, err1 := strconv.ParseFloat(f[1], 64)
	deadline, err2 := time.ParseDuration(f[4])
	non, err3 := strconv.ParseFloat(f[5], 64)
	if err1 != nil || err2 != nil || err3 != nil || !strings.HasPrefix(f[3], "/") {
		return load.Class{}, bad
	}
	return load.Class{Name: f[0], Share: share, Service: f[2], Path: f[3],
		Deadline: deadline, NonIdempotent: non}, nil
}

// Report is the JSON result of a run.
type Report struct {
	load.Result
	Classes []load.ClassResult `json:"classes"`
	// FaultCode is set if the fault could not be set.
	FaultCode status.Code `json:"fault-code,omitempty"`
	Audit     *load.Audit `json:"audit,omitempty"`
}

// Execute drives the load and prints the report to w. A promise that the
// audit found broken is an error.
func (r *Run) Execute(ctx context.Context, w io.Writer) error {
	p, err := r.Plan()
	if err != nil {
		return err
	}
	os, err := load.Run(ctx, p)
	rep := Report{Result: load.Summarize(os), Classes: load.SummarizeClasses(os)}
	if err != nil {
		rep.FaultCode = status.CodeOf(err)
	}
	if len(r.AuditEndpoints) > 0 {
		a, err := load.AuditOutcomes(context.WithoutCancel(ctx), r.AuditEndpoints, os)
		if err != nil {
			return err
		}
		rep.Audit = &a
	}
	if r.JSON {
		err = json.NewEncoder(w).Encode(rep)
	} else {
		err = printTable(w, &rep)
	}
	if err == nil && rep.Audit != nil && rep.Audit.HasViolations() {
		return errBroken
	}
	return err
}

// Execute prints the plan.
func (c *Check) Execute(w io.Writer) error {
	p, err := c.Plan()
	if err != nil {
		return err
	}
	return json.NewEncoder(w).Encode(summary(&p))
}

// Main runs the subcommand that the arguments name and returns an exit code.
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
