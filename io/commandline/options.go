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

// retryableHTTPStatus is the HTTP status of all transient errors.
const retryableHTTPStatus = http.StatusServiceUnavailable

// Limits of the settings of the operator commands. Lengths are in bytes.
// currentRevision is the value of --revision that stands for the revision in force.
const (
	maxWaitLimit    = 24 * time.Hour
	maxEventNumber  = 9999
	maxChangeIDLen  = 128
	maxJobIDLen     = 128
	currentRevision = -1
	minWaitLimit    = time.Second
)

func badSetting(flag, value string) error {
	return status.At(status.ErrBadSetting, flag, value)
}

// settingName matches the flag or environment variable in an error of go-arg.
var settingName = regexp.MustCompile(`--[a-z0-9-]+|ROSEMARYGAP_[A-Z_]+`)

// usageError returns a status.ErrBadSetting for an error of the command-line
// parser, with the invalid flag or environment variable and its value.
func usageError(err error, args []string) error {
	name := settingName.FindString(err.Error())
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

// Target holds the options that select the entry for an operator command.
type Target struct {
	Entry netip.AddrPort `arg:"--entry,required,env:ROSEMARYGAP_ENTRY" help:"operator address of any entry, IP:PORT"`
	Token string         `arg:"--token,env:ROSEMARYGAP_OPERATOR_TOKEN" help:"operator token of the entry"`
}

// Check returns an error for the first invalid option.
func (t *Target) Check() error {
	if !t.Entry.IsValid() || t.Entry.Port() == 0 {
		return badSetting("--entry", t.Entry.String())
	}
	return nil
}

// WaitOptions holds the options of commands that can wait for completion.
type WaitOptions struct {
	Wait  bool          `arg:"--wait,env:ROSEMARYGAP_WAIT" help:"wait until the operation has completed, and print progress to the standard error"`
	Limit time.Duration `arg:"--wait-limit,env:ROSEMARYGAP_WAIT_LIMIT" default:"1h" help:"maximum time to wait; 1s to 24h"`
}

// Check returns an error for the first invalid option.
func (w *WaitOptions) Check() error {
	if w.Limit < minWaitLimit || w.Limit > maxWaitLimit {
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
	if c.Revision < currentRevision {
		return badSetting("--revision", strconv.FormatInt(c.Revision, 10))
	}
	if len(c.ChangeID) > maxChangeIDLen {
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
		if id == "" || len(id) > maxJobIDLen {
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
func (c *EvacuateCommand) Check() error {
	if !operator.ValidName(c.Zone) {
		return badSetting("ZONE", c.Zone)
	}
	return firstError(c.Target.Check, c.WaitOptions.Check)
}

// Check implements Command.
func (c *EventsCommand) Check() error {
	if c.Number < 0 || c.Number > maxEventNumber {
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
