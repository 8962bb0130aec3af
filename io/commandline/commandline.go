// Package commandline holds the subcommands of the rosemarygap program, one
// type and file for each, with its help beside its flags. It owns no state.
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

// programName is the program's name in its help.
const programName = "rosemarygap"

// Program is the command line of rosemarygap.
type Program struct {
	Entry     *EntryCommand     `arg:"subcommand:entry" help:"serve callers and schedule batch work on an entry VM"`
	Guard     *GuardCommand     `arg:"subcommand:guard" help:"announce an endpoint and pass its requests on, beside it"`
	Scheduler *SchedulerCommand `arg:"subcommand:scheduler" help:"take jobs and schedule their tasks on the users' platform, on an entry VM"`
	Agent     *AgentCommand     `arg:"subcommand:agent" help:"carry out the scheduler's orders on the users' platform, beside a worker"`
	Story     *StoryCommand     `arg:"subcommand:story" help:"print what all processes logged of one job, in order"`
	Check     *CheckCommand     `arg:"subcommand:check" help:"check a configuration document offline"`
	Schema    *SchemaCommand    `arg:"subcommand:schema" help:"print the JSON Schema of configuration documents"`
	Apply     *ApplyCommand     `arg:"subcommand:apply" help:"make a configuration document take effect"`
	Show      *ShowCommand      `arg:"subcommand:show" help:"show the configuration and the revision in force at each entry"`
	Submit    *SubmitCommand    `arg:"subcommand:submit" help:"submit a batch job"`
	Cancel    *CancelCommand    `arg:"subcommand:cancel" help:"cancel a batch job"`
	Jobs      *JobsCommand      `arg:"subcommand:jobs" help:"list batch jobs"`
	Drain     *DrainCommand     `arg:"subcommand:drain" help:"keep further batch work off a worker"`
	Events    *EventsCommand    `arg:"subcommand:events" help:"show recent events"`
}

// Description is shown by --help.
func (Program) Description() string {
	return "rosemarygap places latency-critical services and batch work on the same VMs and routes callers' requests.\n"
}

// Epilogue is shown at the end of --help.
func (Program) Epilogue() string {
	return `Exit codes:
  0  done
  1  failed, with the code internal
  2  usage, or a setting out of its range
  3  refused: another try gives the same answer
  4  conflict: another change took effect first
  5  try again later: the outcome is open or the system is not ready

An error is one line on the standard error: its code, the path and value at fault, and when to try again.`
}

// Command is one subcommand.
type Command interface {
	// Check returns the first setting at fault, with the flag and the value.
	Check() error
	// Run writes the result to w and progress to the standard error.
	Run(w io.Writer) error
}

// selected returns the subcommand that was given, or nil.
func (p *Program) selected() Command {
	v := reflect.ValueOf(p).Elem()
	for i := range v.NumField() {
		if c, ok := v.Field(i).Interface().(Command); ok && !v.Field(i).IsNil() {
			return c
		}
	}
	return nil
}

// Main runs the subcommand that the arguments name and returns an exit code.
func Main() int { return Run(os.Args[1:], os.Stdout, os.Stderr) }

// Run runs the subcommand that args name and returns an exit code.
func Run(args []string, out, errs io.Writer) int {
	var p Program
	parser, err := arg.NewParser(arg.Config{Program: programName}, &p)
	if err != nil {
		reportError(errs, err)
		return process.ExitFailed
	}
	err = parser.Parse(args)
	switch {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(out, parser.SubcommandNames()...)
		return process.ExitOK
	case err != nil:
		err = usageError(err, args)
	case p.selected() == nil:
		parser.WriteHelp(errs)
		return process.ExitUsage
	default:
		err = execute(p.selected(), out)
	}
	if err != nil {
		reportError(errs, err)
	}
	return exitCode(err)
}

func execute(c Command, out io.Writer) error {
	if err := c.Check(); err != nil {
		return err
	}
	return c.Run(out)
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
	case err == nil:
		return process.ExitOK
	case errors.Is(err, status.ErrBadSetting):
		return process.ExitUsage
	case errors.Is(err, status.ErrConfigConflict), errors.Is(err, status.ErrJobConflict),
		errors.Is(err, status.ErrChangeIDReused):
		return process.ExitConflict
	case status.RetryAfterOf(err) > 0, status.HTTPStatusOf(err) == retryStatus:
		return process.ExitTryLater
	case errors.Is(err, status.ErrInternal), status.CodeOf(err) == status.ErrInternal.Code():
		return process.ExitFailed
	default:
		return process.ExitRefused
	}
}
