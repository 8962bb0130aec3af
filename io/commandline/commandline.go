// Package commandline holds the subcommands of the rosemarygap program, one
// type and file for each, with its help beside its flags. It owns no state.
package commandline

import (
	"fmt"
	"io"
	"os"

	"rosemarygap/core/status"
	"rosemarygap/io/process"

	"github.com/alexflint/go-arg"
	"github.com/pkg/errors"
)

// Program is the command line of rosemarygap.
type Program struct {
	Entry  *EntryCommand  `arg:"subcommand:entry" help:"serve callers and schedule batch work on an entry VM"`
	Guard  *GuardCommand  `arg:"subcommand:guard" help:"announce an endpoint and pass its requests on, beside it"`
	Check  *CheckCommand  `arg:"subcommand:check" help:"check a configuration document offline"`
	Apply  *ApplyCommand  `arg:"subcommand:apply" help:"make a configuration document take effect"`
	Show   *ShowCommand   `arg:"subcommand:show" help:"show the configuration and the revision in force at each entry"`
	Submit *SubmitCommand `arg:"subcommand:submit" help:"submit a batch job"`
	Cancel *CancelCommand `arg:"subcommand:cancel" help:"cancel a batch job"`
	Jobs   *JobsCommand   `arg:"subcommand:jobs" help:"list batch jobs"`
	Drain  *DrainCommand  `arg:"subcommand:drain" help:"keep further batch work off a worker"`
}

// Description is shown by --help.
func (Program) Description() string {
	return "rosemarygap places latency-critical services and batch work on the same VMs and routes callers' requests.\n"
}

// Epilogue is shown at the end of --help.
func (Program) Epilogue() string {
	return "Exit codes: 0 done, 1 failed, 2 usage or setting, 3 refused, 4 conflict, 5 try again later."
}

// command is one subcommand.
type command interface {
	Run(w io.Writer) error
}

// selected returns the subcommand that was given, or nil.
func (p *Program) selected() command {
	switch {
	case p.Entry != nil:
		return p.Entry
	case p.Guard != nil:
		return p.Guard
	case p.Check != nil:
		return p.Check
	case p.Apply != nil:
		return p.Apply
	case p.Show != nil:
		return p.Show
	case p.Submit != nil:
		return p.Submit
	case p.Cancel != nil:
		return p.Cancel
	case p.Jobs != nil:
		return p.Jobs
	case p.Drain != nil:
		return p.Drain
	}
	return nil
}

// Main runs the subcommand that the arguments name and returns an exit code.
func Main() int {
	var p Program
	parser := arg.MustParse(&p)
	c := p.selected()
	if c == nil {
		parser.WriteHelp(os.Stderr)
		return process.ExitUsage
	}
	err := c.Run(os.Stdout)
	if err == nil {
		return process.ExitOK
	}
	reportError(os.Stderr, err)
	return exitCode(err)
}

func reportError(w io.Writer, err error) {
	path, value := status.DetailOf(err)
	fmt.Fprintf(w, "code=%s path=%q value=%q", status.CodeOf(err), path, value)
	if after := status.RetryAfterOf(err); after > 0 {
		fmt.Fprintf(w, " retry-after=%s", after)
	}
	fmt.Fprintf(w, " detail=%q\n", err)
}

// exitCode maps an error to the documented exit codes.
func exitCode(err error) int {
	switch {
	case errors.Is(err, status.ErrBadSetting):
		return process.ExitUsage
	case errors.Is(err, status.ErrConfigConflict), errors.Is(err, status.ErrJobConflict):
		return process.ExitConflict
	case status.RetryAfterOf(err) > 0, errors.Is(err, status.ErrStoreUnavailable),
		errors.Is(err, status.ErrUnreachable):
		return process.ExitTryLater
	case errors.Is(err, status.ErrInternal):
		return process.ExitFailed
	default:
		return process.ExitRefused
	}
}
