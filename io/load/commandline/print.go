package commandline

import (
	"fmt"
	"io"
	"text/tabwriter"

	"rosemarygap/core/wire"
	"rosemarygap/io/load"

	"github.com/pkg/errors"
)

// errAuditFailed means that the audit found a false outcome, or a duplicate run of a
// non-idempotent request.
var errAuditFailed = errors.New("audit found violations")

// Plan is the plan in the form that the check subcommand prints.
type Plan struct {
	Targets  int           `json:"targets"`
	Rate     float64       `json:"rate"`
	Duration wire.Duration `json:"duration"`
	Requests float64       `json:"expected-requests"`
	Seed     uint64        `json:"seed"`
	Classes  []PlanClass   `json:"classes"`
	Fault    *PlanFault    `json:"fault,omitempty"`
}

// PlanClass is a class in a printed plan.
type PlanClass struct {
	load.Class
	Deadline wire.Duration `json:"deadline"`
}

// PlanFault is the fault in a printed plan. Set is the JSON body of the request that
// injects the fault.
type PlanFault struct {
	After wire.Duration `json:"after"`
	At    string        `json:"at"`
	Path  string        `json:"path"`
	Set   string        `json:"set"`
}

func summarize(p *load.Plan) Plan {
	out := Plan{Targets: len(p.Entries), Rate: p.Rate, Duration: wire.Duration(p.Duration),
		Requests: p.Rate * p.Duration.Seconds(), Seed: p.Seed}
	for _, c := range p.Classes {
		out.Classes = append(out.Classes, PlanClass{c, wire.Duration(c.Deadline)})
	}
	if f := p.Fault; f != nil {
		out.Fault = &PlanFault{wire.Duration(f.After), f.To.String(), f.Path, string(f.Body)}
	}
	return out
}

// printTable writes a plain-text table with a row for each class and a total.
func printTable(w io.Writer, r *Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "class\trequests\twhole\twrong\tnot-run\tunknown\tno-answer\tp50-ms\tp99-ms\tp999-ms\tmax-ms\t")
	for _, c := range r.Classes {
		printRow(t, c.Class, &c.Result)
	}
	printRow(t, "total", &r.Result)
	if err := t.Flush(); err != nil {
		return errors.Wrap(err, "print table")
	}
	if r.FaultCode != "" {
		fmt.Fprintln(w, "fault not injected:", r.FaultCode)
	}
	if r.Audit != nil {
		fmt.Fprintf(w, "audit: %d false not-run, %d duplicate runs\n", r.Audit.FalseNotRun, r.Audit.DuplicateRuns)
	}
	return nil
}

func printRow(w io.Writer, name string, r *load.Result) {
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t\n", name, r.Requests,
		r.ValidAnswers, r.WrongAnswers, r.NotRun, r.Unknown, r.NoAnswer, r.P50, r.P99, r.P999, r.Max)
}
