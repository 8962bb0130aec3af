package commandline

import (
	"io"
	"os"

	"rosemarygap/io/guard"
	"rosemarygap/io/process"
)

// GuardCommand runs a guard, the sidecar process of an endpoint.
type GuardCommand struct {
	guard.Options
}

// Run runs the guard until it gets a stop signal. It logs to the standard error.
func (c *GuardCommand) Run(io.Writer) error {
	process.LimitMemory(c.MemoryLimit)
	return guard.Run(c.Options, process.NewLogger("guard", c.LogLevel, os.Stderr))
}
