package commandline

import (
	"io"
	"os"

	"rosemarygap/core/status"
	"rosemarygap/io/agent"
	"rosemarygap/io/process"
	"rosemarygap/io/scheduler"
	"rosemarygap/platform"

	"github.com/hashicorp/go-hclog"
)

// PlatformOptions holds the options of the scheduler and agent processes on the
// users' platform. All other settings are in the platform's settings file.
type PlatformOptions struct {
	Settings string `arg:"--settings,required,env:ROSEMARYGAP_CONFIG" help:"path of the platform's settings file"`
	LogLevel string `arg:"--log-level,env:ROSEMARYGAP_LOG_LEVEL" default:"info" help:"minimum level of log lines: trace, debug, info, warn or error"`
}

// Check returns an error for the first invalid setting.
func (o *PlatformOptions) Check() error {
	if hclog.LevelFromString(o.LogLevel) == hclog.NoLevel {
		return badSetting("--log-level", o.LogLevel)
	}
	if _, err := platform.ReadSettings(o.Settings); err != nil {
		return status.At(status.ErrBadSetting, "--settings", err.Error())
	}
	return nil
}

// runProcess calls runFunc with the settings and a logger that writes to the
// standard output through a bounded buffer.
func (o *PlatformOptions) runProcess(name string, runFunc func(platform.Settings, hclog.Logger, ...process.Actor) error) error {
	cfg, err := platform.ReadSettings(o.Settings)
	if err != nil {
		return status.At(status.ErrBadSetting, "--settings", err.Error())
	}
	w := process.NewBoundedWriter(os.Stdout)
	defer w.Close()
	process.LimitMemory(cfg.MemoryLimitMiB)
	l := process.NewLogger(name, o.LogLevel, w)
	// The settings are read only at start. A reload only validates the file, so
	// that an error is reported before the next start.
	return runFunc(cfg, l, process.Reloader(l, o.Check), w.ReportDropped(l))
}

// SchedulerCommand runs the scheduler on an entry VM of the users' platform.
type SchedulerCommand struct {
	PlatformOptions
	Admission  string `arg:"--admission,env:ROSEMARYGAP_ADMISSION" default:"off" help:"which jobs are refused: off, or forecast for those that would end when their results have no value"`
	FairShares string `arg:"--fair-shares,env:ROSEMARYGAP_FAIR_SHARES" default:"off" help:"how scarce room is divided: off (by value and deadline, whoever asks) or zone (fairly among the queues and the zones in which jobs were submitted)"`
	Failover   string `arg:"--failover,env:ROSEMARYGAP_FAILOVER" default:"lease" help:"when an owner that was killed is replaced: lease (when its lease expires) or connection (as soon as the other entries find that its process has ended)"`
	Copies     string `arg:"--copies,env:ROSEMARYGAP_COPIES" default:"off" help:"whether tasks of steps that allow it get a second run on another worker when theirs would end late: off or on"`
}

// Values of the options.
const (
	switchOff         = "off"
	switchOn          = "on"
	admissionForecast = "forecast"
	fairSharesZone    = "zone"

	failoverLease      = "lease"
	failoverConnection = "connection"

	reportsWhole   = "whole"
	reportsChanges = "changes"
)

// Check returns an error for the first invalid setting.
func (c *SchedulerCommand) Check() error {
	switch {
	case c.Admission != switchOff && c.Admission != admissionForecast:
		return badSetting("--admission", c.Admission)
	case c.FairShares != switchOff && c.FairShares != fairSharesZone:
		return badSetting("--fair-shares", c.FairShares)
	case c.Failover != failoverLease && c.Failover != failoverConnection:
		return badSetting("--failover", c.Failover)
	case c.Copies != switchOff && c.Copies != switchOn:
		return badSetting("--copies", c.Copies)
	}
	return c.PlatformOptions.Check()
}

// options returns the options of the scheduler.
func (c *SchedulerCommand) options() []scheduler.Option {
	var out []scheduler.Option
	if c.Admission == admissionForecast {
		out = append(out, scheduler.WithAdmission())
	}
	if c.FairShares == fairSharesZone {
		out = append(out, scheduler.WithFairShares())
	}
	if c.Failover == failoverConnection {
		out = append(out, scheduler.WithConnectionFailover())
	}
	if c.Copies == switchOn {
		out = append(out, scheduler.WithCopies())
	}
	return out
}

// Run runs the scheduler until it gets a stop signal. It logs to the standard
// output.
func (c *SchedulerCommand) Run(io.Writer) error {
	return c.runProcess("scheduler", func(cfg platform.Settings, l hclog.Logger, actors ...process.Actor) error {
		return scheduler.Run(cfg, l, actors, c.options()...)
	})
}

// AgentCommand runs the node agent of a worker on the users' platform.
type AgentCommand struct {
	PlatformOptions
	Reports string `arg:"--reports,env:ROSEMARYGAP_REPORTS" default:"whole" help:"form of the reports to the owner: whole, or changes (only what has changed since a report that the owner has confirmed)"`
}

// Check returns an error for the first invalid setting.
func (c *AgentCommand) Check() error {
	if c.Reports != reportsWhole && c.Reports != reportsChanges {
		return badSetting("--reports", c.Reports)
	}
	return c.PlatformOptions.Check()
}

// options returns the options of the agent.
func (c *AgentCommand) options() []agent.Option {
	if c.Reports == reportsChanges {
		return []agent.Option{agent.WithDeltaReports()}
	}
	return nil
}

// Run runs the agent until it gets a stop signal. It logs to the standard output.
func (c *AgentCommand) Run(io.Writer) error {
	return c.runProcess("agent", func(cfg platform.Settings, l hclog.Logger, actors ...process.Actor) error {
		return agent.Run(cfg, l, actors, c.options()...)
	})
}
