package commandline

import (
	"net/http"
	"net/netip"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"

	"rosemarygap/core/operator"
	"rosemarygap/core/status"

	"github.com/pkg/errors"
)

// retryStatus is the HTTP status of all errors that pass with time.
const retryStatus = http.StatusServiceUnavailable

// Bounds of the operators' settings.
const (
	maxWait      = 24 * time.Hour
	maxEvent     = 9999
	maxChangeID  = 128
	maxJobID     = 128
	anyRevision  = -1
	minWaitLimit = time.Second
)

func badSetting(flag, value string) error {
	return status.At(status.ErrBadSetting, flag, value)
}

var flagForm = regexp.MustCompile(`--[a-z0-9-]+|ROSEMARYGAP_[A-Z_]+`)

// usageError gives an error of the command line its code, with the flag or
// environment variable at fault and its value.
func usageError(err error, args []string) error {
	name := flagForm.FindString(err.Error())
	value := os.Getenv(name)
	for i, a := range args {
		if v, ok := strings.CutPrefix(a, name+"="); ok && name != "" {
			value = v
		}
		if a == name && i+1 < len(args) {
			value = args[i+1]
		}
	}
	return status.At(errors.WithMessage(status.ErrBadSetting, err.Error()), name, value)
}

// Target is the entry that an operator's subcommand talks to.
type Target struct {
	Entry netip.AddrPort `arg:"--entry,required,env:ROSEMARYGAP_ENTRY" help:"operator address of any entry, IP:PORT"`
	Token string         `arg:"--token,env:ROSEMARYGAP_OPERATOR_TOKEN" help:"operator token of the entry"`
}

// Check returns the first setting at fault.
func (t *Target) Check() error {
	if !t.Entry.IsValid() || t.Entry.Port() == 0 {
		return badSetting("--entry", t.Entry.String())
	}
	return nil
}

// Waiting are the settings of long work.
type WaitOptions struct {
	Wait  bool          `arg:"--wait,env:ROSEMARYGAP_WAIT" help:"return when all is done, with progress on the standard error"`
	Limit time.Duration `arg:"--wait-limit,env:ROSEMARYGAP_WAIT_LIMIT" default:"1h" help:"longest wait; 1s to 24h"`
}

// Check returns the first setting at fault.
func (w *WaitOptions) Check() error {
	if w.Limit < minWaitLimit || w.Limit > maxWait {
		return badSetting("--wait-limit", w.Limit.String())
	}
	return nil
}

// Check implements Command.
func (c *CheckCommand) Check() error { return nil }

// Check implements Command.
func (c *SchemaCommand) Check() error { return nil }

// Check implements Command.
func (c *EntryCommand) Check() error { return c.Options.Check() }

// Check implements Command.
func (c *ApplyCommand) Check() error {
	if c.Revision < anyRevision {
		return badSetting("--revision", strconv.FormatInt(c.Revision, 10))
	}
	if len(c.ChangeID) > maxChangeID {
		return badSetting("--change-id", c.ChangeID)
	}
	return firstError(c.Target.Check, c.WaitOptions.Check)
}

// Check implements Command.
func (c *ShowCommand) Check() error { return c.Target.Check() }

// Check implements Command.
func (c *SubmitCommand) Check() error { return firstError(c.Target.Check, c.WaitOptions.Check) }

// Check implements Command.
func (c *CancelCommand) Check() error {
	for _, id := range c.IDs {
		if id == "" || len(id) > maxJobID {
			return badSetting("IDS", id)
		}
	}
	return c.Target.Check()
}

// Check implements Command.
func (c *JobsCommand) Check() error { return c.Target.Check() }

// Check implements Command.
func (c *DrainCommand) Check() error {
	if !operator.ValidName(c.Worker) {
		return badSetting("WORKER", c.Worker)
	}
	return firstError(c.Target.Check, c.WaitOptions.Check)
}

// Check implements Command.
func (c *EventsCommand) Check() error {
	if c.Number < 0 || c.Number > maxEvent {
		return badSetting("--event", strconv.Itoa(c.Number))
	}
	if c.After < 0 {
		return badSetting("--after", strconv.FormatInt(c.After, 10))
	}
	return c.Target.Check()
}

func firstError(checks ...func() error) error {
	for _, f := range checks {
		if err := f(); err != nil {
			return err
		}
	}
	return nil
}
