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

// PlatformOptions are the settings of the processes on the users' platform.
// All else stands in the platform's settings file.
type PlatformOptions struct {
	Settings string `arg:"--settings,required,env:ROSEMARYGAP_CONFIG" help:"path of the platform's settings file"`
	LogLevel string `arg:"--log-level,env:ROSEMARYGAP_LOG_LEVEL" default:"info" help:"least level of log lines: trace, debug, info, warn or error"`
}

// Check returns the first setting at fault.
func (o *PlatformOptions) Check() error {
	if hclog.LevelFromString(o.LogLevel) == hclog.NoLevel {
		return badSetting("--log-level", o.LogLevel)
	}
	if _, err := platform.ReadSettings(o.Settings); err != nil {
		return status.At(status.ErrBadSetting, "--settings", err.Error())
	}
	return nil
}

// run runs f with the settings and a bounded log on the standard output.
func (o *PlatformOptions) run(name string, f func(platform.Settings, hclog.Logger, ...process.Actor) error) error {
	cfg, err := platform.ReadSettings(o.Settings)
	if err != nil {
		return status.At(status.ErrBadSetting, "--settings", err.Error())
	}
	w := process.NewBoundedWriter(os.Stdout)
	defer w.Close()
	process.LimitMemory(cfg.MemoryMiB)
	l := process.NewLogger(name, o.LogLevel, w)
	// Every setting of the file is fixed for the life of a process; the new
	// file is checked, so that a fault shows before the next start.
	return f(cfg, l, process.Reloader(l, o.Check), w.ReportDropped(l))
}

// SchedulerCommand runs the process on an entry VM of the users' platform.
type SchedulerCommand struct {
	PlatformOptions
}

// Run serves until a stop signal. Log lines go to the standard output.
func (c *SchedulerCommand) Run(io.Writer) error { return c.run("scheduler", scheduler.Run) }

// AgentCommand runs the process beside a worker of the users' platform.
type AgentCommand struct {
	PlatformOptions
}

// Run serves until a stop signal. Log lines go to the standard output.
func (c *AgentCommand) Run(io.Writer) error { return c.run("agent", agent.Run) }
