// Package commandline implements the subcommands of the rosemarygap program. Each
// subcommand is a type whose fields are its options with their help texts. The
// package holds no state.
//
// The subcommands scheduler and agent run on the users' platform and access it
// through package rosemarygap/platform. The subcommand entry uses the key-value
// service of package io/platform instead.
package commandline

import (
	"fmt"
	"io"
	"os"
	"reflect"

	"rosemarygap/core/status"
	"rosemarygap/io/process"

	"github.com/alexflint/go-arg"
	"github.com/pkg/errors"
)

// programName is the name of the program in its help texts.
const programName = "rosemarygap"

// Program is the command line of rosemarygap.
type Program struct {
	Entry     *EntryCommand     `arg:"subcommand:entry" help:"serve callers and schedule batch work on an entry VM"`
	Guard     *GuardCommand     `arg:"subcommand:guard" help:"announce an endpoint and forward requests to it, as its sidecar"`
	Scheduler *SchedulerCommand `arg:"subcommand:scheduler" help:"accept jobs and schedule their tasks on the users' platform, on an entry VM"`
	Agent     *AgentCommand     `arg:"subcommand:agent" help:"execute the scheduler's orders on a worker of the users' platform"`
	Story     *StoryCommand     `arg:"subcommand:story" help:"print the log lines of one job from all processes, ordered by time"`
	Delays    *DelaysCommand    `arg:"subcommand:delays" help:"print where the time of the jobs went and why they waited, from the logs of all processes"`
	Check     *CheckCommand     `arg:"subcommand:check" help:"validate a configuration document offline"`
	Schema    *SchemaCommand    `arg:"subcommand:schema" help:"print the JSON Schema of configuration documents"`
	Apply     *ApplyCommand     `arg:"subcommand:apply" help:"apply a configuration document"`
	Show      *ShowCommand      `arg:"subcommand:show" help:"show the configuration and the revision in force at each entry"`
	Submit    *SubmitCommand    `arg:"subcommand:submit" help:"submit a batch job"`
	Cancel    *CancelCommand    `arg:"subcommand:cancel" help:"cancel batch jobs"`
	Jobs      *JobsCommand      `arg:"subcommand:jobs" help:"list batch jobs"`
	Drain     *DrainCommand     `arg:"subcommand:drain" help:"stop placing batch work on a worker"`
	Evacuate  *EvacuateCommand  `arg:"subcommand:evacuate" help:"stop placing batch work on all workers of an availability zone"`
	Events    *EventsCommand    `arg:"subcommand:events" help:"show recent events"`
}

// Description returns the text that --help prints first.
func (Program) Description() string {
	return "rosemarygap places latency-critical services and batch work on the same VMs and routes callers' requests.\n"
}

// Epilogue returns the text that --help prints last.
func (Program) Epilogue() string {
	return `Exit codes:
  0  success
  1  internal error, with the code internal
  2  usage error or invalid setting
  3  rejected: a retry gives the same result
  4  conflict: another change took effect first
  5  retry later: the outcome is unknown or the system is not ready

An error is printed as one line to the standard error: its code, the invalid path and value, and when to retry.`
}

// Command is a subcommand.
type Command interface {
	// Check returns an error for the first invalid option, with its flag and value.
	Check() error
	// Run writes the result to w and progress to the standard error.
	Run(w io.Writer) error
}

// subcommand returns the subcommand that was given, or nil.
func (p *Program) subcommand() Command {
	v := reflect.ValueOf(p).Elem()
	for i := range v.NumField() {
		if c, ok := v.Field(i).Interface().(Command); ok && !v.Field(i).IsNil() {
			return c
		}
	}
	return nil
}

// Main runs the subcommand given by the arguments of the process and returns its
// exit code.
func Main() int { return Run(os.Args[1:], os.Stdout, os.Stderr) }

// Run runs the subcommand given by args and returns its exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	var p Program
	parser, err := arg.NewParser(arg.Config{Program: programName}, &p)
	if err != nil {
		reportError(stderr, err)
		return process.ExitFailed
	}
	err = parser.Parse(args)
	switch {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(stdout, parser.SubcommandNames()...)
		return process.ExitOK
	case err != nil:
		err = usageError(err, args)
	case p.subcommand() == nil:
		parser.WriteHelp(stderr)
		return process.ExitUsage
	default:
		err = execute(p.subcommand(), stdout)
	}
	if err != nil {
		reportError(stderr, err)
	}
	return exitCode(err)
}

func execute(c Command, stdout io.Writer) error {
	if err := c.Check(); err != nil {
		return err
	}
	return c.Run(stdout)
}

// reportError prints err as one line with its code, path, value and retry delay.
func reportError(w io.Writer, err error) {
	path, value := status.DetailOf(err)
	fmt.Fprintf(w, "code=%s path=%q value=%q", status.CodeOf(err), path, value)
	if after := status.RetryAfterOf(err); after > 0 {
		fmt.Fprintf(w, " retry-after=%s", after)
	}
	fmt.Fprintf(w, " detail=%q\n", err)
}

// exitCode returns the exit code of err, as documented in Program.Epilogue.
func exitCode(err error) int {
	switch {
	case err == nil:
		return process.ExitOK
	case errors.Is(err, status.ErrBadSetting):
		return process.ExitUsage
	case errors.Is(err, status.ErrConfigConflict), errors.Is(err, status.ErrJobConflict),
		errors.Is(err, status.ErrChangeIDReused):
		return process.ExitConflict
	case status.RetryAfterOf(err) > 0, status.HTTPStatusOf(err) == retryableHTTPStatus:
		return process.ExitTryLater
	case errors.Is(err, status.ErrInternal), status.CodeOf(err) == status.ErrInternal.Code():
		return process.ExitFailed
	default:
		return process.ExitRefused
	}
}
